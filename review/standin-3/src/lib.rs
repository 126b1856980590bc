//! Parts that the cases of this review share: entry hosts as processes, a relay in front of an
//! executor, requests of consumers, and the record of what was sent, answered and run.

use std::fs::File;
use std::io;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

pub mod machines;
pub mod order_relay;
pub mod relay;

/// Exit codes of a case.
pub const HELD: i32 = 0;
pub const BROKEN: i32 = 1;
pub const NOT_RUN: i32 = 2;

/// Returns whether the case plays its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// The file with what was sent, answered and run.
pub struct Record {
    file: Mutex<File>,
    started: Instant,
}

impl Record {
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            file: Mutex::new(File::create(path)?),
            started: Instant::now(),
        })
    }

    /// Returns the time since the start, in ms.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Writes a line with the time since the start.
    pub fn line(&self, text: &str) {
        let now = self.now_ms();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{:>7} ms  {text}", now);
        }
    }
}

/// An entry host as a process, killed on drop.
pub struct EntryHost {
    pub name: String,
    pub child: Child,
    pub log: PathBuf,
    address: Ipv4Addr,
}

impl EntryHost {
    /// Starts the program with the settings of a small deployment. `descriptors` is `max-fds` of the
    /// settings, which the platform enforces.
    pub fn start(
        program: &Path,
        directory: &Path,
        number: u8,
        table: SocketAddr,
        hosts: SocketAddr,
        descriptors: u32,
    ) -> io::Result<Self> {
        let [.., high, low] = std::process::id().to_be_bytes();
        let address = Ipv4Addr::new(127, high.wrapping_add(1), low, number);
        let name = format!("edge-{number}");
        let settings = directory.join(format!("{name}.toml"));
        std::fs::write(
            &settings,
            format!(
                "name = \"{name}\"\ndata_centre = \"hall-a\"\ncallers = \"{address}:7001\"\n\
                 readiness = \"{address}:7002\"\nmetrics = \"{address}:7003\"\n\
                 carriers = \"{address}:7004\"\ntable = \"{table}\"\nhosts = \"{hosts}\"\n\
                 processor_share = 0.25\nlink_mbps = 1000.0\nmemory_mb = 260\nconfig_ms = 2000\n\
                 row_bytes = 65536\n"
            ),
        )?;
        let log = directory.join(format!("{name}.log"));
        let child = Command::new("sh")
            .arg("-c")
            .arg(format!(
                "ulimit -n {descriptors} && exec \"$0\" --settings \"$1\""
            ))
            .arg(program)
            .arg(&settings)
            .stdout(Stdio::from(
                File::options().create(true).append(true).open(&log)?,
            ))
            .stderr(Stdio::null())
            .spawn()?;
        // The shell has become the program, so this is the program's id.
        std::fs::write(
            directory.join(format!("{name}.pid")),
            child.id().to_string(),
        )?;
        Ok(Self {
            name,
            child,
            log,
            address,
        })
    }

    pub fn callers(&self) -> SocketAddr {
        SocketAddr::from((self.address, 7001))
    }

    pub fn readiness(&self) -> SocketAddr {
        SocketAddr::from((self.address, 7002))
    }

    /// Returns the processor time that the process has used, in ticks of 10 ms.
    pub fn processor_ticks(&self) -> u64 {
        let text = std::fs::read_to_string(format!("/proc/{}/stat", self.child.id()));
        let text = text.unwrap_or_default();
        let fields = text.rsplit(')').next().unwrap_or_default();
        let fields: Vec<_> = fields.split_whitespace().collect();
        let number = |index: usize| -> u64 {
            fields
                .get(index)
                .and_then(|field| field.parse().ok())
                .unwrap_or(0)
        };
        number(11) + number(12)
    }

    /// Returns the number of open descriptors.
    pub fn descriptors(&self) -> usize {
        let entries = std::fs::read_dir(format!("/proc/{}/fd", self.child.id()));
        entries.map_or(0, Iterator::count)
    }

    /// Returns whether the process has not ended.
    pub fn is_alive(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(self.log.with_extension("pid"));
    }
}

/// A response to a consumer: its status and its body; status 0 without a whole response in time.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub body: String,
}

/// Sends one request over a channel of its own and waits for the whole response for `limit`.
pub fn request(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> Answer {
    exchange(address, method, host, path, body, limit).unwrap_or_default()
}

fn exchange(
    address: SocketAddr,
    method: &str,
    host: &str,
    path: &str,
    body: &str,
    limit: Duration,
) -> io::Result<Answer> {
    use std::io::Read;
    let deadline = Instant::now() + limit;
    let mut stream = std::net::TcpStream::connect_timeout(&address, limit)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(limit))?;
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nContent-Type: application/json\r\n\
         X-Deadline: {}\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
        limit.as_millis(),
        body.len()
    );
    stream.write_all(text.as_bytes())?;
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let count = stream.read(&mut buffer)?;
        if count == 0 {
            break;
        }
        received.extend_from_slice(&buffer[..count]);
    }
    let text = String::from_utf8_lossy(&received).into_owned();
    let status = text
        .split(' ')
        .nth(1)
        .and_then(|status| status.parse().ok());
    let Some((head, body)) = text.split_once("\r\n\r\n") else {
        return Err(io::ErrorKind::UnexpectedEof.into());
    };
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        name.eq_ignore_ascii_case("content-length")
            .then(|| value.trim().parse::<usize>().ok())?
    });
    if length.is_some_and(|length| body.len() < length) {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(Answer {
        status: status.unwrap_or(0),
        body: body.to_owned(),
    })
}

/// Waits until `condition` holds, for `limit` at most; returns whether it does.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let deadline = Instant::now() + limit;
    loop {
        if condition() {
            return true;
        }
        if Instant::now() >= deadline {
            return false;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
}
