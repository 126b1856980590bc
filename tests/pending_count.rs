//! Guards against counts of pending jobs that leave out jobs of which no task has begun.

#[path = "common/workflow.rs"]
mod fixtures;

use zincpier::workflow::CommandOutcome;
use zincpier::workflow::EndKind;

use crate::fixtures::EngineFleet;

fn pending(fleet: &EngineFleet) -> u64 {
    fleet.engine.pending_counts()[fixtures::QUEUE]
}

#[test]
fn gang_without_room_counts_as_pending() {
    let mut fleet = EngineFleet::new(1);
    let mut gang = fixtures::step(64);
    gang.gang = true;
    fleet.submit(fixtures::JOB, vec![gang]);

    let placed = fleet.place();

    assert!(placed.is_empty());
    assert_eq!(pending(&fleet), 1);
}

#[test]
fn job_whose_start_was_not_sent_counts_as_pending() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(fixtures::JOB, vec![fixtures::step(1)]);
    let placed = fleet.place();
    let not_sent = CommandOutcome::NotSent("no connection".to_owned());

    let now_ms = fleet.now_ms;
    fleet.engine.apply_start(&placed[0], 1, &not_sent, now_ms);

    assert_eq!(pending(&fleet), 1);
}

#[test]
fn job_whose_placement_was_inherited_counts_as_pending_until_a_worker_reports_it() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(fixtures::JOB, vec![fixtures::step(2)]);
    fleet.start_all();

    let mut successor = fleet.successor_without_workers();
    let before = pending(&successor);
    successor.list_and_report_running();

    assert_eq!((before, pending(&successor)), (1, 0));
}

#[test]
fn job_with_an_accepted_start_or_an_end_is_not_pending() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(
        fixtures::JOB,
        vec![fixtures::step(1), fixtures::step_after(1, 0)],
    );
    fleet.start_all();
    let started = pending(&fleet);

    fleet.end_all(EndKind::Done);
    let successor = fleet.successor();

    assert_eq!((started, pending(&successor)), (0, 0));
}
