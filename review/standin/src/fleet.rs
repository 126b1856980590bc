//! A platform of stand-ins with entry hosts as processes, and the record of what was seen.

use std::collections::BTreeSet;
use std::fs;
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
use std::sync::Arc;
use std::sync::Mutex;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use http::Method;
use platform_standin::Caller;
use platform_standin::PlatformSimulator;
use serde_json::json;
use serde_json::Value;

use crate::store_proxy::StoreProxy;
use crate::world::World;

/// The program that `deploy/system.toml` names, from the root of the repository.
const ENTRY_PROGRAM: &str = "target/release/zincpier-entry";

/// The time after which a case that has not ended counts as one that can't run.
const CASE_LIMIT: Duration = Duration::from_secs(112);

/// Lines of what was sent, answered and run, with the time since the start in ms.
#[derive(Clone)]
pub struct Record {
    file: Arc<Mutex<File>>,
    started: Instant,
}

impl Record {
    /// Creates the record at `path`.
    pub fn create(path: &Path) -> io::Result<Self> {
        let file = File::create(path)?;
        Ok(Self {
            file: Arc::new(Mutex::new(file)),
            started: Instant::now(),
        })
    }

    /// Returns the time since the start, in ms.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap();
        writeln!(file, "{:>7} {text}", self.now_ms()).unwrap();
    }

    /// Adds a line and prints it.
    pub fn say(&self, text: &str) {
        println!("{:>7} {text}", self.now_ms());
        self.line(text);
    }
}

/// An entry host's process, which is killed on drop.
pub struct EntryHost {
    pub name: String,
    pub callers: SocketAddr,
    readiness: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Arc<Mutex<Option<Child>>>,
}

impl EntryHost {
    /// Starts the process with the settings of `deploy/entry.toml`.
    pub fn start(
        directory: &Path,
        number: u8,
        table: SocketAddr,
        hosts: SocketAddr,
    ) -> io::Result<Self> {
        let ports = listening_addresses(number);
        let name = format!("edge-{number}");
        let settings = directory.join(format!("{name}.toml"));
        let text = format!(
            "name = \"{name}\"\ndata_centre = \"hall-a\"\ncallers = \"{}\"\nreadiness = \"{}\"\n\
             metrics = \"{}\"\ncarriers = \"{}\"\ntable = \"{table}\"\nhosts = \"{hosts}\"\n\
             processor_share = 0.25\nlink_mbps = 1000.0\nconfig_ms = 2000\nrow_bytes = 65536\n",
            ports[0], ports[1], ports[2], ports[3]
        );
        fs::write(&settings, text)?;
        let host = Self {
            name: name.clone(),
            callers: ports[0],
            readiness: ports[1],
            settings,
            log: directory.join(format!("{name}.log")),
            child: Arc::default(),
        };
        host.spawn()?;
        Ok(host)
    }

    /// Starts the process anew, after it has ended.
    pub fn spawn(&self) -> io::Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(ENTRY_PROGRAM)
            .env_clear()
            .env("ZINCPIER_BOOT", &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        *self.child.lock().unwrap() = Some(child);
        Ok(())
    }

    /// Returns the process id; 0 without a process.
    pub fn id(&self) -> u32 {
        self.child.lock().unwrap().as_ref().map_or(0, Child::id)
    }

    /// Kills the process.
    pub fn kill(&self) {
        if let Some(mut child) = self.child.lock().unwrap().take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Returns whether the readiness check succeeds.
    pub fn is_ready(&self) -> bool {
        let response =
            Caller::new("ready").send(self.readiness, Method::GET, "/v1/readyz", &Value::Null);
        response.is_ok_and(|response| response.status == 200)
    }
}

impl Drop for EntryHost {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The platform, the entry hosts and the record of one case.
pub struct Fleet {
    pub platform: Arc<PlatformSimulator>,
    pub world: World,
    /// Through which the entry hosts reach the store.
    pub store: StoreProxy,
    pub entries: Vec<EntryHost>,
    pub record: Record,
}

impl Fleet {
    /// Starts a platform with machines of `service`, each with this CPU, and the configuration `config`, and
    /// three entry hosts, and waits until these are ready.
    pub fn start(
        directory: &Path,
        record: &Record,
        (service, machines): (&str, &[u64]),
        config: &Value,
    ) -> io::Result<Self> {
        let platform = Arc::new(PlatformSimulator::start(&[])?);
        let world = World::start(&platform, record, service, machines)?;
        let store = StoreProxy::start(platform.table(), record)?;
        let mut fleet = Self {
            platform,
            world,
            store,
            entries: Vec::new(),
            record: record.clone(),
        };
        fleet.write_config(config);
        for number in 1..=3 {
            let (table, hosts) = (fleet.store.server.address, fleet.world.cloud.address);
            let entry = EntryHost::start(directory, number, table, hosts)?;
            fleet.entries.push(entry);
        }
        fleet.watch_time();
        fleet.wait_until("all entry hosts are ready", 20_000, |fleet| {
            fleet.entries.iter().all(EntryHost::is_ready)
        });
        fleet.wait_until("an entry host holds the lease", 20_000, |fleet| {
            fleet.platform.state().lease_holder().is_some()
        });
        fleet.record.line("ready");
        Ok(fleet)
    }

