//! Checks the guarantees on requests under each kind of fault, with real processes: at most one
//! run, complete responses, true outcomes, slot limits and recovery.
//!
//! Each fault is injected at a seeded moment while callers send requests of every kind through
//! all daemons. Run with `cargo bench --bench faults`; the number of runs per fault can be given
//! after `--` and is 3 by default.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use serde_json::json;
use serde_json::Value;

use crate::common::small_text;
use crate::common::try_call;
use crate::common::TestSystem;

const THREE_DAEMONS: [(&str, &str); 3] = [
    ("entry-1", "east"),
    ("entry-2", "west"),
    ("entry-3", "east"),
];
/// The number of concurrent callers.
const CALLERS: usize = 12;
/// How long the callers send requests in each run.
const LOAD_DURATION: Duration = Duration::from_millis(4_500);
/// How long a fault lasts.
const FAULT_DURATION: Duration = Duration::from_millis(2_000);
const SLOTS_PER_SERVER: u64 = 8;
/// The number of requests, sent after recovery, all of which must succeed.
const RECOVERY_REQUESTS: usize = 30;
/// The default number of runs per fault.
const DEFAULT_RUNS: u64 = 3;
/// The number of runs at a time.
const PARALLEL_RUNS: usize = 4;

/// The fault injected while callers send requests, printed by the name of its variant.
#[derive(Clone, Copy, Debug)]
enum Fault {
    Nothing,
    DaemonKilled,
    DaemonFrozen,
    DaemonStopped,
    TwoDaemonsRestarted,
    /// A server responds with 500 to every request.
    ServerFailsAll,
    ServerSlow,
    ServerLeaving,
    /// Responses are truncated to half of their body.
    AnswersHalf,
    /// Responses carry the id and body of another request.
    AnswersCrossed,
    /// Responses are sent twice.
    AnswersDoubled,
    /// All open backend connections become unresponsive.
    ConnectionsSilent,
    /// All open backend connections are closed at their next request.
    ConnectionsClosed,
    PlatformOutage,
    PlatformSlow,
    /// The platform runs requests, but its responses are lost.
    PlatformAnswersLost,
    OutageAndDaemonKilled,
    SilentAndServerLeaving,
}

const FAULTS: [Fault; 18] = [
    Fault::Nothing,
    Fault::DaemonKilled,
    Fault::DaemonFrozen,
    Fault::DaemonStopped,
    Fault::TwoDaemonsRestarted,
    Fault::ServerFailsAll,
    Fault::ServerSlow,
    Fault::ServerLeaving,
    Fault::AnswersHalf,
    Fault::AnswersCrossed,
    Fault::AnswersDoubled,
    Fault::ConnectionsSilent,
    Fault::ConnectionsClosed,
    Fault::PlatformOutage,
    Fault::PlatformSlow,
    Fault::PlatformAnswersLost,
    Fault::OutageAndDaemonKilled,
    Fault::SilentAndServerLeaving,
];

/// The result of one request.
struct Outcome {
    caller: String,
    at_most_once: bool,
    /// The status, the outcome header and whether the body names this request's caller; `None` if
    /// the connection ended without a response.
    response: Option<(u16, String, bool)>,
}

/// The counts of one or more runs, printed by the names of the fields.
#[derive(Clone, Debug, Default)]
struct Counts {
    sent: usize,
    served: usize,
    refused: usize,
    /// Requests without a response.
    cut_off: usize,
    /// Responses with status 200 whose body is incomplete or belongs to another request.
    not_whole: usize,
    /// Requests reported as not run that have run.
    untrue_not_run: usize,
    /// POST requests that ran more than once.
    run_twice: usize,
    /// Requests that a server got while all of its slots were in use, and servers that ran more
    /// requests at a time than they have slots.
    over_slots: usize,
    /// Refusals without an outcome.
    without_outcome: usize,
    /// Requests that failed after recovery.
    late_failures: usize,
}

impl Counts {
    fn add(&mut self, other: &Self) {
        self.sent += other.sent;
        self.served += other.served;
        self.refused += other.refused;
        self.cut_off += other.cut_off;
        self.not_whole += other.not_whole;
        self.untrue_not_run += other.untrue_not_run;
        self.run_twice += other.run_twice;
        self.over_slots += other.over_slots;
        self.without_outcome += other.without_outcome;
        self.late_failures += other.late_failures;
    }

    /// Returns the number of broken guarantees; refusals and lost connections are allowed.
    fn violations(&self) -> usize {
        self.not_whole
            + self.untrue_not_run
            + self.run_twice
            + self.over_slots
            + self.without_outcome
            + self.late_failures
    }
}

