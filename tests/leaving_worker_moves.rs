//! Guards long-running tasks against a stop on a leaving worker while they may not start elsewhere.

#[path = "common/workflow.rs"]
mod fixtures;

use fixtures::capped_organisation;
use fixtures::long_running;
use fixtures::task;
use fixtures::EngineFleet;
use fixtures::JOB;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::EndKind;

/// What becomes of a task whose worker says that it leaves.
#[derive(Debug, Eq, PartialEq)]
enum MoveOutcome {
    Moved,
    Stays,
    Stranded,
}

/// Lets the worker of the first of two tasks leave after a change of the fleet. A third worker is idle.
fn outcome_after(change: impl FnOnce(&mut EngineFleet)) -> MoveOutcome {
    let mut fleet = EngineFleet::new(3);
    fleet.set_organisations(vec![capped_organisation("a", 8)]);
    fleet.submit_for("a", JOB, vec![long_running(2, 1)]);
    assert_eq!(fleet.start_all(), 2);
    fleet.report_all();
    let name = task(JOB, 0);
    let worker = fleet.worker_of(&name);
    change(&mut fleet);
    fleet.set_draining(&worker);
    fleet.place();
    let stops = fleet.engine.take_stops();
    let Some(stop) = stops.first() else {
        return MoveOutcome::Stays;
    };
    let accepted = CommandOutcome::Accepted(1);
    fleet.engine.apply_stop(stop, &accepted, fleet.now_ms);
    fleet.end(&name, EndKind::Stopped);
    fleet.place();
    match fleet.is_placed(&name) {
        true => MoveOutcome::Moved,
        false => MoveOutcome::Stranded,
    }
}

/// Organisations with a cap start nothing until the configuration is confirmed again, so the task would
/// serve nobody.
#[test]
fn task_stays_on_a_leaving_worker_while_its_organisation_may_start_nothing() {
    assert_eq!(outcome_after(|_| {}), MoveOutcome::Moved);

    let outcome = outcome_after(|fleet| fleet.engine.is_config_recent = false);
    assert_eq!(outcome, MoveOutcome::Stays);
}

/// A cap that came into force after the start lets running tasks go on, but none start.
#[test]
fn task_stays_on_a_leaving_worker_while_its_organisation_is_over_its_cap() {
    let outcome = outcome_after(|fleet| {
        fleet.set_organisations(vec![capped_organisation("a", 1)]);
    });

    assert_eq!(outcome, MoveOutcome::Stays);
}
