//! Fixtures that run real processes on loopback ports and call them over HTTP.

#![allow(dead_code)] // Each test file uses some of the fixtures.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::BufRead;
use std::io::BufReader;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::process::Child;
use std::process::Command;
use std::process::Output;
use std::process::Stdio;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use serde_json::Value;

use zincpier::version::ServiceText;

/// The operators' token of every daemon.
pub(crate) const TOKEN: &str = "test-token";
const TWO_DATA_CENTRES: &str = r#"deployment = "test"

[[data_centres]]
name = "east"
region = "one"

[[data_centres]]
name = "west"
region = "one"

"#;
const WAIT_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process that is killed when it is dropped.
pub(crate) struct ChildProcess {
    pub(crate) child: Child,
    /// The first lines of the standard output.
    pub(crate) lines: Vec<String>,
}

impl ChildProcess {
    /// Starts a program and waits until it has printed `line_count` lines to its standard output
    /// or has closed it.
    pub(crate) fn start(path: &str, arguments: &[&str], line_count: usize) -> Self {
        Self::start_with_log(path, arguments, line_count, Stdio::null())
    }

    /// Starts a program like [`Self::start`], with its standard error written to `log`.
    fn start_with_log(path: &str, arguments: &[&str], line_count: usize, log: Stdio) -> Self {
        let mut child = Command::new(path)
            .args(arguments)
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap();
        let output = BufReader::new(child.stdout.take().unwrap());
        let lines = output
            .lines()
            .take(line_count)
            .map(Result::unwrap)
            .collect();
        Self { child, lines }
    }

    /// Returns the resident memory in kibibytes, and the user and system CPU time since the start
    /// in clock ticks.
    pub(crate) fn resource_usage(&self) -> (u64, u64) {
        let id = self.child.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap();
        let mut lines = status.lines();
        let resident = lines.find(|line| line.starts_with("VmRSS")).unwrap();
        let resident = resident.split_whitespace().nth(1).unwrap().parse().unwrap();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).unwrap();
        let fields = stat.rsplit(')').next().unwrap().split_whitespace();
        // utime and stime are the 12th and 13th field after the name of the executable.
        let ticks = fields.skip(11).take(2);
        let ticks = ticks.map(|ticks| ticks.parse::<u64>().unwrap()).sum();
        (resident, ticks)
    }

    /// Sends a signal, given as an option of `kill` such as `-STOP`.
    pub(crate) fn signal(&self, signal: &str) {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status().unwrap();
        assert!(sent.success());
    }
}

impl Drop for ChildProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A parsed HTTP/1.1 response.
#[derive(Debug)]
pub(crate) struct HttpResponse {
    pub(crate) status: u16,
    /// The header values, by name in lower case.
    pub(crate) headers: BTreeMap<String, String>,
    pub(crate) body: String,
}

impl HttpResponse {
    pub(crate) fn json(&self) -> Value {
        serde_json::from_str(&self.body).unwrap()
    }

    /// Returns the value of a header, given in lower case; empty if the response lacks it.
    pub(crate) fn header(&self, name: &str) -> &str {
        self.headers.get(name).map_or("", String::as_str)
    }
}

/// Sends one HTTP request on a new connection; panics if no complete response head is received.
pub(crate) fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> HttpResponse {
    try_call(address, method, path, headers, body).unwrap()
}

/// Sends one HTTP request on a new connection; `None` if no complete response head is received.
pub(crate) fn try_call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &str,
) -> Option<HttpResponse> {
    let mut request = format!("{method} {path} HTTP/1.1\r\nhost: test\r\nconnection: close\r\n");
    for (name, value) in headers {
        request += &format!("{name}: {value}\r\n");
    }
    request += &format!("content-length: {}\r\n\r\n{body}", body.len());
    let received = send_raw(address, request.as_bytes()).ok()?;
    parse_response(&received)
}

/// Sends bytes on a new connection and returns everything received until the connection is closed,
/// fails or times out.
pub(crate) fn send_raw(address: SocketAddr, bytes: &[u8]) -> std::io::Result<Vec<u8>> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_read_timeout(Some(WAIT_TIMEOUT))?;
    // A server that rejects the request may close the connection before it has read everything.
    let _ = stream.write_all(bytes);
    let mut received = Vec::new();
    let mut chunk = [0; 4096];
    loop {
        match stream.read(&mut chunk) {
            Ok(0) | Err(_) => return Ok(received),
            Ok(count) => received.extend_from_slice(&chunk[..count]),
        }
    }
}

