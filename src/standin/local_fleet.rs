//! Simulated platform and backend servers in one thread of this process.

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

const MAX_CONNECTIONS: usize = 4_096;
const MAX_BODY_BYTES: usize = 16 * 1024 * 1024;
const DEFAULT_SLOTS: u32 = 8;

/// The simulated times and rates of a local fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetSettings {
    /// The time that a backend server takes for a request.
    pub service_time: Duration,
    /// The time that a host takes to restart.
    pub reboot_time: Duration,
    /// The maximum rate of table transactions, per second.
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

/// The addresses of a simulated platform and its backend servers in this process.
#[derive(Clone, Debug)]
pub struct LocalFleet {
    /// The address of the platform's HTTP interface.
    pub platform: SocketAddr,
    /// The addresses of the backend servers, by host.
    pub backends: BTreeMap<HostId, SocketAddr>,
}

impl LocalFleet {
    /// Starts a platform and the backend servers of a text on loopback addresses; they run until
    /// the process ends.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Socket`] if the thread or a listener cannot be started.
    pub fn start(text: &ServiceText, settings: FleetSettings) -> Result<Self> {
        let (sender, receiver) = mpsc::channel();
        let text = text.clone();
        thread::Builder::new()
            .name("standins".to_owned())
            .spawn(move || serve(&text, settings, &sender))
            .map_err(|source| start_error(&source))?;
        let started = receiver.recv();
        started
            .map_err(|error| start_error(&error))?
            .map_err(|source| start_error(&source))
    }
}

fn serve(
    text: &ServiceText,
    settings: FleetSettings,
    sender: &mpsc::Sender<std::io::Result<LocalFleet>>,
) {
    let runtime = RuntimeBuilder::<LegacyDriver>::new().enable_timer().build();
    let served = runtime.and_then(|mut runtime| runtime.block_on(run(text, settings, sender)));
    if let Err(error) = served {
        // The receiver exists only until the fleet has started; a later error is dropped.
        let _ = sender.send(Err(error));
    }
}

async fn run(
    text: &ServiceText,
    settings: FleetSettings,
    sender: &mpsc::Sender<std::io::Result<LocalFleet>>,
) -> std::io::Result<()> {
    let any_port = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut backends = BTreeMap::new();
    for host in executor_hosts(text) {
        let listener = TcpListener::bind(any_port)?;
        backends.insert(host.clone(), listener.local_addr()?);
        let server = BackendStandin::new(host, DEFAULT_SLOTS, settings.service_time);
        monoio::spawn(Rc::new(server).serve(listener));
    }
    let listener = TcpListener::bind(any_port)?;
    let platform = PlatformStandin::new(settings.reboot_time, settings.writes_per_second);
    // The address of a worker's host is not used: workers are called through the platform.
    for record in host_records(text, |host| backends.get(host).copied().or(Some(any_port))) {
        platform.put_host(record);
    }
    let fleet = LocalFleet {
        platform: listener.local_addr()?,
        backends,
    };
    // If the receiver is gone, the fleet is unused.
    let _ = sender.send(Ok(fleet));
    let limits = MessageLimits {
        body_bytes: MAX_BODY_BYTES,
        ..MessageLimits::default()
    };
    let shutdown = ShutdownSignal::new();
    accept_connections(
        listener,
        Rc::new(platform),
        limits,
        MAX_CONNECTIONS,
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
