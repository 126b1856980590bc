//! The entry host's daemon: binds its listeners and runs its event loop.

use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;

use monoio::net::TcpListener;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;
use tokio::sync::mpsc;

use crate::connection::accept_connections;
use crate::connection::MessageLimits;
use crate::error::Error;
use crate::error::Result;
use crate::id::Incarnation;
use crate::operator::CallerApi;
use crate::operator::OperatorApi;
use crate::process::now_ms;
use crate::process::peer_thread::start_peer_thread;
use crate::process::DaemonParts;
use crate::process::DaemonSettings;
use crate::process::EntryIdentity;
use crate::process::PeerCall;
use crate::process::PeerState;
use crate::process::ShutdownSignal;

/// The addresses that a daemon listens on.
#[derive(Clone, Copy, Debug)]
pub struct DaemonAddresses {
    /// The address for requests of callers.
    pub callers: SocketAddr,
    /// The address of the operator API and of metrics.
    pub operators: SocketAddr,
    /// The address for calls of other entry hosts.
    pub peers: SocketAddr,
}

/// A daemon that is bound to its addresses and ready to run.
pub struct Daemon {
    settings: DaemonSettings,
    shutdown: ShutdownSignal,
    callers: std::net::TcpListener,
    operators: std::net::TcpListener,
    peers: std::net::TcpListener,
    addresses: DaemonAddresses,
}

impl Daemon {
    /// Binds the listeners for callers, operators and peers.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn new(settings: DaemonSettings) -> Result<Self> {
        let (callers, callers_address) = bind(settings.callers)?;
        let (operators, operators_address) = bind(settings.operators)?;
        let (peers, peers_address) = bind(settings.peers)?;
        Ok(Self {
            settings,
            shutdown: ShutdownSignal::new(),
            callers,
            operators,
            peers,
            addresses: DaemonAddresses {
                callers: callers_address,
                operators: operators_address,
                peers: peers_address,
            },
        })
    }

    /// Returns the bound addresses, with the ports that the system chose for port 0.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Returns a handle that shuts the daemon down.
    pub fn shutdown(&self) -> ShutdownSignal {
        self.shutdown.clone()
    }

    /// Serves requests until shutdown is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread or runtime cannot be started.
    pub fn run(self) -> Result<()> {
        let identity = EntryIdentity {
            entry: self.settings.name.clone(),
            incarnation: Incarnation::new(now_ms()),
            data_centre: self.settings.data_centre.clone(),
            peer: self
                .settings
                .peers_advertised
                .unwrap_or(self.addresses.peers),
        };
        let (state, calls) = PeerState::new(identity);
        let mut runtime = RuntimeBuilder::<LegacyDriver>::new()
            .enable_timer()
            .build()
            .map_err(|source| {
                socket_error("cannot start the runtime that serves callers", source)
            })?;
        runtime.block_on(self.serve(Arc::new(state), calls))
    }

    async fn serve(
        self,
        state: Arc<PeerState>,
        calls: mpsc::UnboundedReceiver<PeerCall>,
    ) -> Result<()> {
        let known_peers = self.settings.known_peers.clone();
        start_peer_thread(self.peers, Arc::clone(&state), calls, known_peers)?;
        let parts = DaemonParts::new(&self.settings, state, self.shutdown.clone());
        let parts = Rc::new(parts);
        let limits = MessageLimits {
            body_bytes: self.settings.body_bytes,
            ..MessageLimits::default()
        };
        let callers = register_listener(self.callers)?;
        let operators = register_listener(self.operators)?;
        let connections = self.settings.connections;
        monoio::spawn(accept_connections(
            callers,
            Rc::new(CallerApi::new(Rc::clone(&parts))),
            limits,
            connections,
            self.shutdown.clone(),
        ));
        // Operators are served until the process exits, so that they can follow the shutdown.
        monoio::spawn(accept_connections(
            operators,
            Rc::new(OperatorApi::new(
                Rc::clone(&parts),
                self.settings.operator_token.clone(),
            )),
            limits,
            connections,
            ShutdownSignal::new(),
        ));
        parts.start(self.settings.poll);
        parts.stop(&self.settings).await;
        Ok(())
    }
}

fn bind(address: SocketAddr) -> Result<(std::net::TcpListener, SocketAddr)> {
    let action = || format!("cannot listen on {address}");
    let listener =
        std::net::TcpListener::bind(address).map_err(|source| socket_error(&action(), source))?;
    listener
        .set_nonblocking(true)
        .map_err(|source| socket_error(&action(), source))?;
    let bound = listener
        .local_addr()
        .map_err(|source| socket_error(&action(), source))?;
    Ok((listener, bound))
}

fn register_listener(listener: std::net::TcpListener) -> Result<TcpListener> {
    TcpListener::from_std(listener)
        .map_err(|source| socket_error("cannot register a listener with the runtime", source))
}

fn socket_error(action: &str, source: std::io::Error) -> Error {
    Error::Socket {
        action: action.to_owned(),
        source,
    }
}