/// Parses a response whose body may be incomplete; `None` if the head is incomplete or invalid.
pub(crate) fn parse_response(received: &[u8]) -> Option<HttpResponse> {
    let text = String::from_utf8_lossy(received);
    let (head, body) = text.split_once("\r\n\r\n")?;
    let mut lines = head.lines();
    let status = lines.next()?.split(' ').nth(1)?.parse().ok()?;
    let headers = lines
        .filter_map(|line| line.split_once(": "))
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    Some(HttpResponse {
        status,
        headers,
        body: body.to_owned(),
    })
}

/// Polls until the condition holds; panics with its description on time-out.
pub(crate) fn wait_for(condition: &str, mut holds: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !holds() {
        assert!(
            Instant::now() < deadline,
            "timed out waiting until {condition}"
        );
        std::thread::sleep(POLL_INTERVAL);
    }
}

/// A daemon process with the addresses on which it listens.
pub(crate) struct DaemonProcess {
    pub(crate) process: ChildProcess,
    /// The address for callers' requests.
    pub(crate) callers: SocketAddr,
    /// The address for operators' calls.
    pub(crate) operators: SocketAddr,
    /// The address for other entry hosts.
    pub(crate) peers: SocketAddr,
}

impl DaemonProcess {
    pub(crate) fn get(&self, path: &str) -> HttpResponse {
        call(self.callers, "GET", path, &[], "")
    }

    /// Sends a request with an idempotency key; `None` if no complete response head is received.
    pub(crate) fn post_idempotent(
        &self,
        path: &str,
        key: &str,
        caller: &str,
    ) -> Option<HttpResponse> {
        let headers = [("idempotency-key", key), ("x-caller-id", caller)];
        try_call(self.callers, "POST", path, &headers, "{}")
    }

    pub(crate) fn status(&self) -> Value {
        call(self.operators, "GET", "/status", &[], "").json()
    }

    pub(crate) fn is_ready(&self) -> bool {
        try_call(self.operators, "GET", "/ready", &[], "")
            .is_some_and(|response| response.status == 200)
    }

    pub(crate) fn metrics(&self) -> String {
        call(self.operators, "GET", "/metrics", &[], "").body
    }
}

/// A simulated platform, backend servers and daemons, in processes of their own.
pub(crate) struct TestSystem {
    pub(crate) platform_process: ChildProcess,
    /// The address of the platform.
    pub(crate) platform: SocketAddr,
    /// The process that simulates all backend servers.
    pub(crate) backend_process: ChildProcess,
    /// The addresses of the backend servers, by host.
    pub(crate) backends: BTreeMap<String, SocketAddr>,
    pub(crate) daemons: Vec<DaemonProcess>,
    /// The service text given at the start.
    pub(crate) text: String,
    /// The folder of the daemons' settings files.
    pub(crate) folder: tempfile::TempDir,
}

impl TestSystem {
    /// Starts the processes for a service text, with a daemon for each pair of name and data
    /// centre.
    ///
    /// `service_ms` is the time that a backend server takes for a request, in milliseconds.
    pub(crate) fn start(text: &str, service_ms: &str, daemons: &[(&str, &str)]) -> Self {
        let parsed = ServiceText::parse("test", text).unwrap();
        let standin = env!("CARGO_BIN_EXE_zincpier-standin");
        let platform_process = ChildProcess::start(standin, &["platform", "--reboot-ms", "200"], 1);
        let platform = last_address(&platform_process.lines[0]);
        let hosts = zincpier::standin::executor_hosts(&parsed)
            .iter()
            .map(|host| format!("{host}=127.0.0.1:0"))
            .collect::<Vec<_>>();
        let mut arguments = vec!["backend", "--service-ms", service_ms];
        arguments.extend(hosts.iter().map(String::as_str));
        let backend_process = ChildProcess::start(standin, &arguments, hosts.len());
        let backends = backend_process
            .lines
            .iter()
            .map(|line| {
                (
                    line.split(' ').next().unwrap().to_owned(),
                    last_address(line),
                )
            })
            .collect::<BTreeMap<_, _>>();
        for record in zincpier::standin::host_records(&parsed, |host| {
            // The address of a worker's host is not used: workers are called through the platform.
            backends.get(host.as_str()).copied().or(Some(platform))
        }) {
            let body = serde_json::to_string(&record).unwrap();
            assert_eq!(call(platform, "PUT", "/hosts", &[], &body).status, 200);
        }
        let mut system = Self {
            platform_process,
            platform,
            backend_process,
            backends,
            daemons: Vec::new(),
            text: text.to_owned(),
            folder: tempfile::tempdir().unwrap(),
        };
        for (name, data_centre) in daemons {
            let daemon = system.start_daemon(name, data_centre, &[]);
            system.daemons.push(daemon);
        }
        system
    }

