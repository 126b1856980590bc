//! What the engine of a new controller does before its first commit, which also renews the lease.

#[path = "common/workflow.rs"]
mod fixtures;

use std::rc::Rc;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use zincpier::id::JobId;
use zincpier::workflow::EndKind;
use zincpier::workflow::JobEngine;
use zincpier::workflow::JobSpec;
use zincpier::workflow::TaskEnd;
use zincpier::workflow::TaskName;
use zincpier::workflow::WorkerReport;

/// Workers of the users' grown sites.
const WORKERS: usize = 349;

/// Open jobs of a takeover during a peak.
const OPEN_JOBS: usize = 1_400;

/// Tasks of each job.
const TASKS: u32 = 16;

/// A third of the interval at which the controller's lease is renewed.
const LISTING_LIMIT: Duration = Duration::from_millis(100);

fn spec(tasks: u32) -> JobSpec {
    JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![fixtures::step(tasks)],
        schedule: None,
    }
}

/// Restores jobs whose tasks an earlier controller has placed on all workers in turn.
fn restore_placed_jobs(engine: &mut JobEngine) {
    for number in 0..OPEN_JOBS {
        let placed = |index| json!([1, 0, "", format!("w-{}", (number + index) % WORKERS)]);
        let tasks: Vec<_> = (0..TASKS as usize).map(placed).collect();
        let progress = json!({ "phase": "running", "tasks": tasks });
        let id = format!("{number:016x}").parse().unwrap();
        engine.add_job(id, spec(TASKS), Some(&progress), 0);
    }
}

/// Guards against a first second without a renewal, which costs the new controller its lease.
#[test]
fn listing_workers_after_a_takeover_does_not_search_all_open_jobs() {
    let mut engine = JobEngine::new(0, 0);
    restore_placed_jobs(&mut engine);
    let workers: Vec<_> = (0..WORKERS).map(fixtures::worker_entry).collect();

    let started = Instant::now();
    workers
        .into_iter()
        .for_each(|entry| engine.set_worker(entry, 0));
    let elapsed = started.elapsed();

    let placed: usize = engine
        .workers
        .values()
        .map(|worker| worker.tasks.len())
        .sum();
    assert_eq!(placed, OPEN_JOBS * TASKS as usize);
    assert!(elapsed < LISTING_LIMIT, "{elapsed:?}");
}

/// A job of which it isn't known what is done would run its tasks again.
#[test]
fn job_with_unreadable_progress_runs_no_task_again() {
    let readable = json!([1, 0, "", null]);
    let tasks = [
        json!({ "phase": "running", "tasks": [readable, "?"] }),
        json!({ "phase": "running", "tasks": [readable] }),
        json!({ "phase": "mislaid", "tasks": [] }),
        json!(null),
    ];
    for progress in tasks {
        // Arrange: a worker with room for a job without progress.
        let mut engine = JobEngine::new(0, 0);
        engine.config = Some(Rc::new(fixtures::config()));
        let worker = fixtures::worker_entry(0);
        engine.set_worker(worker.clone(), 0);
        let report = WorkerReport {
            incarnation_start: None,
            clock_ms: 1_000_000,
            running: Vec::new(),
            ends: Vec::new(),
            held_ends: Vec::new(),
            has_more_ends: false,
        };
        engine.apply_report(&worker.id, &report, 0, 0);
        let ids: [JobId; 2] = [fixtures::JOB, "00000000000000b1"].map(|id| id.parse().unwrap());
        engine.add_job(ids[0].clone(), spec(2), Some(&progress), 0);
        engine.add_job(ids[1].clone(), spec(2), None, 0);

        // Act.
        engine.place_tasks(0, 0);
        let (rows, _) = engine.take_changes();
        engine.cancel_job(&ids[0], 0);
        let (cancelled, _) = engine.take_changes();

        // Assert: its row stays as it is, so that it can be corrected, until the job is cancelled.
        let changed: Vec<_> = rows.into_iter().map(|(id, _)| id).collect();
        assert_eq!(changed, [ids[1].clone()], "{progress}");
        assert_eq!(cancelled[0].1["phase"], "cancelled");
    }
}

/// A failed attempt that a new controller counts before it knows a configuration would be followed by
/// attempts beyond the limit.
#[test]
fn attempts_that_failed_before_the_configuration_was_known_count_against_the_limit() {
    // Arrange: a worker on which an earlier controller placed the last attempt that the queue allows.
    let config = fixtures::config();
    let attempts = config.queue(fixtures::QUEUE).unwrap().attempts;
    let worker = fixtures::worker_entry(0);
    let mut engine = JobEngine::new(0, 0);
    engine.set_worker(worker.clone(), 0);
    let id: JobId = fixtures::JOB.parse().unwrap();
    let last = json!([attempts, attempts - 1, "", worker.id.as_str()]);
    let progress = json!({ "phase": "running", "tasks": [last] });
    engine.add_job(id.clone(), spec(1), Some(&progress), 0);

    // Act: its end is reported while no configuration is known.
    let end = TaskEnd {
        number: 1,
        task: TaskName {
            job: id.clone(),
            occurrence: 0,
            step: 0,
            index: 0,
        },
        run: u64::from(attempts),
        kind: EndKind::Failed,
        checkpoint: String::new(),
    };
    let report = WorkerReport {
        ends: vec![end],
        ..WorkerReport::default()
    };
    engine.apply_report(&worker.id, &report, 0, 0);
    engine.config = Some(Rc::new(config));
    engine.place_tasks(0, 0);

    // Assert.
    let (rows, _) = engine.take_changes();
    let (_, row) = rows.iter().find(|(changed, _)| *changed == id).unwrap();
    assert_eq!(row["phase"], "failed", "{row}");
}
