//! Rule LOST: a gang that has failed once is shown as failed, since each of its members counts.

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
const GANG: &str = "00000000000000e1";

/// The size and duration of the gang, and when the executor fails after its start, in ms.
const MEMBERS: usize = 4;
const GANG_MS: u64 = 3_000;
const FAIL_MS: u64 = 500;

/// `attempts` of the route.
const ATTEMPTS: usize = 4;

/// When the job is asked for, in ms after the failure.
const ASK_MS: u64 = 12_000;

fn gang() -> Value {
    let spec = json!({ "ms": GANG_MS, "cpu": 1_000 }).to_string();
    let step = json!({
        "count": MEMBERS, "cpu": 1_000, "mem-mb": 500, "estimate-ms": GANG_MS, "gang": true,
    });
    json!({ "spec": spec, "phases": [step] })
}

pub fn play(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
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
        .insert(format!("{GANG}.0.0"), MEMBERS);
    let path = format!("/check/{GANG}");
    let (status, _) = fleet.call(0, CALLER_HOST, Method::POST, &path, &gang());
    if status != 200 {
        fleet.fail("the gang was not accepted");
    }
    fleet.wait_until("all members of the gang run", 5_000, |fleet| {
        fleet.started_tasks(GANG).len() == MEMBERS
    });
    sleep(Duration::from_millis(FAIL_MS));
    if has_trouble {
        let mut state = fleet.world.state();
        let executor = state.runs_of(GANG).next().map(|run| run.executor.clone());
        state.fail_runs(&executor.unwrap());
        drop(state);
        record.say("one executor fails all that it runs");
    }
    sleep(Duration::from_millis(ASK_MS));
    let (_, answer) = fleet.call(1, CALLER_HOST, Method::GET, &path, &Value::Null);
    let state = fleet.world.state();
    state.record_runs();
    let failed = state
        .runs_of(GANG)
        .filter(|run| matches!(run.end, Some((_, "failed"))));
    let mut failed_runs: Vec<_> = failed.map(|run| run.run).collect();
    failed_runs.sort_unstable();
    failed_runs.dedup();
    drop(state);
    record.say(&format!(
        "the gang has failed {} times of {ATTEMPTS}; its job is shown as {}",
        failed_runs.len(),
        answer["state"]
    ));
    Ok(answer["state"] != "failed" || failed_runs.len() >= ATTEMPTS)
}
