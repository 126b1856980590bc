//! Placement at a demand peak of a large fleet.

#[path = "common/workflow.rs"]
mod fixtures;

use std::time::Duration;
use std::time::Instant;

use fixtures::long_running;
use fixtures::step;
use fixtures::EngineFleet;

/// Workers of one service of the users' large site, at its peak.
const WORKERS: usize = 1_100;

/// Jobs that arrive within two seconds of the peak.
const JOBS: usize = 500;

/// Tasks of each job.
const TASKS: u32 = 8;

/// Workers of a pool that a job of the most tasks is wider than.
const POOL_WORKERS: usize = 600;

/// Long-running jobs with a task on each worker of such a pool.
const WIDE_JOBS: usize = 40;

/// A fifth of the time after which the controller's lease counts as expired. Comparing all workers
/// for each task took several times as long.
const PASS_LIMIT: Duration = Duration::from_millis(200);

/// Guards against passes that take the processor time which renewals of leases need: with the
/// workers compared once for each task, a controller of 1,100 workers spent half of its time here.
#[test]
fn a_peak_of_wide_steps_is_placed_well_within_the_lease() {
    // Arrange.
    let mut fleet = EngineFleet::new(WORKERS);
    for number in 0..JOBS {
        fleet.submit(&format!("{number:016x}"), vec![step(TASKS)]);
    }

    // Act.
    let started = Instant::now();
    fleet.engine.place_tasks(fleet.now_ms, 0);
    let elapsed = started.elapsed();

    // Assert.
    assert_eq!(fleet.placed_names().len(), JOBS * TASKS as usize);
    assert!(elapsed < PASS_LIMIT, "{elapsed:?}");
}

/// Guards against a pass over all open jobs while nothing waits for a worker.
#[test]
fn a_pass_without_waiting_tasks_costs_next_to_nothing() {
    // Arrange.
    let mut fleet = EngineFleet::new(WORKERS);
    for number in 0..JOBS {
        fleet.submit(&format!("{number:016x}"), vec![step(TASKS)]);
    }
    fleet.start_all();
    fleet.engine.place_tasks(fleet.now_ms, 0);

    // Act.
    let started = Instant::now();
    for _ in 0..100 {
        fleet.engine.place_tasks(fleet.now_ms, 0);
    }
    let elapsed = started.elapsed();

    // Assert: a hundred passes, one second of them at their usual interval.
    assert!(elapsed < PASS_LIMIT / 4, "{elapsed:?}");
}

/// Guards against passes that compare all workers for each of many jobs that have one task more than
/// workers, at the cost of the renewals.
#[test]
fn long_running_jobs_that_are_wider_than_the_pool_cost_little() {
    // Arrange.
    let mut fleet = EngineFleet::new(POOL_WORKERS);
    let mut wide = long_running(POOL_WORKERS as u32 + 1, 1);
    wide.demand.cpu_millis = 10;
    wide.demand.memory_mb = 10;
    for number in 0..WIDE_JOBS {
        fleet.submit(&format!("{number:016x}"), vec![wide.clone()]);
    }
    fleet.start_all();
    assert_eq!(fleet.placed_names().len(), WIDE_JOBS * POOL_WORKERS);

    // Act.
    let started = Instant::now();
    fleet.engine.place_tasks(fleet.now_ms, 0);
    let elapsed = started.elapsed();

    // Assert.
    assert!(elapsed < PASS_LIMIT / 4, "{elapsed:?}");
}

/// Guards against a copy of the workers that isn't kept in step with the tasks placed on them.
#[test]
fn no_worker_is_overcommitted_by_one_pass() {
    let mut fleet = EngineFleet::new(3);
    for number in 0..9 {
        fleet.submit(&format!("{number:016x}"), vec![step(4)]);
    }

    fleet.engine.place_tasks(fleet.now_ms, 0);

    let workers = fleet.engine.workers.values();
    let used: Vec<_> = workers.map(|worker| worker.used.cpu_millis).collect();
    assert_eq!(used, vec![8_000; 3], "each worker has 8 cores");
    assert_eq!(fleet.placed_names().len(), 24);
}
