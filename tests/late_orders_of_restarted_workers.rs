//! Guards the lease that is assumed for a worker that has started again under its id.

#[path = "common/workflow.rs"]
mod fixtures;

use fixtures::step;
use fixtures::task;
use fixtures::worker_entry;
use fixtures::EngineFleet;
use fixtures::JOB;
use zincpier::id::IncarnationStart;
use zincpier::workflow::WorkerEntry;
use zincpier::workflow::WorkerReport;

/// The longest lease that the platform grants; a later end on the clock of an earlier incarnation is
/// shortened to it.
const MAX_LEASE_MS: u64 = 10_000;

/// A start that was meant for the earlier incarnation has its deadline on a clock that was far ahead. The
/// new one may execute it just before its first answer, and then holds the longest lease, which never
/// shortens and applies to each task that it is given.
#[test]
fn lease_of_a_restarted_worker_covers_a_late_start_with_a_deadline_on_the_earlier_clock() {
    // Arrange: a start is sent to the first incarnation, which ends.
    let mut fleet = EngineFleet::new(1);
    let entry = |start| WorkerEntry {
        incarnation_start: Some(IncarnationStart::new(start)),
        ..worker_entry(0)
    };
    let id = worker_entry(0).id;
    fleet.engine.set_worker(entry(1), fleet.now_ms);
    fleet.submit(JOB, vec![step(1)]);
    fleet.place();
    fleet.send(&task(JOB, 0));
    fleet.engine.set_worker(entry(7), fleet.now_ms);
    assert!(fleet.engine.workers[&id].has_carried_tasks());

    // Act: the next incarnation answers for the first time.
    let clock_ms = 500;
    let report = WorkerReport {
        incarnation_start: Some(IncarnationStart::new(7)),
        clock_ms,
        ..WorkerReport::default()
    };
    let now_ms = fleet.now_ms;
    assert!(fleet.engine.apply_report(&id, &report, now_ms, now_ms));

    // Assert.
    let lease_end_ms = fleet.engine.workers[&id].lease_end_ms;
    assert!(
        lease_end_ms >= clock_ms + MAX_LEASE_MS,
        "assumed to end at {lease_end_ms}"
    );
}
