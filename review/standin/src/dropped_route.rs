//! Rule LOST: accepted jobs of a route that a new config drops never go on.

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

const MACHINES: [u64; 4] = [8_000; 4];
const CALLER_HOST: &str = "reports.example";
const JOBS: usize = 6;

/// The duration of each task of the first and the second step, in ms.
const STEP_MS: u64 = 4_000;

/// The bounds of the rule.
const FINISH_MS: u64 = 14_000;
const IDLE_MS: u64 = 3_000;

/// Returns a job of two steps, of which the second waits for the first.
fn job() -> Value {
    let spec = json!({ "ms": STEP_MS, "cpu": 500 }).to_string();
    let first = json!({ "count": 2, "cpu": 500, "mem-mb": 500, "estimate-ms": STEP_MS });
    let mut second = first.clone();
    second["after"] = json!([0]);
    json!({ "spec": spec, "phases": [first, second] })
}

pub fn play(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let routes = [
        ("r-photos", "/photos/", 0, 3_000),
        ("r-bay", "/bay/", 0, 3_000),
    ];
    let first = config(3, "reports", CALLER_HOST, &routes);
    let fleet = Fleet::start(directory, record, ("reports", &MACHINES), &first)?;
    let mut jobs = Vec::new();
    for number in 0..JOBS {
        let id = format!("{:016x}", 0x3000 + number);
        let path = format!("/bay/{id}");
        let (status, _) = fleet.call(number % 3, CALLER_HOST, Method::POST, &path, &job());
        if status == 200 {
            jobs.push(id);
        }
    }
    if jobs.len() < JOBS {
        fleet.fail("a job was not accepted");
    }
    fleet.wait_until("the first step of each job runs", 3_000, |fleet| {
        jobs.iter().all(|id| fleet.started_tasks(id).len() == 2)
    });
    // The next version drops the jobs' route, or without trouble changes a time-out only.
    let next = match has_trouble {
        true => config(7, "reports", CALLER_HOST, &routes[..1]),
        false => config(
            7,
            "reports",
            CALLER_HOST,
            &[routes[0], ("r-bay", "/bay/", 0, 4_000)],
        ),
    };
    fleet.write_config(&next);
    record.say(&format!(
        "{JOBS} jobs are accepted and run; the next config drops their route: {has_trouble}"
    ));
    sleep(Duration::from_millis(STEP_MS + FINISH_MS));
    let (most_used, stuck) = fleet.watch(IDLE_MS + 500, &jobs, |fleet, id| {
        fleet.started_tasks(id).len() == 2
    });
    fleet.count_shown(CALLER_HOST, "/bay/", &jobs, "complete");
    fleet.world.state().record_runs();
    record.say(&format!(
        "from {FINISH_MS} ms after their first step on: {} of {} accepted jobs have nothing running, and no run of \
         their second step; at most {most_used}% of the CPU was in use for {IDLE_MS} ms",
        stuck.len(),
        jobs.len()
    ));
    Ok(stuck.is_empty())
}