fn send_until(
    stop: &AtomicBool,
    targets: &Mutex<Vec<std::net::SocketAddr>>,
    caller: usize,
) -> Vec<Outcome> {
    let mut outcomes = Vec::new();
    for number in 0.. {
        if stop.load(Ordering::Relaxed) {
            break;
        }
        let target = {
            let targets = targets.lock().unwrap();
            targets[(caller + number) % targets.len()]
        };
        let caller = format!("caller-{caller}-{number}");
        let key = format!("key-{caller}");
        let headers = [("x-caller-id", caller.as_str()), ("idempotency-key", &key)];
        let (method, path, headers) = match number % 3 {
            0 => ("GET", "/notices?ms=5", &headers[..1]),
            1 => ("POST", "/notices?ms=5", &headers[..1]),
            _ => ("POST", "/notices/bills?ms=5", &headers[..]),
        };
        let response = try_call(target, method, path, headers, "");
        let response = response.map(|response| {
            let body = serde_json::from_str::<Value>(&response.body).unwrap_or_default();
            let own = body["caller"] == caller.as_str();
            (
                response.status,
                response.header("zincpier-outcome").to_owned(),
                own,
            )
        });
        outcomes.push(Outcome {
            caller,
            at_most_once: method == "POST",
            response,
        });
    }
    outcomes
}

/// Injects a fault. A lasting fault is removed after [`FAULT_DURATION`]; faults of a number of
/// responses, or of the connections open at the time, need no removal.
fn inject_fault(system: &mut TestSystem, fault: Fault, random: &mut SmallRng) {
    let hosts = ["e1", "e2", "w1", "w2"];
    let host = hosts[random.random_range(0..hosts.len())];
    let daemon = random.random_range(0..THREE_DAEMONS.len());
    let inject_backend_faults = |system: &TestSystem, faults: Value| {
        hosts
            .iter()
            .for_each(|host| system.set_backend_faults(host, &faults));
    };
    match fault {
        Fault::Nothing => thread::sleep(FAULT_DURATION),
        Fault::DaemonKilled => restart(system, &[daemon], "-KILL"),
        Fault::DaemonStopped => restart(system, &[daemon], "-TERM"),
        Fault::TwoDaemonsRestarted => restart(system, &[daemon, (daemon + 1) % 3], "-KILL"),
        Fault::DaemonFrozen => {
            system.daemons[daemon].process.signal("-STOP");
            thread::sleep(FAULT_DURATION);
            system.daemons[daemon].process.signal("-CONT");
        }
        Fault::ServerFailsAll => {
            system.set_backend_faults(host, &json!({ "fail_all": true }));
            thread::sleep(FAULT_DURATION);
            system.set_backend_faults(host, &json!({}));
        }
        Fault::ServerSlow => {
            system.set_backend_faults(host, &json!({ "delay_ms": 600 }));
            thread::sleep(FAULT_DURATION);
            system.set_backend_faults(host, &json!({}));
        }
        Fault::ServerLeaving => mark_leaving(system, host),
        Fault::AnswersHalf => inject_backend_faults(system, json!({ "half_answers": 5 })),
        Fault::AnswersCrossed => inject_backend_faults(system, json!({ "crossed_answers": 5 })),
        Fault::AnswersDoubled => inject_backend_faults(system, json!({ "doubled_answers": 5 })),
        Fault::ConnectionsSilent => inject_backend_faults(system, json!({ "silence_open": true })),
        Fault::ConnectionsClosed => inject_backend_faults(system, json!({ "close_open": true })),
        Fault::PlatformOutage => platform_outage(system),
        Fault::PlatformSlow => {
            system.set_platform_faults(&json!({ "delay_ms": 400 }));
            thread::sleep(FAULT_DURATION);
            system.set_platform_faults(&json!({}));
        }
        Fault::PlatformAnswersLost => system.set_platform_faults(&json!({ "lost_answers": 20 })),
        Fault::OutageAndDaemonKilled => {
            system.set_platform_faults(&json!({ "outage": true }));
            system.daemons[daemon].process.signal("-KILL");
            thread::sleep(FAULT_DURATION);
            system.set_platform_faults(&json!({}));
            restart(system, &[daemon], "-KILL");
        }
        Fault::SilentAndServerLeaving => {
            inject_backend_faults(system, json!({ "silence_open": true }));
            mark_leaving(system, host);
        }
    }
}

fn mark_leaving(system: &TestSystem, host: &str) {
    system.set_host_state(host, "leaving");
    thread::sleep(FAULT_DURATION);
    system.set_host_state(host, "live");
}

fn platform_outage(system: &TestSystem) {
    system.set_platform_faults(&json!({ "outage": true }));
    thread::sleep(FAULT_DURATION);
    system.set_platform_faults(&json!({}));
}

/// Ends daemons by a signal and restarts them under the same names.
fn restart(system: &mut TestSystem, daemons: &[usize], signal: &str) {
    for daemon in daemons {
        let _ = system.daemons[*daemon].process.child.try_wait();
        if system.daemons[*daemon].is_ready() {
            system.daemons[*daemon].process.signal(signal);
        }
    }
    thread::sleep(FAULT_DURATION / 4);
    for daemon in daemons {
        let (name, data_centre) = THREE_DAEMONS[*daemon];
        let _ = system.daemons[*daemon].process.child.wait();
        system.daemons[*daemon] = system.start_daemon(name, data_centre, &[]);
    }
}

