//! Guards against long-running tasks that stay without a run for longer than the loss of their worker
//! asks for: the time from the end of a run to the next placement.

#[path = "common/workflow.rs"]
mod fixtures;

use std::collections::BTreeSet;

use fixtures::long_running;
use fixtures::step;
use fixtures::task;
use fixtures::worker_entry;
use fixtures::EngineFleet;
use fixtures::JOB;
use zincpier::id::WorkerId;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::CommandRefusal;

/// The platform counts a long-running task as lost from 6 s after its last run.
const MAX_GAP_MS: u64 = 6_000;

/// A host that is removed is missing in the next list, which may be a second old.
const MAX_REMOVED_GAP_MS: u64 = 1_500;

const STEP_MS: u64 = 50;

/// Returns a fleet whose worker 0 runs the only long-running task, beside an idle one.
fn fleet_with_a_long_task() -> (EngineFleet, WorkerId) {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![long_running(1, 1)]);
    fleet.start_all();
    fleet.report_all();
    let worker = fleet.worker_of(&task(JOB, 0));
    (fleet, worker)
}

/// Ends a worker without a word: it answers no call from now on.
fn silence(fleet: &mut EngineFleet, worker: &WorkerId) {
    fleet.mark_unresponsive_by_id(worker);
}

/// Returns the time in ms until the task waits for a worker, up to `limit_ms`. With `hosted`, lists of hosts
/// show these workers only.
fn gap_ms(fleet: &mut EngineFleet, hosted: Option<&BTreeSet<WorkerId>>, limit_ms: u64) -> u64 {
    let began_ms = fleet.now_ms;
    while fleet.is_placed(&task(JOB, 0)) && fleet.now_ms < began_ms + limit_ms {
        fleet.advance(STEP_MS);
        fleet.engine.expire_workers(fleet.now_ms);
        if let Some(hosted) = hosted {
            fleet.engine.reconcile_hosted_workers(hosted, fleet.now_ms);
        }
    }
    fleet.now_ms - began_ms
}

/// The longest lease that the platform grants is twice as long as the leases that holders request.
#[test]
fn worker_that_ends_after_it_answered_a_new_holder_is_waited_for_no_longer_than_its_lease() {
    // Arrange.
    let (mut fleet, worker) = fleet_with_a_long_task();
    let mut next = fleet.successor();
    next.report_all();

    // Act.
    silence(&mut next, &worker);
    let gap_ms = gap_ms(&mut next, None, 20_000);

    // Assert.
    assert!(gap_ms <= MAX_GAP_MS, "{gap_ms} ms without a run");
}

/// A worker that left has neither an entry nor a host, so its runs are over, whatever its lease.
#[test]
fn worker_whose_host_is_removed_is_not_waited_for() {
    for is_taken_over in [false, true] {
        // Arrange.
        let (mut fleet, worker) = fleet_with_a_long_task();
        if is_taken_over {
            fleet = fleet.successor();
            fleet.report_all();
        }
        let others: BTreeSet<_> = (0..2).map(|index| worker_entry(index).id).collect();
        let others = others.into_iter().filter(|id| *id != worker).collect();

        // Act.
        silence(&mut fleet, &worker);
        fleet.engine.unlist_worker(&worker);
        let gap_ms = gap_ms(&mut fleet, Some(&others), 20_000);

        // Assert.
        assert!(
            gap_ms <= MAX_REMOVED_GAP_MS,
            "taken over: {is_taken_over}, {gap_ms} ms without a run"
        );
    }
}

