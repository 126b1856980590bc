//! Entry hosts as processes, started as the deploy file says.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::process::exit;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http::send;

/// The program that `deploy/system.toml` starts, relative to the root of the repository.
const PROGRAM: &str = "target/release/zincpier-entry";

/// The ids of all processes that were started and have not been ended.
static RUNNING: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the process of this case and all that it started if it still runs after `limit`.
pub fn end_after(limit: Duration) {
    thread::spawn(move || {
        sleep(limit);
        for id in RUNNING.lock().expect("the process ids").iter() {
            let _ = Command::new("kill")
                .args(["-KILL", &id.to_string()])
                .status();
        }
        eprintln!("the case did not end in time");
        exit(2);
    });
}

pub struct Entry {
    pub callers: SocketAddr,
    ready: SocketAddr,
    child: Child,
}

impl Entry {
    /// Starts an entry host with settings as `deploy/entry.toml` gives them for a small deployment.
    pub fn start(directory: &Path, number: usize, table: SocketAddr, hosts: SocketAddr) -> Self {
        // Loopback addresses of this process, so that no other takes the ports before the entry host does.
        let [.., high, low] = std::process::id().to_be_bytes();
        let address = Ipv4Addr::new(127, high.wrapping_add(1), low, number as u8);
        let listeners: Vec<_> = (0..4)
            .map(|_| TcpListener::bind((address, 0)).expect("a free loopback port"))
            .collect();
        let ports: Vec<_> = listeners
            .iter()
            .map(|listener| listener.local_addr().expect("the port's address"))
            .collect();
        drop(listeners);
        let settings = format!(
            "name = \"edge-hall-a-{number}\"\ndata_centre = \"hall-a\"\ncallers = \"{}\"\n\
             readiness = \"{}\"\nmetrics = \"{}\"\ncarriers = \"{}\"\ntable = \"{table}\"\n\
             hosts = \"{hosts}\"\nprocessor_share = 0.25\nlink_mbps = 1000.0\n\
             config_ms = 2000\nrow_bytes = 65536\n",
            ports[0], ports[1], ports[2], ports[3]
        );
        let path = directory.join(format!("entry-{number}.toml"));
        fs::write(&path, settings).expect("the settings file");
        let log = directory.join(format!("entry-{number}.log"));
        let child = spawn(&path, &log);
        Self {
            callers: ports[0],
            ready: ports[1],
            child,
        }
    }

    pub fn is_ready(&self) -> bool {
        let answer = send(
            self.ready,
            "ready",
            "GET",
            "/v1/readyz",
            None,
            Duration::from_secs(1),
        );
        answer.is_some_and(|(status, _)| status == 200)
    }

    /// Waits until the entry host is ready; returns whether it was in time.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            sleep(Duration::from_millis(100));
        }
        false
    }

    fn kill(&mut self) {
        let id = self.child.id();
        RUNNING
            .lock()
            .expect("the process ids")
            .retain(|other| *other != id);
        // Errors only mean that the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.kill();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = fs::File::create(log);
    let child = Command::new(PROGRAM)
        .env("ZINCPIER_BOOT", settings)
        .stdout(Stdio::from(output.expect("the log file")))
        .spawn()
        .expect("the entry host's program");
    RUNNING.lock().expect("the process ids").push(child.id());
    child
}
