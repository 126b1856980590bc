//! Rule BUDGET: a task that crashes each executor some seconds after its start is started without end.

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

const MACHINES: [u64; 6] = [8_000; 6];
const CALLER_HOST: &str = "reports.example";
const JOB: &str = "00000000000000c1";

/// When the task crashes its executor after its start, and when that is back, in ms.
const CRASH_MS: u64 = 1_500;
const BACK_MS: u64 = 3_000;

/// The time for which the task is watched, in ms.
const WATCH_MS: u64 = 30_000;

/// The bounds of the rule: so many crashes, and so many starts after them.
const MAX_CRASHES: usize = 3;
const MAX_STARTS: usize = 3;

fn job(crash_ms: Option<u64>) -> Value {
    let spec = json!({ "ms": 4_000, "cpu": 1_000, "crash-ms": crash_ms }).to_string();
    let step = json!({ "count": 1, "cpu": 1_000, "mem-mb": 500, "estimate-ms": 4_000 });
    json!({ "spec": spec, "phases": [step] })
}

pub fn play(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let config = config(1, "reports", CALLER_HOST, &[("r-bay", "/bay/", 0, 3_000)]);
    let fleet = Fleet::start(directory, record, ("reports", &MACHINES), &config)?;
    fleet.world.state().crash_down_ms = BACK_MS;
    let path = format!("/bay/{JOB}");
    let body = job(has_trouble.then_some(CRASH_MS));
    let (status, _) = fleet.call(0, CALLER_HOST, Method::POST, &path, &body);
    if status != 200 {
        fleet.fail("the job was not accepted");
    }
    sleep(Duration::from_millis(WATCH_MS));
    let (_, answer) = fleet.call(1, CALLER_HOST, Method::GET, &path, &Value::Null);
    let state = fleet.world.state();
    state.record_runs();
    let crashes = state.crashes.len();
    let third_ms = state.crashes.get(MAX_CRASHES - 1).map(|(_, at_ms)| *at_ms);
    let runs = state.runs_of(JOB);
    let late = runs.filter(|run| third_ms.is_some_and(|third_ms| run.started_ms > third_ms));
    let late = late.count();
    drop(state);
    record.say(&format!(
        "{crashes} executors have crashed under the task, which was started {late} times after the third crash; \
         its job is shown as {}",
        answer["state"]
    ));
    Ok(late < MAX_STARTS)
}