    /// Starts a system, applies its service text and waits until all daemons use it.
    pub(crate) fn start_ready(text: &str, service_ms: &str, daemons: &[(&str, &str)]) -> Self {
        let system = Self::start(text, service_ms, daemons);
        system.apply(text, 0);
        system.wait_ready();
        system
    }

    /// Starts a daemon that polls the platform every 300 ms and contacts `known_peers`, the peer
    /// addresses of other daemons, at its start.
    pub(crate) fn start_daemon(
        &self,
        name: &str,
        data_centre: &str,
        known_peers: &[SocketAddr],
    ) -> DaemonProcess {
        let quoted_peers = known_peers
            .iter()
            .map(|peer| format!("{:?}", peer.to_string()));
        let quoted_peers = quoted_peers.collect::<Vec<_>>().join(", ");
        let extra_settings =
            format!("peers = \"127.0.0.1:0\"\npoll_ms = 300\nknown_peers = [{quoted_peers}]\n");
        self.start_daemon_with(name, data_centre, self.platform, &extra_settings)
    }

    /// Starts a daemon that calls the platform at `platform`; `extra_settings` are TOML lines.
    pub(crate) fn start_daemon_with(
        &self,
        name: &str,
        data_centre: &str,
        platform: SocketAddr,
        extra_settings: &str,
    ) -> DaemonProcess {
        let path = self.folder.path().join(format!("{name}.toml"));
        let settings = format!(
            "name = {name:?}\ndata_centre = {data_centre:?}\nplatform = \"{platform}\"\n\
             callers = \"127.0.0.1:0\"\noperators = \"127.0.0.1:0\"\n\
             operator_token = {TOKEN:?}\nnotice_ms = 100\n{extra_settings}"
        );
        std::fs::write(&path, settings).unwrap();
        let arguments = [path.to_str().unwrap()];
        let log = self.folder.path().join(format!("{name}.log"));
        let log = File::options().append(true).create(true).open(log).unwrap();
        let program = env!("CARGO_BIN_EXE_zincpierd");
        let process = ChildProcess::start_with_log(program, &arguments, 1, log.into());
        let address = |role: &str| {
            let line = &process.lines[0];
            let start = line.find(&format!("{role}=")).unwrap() + role.len() + 1;
            line[start..].split(' ').next().unwrap().parse().unwrap()
        };
        DaemonProcess {
            callers: address("callers"),
            operators: address("operators"),
            peers: address("peers"),
            process,
        }
    }

    /// Applies a service text; `replaces` is the revision that must be in force, 0 for none.
    pub(crate) fn apply(&self, text: &str, replaces: u64) -> HttpResponse {
        let replaces = replaces.to_string();
        let headers = [
            ("zincpier-token", TOKEN),
            ("zincpier-replaces", replaces.as_str()),
            ("zincpier-who", "tester"),
        ];
        call(self.daemons[0].operators, "POST", "/text", &headers, text)
    }

    /// Waits until every daemon is a ready member and serves every service.
    pub(crate) fn wait_ready(&self) {
        wait_for("all daemons are members", || {
            self.daemons.iter().all(|daemon| {
                daemon.is_ready()
                    && daemon.status()["entries"].as_array().unwrap().len() == self.daemons.len()
            })
        });
        // Slot shares are assigned only once all members have received each other's heartbeats.
        let parsed = ServiceText::parse("test", &self.text).unwrap();
        for service in parsed.services.values() {
            wait_for("every daemon serves every service", || {
                self.daemons
                    .iter()
                    .all(|daemon| daemon.get(&service.path).status == 200)
            });
        }
    }

    pub(crate) fn set_platform_faults(&self, faults: &Value) {
        let response = call(self.platform, "POST", "/faults", &[], &faults.to_string());
        assert_eq!(response.status, 200);
    }

    pub(crate) fn set_backend_faults(&self, host: &str, faults: &Value) {
        let response = call(
            self.backends[host],
            "POST",
            "/-/faults",
            &[],
            &faults.to_string(),
        );
        assert_eq!(response.status, 200);
    }

    pub(crate) fn set_host_state(&self, host: &str, state: &str) {
        let body = json!({ "state": state }).to_string();
        let response = call(
            self.platform,
            "PUT",
            &format!("/hosts/{host}/state"),
            &[],
            &body,
        );
        assert_eq!(response.status, 200);
    }

