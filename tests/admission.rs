//! Refusal of jobs that can't be served in time. Replays a queue that asks for four times what its
//! pool can do, with jobs in order of their slack.

use std::collections::BTreeMap;

use serde_json::json;
use zincpier::id::Revision;
use zincpier::provider::TableRow;
use zincpier::workflow::check_admission;
use zincpier::workflow::BacklogView;
use zincpier::workflow::JobSchedule;
use zincpier::workflow::JobSpec;
use zincpier::workflow::QueueBacklog;
use zincpier::workflow::QueueConfig;
use zincpier::workflow::StepSpec;
use zincpier::workflow::LEADER_KEY;

/// A task's duration, and its declared one.
const TASK_MS: u64 = 800;

/// A job's objective: 1.6 times its task, and 600 ms.
const OBJECTIVE_MS: u64 = 1_880;

/// The time after which a job's result is of no use.
const USEFUL_MS: u64 = 3 * OBJECTIVE_MS;

/// Jobs that the pool can run at the same time.
const SLOTS: usize = 40;

const TICK_MS: u64 = 20;

fn queue() -> QueueConfig {
    QueueConfig {
        name: "r-one".to_owned(),
        host: "grading.example".to_owned(),
        prefix: "/jobs/".to_owned(),
        service: "grading".parse().unwrap(),
        priority: 0,
        attempts: 3,
        stretch: 1.6,
        objective_ms: 600,
        is_public: false,
    }
}

fn job_spec() -> JobSpec {
    JobSpec {
        queue: "r-one".to_owned(),
        organisation: None,
        payload: String::new(),
        steps: vec![StepSpec {
            tasks: 1,
            estimate_ms: TASK_MS,
            ..StepSpec::default()
        }],
        schedule: None,
    }
}

fn backlog(wait_ms: u64) -> QueueBacklog {
    QueueBacklog {
        wait_ms,
        task_ms: TASK_MS,
    }
}

/// What became of the jobs of a replay.
#[derive(Debug, Default)]
struct ReplayResult {
    useful: usize,
    /// Jobs that were accepted and ended too late to be of use, or did not end.
    useless: usize,
    refused: usize,
}

/// Replays 12 s of arrivals at four times the pool's capacity. Jobs run in order of arrival, which is
/// that of their slack, and are dropped once they are of no use. The entry hosts know the backlog of
/// half a second ago.
fn replay(refuses: bool) -> ReplayResult {
    let mut waiting: Vec<u64> = Vec::new();
    let mut running: Vec<(u64, u64)> = Vec::new();
    let mut waits: BTreeMap<u64, u64> = BTreeMap::new();
    let mut result = ReplayResult::default();
    let arrivals_per_tick = 4 * SLOTS * TICK_MS as usize / TASK_MS as usize;
    for tick in 0..1_200 {
        let now_ms = tick * TICK_MS;
        running.retain(|&(arrived_ms, ends_ms)| {
            let is_over = ends_ms <= now_ms;
            if is_over && ends_ms - arrived_ms <= USEFUL_MS {
                result.useful += 1;
            } else if is_over {
                result.useless += 1;
            }
            !is_over
        });
        if now_ms < 12_000 {
            let known_wait_ms = waits.get(&now_ms.saturating_sub(500)).copied();
            let refusal =
                check_admission(&job_spec(), &queue(), &backlog(known_wait_ms.unwrap_or(0)));
            if refuses && refusal.is_some() {
                result.refused += arrivals_per_tick;
            } else {
                waiting.extend(vec![now_ms; arrivals_per_tick]);
            }
        }
        let before = waiting.len();
        waiting.retain(|arrived_ms| now_ms < arrived_ms + USEFUL_MS);
        result.useless += before - waiting.len();
        while running.len() < SLOTS && !waiting.is_empty() {
            running.push((waiting.remove(0), now_ms + TASK_MS));
        }
        waits.insert(now_ms, waiting.len() as u64 * TASK_MS / SLOTS as u64);
    }
    result
}

/// Guards against callers whose jobs are accepted and then wait until they are of no use, although it
/// was known that they would.
#[test]
fn overloaded_queue_refuses_instead_of_letting_jobs_wait_in_vain() {
    let accepting = replay(false);
    let refusing = replay(true);

    assert!(
        refusing.useless * 2 < accepting.useless,
        "{accepting:?} {refusing:?}"
    );
    assert!(refusing.refused > 0);
    // Refusals cost no job that would have been served.
    assert!(
        refusing.useful >= accepting.useful,
        "{accepting:?} {refusing:?}"
    );
}

#[test]
fn job_that_may_be_useful_is_accepted() {
    assert_eq!(
        check_admission(&job_spec(), &queue(), &backlog(USEFUL_MS)),
        None
    );
    assert!(check_admission(&job_spec(), &queue(), &backlog(USEFUL_MS + 1)).is_some());
}

/// Guards against a job that is refused because its caller's estimate is far too short.
#[test]
fn estimate_below_the_queues_mean_does_not_shorten_the_limit() {
    let mut spec = job_spec();
    spec.steps[0].estimate_ms = 10;

    assert_eq!(check_admission(&spec, &queue(), &backlog(USEFUL_MS)), None);
}

#[test]
fn long_running_and_scheduled_jobs_are_always_accepted() {
    let mut long_running = job_spec();
    long_running.steps[0].long_running = true;
    let mut scheduled = job_spec();
    scheduled.schedule = Some(JobSchedule {
        times: 3,
        first_ms: 0,
        interval_ms: 1_000,
    });

    assert_eq!(
        check_admission(&long_running, &queue(), &backlog(90_000)),
        None
    );
    assert_eq!(
        check_admission(&scheduled, &queue(), &backlog(90_000)),
        None
    );
}

/// Guards against callers that come back all at once, or much later than there is room.
#[test]
fn refused_callers_return_spread_over_the_time_that_the_backlog_takes() {
    let refusal = check_admission(&job_spec(), &queue(), &backlog(USEFUL_MS + 3_000)).unwrap();

    let delays = (0..100_u64).map(|number| {
        let id = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15));
        refusal.retry_s(&id.parse().unwrap())
    });
    let mut counts: BTreeMap<u64, usize> = BTreeMap::new();
    delays.for_each(|delay_s| *counts.entry(delay_s).or_default() += 1);

    assert_eq!(counts.keys().copied().collect::<Vec<_>>(), vec![3, 4, 5, 6]);
    assert!(counts.values().all(|&count| count > 10), "{counts:?}");
}

fn leader_row(revision: u64, wait_ms: u64) -> TableRow {
    TableRow {
        key: LEADER_KEY.to_owned(),
        revision: Revision::new(revision),
        value: json!({
            "epoch": 1, "holder": "boston-2", "commit": revision, "released": false,
            "backlogs": { "r-one": { "wait_ms": wait_ms, "task_ms": TASK_MS } },
        }),
    }
}

/// Guards against refusals by a backlog that is long gone: by one that was never seen to change, and
/// by the last one of a controller that is lost.
#[test]
fn backlog_of_unknown_or_high_age_is_not_used() {
    let view = BacklogView::new();

    view.record_read(Some(&leader_row(7, 9_000)), 1_000);
    assert_eq!(view.get("r-one", 1_010), None, "it may have any age");
    view.record_read(Some(&leader_row(8, 8_000)), 1_300);

    assert_eq!(view.get("r-one", 1_310), Some((backlog(8_000), 310)));
    view.record_read(Some(&leader_row(8, 8_000)), 2_000);
    assert_eq!(view.get("r-one", 2_600), None);
}
