//! Entry hosts as processes, started as the deploy file says.

use std::fs;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::Path;
use std::path::PathBuf;
use std::process::exit;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use crate::http::send;

/// The program that `deploy/system.toml` starts, relative to the root of the repository.
const PROGRAM: &str = "target/release/zincpier-entry";

/// The delay before a process that has ended is started again.
const RESTART_DELAY: Duration = Duration::from_millis(300);

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
    child: Arc<Mutex<Child>>,
    settings: PathBuf,
    log: PathBuf,
    is_over: Arc<AtomicBool>,
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
        let child = Arc::new(Mutex::new(spawn(&path, &log)));
        Self {
            callers: ports[0],
            ready: ports[1],
            child,
            settings: path,
            log,
            is_over: Arc::default(),
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

    /// Ends the process whenever it takes more memory than `memory-mb` allows, and starts it again after a
    /// short delay, as the platform does. Calls `record` each time.
    pub fn limit_memory(&self, limit_mb: u64, record: impl Fn(u64) + Send + 'static) {
        let (child, is_over) = (Arc::clone(&self.child), Arc::clone(&self.is_over));
        let (settings, log) = (self.settings.clone(), self.log.clone());
        thread::spawn(move || {
            while !is_over.load(Ordering::Relaxed) {
                sleep(Duration::from_millis(20));
                let mut child = child.lock().expect("the child");
                let taken_mb = resident_mb(child.id());
                if taken_mb <= limit_mb || is_over.load(Ordering::Relaxed) {
                    continue;
                }
                record(taken_mb);
                end(&mut child);
                sleep(RESTART_DELAY);
                *child = spawn(&settings, &log);
            }
        });
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::Relaxed);
        end(&mut self.child.lock().expect("the child"));
    }
}

/// Returns the memory that a process takes, in MB; 0 if that can't be read.
fn resident_mb(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let mut lines = status.lines();
    let line = lines.find_map(|line| line.strip_prefix("VmRSS:"));
    let kb = line.and_then(|line| line.split_whitespace().next()?.parse::<u64>().ok());
    kb.unwrap_or(0) / 1_024
}

fn end(child: &mut Child) {
    let id = child.id();
    let mut running = RUNNING.lock().expect("the process ids");
    running.retain(|other| *other != id);
    // Errors only mean that the process has already ended.
    let _ = child.kill();
    let _ = child.wait();
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = fs::OpenOptions::new().create(true).append(true).open(log);
    let child = Command::new(PROGRAM)
        .env("ZINCPIER_BOOT", settings)
        .stdout(Stdio::from(output.expect("the log file")))
        .spawn()
        .expect("the entry host's program");
    RUNNING.lock().expect("the process ids").push(child.id());
    child
}
