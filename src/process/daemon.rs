//! An entry host's daemon: its listeners and its runtime.

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

/// Where a daemon listens.
#[derive(Clone, Copy, Debug)]
pub struct DaemonAddresses {
    /// For callers.
    pub callers: SocketAddr,
    /// For operators.
    pub operators: SocketAddr,
    /// For peers.
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
    /// Binds a daemon's addresses.
    ///
    /// # Errors
    ///
    /// Returns an error if an address cannot be bound.
    pub fn new(settings: DaemonSettings) -> Result<Self> {
        let (callers, callers_at) = bind(settings.callers)?;
        let (operators, operators_at) = bind(settings.operators)?;
        let (peers, peers_at) = bind(settings.peers)?;
        Ok(Self {
            settings,
            shutdown: ShutdownSignal::new(),
            callers,
            operators,
            peers,
            addresses: DaemonAddresses {
                callers: callers_at,
                operators: operators_at,
                peers: peers_at,
            },
        })
    }

    /// Returns where the daemon listens.
    pub fn addresses(&self) -> DaemonAddresses {
        self.addresses
    }

    /// Returns the signal that shuts the daemon down.
    pub fn shutdown(&self) -> ShutdownSignal {
        self.shutdown.clone()
    }

    /// Serves until shutdown is complete.
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
            .map_err(|source| socket_error("cannot start the runtime", source))?;
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
        let callers = listen(self.callers)?;
        let operators = listen(self.operators)?;
        let connections = self.settings.connections;
        monoio::spawn(accept_connections(
            callers,
            Rc::new(CallerApi::new(Rc::clone(&parts))),
            limits,
            connections,
            self.shutdown.clone(),
        ));
        // Operators are answered until the process ends, so that they see it end.
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
    let action = || format!("cannot listen at {address}");
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

fn listen(listener: std::net::TcpListener) -> Result<TcpListener> {
    TcpListener::from_std(listener).map_err(|source| socket_error("cannot listen", source))
}

fn socket_error(action: &str, source: std::io::Error) -> Error {
    Error::Socket {
        action: action.to_owned(),
        source,
    }
}
