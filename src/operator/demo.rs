//! Demonstration that runs a simulated platform, backend servers and three daemons in one process.

use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::thread;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use monoio::time::sleep;
use monoio::time::Instant;
use serde::Serialize;
use serde_json::json;

use crate::connection::HttpClient;
use crate::error::Error;
use crate::error::Result;
use crate::id::HostId;
use crate::id::PoolId;
use crate::id::Revision;
use crate::operator::LoadPlan;
use crate::operator::LoadReport;
use crate::operator::OperatorClient;
use crate::process::Daemon;
use crate::process::DaemonAddresses;
use crate::process::DaemonSettings;
use crate::process::ShutdownSignal;
use crate::standin::BackendStats;
use crate::standin::FleetSettings;
use crate::standin::LocalFleet;
use crate::version::PoolRole;
use crate::version::ServiceText;
use crate::wave::WaveRecord;
use crate::wave::WaveState;

const DEMO_TOKEN: &str = "demonstration";
const DAEMON_COUNT: usize = 3;
const REQUESTS_PER_SECOND: f64 = 300.0;
/// Time limit for the daemons to become ready, and for each call to a stand-in.
const READY_TIMEOUT: Duration = Duration::from_secs(10);
const WAVE_TIMEOUT: Duration = Duration::from_secs(60);
/// Interval between requests for the state of a daemon or a wave.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Time within which a host that the platform reports as leaving must stop receiving new requests.
const LEAVING_GRACE: Duration = Duration::from_secs(3);
/// Half of the time that the slot shares have to grow once the daemons are ready.
const HALF_SLOT_SHARE_WAIT: Duration = Duration::from_millis(500);

/// Results of the demonstration.
#[derive(Clone, Debug)]
pub struct DemoReport {
    /// Results of the requests that may be repeated.
    pub reads: LoadReport,
    /// Results of the requests that must run at most once.
    pub writes: LoadReport,
    /// Time until a new service text was in force on every entry host.
    pub text_rollout_time: Duration,
    /// Duration of a wave over the pool that runs the requests.
    pub wave_duration: Duration,
    /// Number of hosts that the wave restarted.
    pub wave_hosts: usize,
    /// Requests that a leaving host received more than 3 s after the platform reported it as
    /// leaving.
    pub late_requests: usize,
    /// At-most-once requests that ran more than once.
    pub repeated_requests: usize,
}

impl DemoReport {
    /// Whether every request got its complete answer, no at-most-once request ran more than once
    /// and `late_requests` is 0.
    pub fn has_passed(&self) -> bool {
        let is_complete = |load: &LoadReport| load.sent() == load.count("ok");
        is_complete(&self.reads)
            && is_complete(&self.writes)
            && self.repeated_requests == 0
            && self.late_requests == 0
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "requests that may be repeated")?;
        writeln!(formatter, "{}", self.reads)?;
        writeln!(formatter, "requests that must run at most once")?;
        writeln!(formatter, "{}", self.writes)?;
        writeln!(
            formatter,
            "text change in force everywhere after {} ms",
            self.text_rollout_time.as_millis()
        )?;
        writeln!(
            formatter,
            "wave over {} hosts finished after {:.1} s",
            self.wave_hosts,
            self.wave_duration.as_secs_f64()
        )?;
        writeln!(formatter, "requests run twice: {}", self.repeated_requests)?;
        write!(
            formatter,
            "late requests to the leaving host: {}",
            self.late_requests
        )
    }
}

/// A daemon that runs in a thread of this process.
struct DaemonThread {
    addresses: DaemonAddresses,
    shutdown: ShutdownSignal,
    thread: thread::JoinHandle<Result<()>>,
}

