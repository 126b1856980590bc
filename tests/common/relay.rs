//! A TCP relay that can hold back all bytes, as a network partition does.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::OnceLock;
use std::thread;
use std::time::Duration;

/// The interval at which a held connection checks whether the partition has ended.
const PARTITION_POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Forwards TCP connections from a loopback port to a target, except while partitioned.
pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    target: Arc<OnceLock<SocketAddr>>,
    partitioned: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay to `target`.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let relay = Self::start_without_target();
        relay.set_target(target);
        relay
    }

    /// Starts a relay without a target; it closes accepted connections until one is set.
    pub(crate) fn start_without_target() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let partitioned = Arc::new(AtomicBool::new(false));
        let partition_flag = Arc::clone(&partitioned);
        let target = Arc::new(OnceLock::<SocketAddr>::new());
        let target_cell = Arc::clone(&target);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                let Some(target) = target_cell.get().copied() else {
                    continue;
                };
                let partition_flag = Arc::clone(&partition_flag);
                thread::spawn(move || forward_connection(client, target, &partition_flag));
            }
        });
        Self {
            address,
            target,
            partitioned,
        }
    }

    /// Sets the target of later connections; can be called once.
    pub(crate) fn set_target(&self, target: SocketAddr) {
        self.target.set(target).unwrap();
    }

    /// Holds back all bytes without closing connections, or lets them through again.
    pub(crate) fn set_partitioned(&self, partitioned: bool) {
        self.partitioned.store(partitioned, Ordering::SeqCst);
    }
}

fn forward_connection(client: TcpStream, target: SocketAddr, partition_flag: &Arc<AtomicBool>) {
    wait_while_partitioned(partition_flag);
    let Ok(upstream) = TcpStream::connect(target) else {
        return;
    };
    let return_streams = (upstream.try_clone().unwrap(), client.try_clone().unwrap());
    let return_flag = Arc::clone(partition_flag);
    thread::spawn(move || copy(return_streams.0, return_streams.1, &return_flag));
    copy(client, upstream, partition_flag);
}

/// Forwards bytes until either side closes; bytes read during a partition are delivered after it.
fn copy(mut from: TcpStream, mut to: TcpStream, partition_flag: &Arc<AtomicBool>) {
    let mut buffer = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut buffer) {
        wait_while_partitioned(partition_flag);
        if count == 0 || to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

fn wait_while_partitioned(partition_flag: &Arc<AtomicBool>) {
    while partition_flag.load(Ordering::SeqCst) {
        thread::sleep(PARTITION_POLL_INTERVAL);
    }
}
