//! Decisions of the workflow engine, without any I/O.

#[path = "common/workflow.rs"]
mod fixtures;

use std::collections::BTreeSet;

use fixtures::*;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::EndKind;
use zincpier::workflow::JobPhase;
use zincpier::workflow::OrderPhase;
use zincpier::workflow::TaskPhase;

#[test]
fn a_finished_step_opens_the_next() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(2), step_after(1, 0)]);

    fleet.start_all();
    fleet.end_all(EndKind::Done);
    fleet.start_all();

    assert_eq!(fleet.placed(), vec![format!("{JOB}.0.1.0")]);
    fleet.end_all(EndKind::Done);
    assert_eq!(fleet.phase(JOB), JobPhase::Complete);
}

#[test]
fn a_stopped_run_that_is_still_listed_does_not_count_as_at_work() {
    let mut fleet = EngineFleet::new(3);
    fleet.submit(JOB, vec![long_running(2, 1)]);
    fleet.start_all();
    fleet.report_all();
    let first = task(JOB, 0);
    let second = task(JOB, 1);
    assert!(fleet.engine.can_spare(&second));
    fleet.stop(&first);

    fleet.report_all();

    assert!(matches!(fleet.order(&first), Some(OrderPhase::Stopped(_))));
    assert!(!fleet.engine.can_spare(&second), "its sibling is away");
}

#[test]
fn a_start_without_an_answer_is_stopped_before_the_task_goes_elsewhere() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(1)]);
    let name = task(JOB, 0);
    fleet.place();
    let lost = CommandOutcome::Unknown("no answer".to_owned());
    fleet.engine.apply_start(&name, 1, &lost, fleet.now_ms);

    fleet.pass(100);
    fleet.report_empty();
    let stops = fleet.engine.take_stops();

    assert_eq!(stops.len(), 1);
    assert!(fleet.is_placed(&name), "the run may still begin");
    fleet
        .engine
        .apply_stop(&stops[0], &CommandOutcome::Accepted(1), fleet.now_ms);
    fleet.pass(100);
    fleet.report_empty();
    assert!(!fleet.is_placed(&name));
}

#[test]
fn a_task_that_failed_too_often_fails_its_job() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(1)]);

    for _ in 0..ATTEMPTS {
        assert_eq!(fleet.start_all(), 1);
        fleet.end_all(EndKind::Failed);
    }

    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
    assert_eq!(fleet.start_all(), 0);
}

#[test]
fn progress_survives_a_change_of_the_controller() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(2), step_after(1, 0)]);
    fleet.start_all();
    fleet.end_first(EndKind::Done);

    let mut next = fleet.successor();
    next.report_empty();

    let states: Vec<_> = next.states(JOB);
    assert_eq!(states[0], TaskPhase::Done);
    assert_eq!(states[1], TaskPhase::Waiting, "its start was never sent");
}

#[test]
fn a_lost_worker_keeps_its_tasks_until_its_lease_is_over() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![step(1)]);
    fleet.start_all();
    fleet.report_all();
    let name = task(JOB, 0);
    fleet.lose_worker(0);

    fleet.pass(LEASE_MS - 500);
    fleet.engine.expire_workers(fleet.now_ms);
    assert!(fleet.is_placed(&name), "the worker may run on behind a cut");

    fleet.pass(800);
    fleet.engine.expire_workers(fleet.now_ms);
    assert!(!fleet.is_placed(&name));
}

#[test]
fn an_unlisted_worker_that_answers_keeps_its_tasks() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![long_running(1, 0)]);
    fleet.start_all();
    let mut next = fleet.successor();
    next.lose_worker(0);
    next.unlist_worker(0);

    next.report_all();
    next.engine.expire_workers(next.now_ms);

    assert!(next.is_placed(&task(JOB, 0)), "the run goes on there");
}

#[test]
fn a_silent_worker_gets_no_further_lease() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![step(1)]);
    fleet.start_all();
    fleet.report_all();
    assert!(fleet.next_lease(0).is_some());

    fleet.lose_worker(0);

    assert_eq!(fleet.next_lease(0), None);
}

#[test]
fn a_task_on_a_silent_worker_does_not_count_as_at_work() {
    let mut fleet = EngineFleet::new(3);
    fleet.submit(JOB, vec![long_running(2, 1)]);
    fleet.start_all();
    fleet.report_all();
    let first = task(JOB, 0);
    let second = task(JOB, 1);
    let silent = fleet.worker_of(&first);

    fleet.lose_worker_named(&silent);

    assert!(!fleet.engine.can_spare(&second), "its sibling may be lost");
}

#[test]
fn a_cancelled_job_is_stopped_by_a_controller_that_learns_of_its_workers_later() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![long_running(1, 0)]);
    fleet.start_all();
    let mut next = fleet.successor_without_workers();
    next.engine.cancel_job(&task(JOB, 0).job, next.now_ms);
    next.engine.take_stops();

    next.enlist_running();

    let stops = next.engine.take_stops();
    assert_eq!(stops.len(), 1, "the run goes on and has to be stopped");
}

#[test]
fn a_host_that_lists_its_worker_no_more_ends_its_tasks() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(1)]);
    fleet.start_all();
    let name = task(JOB, 0);
    let worker = fleet.worker_of(&name);

    fleet.engine.end_incarnation(&worker, "test", fleet.now_ms);

    assert!(!fleet.is_placed(&name));
    let entry = worker_entry(0);
    fleet.engine.set_worker(entry.clone());
    let back = fleet.engine.workers.contains_key(&entry.id);
    assert_eq!(
        back,
        entry.id != worker,
        "an incarnation that ended does not return"
    );
}

#[test]
fn tasks_of_workers_that_no_host_lists_are_released_after_a_takeover() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![step(1)]);
    fleet.start_all();
    let mut next = fleet.successor_without_workers();

    next.engine.note_hosted(&BTreeSet::new(), next.now_ms);

    assert!(!next.is_placed(&task(JOB, 0)));
}

#[test]
fn a_failed_task_is_tried_on_another_worker() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(1)]);
    let name = task(JOB, 0);
    fleet.start_all();
    let first = fleet.worker_of(&name);

    fleet.end_all(EndKind::Failed);
    fleet.start_all();

    assert_ne!(fleet.worker_of(&name), first);
}

#[test]
fn tasks_that_stand_still_are_started_elsewhere() {
    let mut fleet = EngineFleet::new(2);
    for number in 0..10 {
        fleet.submit(&format!("{number:016x}"), vec![step(1)]);
        fleet.start_all();
        fleet.pass(400);
        fleet.end_all(EndKind::Done);
    }
    fleet.submit(JOB, vec![step(2)]);
    fleet.start_all();
    fleet.report_all();
    let stalled = fleet.worker_of(&task(JOB, 0));

    fleet.pass(900);
    fleet.engine.release_stalled(fleet.now_ms);
    assert!(fleet.engine.take_stops().is_empty(), "they may be slow");

    fleet.pass(1_000);
    fleet.engine.release_stalled(fleet.now_ms);
    assert_eq!(fleet.engine.take_stops().len(), 2);
    assert!(!fleet.engine.workers[&stalled].takes_tasks(fleet.now_ms));
}
