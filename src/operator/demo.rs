//! The demonstration: platform, backend servers and three daemons in one process.

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

const TOKEN: &str = "demonstration";
const DAEMONS: usize = 3;
const RATE: f64 = 300.0;
const READY_TIME: Duration = Duration::from_secs(10);
const WAVE_TIME: Duration = Duration::from_secs(60);
const POLL: Duration = Duration::from_millis(20);
/// The time from the platform's word that a host leaves until it gets no new work.
const LEAVING_TIME: Duration = Duration::from_secs(3);
const SETTLE_TIME: Duration = Duration::from_millis(500);

/// What the demonstration has shown.
#[derive(Clone, Debug)]
pub struct DemoReport {
    /// The load of requests that may be repeated.
    pub reads: LoadReport,
    /// The load of requests that must run at most once.
    pub writes: LoadReport,
    /// How long a change of the text took to be in force everywhere.
    pub text_time: Duration,
    /// How long a wave over the pool under load took, and how many hosts it restarted.
    pub wave_time: Duration,
    /// The hosts that the wave has restarted.
    pub wave_hosts: usize,
    /// The requests that a leaving host got more than 3 s after the word.
    pub late_work: usize,
    /// The requests that ran twice although they must not.
    pub doubled: usize,
}

impl DemoReport {
    /// Tells whether every request was answered whole, and none that must not be repeated ran twice.
    pub fn is_sound(&self) -> bool {
        let whole = |load: &LoadReport| load.sent() == load.count("ok");
        whole(&self.reads) && whole(&self.writes) && self.doubled == 0 && self.late_work == 0
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
            self.text_time.as_millis()
        )?;
        writeln!(
            formatter,
            "wave over {} hosts finished after {:.1} s",
            self.wave_hosts,
            self.wave_time.as_secs_f64()
        )?;
        writeln!(formatter, "requests run twice: {}", self.doubled)?;
        write!(
            formatter,
            "late work for the leaving host: {}",
            self.late_work
        )
    }
}

/// A daemon that runs as a thread.
struct DaemonThread {
    addresses: DaemonAddresses,
    shutdown: ShutdownSignal,
    thread: thread::JoinHandle<Result<()>>,
}

/// Runs the demonstration on the deployment of `text`, with loads of `time`.
///
/// # Errors
///
/// Returns an error if something cannot be started or does not answer.
pub async fn run_demo(source: &str, time: Duration) -> Result<DemoReport> {
    let text = ServiceText::parse("demonstration", source)?;
    let fleet = LocalFleet::start(&text, FleetSettings::default())?;
    let daemons = start_daemons(&text, &fleet)?;
    let operators = daemons
        .iter()
        .map(|daemon| OperatorClient::new(daemon.addresses.operators).with_token(TOKEN, "demo"))
        .collect::<Vec<_>>();
    operators[0].apply_text(source, Revision::new(0)).await?;
    wait_until_ready(&operators).await?;
    let report = run_load(&text, &fleet, &daemons, &operators, time, source).await;
    daemons
        .iter()
        .for_each(|daemon| daemon.shutdown.give_notice());
    for daemon in daemons {
        let ended = daemon.thread.join();
        ended.map_err(|_| demo_error("a daemon panicked"))??;
    }
    report
}

