//! Guards tasks of removed hosts against being taken for the cause of a crash.

#[path = "common/workflow.rs"]
mod fixtures;

use std::collections::BTreeSet;

use fixtures::long_running;
use fixtures::task;
use fixtures::EngineFleet;
use fixtures::JOB;

/// A worker that crashed leaves its host in the list. One whose host is gone was removed; its last entry
/// may not have been read.
#[test]
fn removal_of_a_host_does_not_count_as_a_crash_of_its_tasks() {
    // Arrange.
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![long_running(1, 1)]);
    fleet.start_all();
    fleet.report_all();
    let worker = fleet.worker_of(&task(JOB, 0));

    // Act.
    fleet.mark_unresponsive_by_id(&worker);
    fleet.engine.unlist_worker(&worker);
    fleet.advance(1_500);
    for _ in 0..2 {
        fleet.advance(200);
        let now_ms = fleet.now_ms;
        fleet
            .engine
            .reconcile_hosted_workers(&BTreeSet::new(), now_ms);
    }

    // Assert.
    let state = fleet.state(&task(JOB, 0));
    assert!(state.worker().is_none());
    assert!(
        !state.is_suspect,
        "taken for a task that crashes its worker"
    );
}
