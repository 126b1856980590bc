//! Rule LOST: accepted jobs with many times take more memory than an entry host has, so that no job goes on.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
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

/// Scheduled jobs, an hour between two of their times, and how many times each has.
const JOBS: usize = 400;
const INTERVAL_MS: u64 = 3_600_000;
const MANY_TIMES: u64 = 7_000;
const FEW_TIMES: u64 = 8;

/// The platform ends a process that exceeds `memory-mb`, and starts it again after a short delay.
const MEMORY_MB: u64 = 260;
const RESTART_MS: u64 = 500;

/// Ordinary jobs, which come after the scheduled ones.
const ORDINARY_JOBS: usize = 6;

/// The bounds of the rule: jobs are asked for so long after the end of the traffic, and one has nothing
/// running for so long.
const FINISH_MS: u64 = 14_000;
const IDLE_MS: u64 = 3_000;

fn scheduled(times: u64) -> Value {
    let spec = json!({ "ms": 300, "cpu": 500 }).to_string();
    json!({
        "spec": spec, "times": times, "first-ms": 4_000_000_000_000_u64, "interval-ms": INTERVAL_MS,
        "phases": [{ "count": 1, "cpu": 500, "mem-mb": 500, "estimate-ms": 300 }],
    })
}

/// Returns the resident memory of a process, in MB.
fn memory_mb(process: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find(|line| line.starts_with("VmRSS"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    number
        .and_then(|text| text.parse::<u64>().ok())
        .unwrap_or(0)
        / 1_024
}

/// Does what the platform does with processes that exceed their memory.
fn limit_memory(
    fleet: &Arc<Fleet>,
    number: usize,
    ends: &Arc<Vec<AtomicUsize>>,
    is_over: &Arc<AtomicBool>,
) {
    let (fleet, ends, is_over) = (Arc::clone(fleet), Arc::clone(ends), Arc::clone(is_over));
    thread::spawn(move || loop {
        if is_over.load(Ordering::SeqCst) {
            return;
        }
        let entry = &fleet.entries[number];
        let used_mb = memory_mb(entry.id());
        if used_mb > MEMORY_MB {
            entry.kill();
            ends[number].fetch_add(1, Ordering::SeqCst);
            fleet
                .record
                .line(&format!("{} has {used_mb} MB and is ended", entry.name));
            sleep(Duration::from_millis(RESTART_MS));
            if entry.spawn().is_err() {
                return;
            }
        }
        sleep(Duration::from_millis(20));
    });
}

pub fn play(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let config = config(1, "reports", CALLER_HOST, &[("r-bay", "/bay/", 0, 3_000)]);
    let fleet = Arc::new(Fleet::start(
        directory,
        record,
        ("reports", &MACHINES),
        &config,
    )?);
    let ends = Arc::new(
        (0..fleet.entries.len())
            .map(|_| AtomicUsize::new(0))
            .collect::<Vec<_>>(),
    );
    let is_over = Arc::new(AtomicBool::new(false));
    (0..fleet.entries.len()).for_each(|number| limit_memory(&fleet, number, &ends, &is_over));
    let times = if has_trouble { MANY_TIMES } else { FEW_TIMES };
    let mut accepted = 0;
    for number in 0..JOBS {
        let path = format!("/bay/{:016x}", 0x5000 + number);
        for attempt in 0..4 {
            let entry = (number + attempt) % fleet.entries.len();
            let (status, _) =
                fleet.call(entry, CALLER_HOST, Method::POST, &path, &scheduled(times));
            if status == 200 {
                accepted += 1;
                break;
            }
        }
    }
    record.say(&format!(
        "{accepted} of {JOBS} scheduled jobs of {times} times are accepted"
    ));
    sleep(Duration::from_millis(2_000));
    let mut jobs = Vec::new();
    let spec = json!({ "ms": 300, "cpu": 500 }).to_string();
    let ordinary = json!({
        "spec": spec, "phases": [{ "count": 1, "cpu": 500, "mem-mb": 500, "estimate-ms": 300 }],
    });
    for number in 0..ORDINARY_JOBS {
        let id = format!("{:016x}", 0x6000 + number);
        let path = format!("/bay/{id}");
        let is_accepted = (0..12).any(|attempt| {
            sleep(Duration::from_millis(100));
            let entry = (number + attempt) % fleet.entries.len();
            fleet
                .call(entry, CALLER_HOST, Method::POST, &path, &ordinary)
                .0
                == 200
        });
        if is_accepted {
            jobs.push(id);
        }
    }
    record.say(&format!("{} ordinary jobs are accepted", jobs.len()));
    if accepted < JOBS || jobs.is_empty() {
        fleet.fail("jobs were not accepted");
    }
    sleep(Duration::from_millis(FINISH_MS));
    let queued = fleet.count_shown(CALLER_HOST, "/bay/", &jobs, "queued");
    let (most_used, stuck) = fleet.watch(IDLE_MS + 500, &jobs, |fleet, id| {
        fleet.started_tasks(id).is_empty()
    });
    let counts: Vec<_> = ends
        .iter()
        .map(|count| count.load(Ordering::SeqCst))
        .collect();
    fleet.world.state().record_runs();
    record.say(&format!(
        "from {FINISH_MS} ms after the last job on: {} of {} accepted ordinary jobs have had no run, {queued} are \
         shown as queued; at most {most_used}% of the CPU was in use for {IDLE_MS} ms; processes ended for their \
         memory, by entry host: {counts:?}",
        stuck.len(),
        jobs.len()
    ));
    is_over.store(true, Ordering::SeqCst);
    sleep(Duration::from_millis(RESTART_MS + 200));
    fleet.entries.iter().for_each(|entry| entry.kill());
    Ok(stuck.is_empty())
}
