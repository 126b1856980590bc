//! A platform and its backend servers as one thread of this process.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;

use monoio::net::TcpListener;
use monoio::LegacyDriver;
use monoio::RuntimeBuilder;

use crate::connection::accept_connections;
use crate::connection::MessageLimits;
use crate::error::Error;
use crate::error::Result;
use crate::id::HostId;
use crate::process::ShutdownSignal;
use crate::standin::executor_hosts;
use crate::standin::host_records;
use crate::standin::BackendStandin;
use crate::standin::PlatformStandin;
use crate::version::ServiceText;

const CONNECTION_LIMIT: usize = 4_096;
const BODY_LIMIT_BYTES: usize = 16 * 1024 * 1024;
const DEFAULT_SLOTS: u32 = 8;

/// How a local fleet behaves.
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    /// The time that a request takes at a backend server.
    pub service_time: Duration,
    /// The time that a host takes to restart.
    pub reboot_time: Duration,
    /// The transactions that the table takes a second.
    pub writes_per_second: u32,
}

impl Default for FleetSettings {
    fn default() -> Self {
        Self {
            service_time: Duration::from_millis(5),
            reboot_time: Duration::from_millis(300),
            writes_per_second: 400,
        }
    }
}

/// The addresses of a platform and of backend servers that run in this process.
#[derive(Clone, Debug)]
pub struct LocalFleet {
    /// The platform.
    pub platform: SocketAddr,
    /// The backend servers, by host.
    pub backends: BTreeMap<HostId, SocketAddr>,
}

impl LocalFleet {
    /// Starts the hosts of a text on loopback addresses, for the life of the process.
    ///
    /// # Errors
    ///
    /// Returns an error if a thread or listener cannot be started.
    pub fn start(text: &ServiceText, plan: FleetSettings) -> Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let text = text.clone();
        thread::Builder::new()
            .name("standins".to_owned())
            .spawn(move || serve(&text, plan, &sender))
            .map_err(|source| start_error(&source))?;
        let started = receiver.recv();
        started
            .map_err(|error| start_error(&error))?
            .map_err(|source| start_error(&source))
    }
}

fn serve(
    text: &ServiceText,
    plan: FleetSettings,
    sender: &mpsc::Sender<std::io::Result<LocalFleet>>,
) {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let served = runtime.and_then(|mut runtime| runtime.block_on(run(text, plan, sender)));
    if let Err(error) = served {
        // Nobody waits any more once the fleet has started.
        let _ = sender.send(Err(error));
    }
}

async fn run(
    text: &ServiceText,
    plan: FleetSettings,
    sender: &mpsc::Sender<std::io::Result<LocalFleet>>,
) -> std::io::Result<()> {
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut backends = BTreeMap::new();
    for host in executor_hosts(text) {
        let listener = TcpListener::bind(any)?;
        backends.insert(host.clone(), listener.local_addr()?);
        let server = BackendStandin::new(host, DEFAULT_SLOTS, plan.service_time);
        monoio::spawn(Rc::new(server).serve(listener));
    }
    let listener = TcpListener::bind(any)?;
    let platform = PlatformStandin::new(plan.reboot_time, plan.writes_per_second);
    for record in host_records(text, |host| backends.get(host).copied().or(Some(any))) {
        platform.put_host(record);
    }
    let fleet = LocalFleet {
        platform: listener.local_addr()?,
        backends,
    };
    // The starter may have gone; the fleet then serves nobody.
    let _ = sender.send(Ok(fleet));
    let limits = MessageLimits {
        body_bytes: BODY_LIMIT_BYTES,
        ..MessageLimits::default()
    };
    let shutdown = ShutdownSignal::new();
    accept_connections(
        listener,
        Rc::new(platform),
        limits,
        CONNECTION_LIMIT,
        shutdown,
    )
    .await;
    Ok(())
}

fn start_error(source: &impl ToString) -> Error {
    Error::Socket {
        action: "cannot start the stand-ins".to_owned(),
        source: std::io::Error::other(source.to_string()),
    }
}