/// Runs the demonstration on the deployment described by the service text `source`, under load for
/// `duration`.
///
/// # Errors
///
/// Returns an error if a component cannot be started, does not answer or is not ready in time.
pub async fn run_demo(source: &str, duration: Duration) -> Result<DemoReport> {
    let text = ServiceText::parse("demonstration", source)?;
    let fleet = LocalFleet::start(&text, FleetSettings::default())?;
    let daemons = start_daemons(&text, &fleet)?;
    let clients = daemons
        .iter()
        .map(|daemon| {
            OperatorClient::new(daemon.addresses.operators).with_token(DEMO_TOKEN, "demo")
        })
        .collect::<Vec<_>>();
    clients[0].apply_text(source, Revision::new(0)).await?;
    wait_until_ready(&clients).await?;
    let report = run_scenario(&text, &fleet, &daemons, &clients, duration, source).await;
    daemons
        .iter()
        .for_each(|daemon| daemon.shutdown.give_notice());
    for daemon in daemons {
        let join_result = daemon.thread.join();
        join_result.map_err(|_| demo_error("a daemon thread panicked"))??;
    }
    report
}

fn start_daemons(text: &ServiceText, fleet: &LocalFleet) -> Result<Vec<DaemonThread>> {
    let data_centres = text.data_centres.keys().cycle();
    data_centres
        .take(DAEMON_COUNT)
        .enumerate()
        .map(|(number, data_centre)| {
            let name = format!("entry-{}", number + 1);
            let name = name
                .parse()
                .map_err(|_| demo_error("invalid entry host name"))?;
            let platform = fleet.platform;
            let mut settings =
                DaemonSettings::on_loopback(name, data_centre.clone(), platform, DEMO_TOKEN);
            settings.notice = Duration::ZERO;
            settings.poll = Duration::from_millis(500);
            let daemon = Daemon::new(settings)?;
            Ok(DaemonThread {
                addresses: daemon.addresses(),
                shutdown: daemon.shutdown(),
                thread: thread::spawn(move || daemon.run()),
            })
        })
        .collect()
}

