//! A relay in the way of TCP connections that can fall silent, as a cut network does.

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

const SILENT_PAUSE: Duration = Duration::from_millis(20);

pub(crate) struct Relay {
    pub(crate) address: SocketAddr,
    target: Arc<OnceLock<SocketAddr>>,
    cut: Arc<AtomicBool>,
}

impl Relay {
    /// Starts a relay to an address.
    pub(crate) fn start(target: SocketAddr) -> Self {
        let relay = Self::start_without_target();
        relay.set_target(target);
        relay
    }

    /// Starts a relay whose target is yet to be told; until then it closes what it accepts.
    pub(crate) fn start_without_target() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let cut = Arc::new(AtomicBool::new(false));
        let silent = Arc::clone(&cut);
        let target = Arc::new(OnceLock::<SocketAddr>::new());
        let told = Arc::clone(&target);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                let Some(target) = told.get().copied() else {
                    continue;
                };
                let silent = Arc::clone(&silent);
                thread::spawn(move || carry(near, target, &silent));
            }
        });
        Self {
            address,
            target,
            cut,
        }
    }

    /// Tells where connections go from now on.
    pub(crate) fn set_target(&self, target: SocketAddr) {
        self.target.set(target).unwrap();
    }

    /// Keeps everything back, without closing anything, or lets it through again.
    pub(crate) fn set_cut(&self, cut: bool) {
        self.cut.store(cut, Ordering::SeqCst);
    }
}

fn carry(near: TcpStream, target: SocketAddr, silent: &Arc<AtomicBool>) {
    wait_while_silent(silent);
    let Ok(far) = TcpStream::connect(target) else {
        return;
    };
    let back = (far.try_clone().unwrap(), near.try_clone().unwrap());
    let silent_back = Arc::clone(silent);
    thread::spawn(move || copy(back.0, back.1, &silent_back));
    copy(near, far, silent);
}

fn copy(mut from: TcpStream, mut to: TcpStream, silent: &Arc<AtomicBool>) {
    let mut part = [0; 16 * 1024];
    while let Ok(count) = from.read(&mut part) {
        wait_while_silent(silent);
        if count == 0 || to.write_all(&part[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Both);
}

fn wait_while_silent(silent: &Arc<AtomicBool>) {
    while silent.load(Ordering::SeqCst) {
        thread::sleep(SILENT_PAUSE);
    }
}