fn start_daemons(text: &ServiceText, fleet: &LocalFleet) -> Result<Vec<DaemonThread>> {
    let data_centres = text.data_centres.keys().cycle();
    data_centres
        .take(DAEMONS)
        .enumerate()
        .map(|(number, data_centre)| {
            let name = format!("entry-{}", number + 1);
            let name = name.parse().map_err(|_| demo_error("a name"))?;
            let platform = fleet.platform;
            let mut settings =
                DaemonSettings::on_loopback(name, data_centre.clone(), platform, TOKEN);
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

async fn wait_until_ready(operators: &[OperatorClient]) -> Result<()> {
    let deadline = Instant::now() + READY_TIME;
    while Instant::now() < deadline {
        let mut ready = 0;
        for operator in operators {
            let status = operator.status().await;
            let known =
                status.is_ok_and(|status| status.ready && status.entries.len() == operators.len());
            ready += usize::from(known);
        }
        if ready == operators.len() {
            // Slot shares grow once all have heard each other.
            sleep(SETTLE_TIME * 2).await;
            return Ok(());
        }
        sleep(POLL).await;
    }
    Err(demo_error("the daemons are not ready in time"))
}

async fn run_load(
    text: &ServiceText,
    fleet: &LocalFleet,
    daemons: &[DaemonThread],
    operators: &[OperatorClient],
    time: Duration,
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
    let service = service.ok_or_else(|| demo_error("no service has requests for once"))?;
    let reads = LoadPlan::new(targets.clone(), &service.path, RATE, time);
    let once = &service.at_most_once[0];
    let writes = LoadPlan::new(targets, once, RATE / 2.0, time)
        .with_keys()
        .with_seed(2);
    let reads = monoio::spawn(async move { reads.run().await });
    let writes = monoio::spawn(async move { writes.run().await });
    sleep(time / 4).await;
    let text_time = change_text(operators, source).await?;
    let pool = text
        .pools
        .values()
        .find(|pool| pool.service == service.id && pool.role == PoolRole::Executor);
    let pool = pool.ok_or_else(|| demo_error("the service has no backend servers"))?;
    let (wave_time, wave_hosts) = run_wave(&operators[0], &pool.id).await?;
    let leaving = pool.hosts.first();
    let leaving = leaving.ok_or_else(|| demo_error("the service has no host"))?;
    let late_work = leave(fleet, leaving, time).await?;
    let (reads, writes) = (reads.await, writes.await);
    Ok(DemoReport {
        reads,
        writes,
        text_time,
        wave_time,
        wave_hosts,
        late_work,
        doubled: count_doubled(fleet).await?,
    })
}

/// Applies the text again and returns how long it took to be in force everywhere.
async fn change_text(operators: &[OperatorClient], source: &str) -> Result<Duration> {
    let (held, _) = operators[0].text().await?;
    let started = Instant::now();
    let revision = operators[0].apply_text(source, held).await?;
    for operator in operators {
        while operator.status().await?.text_in_force < revision {
            sleep(POLL).await;
        }
    }
    Ok(started.elapsed())
}

/// Runs a wave over a pool and returns how long it took and how many hosts it restarted.
async fn run_wave(operator: &OperatorClient, pool: &PoolId) -> Result<(Duration, usize)> {
    let started = Instant::now();
    let order = json!({ "scope": format!("pool:{pool}") });
    let wave = operator.post::<WaveRecord>("/wave/start", &order).await?;
    while started.elapsed() < WAVE_TIME {
        let waves = operator.get::<Vec<WaveRecord>>("/waves").await?;
        let held = waves.into_iter().find(|held| held.id == wave.id);
        if let Some(held) = held.filter(|held| held.state == WaveState::Finished) {
            return Ok((started.elapsed(), held.done.len()));
        }
        sleep(POLL).await;
    }
    Err(demo_error("the wave is not finished in time"))
}

/// Lets the platform say that a host leaves, and counts the work it gets too late.
async fn leave(fleet: &LocalFleet, host: &HostId, time: Duration) -> Result<usize> {
    let platform = HttpClient::new(fleet.platform);
    let body = json!({ "state": "leaving" });
    let path = format!("/hosts/{host}/state");
    call(&platform, Method::PUT, &path, &body).await?;
    sleep(LEAVING_TIME).await;
    let before = stats(fleet, host).await?.executions.len();
    sleep(time / 4).await;
    let after = stats(fleet, host).await?.executions.len();
    Ok(after - before)
}

async fn count_doubled(fleet: &LocalFleet) -> Result<usize> {
    let mut runs = BTreeMap::<String, usize>::new();
    for host in fleet.backends.keys() {
        for id in stats(fleet, host).await?.executions {
            *runs.entry(id).or_default() += 1;
        }
    }
    let keyed = |id: &String| id.starts_with("2-");
    Ok(runs
        .iter()
        .filter(|(id, count)| keyed(id) && **count > 1)
        .count())
}

async fn stats(fleet: &LocalFleet, host: &HostId) -> Result<BackendStats> {
    let address = fleet.backends.get(host).copied();
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
    *request.uri_mut() = path.parse().map_err(|_| demo_error("a path"))?;
    let answer = client.send(request, READY_TIME).await;
    let answer = answer.map_err(|error| demo_error(&error.to_string()))?;
    Ok(answer.into_body())
}

fn demo_error(reason: &str) -> Error {
    Error::Exchange {
        address: "demonstration".to_owned(),
        reason: reason.to_owned(),
    }
}
