//! Guards tasks of workers that are cut off against one list of hosts that leaves their host out.

#[path = "common/workflow.rs"]
mod fixtures;

use std::collections::BTreeSet;

use fixtures::long_running;
use fixtures::task;
use fixtures::EngineFleet;
use fixtures::JOB;

/// A page that shifts while hosts change pools may leave a host out of one list. The worker's runs go on
/// if only its links are cut.
#[test]
fn one_list_without_the_host_does_not_release_the_tasks_of_a_worker_that_is_cut_off() {
    // Arrange.
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![long_running(1, 1)]);
    fleet.start_all();
    fleet.report_all();
    let worker = fleet.worker_of(&task(JOB, 0));
    let mut shifted: BTreeSet<_> = fleet.engine.workers.keys().cloned().collect();

    // Act: the list before had the host, and so would the next.
    fleet.mark_unresponsive_by_id(&worker);
    fleet.engine.unlist_worker(&worker);
    fleet.advance(1_500);
    fleet
        .engine
        .reconcile_hosted_workers(&shifted, fleet.now_ms);
    shifted.remove(&worker);
    fleet.advance(100);
    fleet
        .engine
        .reconcile_hosted_workers(&shifted, fleet.now_ms);

    // Assert.
    assert!(fleet.is_placed(&task(JOB, 0)), "its lease has not expired");
}
