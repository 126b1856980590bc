//! Rule LOST: jobs that can never be done keep other accepted jobs from ever starting.

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

/// What a hopeless task requests, in MB: twice the memory of each executor.
const HOPELESS_MB: u64 = 128_000;

/// The time for which jobs come to the first route, and how many: 6 of 120 are hopeless, which are 5%.
const TRAFFIC_MS: u64 = 3_000;
const URGENT_JOBS: usize = 120;
const HOPELESS_EVERY: usize = 20;
const BAY_JOBS: usize = 20;

/// The bounds of the rule: jobs are asked for so long after the end of the traffic, and one has nothing
/// running for so long.
const FINISH_MS: u64 = 14_000;
const IDLE_MS: u64 = 3_000;

/// Returns a job of `phases` parallel steps of one task each.
fn job(phases: usize, memory_mb: u64, estimate_ms: u64) -> Value {
    let spec = json!({ "ms": 300, "cpu": 500 }).to_string();
    let step = json!({ "count": 1, "cpu": 500, "mem-mb": memory_mb, "estimate-ms": estimate_ms });
    json!({ "spec": spec, "phases": vec![step; phases] })
}

pub fn play(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let routes = [
        ("r-urgent", "/urgent/", 0, 3_000),
        ("r-bay", "/bay/", 1, 3_000),
    ];
    let config = config(1, "reports", CALLER_HOST, &routes);
    let fleet = Fleet::start(directory, record, ("reports", &MACHINES), &config)?;
    let hopeless_mb = if has_trouble { HOPELESS_MB } else { 1_000 };
    let started_ms = record.now_ms();
    let mut hopeless = 0;
    for number in 0..URGENT_JOBS {
        let due_ms = started_ms + number as u64 * TRAFFIC_MS / URGENT_JOBS as u64;
        sleep(Duration::from_millis(
            due_ms.saturating_sub(record.now_ms()),
        ));
        let is_hopeless = number % HOPELESS_EVERY == 0;
        let body = match is_hopeless {
            true => job(5, hopeless_mb, 600_000),
            false => job(1, 500, 300),
        };
        let path = format!("/urgent/{:016x}", 0x1000 + number);
        let (status, _) = fleet.call(number % 3, CALLER_HOST, Method::POST, &path, &body);
        hopeless += usize::from(is_hopeless && status == 200);
    }
    let mut jobs = Vec::new();
    for number in 0..BAY_JOBS {
        let id = format!("{:016x}", 0x2000 + number);
        let path = format!("/bay/{id}");
        let (status, _) = fleet.call(
            number % 3,
            CALLER_HOST,
            Method::POST,
            &path,
            &job(1, 500, 300),
        );
        if status == 200 {
            jobs.push(id);
        }
    }
    record.say(&format!(
        "accepted: {hopeless} large jobs on the first route, {} ordinary ones on the second",
        jobs.len()
    ));
    if jobs.is_empty() {
        fleet.fail("no ordinary job was accepted");
    }
    sleep(Duration::from_millis(FINISH_MS));
    let queued = fleet.count_shown(CALLER_HOST, "/bay/", &jobs, "queued");
    let (most_used, stuck) = fleet.watch(IDLE_MS + 500, &jobs, |fleet, id| {
        fleet.started_tasks(id).is_empty()
    });
    fleet.world.state().record_runs();
    record.say(&format!(
        "from {FINISH_MS} ms after the last job on: {} of {} accepted ordinary jobs have had no run, {queued} are \
         shown as queued; at most {most_used}% of the CPU was in use for {IDLE_MS} ms",
        stuck.len(),
        jobs.len()
    ));
    if most_used >= 50 {
        fleet.fail("half of the capacity is in use");
    }
    Ok(stuck.is_empty())
}