/// Runs a system under load through one fault and its recovery.
fn run_fault(fault: Fault, seed: u64) -> Counts {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut system = TestSystem::start_ready(&small_text(), "5", &THREE_DAEMONS);
    let addresses = system.daemons.iter().map(|daemon| daemon.callers);
    let targets = Arc::new(Mutex::new(addresses.collect::<Vec<_>>()));
    let stop = Arc::new(AtomicBool::new(false));
    let started = Instant::now();
    let callers = (0..CALLERS).map(|caller| {
        let (stop, targets) = (Arc::clone(&stop), Arc::clone(&targets));
        thread::spawn(move || send_until(&stop, &targets, caller))
    });
    let callers = callers.collect::<Vec<_>>();
    thread::sleep(Duration::from_millis(random.random_range(300..900)));
    inject_fault(&mut system, fault, &mut random);
    *targets.lock().unwrap() = system.daemons.iter().map(|daemon| daemon.callers).collect();
    thread::sleep(LOAD_DURATION.saturating_sub(started.elapsed()));
    stop.store(true, Ordering::Relaxed);
    let outcomes = callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap());
    let outcomes = outcomes.collect::<Vec<_>>();
    system.wait_ready();
    let mut counts = count_violations(&system, &outcomes);
    for number in 0..RECOVERY_REQUESTS {
        let response = system.daemons[number % THREE_DAEMONS.len()].get("/notices");
        counts.late_failures += usize::from(response.status != 200);
    }
    counts
}

/// Counts outcomes and violations, from the responses and the statistics of the servers.
fn count_violations(system: &TestSystem, outcomes: &[Outcome]) -> Counts {
    let runs = system.runs();
    let mut counts = Counts {
        sent: outcomes.len(),
        ..Counts::default()
    };
    for outcome in outcomes {
        let ran = runs.get(&outcome.caller).copied().unwrap_or(0);
        counts.run_twice += usize::from(outcome.at_most_once && ran > 1);
        match &outcome.response {
            None => counts.cut_off += 1,
            Some((200, _, own)) => {
                counts.served += 1;
                counts.not_whole += usize::from(!own);
            }
            Some((status, reported_outcome, _)) => {
                counts.refused += 1;
                // A server's own error response is forwarded unchanged, without an outcome.
                counts.without_outcome +=
                    usize::from(reported_outcome.is_empty() && *status != 500);
                counts.untrue_not_run += usize::from(reported_outcome == "not-run" && ran > 0);
            }
        }
    }
    for host in system.backends.keys() {
        let stats = system.stats(host);
        counts.over_slots += stats["over_slots"].as_u64().unwrap() as usize;
        counts.over_slots +=
            usize::from(stats["most_in_flight"].as_u64().unwrap() > SLOTS_PER_SERVER);
    }
    counts
}

fn main() {
    let runs = std::env::args().filter_map(|argument| argument.parse().ok());
    let runs = runs.fold(DEFAULT_RUNS, |_, given| given);
    let work = FAULTS
        .iter()
        .enumerate()
        .flat_map(|(index, fault)| (1..=runs).map(move |seed| (index, *fault, seed)));
    let work = Arc::new(Mutex::new(work.collect::<Vec<_>>()));
    let results = Arc::new(Mutex::new(BTreeMap::<usize, Counts>::new()));
    let threads = (0..PARALLEL_RUNS).map(|_| {
        let (work, results) = (Arc::clone(&work), Arc::clone(&results));
        thread::spawn(move || loop {
            let next = work.lock().unwrap().pop();
            let Some((index, fault, seed)) = next else {
                break;
            };
            let counts = run_fault(fault, seed);
            if counts.violations() > 0 {
                println!("{fault:?} with seed {seed}: {counts:?}");
            }
            results
                .lock()
                .unwrap()
                .entry(index)
                .or_default()
                .add(&counts);
        })
    });
    for thread in threads.collect::<Vec<_>>() {
        thread.join().unwrap();
    }
    println!("{runs} runs of each fault; the columns from 'not whole' on are violations");
    println!("fault                     sent  served refused cut off | not whole  untrue not-run  run twice  over slots  no outcome  late");
    for (index, counts) in results.lock().unwrap().iter() {
        println!(
            "{:<24} {:>5} {:>7} {:>7} {:>7} | {:>9} {:>15} {:>10} {:>11} {:>11} {:>5}",
            format!("{:?}", FAULTS[*index]),
            counts.sent,
            counts.served,
            counts.refused,
            counts.cut_off,
            counts.not_whole,
            counts.untrue_not_run,
            counts.run_twice,
            counts.over_slots,
            counts.without_outcome,
            counts.late_failures
        );
    }
}