    /// Writes a version of the config, as the operator does.
    pub fn write_config(&self, config: &Value) {
        let mut state = self.platform.state();
        state.write_row("op", "config", config.to_string().as_bytes());
        drop(state);
        self.record
            .line(&format!("config {} is acknowledged", config["version"]));
    }

    /// Kills all processes and ends the case as one that can't run once its time is over.
    fn watch_time(&self) {
        let children: Vec<_> = self
            .entries
            .iter()
            .map(|entry| Arc::clone(&entry.child))
            .collect();
        let record = self.record.clone();
        std::thread::spawn(move || {
            sleep(CASE_LIMIT);
            record.say("the case takes too long");
            for child in children {
                if let Some(child) = child.lock().unwrap().as_mut() {
                    let _ = child.kill();
                }
            }
            std::process::exit(2);
        });
    }

    /// Waits until `condition` is true; ends the case as one that can't run if it doesn't come true.
    pub fn wait_until(&self, what: &str, limit_ms: u64, mut condition: impl FnMut(&Self) -> bool) {
        let deadline = Instant::now() + Duration::from_millis(limit_ms);
        while Instant::now() < deadline {
            if condition(self) {
                return;
            }
            sleep(Duration::from_millis(20));
        }
        self.fail(&format!("not seen: {what}"));
    }

    /// Ends the case as one that can't run.
    pub fn fail(&self, reason: &str) -> ! {
        self.record.say(&format!("can't run: {reason}"));
        self.entries.iter().for_each(EntryHost::kill);
        std::process::exit(2);
    }

    /// Sends a request to an entry host, and records it with its answer. The status is 0 without a response.
    pub fn call(
        &self,
        entry: usize,
        host: &str,
        method: Method,
        path: &str,
        body: &Value,
    ) -> (u16, Value) {
        let address = self.entries[entry].callers;
        let sent = self.record.now_ms();
        let answer = Caller::new(host).send(address, method.clone(), path, body);
        let (status, answer) = match answer {
            Ok(answer) => (answer.status, answer.body),
            Err(_) => (0, Value::Null),
        };
        self.record.line(&format!(
            "call {method} {path} entry={} sent={sent} status={status} answer={answer}",
            entry + 1
        ));
        (status, answer)
    }

    /// Returns the tasks of a job that have ever been started, by any executor.
    pub fn started_tasks(&self, job: &str) -> BTreeSet<String> {
        let state = self.world.state();
        let tasks = state.runs_of(job).map(|run| run.task.clone());
        tasks.collect()
    }

    /// Returns the largest share of the CPU in use, in percent, within `time_ms` from now, and those of `jobs`
    /// for which `is_stuck` was true all the while.
    pub fn watch(
        &self,
        time_ms: u64,
        jobs: &[String],
        is_stuck: impl Fn(&Self, &str) -> bool,
    ) -> (u64, Vec<String>) {
        let mut stuck = jobs.to_vec();
        let mut most_used = 0;
        let until_ms = self.record.now_ms() + time_ms;
        while self.record.now_ms() < until_ms {
            stuck.retain(|id| is_stuck(self, id));
            let (used, all) = self.world.state().cpu();
            most_used = most_used.max(used * 100 / all.max(1));
            sleep(Duration::from_millis(50));
        }
        (most_used, stuck)
    }

    /// Asks for the state of each job, and counts those that are shown in `state`.
    pub fn count_shown(&self, host: &str, prefix: &str, jobs: &[String], state: &str) -> usize {
        let shown = jobs.iter().enumerate().filter(|(number, id)| {
            let path = format!("{prefix}{id}");
            let entry = number % self.entries.len();
            let (_, answer) = self.call(entry, host, Method::GET, &path, &Value::Null);
            answer["state"] == state
        });
        shown.count()
    }
}

/// Returns a config with one service and these routes: name, prefix, priority and time-out.
pub fn config(version: u64, service: &str, host: &str, routes: &[(&str, &str, u32, u64)]) -> Value {
    let routes = routes.iter().map(|(name, prefix, priority, timeout_ms)| {
        json!({
            "name": name, "host": host, "prefix": prefix, "type": "mutating", "timeout-ms": timeout_ms,
            "slo-ms": 600, "priority": priority, "service": service, "attempts": 4, "stretch": 1.6,
        })
    });
    json!({
        "version": version,
        "routes": routes.collect::<Vec<_>>(),
        "services": [{
            "name": service, "health-path": "/healthz", "max-conns": 64, "rejects-overload": true,
            "standby": false,
        }],
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 262_144, "header-timeout-ms": 1_000,
            "idle-timeout-ms": 15_000,
        },
    })
}

/// Returns the listening addresses of an entry host, on a loopback address of its own. It contains the low bytes of
/// the process id, so that cases that run at the same time don't collide.
fn listening_addresses(number: u8) -> [SocketAddr; 4] {
    let [.., high, low] = std::process::id().to_be_bytes();
    let address = Ipv4Addr::new(127, high.wrapping_add(1), low, number);
    [7_101, 7_102, 7_103, 7_104].map(|port| SocketAddr::from((address, port)))
}
