//! What the engine of a new controller does before its first commit, which also renews the lease.

#[path = "common/workflow.rs"]
mod fixtures;

use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use zincpier::workflow::JobEngine;
use zincpier::workflow::JobSpec;

/// Workers of the users' grown sites.
const WORKERS: usize = 349;

/// Open jobs of a takeover during a peak.
const OPEN_JOBS: usize = 1_400;

/// Tasks of each job.
const TASKS: u32 = 16;

/// A third of the interval at which the controller's lease is renewed.
const LISTING_LIMIT: Duration = Duration::from_millis(100);

/// Restores jobs whose tasks an earlier controller has placed on all workers in turn.
fn restore_placed_jobs(engine: &mut JobEngine) {
    for number in 0..OPEN_JOBS {
        let spec = JobSpec {
            queue: fixtures::QUEUE.to_owned(),
            organisation: None,
            payload: "text".to_owned(),
            steps: vec![fixtures::step(TASKS)],
            schedule: None,
        };
        let placed = |index| json!([1, 0, "", format!("w-{}", (number + index) % WORKERS)]);
        let tasks: Vec<_> = (0..TASKS as usize).map(placed).collect();
        let progress = json!({ "phase": "running", "tasks": tasks });
        let id = format!("{number:016x}").parse().unwrap();
        engine.add_job(id, spec, Some(&progress), 0);
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