/// Nothing says that a worker without an entry or without a host has ended: it may be cut off.
#[test]
fn worker_that_answers_or_is_listed_keeps_its_tasks_without_a_host() {
    // Arrange.
    let (mut answering, worker) = fleet_with_a_long_task();
    let (mut listed, _) = fleet_with_a_long_task();
    let (mut hosted, _) = fleet_with_a_long_task();

    // Act.
    answering.engine.unlist_worker(&worker);
    let answering_gap_ms = gap_ms(&mut answering, Some(&BTreeSet::new()), 3_000);
    silence(&mut listed, &worker);
    let listed_gap_ms = gap_ms(&mut listed, Some(&BTreeSet::new()), 3_000);
    silence(&mut hosted, &worker);
    hosted.engine.unlist_worker(&worker);
    let all = (0..2).map(|index| worker_entry(index).id).collect();
    let hosted_gap_ms = gap_ms(&mut hosted, Some(&all), 3_000);

    // Assert: each still waits.
    assert_eq!(
        (answering_gap_ms, listed_gap_ms, hosted_gap_ms),
        (3_000, 3_000, 3_000)
    );
}

/// A worker goes on for seconds after it says that it leaves; its tasks can move meanwhile.
#[test]
fn long_running_task_leaves_a_worker_that_is_about_to_leave() {
    // Arrange.
    let (mut fleet, worker) = fleet_with_a_long_task();

    // Act.
    fleet.set_draining(&worker);
    fleet.place();
    let stops = fleet.engine.take_stops();

    // Assert.
    let stopped: Vec<_> = stops.iter().map(|stop| &stop.worker).collect();
    assert_eq!(stopped, [&worker]);
}

/// A task that is stopped without a place to go serves nobody, while its worker would still run it.
#[test]
fn long_running_task_stays_on_a_leaving_worker_until_another_has_room() {
    // Arrange: ordinary tasks take the rest of both workers.
    let (mut fleet, worker) = fleet_with_a_long_task();
    fleet.submit("00000000000000b1", vec![step(15)]);
    assert_eq!(fleet.start_all(), 15);
    fleet.report_all();

    // Act.
    fleet.set_draining(&worker);
    fleet.place();
    let stops = fleet.engine.take_stops();

    // Assert.
    assert_eq!(stops, []);
}

/// A list of hosts is read in pages, so that a host may be missing in one of them while it changes its
/// place. A worker that is cut off, and whose entry lapsed in an outage of the table, runs its tasks on.
#[test]
fn worker_that_is_missing_from_one_list_of_hosts_keeps_its_tasks() {
    for is_taken_over in [false, true] {
        // Arrange.
        let (mut fleet, worker) = fleet_with_a_long_task();
        if is_taken_over {
            fleet = fleet.successor();
        }
        let all: BTreeSet<_> = (0..2).map(|index| worker_entry(index).id).collect();
        let others = all.iter().filter(|id| **id != worker).cloned().collect();
        silence(&mut fleet, &worker);
        fleet.engine.unlist_worker(&worker);
        fleet.advance(2_000);

        // Act.
        fleet.engine.reconcile_hosted_workers(&others, fleet.now_ms);
        fleet.advance(200);
        fleet.engine.reconcile_hosted_workers(&all, fleet.now_ms);
        let gap_ms = gap_ms(&mut fleet, Some(&all), 1_000);

        // Assert.
        assert_eq!(gap_ms, 1_000, "taken over: {is_taken_over}");
    }
}

/// A worker may refuse a task for what no report shows. Of workers that suit it equally, always the same
/// one comes first.
#[test]
fn long_running_task_that_a_worker_refuses_for_want_of_room_goes_to_another() {
    // Arrange.
    let mut fleet = EngineFleet::new(3);
    fleet.submit(JOB, vec![long_running(1, 1)]);
    fleet.place();
    let name = task(JOB, 0);
    let refusing = fleet.worker_of(&name);
    fleet.send(&name);

    // Act.
    let refusal = CommandOutcome::Refused(CommandRefusal::NoRoom);
    fleet.engine.apply_start(&name, 1, &refusal, fleet.now_ms);
    fleet.place();

    // Assert.
    assert_ne!(fleet.worker_of(&name), refusing);
}