    pub(crate) fn stats(&self, host: &str) -> Value {
        call(self.backends[host], "GET", "/-/stats", &[], "").json()
    }

    /// Counts the executions on all backend servers, by the caller id of the request.
    pub(crate) fn runs(&self) -> BTreeMap<String, usize> {
        let mut runs = BTreeMap::new();
        for host in self.backends.keys() {
            for id in self.stats(host)["executions"].as_array().unwrap() {
                *runs.entry(id.as_str().unwrap().to_owned()).or_default() += 1;
            }
        }
        runs
    }

    /// Runs the operators' command-line tool.
    pub(crate) fn run_cli(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_zincpier"))
            .args(arguments)
            .env("ZINCPIER_TOKEN", TOKEN)
            .env("USER", "tester")
            .output()
            .unwrap()
    }
}

impl Drop for TestSystem {
    /// Prints the log of each daemon if the test has failed.
    fn drop(&mut self) {
        if !std::thread::panicking() {
            return;
        }
        let files = std::fs::read_dir(self.folder.path()).into_iter().flatten();
        let paths = files.flatten().map(|file| file.path());
        let logs = paths.filter(|path| path.extension().is_some_and(|suffix| suffix == "log"));
        for path in logs {
            let log = std::fs::read(&path).unwrap_or_default();
            let log = String::from_utf8_lossy(&log);
            eprintln!("log of {}:\n{log}", path.display());
        }
    }
}

/// Parses the address at the end of a line that a stand-in prints.
fn last_address(line: &str) -> SocketAddr {
    line.split(' ').next_back().unwrap().parse().unwrap()
}

/// Returns a service text with one service on four hosts in two data centres.
pub(crate) fn small_text() -> String {
    let rest = r#"[[services]]
name = "notices"
path = "/notices"
availability = "99.9"
at_most_once = ["/notices/bills"]
urgent = ["/notices/red-tags"]

[[racks]]
name = "east-r1"
data_centre = "east"
hosts = ["e1", "e2"]

[[racks]]
name = "west-r1"
data_centre = "west"
hosts = ["w1", "w2"]

[[pools]]
name = "notices-executors"
service = "notices"
role = "executor"
needed = 2
hosts = ["e1", "e2", "w1", "w2"]
"#;
    format!("{TWO_DATA_CENTRES}{rest}")
}

/// Returns a service text with two services on ten hosts in four racks.
pub(crate) fn wave_text() -> String {
    let rest = r#"[[services]]
name = "notices"
path = "/notices"
availability = "99.9"
depends_on = ["digests"]
at_most_once = ["/notices/bills"]

[[services]]
name = "digests"
path = "/digests"
availability = "99.5"

[[racks]]
name = "east-r1"
data_centre = "east"
hosts = ["e1", "e2", "d1"]

[[racks]]
name = "east-r2"
data_centre = "east"
hosts = ["e3", "e4"]

[[racks]]
name = "west-r1"
data_centre = "west"
hosts = ["w1", "w2", "d2"]

[[racks]]
name = "west-r2"
data_centre = "west"
hosts = ["w3", "w4"]

[[pools]]
name = "notices-pool"
service = "notices"
role = "executor"
needed = 4
hosts = ["e1", "e2", "e3", "e4", "w1", "w2", "w3", "w4"]

[[pools]]
name = "digests-pool"
service = "digests"
role = "executor"
needed = 1
hosts = ["d1", "d2"]
"#;
    format!("{TWO_DATA_CENTRES}{rest}")
}

/// Returns a service text with a pool of four workers, each in a rack of its own, and two teams.
pub(crate) fn worker_text() -> String {
    let racks = (1..=4).map(|number| {
        format!(
            "[[racks]]\nname = \"k{number}\"\ndata_centre = \"east\"\nhosts = [\"k{number}\"]\n"
        )
    });
    let pool = "[[pools]]\nname = \"workers\"\nservice = \"notices\"\nrole = \"worker\"\n\
                needed = 2\ncores = 4\nmemory_gb = 8\nhosts = [\"k1\", \"k2\", \"k3\", \"k4\"]\n";
    let teams = ["bays", "digests"]
        .map(|team| format!("[[teams]]\nname = \"{team}\"\nquota = \"8/16384/0\"\n"));
    let racks = racks.collect::<String>();
    format!("{}{racks}{pool}{}", small_text(), teams.concat())
}
