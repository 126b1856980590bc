//! Rule UNASKED: jobs run whose cancelling was acknowledged, since the store carries out their submissions late.

use std::collections::BTreeSet;
use std::io;
use std::path::Path;
use std::thread;
use std::thread::sleep;
use std::time::Duration;

use http::Method;
use serde_json::json;
use serde_json::Value;

use crate::fleet::config;
use crate::fleet::Fleet;
use crate::fleet::Record;

const MACHINES: [u64; 6] = [8_000; 6];
const CALLER_HOST: &str = "bay.example";

/// How long the store loses answers, and after how many ms it carries out those transactions.
const LOSS_MS: u64 = 2_500;
const LATE_MS: u64 = 6_000;

/// The largest share of the writes that the site files have without an answer, in percent.
const MAX_LOST_PERCENT: usize = 35;

/// Ordinary jobs meanwhile, and when the others are handed in, in ms after the beginning. Their submissions get no
/// answer from the store.
const ORDINARY_JOBS: usize = 50;
const CANCELLED_JOBS: usize = 3;
const HAND_IN_MS: u64 = 1_300;

/// The bounds of the rule, and of machines in touch.
const CANCEL_MS: u64 = 3_000;
const CONTACT_MS: u64 = 3_000;

fn job() -> Value {
    let spec = json!({ "ms": 200, "cpu": 500 }).to_string();
    json!({
        "spec": spec, "phases": [{ "count": 2, "cpu": 500, "mem-mb": 500, "estimate-ms": 200 }],
    })
}

fn cancelled_id(number: usize) -> String {
    format!("{:016x}", 0x7000 + number)
}

/// Hands a job in, and cancels it whatever the answer was. Returns when the cancelling was acknowledged, in ms since
/// the start of the world.
fn hand_in_and_cancel(fleet: &Fleet, number: usize) -> Option<u64> {
    let path = format!("/bay/{}", cancelled_id(number));
    let entries = fleet.entries.len();
    let (handed_in, _) = fleet.call(number % entries, CALLER_HOST, Method::POST, &path, &job());
    let cancelled = (1..=entries).find_map(|attempt| {
        let entry = (number + attempt) % entries;
        let (status, _) = fleet.call(entry, CALLER_HOST, Method::DELETE, &path, &Value::Null);
        matches!(status, 200 | 410).then_some(status)
    });
    let at_ms = fleet.world.state().now_ms();
    let record = &fleet.record;
    record.say(&format!(
        "job {}: POST {handed_in}, DELETE {cancelled:?}",
        cancelled_id(number)
    ));
    cancelled.map(|_| at_ms)
}

pub fn play(directory: &Path, record: &Record, has_trouble: bool) -> io::Result<bool> {
    let config = config(1, "bay", CALLER_HOST, &[("r-bay", "/bay/", 0, 3_000)]);
    let fleet = Fleet::start(directory, record, ("bay", &MACHINES), &config)?;
    if has_trouble {
        let texts = (0..CANCELLED_JOBS).map(cancelled_id).collect();
        fleet.store.begin_losses(texts, LATE_MS);
    }
    let (end_ms, acknowledged) = thread::scope(|scope| {
        let fleet = &fleet;
        let cancelled: Vec<_> = (0..CANCELLED_JOBS)
            .map(|number| {
                scope.spawn(move || {
                    sleep(Duration::from_millis(HAND_IN_MS));
                    hand_in_and_cancel(fleet, number)
                })
            })
            .collect();
        for number in 0..ORDINARY_JOBS {
            let path = format!("/bay/{:016x}", 0x8000 + number);
            fleet.call(number % 3, CALLER_HOST, Method::POST, &path, &job());
            sleep(Duration::from_millis(LOSS_MS / ORDINARY_JOBS as u64));
        }
        let (all, lost) = fleet.store.end_losses();
        let end_ms = fleet.world.state().now_ms();
        if has_trouble {
            let percent = lost * 100 / all.max(1);
            record.say(&format!(
                "the store left {lost} of {all} writes unanswered ({percent}%)"
            ));
            if percent > MAX_LOST_PERCENT {
                fleet.fail("too many answers were lost");
            }
        }
        let acknowledged: Vec<_> = cancelled
            .into_iter()
            .map(|thread| thread.join().unwrap())
            .collect();
        (end_ms, acknowledged)
    });
    sleep(Duration::from_millis(LATE_MS + CANCEL_MS));
    let state = fleet.world.state();
    state.record_runs();
    let mut late_starts = 0;
    let mut late_jobs = BTreeSet::new();
    for (number, at_ms) in acknowledged.iter().enumerate() {
        let Some(at_ms) = at_ms else {
            continue;
        };
        let id = cancelled_id(number);
        for run in state
            .runs_of(&id)
            .filter(|run| run.started_ms > at_ms + CANCEL_MS)
        {
            record.line(&format!(
                "{} starts {} ms after its job's cancelling was acknowledged, {} ms after the end of the losses",
                run.task,
                run.started_ms - at_ms,
                run.started_ms.saturating_sub(end_ms)
            ));
            if run.started_ms > end_ms + CONTACT_MS {
                late_starts += 1;
                late_jobs.insert(id.clone());
            }
        }
    }
    drop(state);
    record.say(&format!(
        "{late_starts} tasks of {} of {CANCELLED_JOBS} cancelled jobs were started over {CANCEL_MS} ms after the \
         cancelling was acknowledged, by machines in touch",
        late_jobs.len()
    ));
    if acknowledged.iter().all(Option::is_none) {
        fleet.fail("no cancelling was acknowledged");
    }
    Ok(late_starts == 0)
}
