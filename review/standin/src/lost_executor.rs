//! Rule LOST: after the loss of an executor under a gang, no other task of the service starts any more.

use std::io;
use std::path::Path;
use std::thread::sleep;
use std::time::Duration;

use http::Method;
use serde_json::json;
use serde_json::Value;

use crate::fleet::config;
use crate::fleet::Fleet;
use crate::fleet::Record;

const MACHINES: [u64; 7] = [8_000; 7];
const CALLER_HOST: &str = "uprights.example";
const GANG: &str = "00000000000000a1";

/// The duration of the gang, and when an executor is lost after its start, in ms. The variable `LOSS_MS` replaces
/// the latter.
const GANG_MS: u64 = 6_000;
const LOSS_MS: u64 = 400;

/// Ordinary jobs, and the duration of each of their two steps in ms.
const JOBS: usize = 6;
const STEP_MS: u64 = 3_000;

/// The time from the loss to the check, in ms: the first steps are done, and all is calm again.
const CALM_MS: u64 = 8_000;

/// The bounds of the rule.
const FINISH_MS: u64 = 14_000;
const IDLE_MS: u64 = 3_000;

fn gang() -> Value {
    let spec = json!({ "ms": GANG_MS, "cpu": 5_000 }).to_string();
    let step = json!({
        "count": MACHINES.len(), "cpu": 5_000, "mem-mb": 500, "estimate-ms": GANG_MS, "gang": true,
    });
    json!({ "spec": spec, "phases": [step] })
}

/// Returns a job of two steps of one task.
fn job() -> Value {
    let spec = json!({ "ms": STEP_MS, "cpu": 500 }).to_string();
    let first = json!({ "count": 1, "cpu": 500, "mem-mb": 500, "estimate-ms": STEP_MS });
    let mut second = first.clone();
    second["after"] = json!([0]);
    json!({ "spec": spec, "phases": [first, second] })
}

pub fn play(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let loss_ms = std::env::var("LOSS_MS").ok();
    let loss_ms = loss_ms
        .and_then(|text| text.parse().ok())
        .unwrap_or(LOSS_MS);
    let config = config(
        1,
        "uprights",
        CALLER_HOST,
        &[("r-check", "/check/", 0, 3_000)],
    );
    let fleet = Fleet::start(directory, record, ("uprights", &MACHINES), &config)?;
    fleet
        .world
        .state()
        .gangs
        .insert(format!("{GANG}.0.0"), MACHINES.len());
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x4000 + number);
        let path = format!("/check/{id}");
        let (status, _) = fleet.call(number % 3, CALLER_HOST, Method::POST, &path, &job());
        if status == 200 {
            jobs.push(id);
        }
    }
    if jobs.len() < JOBS {
        fleet.fail("an ordinary job was not accepted");
    }
    let path = format!("/check/{GANG}");
    let (status, _) = fleet.call(0, CALLER_HOST, Method::POST, &path, &gang());
    if status != 200 {
        fleet.fail("the gang was not accepted");
    }
    fleet.wait_until("all members of the gang run", 5_000, |fleet| {
        fleet.started_tasks(GANG).len() == MACHINES.len()
    });
    record.say(&format!(
        "{JOBS} ordinary jobs are accepted and run, and all members of the gang run"
    ));
    sleep(Duration::from_millis(loss_ms));
    if has_trouble {
        // An executor on which no ordinary job runs.
        let machine = {
            let state = fleet.world.state();
            let has_jobs = |executor: &str| {
                let mut running = state.runs.iter().filter(|run| run.end.is_none());
                running.any(|run| run.executor == executor && !run.task.starts_with(GANG))
            };
            let members = state.runs_of(GANG).filter(|run| run.end.is_none());
            let free = members.filter(|run| !has_jobs(&run.executor));
            let machines = free.filter_map(|run| state.machine_of(&run.executor));
            machines.last()
        };
        let Some(machine) = machine else {
            fleet.fail("no executor runs a member of the gang alone");
        };
        fleet.world.state().crash_machine(&machine, None);
        record.say(&format!(
            "the executor of {machine}, one of {}, is lost for good",
            MACHINES.len()
        ));
    }
    sleep(Duration::from_millis(CALM_MS + FINISH_MS));
    let running = fleet.count_shown(CALLER_HOST, "/check/", &jobs, "running");
    let (most_used, stuck) = fleet.watch(IDLE_MS + 500, &jobs, |fleet, id| {
        fleet.started_tasks(id).len() < 2
    });
    fleet.world.state().record_runs();
    record.say(&format!(
        "from {} ms on: the second step of {} of {} accepted ordinary jobs has had no run, {running} are shown as \
         running; at most {most_used}% of the CPU was in use for {IDLE_MS} ms",
        CALM_MS + FINISH_MS,
        stuck.len(),
        jobs.len()
    ));
    if most_used >= 50 {
        fleet.fail("half of the capacity is in use");
    }
    Ok(stuck.is_empty())
}
