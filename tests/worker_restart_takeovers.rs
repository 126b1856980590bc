//! Takeovers by a new controller whose rows name a worker that has started again under its id.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/restarts.rs"]
mod restarts;

use zincpier::workflow::CommandPhase;
use zincpier::workflow::WorkerReport;
use zincpier::workflow::INHERITED_RUN_MS;

use crate::restarts::report;
use crate::restarts::running;
use crate::restarts::worker_id;
use crate::restarts::RestartFleet;
use crate::restarts::CARRIED_RUN_MS;
use crate::restarts::NEW;
use crate::restarts::OLD;

/// A placement that the new incarnation does not list cannot be running, because the old one is
/// over and the new one refuses earlier controllers' starts; the task would wait for ever.
#[test]
fn new_controller_releases_a_placement_that_the_new_incarnation_does_not_list() {
    let mut next = RestartFleet::with_running(1).successor();

    next.list(NEW);
    next.answer(&report(NEW));

    assert!(!next.is_placed(0));
    next.place_and_send();
    assert_eq!(next.state(0).last_run, 2);
}

/// The predecessor may have placed the task on the new incarnation; the row does not tell. A stop
/// would end a run that is rightly there.
#[test]
fn new_controller_keeps_a_run_that_the_new_incarnation_lists() {
    let mut next = RestartFleet::with_running(1).successor();

    next.list(NEW);
    next.answer(&WorkerReport {
        running: vec![running(0, 1)],
        ..report(NEW)
    });

    let phase = next.state(0).command_phase();
    assert_eq!(phase, Some(CommandPhase::Running));
    assert!(next.engine.take_stops().is_empty());
}

/// The silence of a worker is no proof that a run is over, whichever incarnation the placement was
/// made on.
#[test]
fn new_controller_waits_for_inherited_runs_of_a_silent_worker() {
    let mut next = RestartFleet::with_running(1).successor();
    next.list(NEW);

    next.stay_silent(INHERITED_RUN_MS - 100);
    assert!(next.is_placed(0));

    next.stay_silent(200);
    assert!(!next.is_placed(0));
}

/// A restart after the takeover allows a start of the predecessor to be executed late, since the
/// silent new incarnation has not accepted the new controller's epoch.
#[test]
fn new_controller_waits_longer_for_a_worker_that_restarts_and_stays_silent() {
    let mut next = RestartFleet::with_running(1).successor();
    next.list(OLD);
    next.list(NEW);

    next.stay_silent(CARRIED_RUN_MS - 100);
    assert!(next.is_placed(0));

    next.stay_silent(200);
    assert!(!next.is_placed(0));
}

/// An answer of the old incarnation would make the new controller release what the old one does not
/// list, although the new incarnation may run it.
#[test]
fn new_controller_ignores_a_late_report_of_the_old_incarnation() {
    let mut next = RestartFleet::with_running(1).successor();
    next.list(NEW);

    let applied = next.answer(&report(OLD));

    assert!(!applied);
    assert!(next.is_placed(0));
    assert!(!next.worker().has_accepted_epoch);
}

/// The entry may be older than the answers: the first answer reveals the restart.
#[test]
fn new_controller_learns_of_a_restart_from_the_first_answer() {
    let mut next = RestartFleet::with_running(1).successor();
    next.list(OLD);

    next.answer(&report(NEW));

    assert_eq!(next.engine.incarnation_start(&worker_id()), Some(NEW));
    assert!(!next.is_placed(0));
    next.list(OLD);
    assert_eq!(next.engine.incarnation_start(&worker_id()), Some(NEW));
}