async fn wait_until_ready(clients: &[OperatorClient]) -> Result<()> {
    let deadline = Instant::now() + READY_TIMEOUT;
    while Instant::now() < deadline {
        let mut ready = 0;
        for client in clients {
            let status = client.status().await;
            let is_ready =
                status.is_ok_and(|status| status.ready && status.entries.len() == clients.len());
            ready += usize::from(is_ready);
        }
        if ready == clients.len() {
            // A slot share grows only after the other entry hosts of the data centre have reported
            // that they do not exceed their shares in the new member set.
            sleep(HALF_SLOT_SHARE_WAIT * 2).await;
            return Ok(());
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(demo_error("the daemons did not become ready within 10 s"))
}

/// Sends both loads and, while they run, rolls out a text revision, runs a wave over the executor
/// pool and has one of its hosts leave.
async fn run_scenario(
    text: &ServiceText,
    fleet: &LocalFleet,
    daemons: &[DaemonThread],
    clients: &[OperatorClient],
    duration: Duration,
    source: &str,
) -> Result<DemoReport> {
    let targets = daemons
        .iter()
        .map(|daemon| daemon.addresses.callers)
        .collect::<Vec<_>>();
    let service = text
        .services
        .values()
        .find(|service| !service.at_most_once.is_empty());
    let service = service.ok_or_else(|| demo_error("no service has at-most-once requests"))?;
    let reads = LoadPlan::new(
        targets.clone(),
        &service.path,
        REQUESTS_PER_SECOND,
        duration,
    );
    let write_path = &service.at_most_once[0];
    let writes = LoadPlan::new(targets, write_path, REQUESTS_PER_SECOND / 2.0, duration)
        .with_keys()
        .with_seed(2);
    let reads = monoio::spawn(async move { reads.run().await });
    let writes = monoio::spawn(async move { writes.run().await });
    sleep(duration / 4).await;
    let text_rollout_time = measure_text_rollout(clients, source).await?;
    let pool = text
        .pools
        .values()
        .find(|pool| pool.service == service.id && pool.role == PoolRole::Executor);
    let pool = pool.ok_or_else(|| demo_error("the service has no executor pool"))?;
    let (wave_duration, wave_hosts) = run_wave(&clients[0], &pool.id).await?;
    let leaving_host = pool.hosts.first();
    let leaving_host = leaving_host.ok_or_else(|| demo_error("the executor pool has no host"))?;
    let late_requests = drain_leaving_host(fleet, leaving_host, duration).await?;
    let (reads, writes) = (reads.await, writes.await);
    Ok(DemoReport {
        reads,
        writes,
        text_rollout_time,
        wave_duration,
        wave_hosts,
        late_requests,
        repeated_requests: count_repeated_requests(fleet).await?,
    })
}

/// Applies the unchanged text as a new revision and returns the time until that revision is in
/// force on every entry host.
async fn measure_text_rollout(clients: &[OperatorClient], source: &str) -> Result<Duration> {
    let (latest_revision, _) = clients[0].text().await?;
    let started = Instant::now();
    let revision = clients[0].apply_text(source, latest_revision).await?;
    for client in clients {
        while client.status().await?.text_in_force < revision {
            sleep(POLL_INTERVAL).await;
        }
    }
    Ok(started.elapsed())
}

/// Runs a wave over a pool and returns its duration and the number of hosts it restarted.
async fn run_wave(client: &OperatorClient, pool: &PoolId) -> Result<(Duration, usize)> {
    let started = Instant::now();
    let request_body = json!({ "scope": format!("pool:{pool}") });
    let wave = client
        .post::<WaveRecord>("/wave/start", &request_body)
        .await?;
    while started.elapsed() < WAVE_TIMEOUT {
        let waves = client.get::<Vec<WaveRecord>>("/waves").await?;
        let current = waves.into_iter().find(|current| current.id == wave.id);
        if let Some(current) = current.filter(|current| current.state == WaveState::Finished) {
            return Ok((started.elapsed(), current.done.len()));
        }
        sleep(POLL_INTERVAL).await;
    }
    Err(demo_error("the wave did not finish within 60 s"))
}

/// Makes the platform report a host as leaving and returns the number of requests that the host
/// receives in the quarter of `duration` that follows the grace period.
async fn drain_leaving_host(
    fleet: &LocalFleet,
    host: &HostId,
    duration: Duration,
) -> Result<usize> {
    let platform = HttpClient::new(fleet.platform);
    let body = json!({ "state": "leaving" });
    let path = format!("/hosts/{host}/state");
    call(&platform, Method::PUT, &path, &body).await?;
    sleep(LEAVING_GRACE).await;
    let before = backend_stats(fleet, host).await?.executions.len();
    sleep(duration / 4).await;
    let after = backend_stats(fleet, host).await?.executions.len();
    Ok(after - before)
}

async fn count_repeated_requests(fleet: &LocalFleet) -> Result<usize> {
    let mut runs = BTreeMap::<String, usize>::new();
    for host in fleet.backends.keys() {
        for id in backend_stats(fleet, host).await?.executions {
            *runs.entry(id).or_default() += 1;
        }
    }
    // The at-most-once load has seed 2, which prefixes its request ids.
    let is_at_most_once = |id: &String| id.starts_with("2-");
    Ok(runs
        .iter()
        .filter(|(id, count)| is_at_most_once(id) && **count > 1)
        .count())
}

async fn backend_stats(fleet: &LocalFleet, host: &HostId) -> Result<BackendStats> {
    let address = fleet.backends.get(host).copied();
    // A host without a backend server gets port 0, which makes the call fail.
    let address = address.unwrap_or(SocketAddr::from(([127, 0, 0, 1], 0)));
    let server = HttpClient::new(address);
    let answer = call(&server, Method::GET, "/-/stats", &json!(null)).await?;
    serde_json::from_slice(&answer).map_err(|error| demo_error(&error.to_string()))
}

async fn call(
    client: &HttpClient,
    method: Method,
    path: &str,
    body: &impl Serialize,
) -> Result<Bytes> {
    let body = serde_json::to_vec(body).unwrap_or_default();
    let mut request = Request::new(Bytes::from(body));
    *request.method_mut() = method;
    *request.uri_mut() = path
        .parse()
        .map_err(|_| demo_error("invalid request path"))?;
    let answer = client.send(request, READY_TIMEOUT).await;
    let answer = answer.map_err(|error| demo_error(&error.to_string()))?;
    Ok(answer.into_body())
}

fn demo_error(reason: &str) -> Error {
    Error::Exchange {
        address: "demonstration".to_owned(),
        reason: reason.to_owned(),
    }
}
