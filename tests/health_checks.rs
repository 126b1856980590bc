//! What the regular check of all workers looks at.

#[path = "common/workflow.rs"]
mod fixtures;

use fixtures::step;
use fixtures::EngineFleet;
use zincpier::id::WorkerId;
use zincpier::workflow::EndKind;
use zincpier::workflow::StepSpec;

const WORKERS: usize = 20;
/// The estimate of the fixtures' tasks.
const TASK_MS: u64 = 500;
const CHECK_MS: u64 = 250;
/// A time between the usual duration and the age at which tasks show a slow worker.
const USUAL_AGE_MS: u64 = 2 * CHECK_MS;

/// Submits a job of eight tasks for the worker with this index and starts them.
fn start_on(fleet: &mut EngineFleet, index: usize) {
    let spec = StepSpec {
        required_label: Some(format!("rack-{index}")),
        ..step(8)
    };
    let id = format!("{:016x}", fleet.now_ms * 100 + index as u64);
    fleet.submit(&id, vec![spec]);
    assert_eq!(fleet.start_all(), 8);
}

/// Ends all tasks of the workers but one.
fn end_all_but(fleet: &mut EngineFleet, worker: &WorkerId) {
    for name in fleet.placed_names() {
        if fleet.worker_of(&name) != *worker {
            fleet.end(&name, EndKind::Done);
        }
    }
}

fn worker(index: usize) -> WorkerId {
    format!("w-{index}").parse().unwrap()
}

/// Checks all workers; returns how many of them were looked at.
fn check(fleet: &mut EngineFleet) -> u64 {
    fleet.advance(CHECK_MS);
    fleet.engine.release_stalled(fleet.now_ms);
    fleet.engine.fleet_health.reviewed_workers
}

/// Returns a fleet whose queue has expected durations.
fn fleet_with_history(workers: usize, task_ms: u64) -> EngineFleet {
    let mut fleet = EngineFleet::new(workers);
    start_on(&mut fleet, 1);
    fleet.advance(task_ms);
    fleet.end_all(EndKind::Done);
    fleet
}

/// Guards against checks whose cost grows with the fleet: the controller of a large one is short of
/// processor time at its peaks.
#[test]
fn a_check_looks_at_no_worker_while_nothing_is_late() {
    let mut fleet = fleet_with_history(WORKERS, TASK_MS);
    assert_eq!(check(&mut fleet), 0);
    for index in 0..WORKERS {
        start_on(&mut fleet, index);
    }
    fleet.report_all();

    let busy: Vec<_> = (0..USUAL_AGE_MS / CHECK_MS)
        .map(|_| check(&mut fleet))
        .collect();
    fleet.end_all(EndKind::Done);
    let idle = check(&mut fleet);

    assert!(busy.iter().all(|reviewed| *reviewed == 0), "{busy:?}");
    assert_eq!(idle, 0);
}

/// Guards against late tasks that are not looked at, and against looks at workers without any.
#[test]
fn a_check_looks_at_the_workers_with_late_tasks() {
    let mut fleet = fleet_with_history(WORKERS, TASK_MS);
    start_on(&mut fleet, 0);
    fleet.report_all();
    fleet.advance(3 * TASK_MS);
    for index in 1..WORKERS {
        start_on(&mut fleet, index);
    }

    assert_eq!(check(&mut fleet), 1);
    fleet.end_all(EndKind::Done);
    assert_eq!(check(&mut fleet), 0);
}

/// Guards against a hanging worker that is found out by what was expected when its task started, long
/// after the expected duration has fallen.
#[test]
fn a_fall_of_the_expected_duration_applies_to_running_tasks() {
    let mut fleet = fleet_with_history(2, 4 * TASK_MS);
    start_on(&mut fleet, 0);
    fleet.report_all();
    let started_ms = fleet.now_ms;

    while fleet.engine.take_stops().is_empty() {
        start_on(&mut fleet, 1);
        fleet.report_all();
        fleet.advance(100);
        end_all_but(&mut fleet, &worker(0));
        fleet.engine.release_stalled(fleet.now_ms);
        let age_ms = fleet.now_ms - started_ms;
        assert!(age_ms < 5 * TASK_MS, "after {age_ms} ms");
    }
}
