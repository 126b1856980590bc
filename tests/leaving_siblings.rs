//! Guards tasks of one step on leaving workers against sharing the only place that is left.

#[path = "common/workflow.rs"]
mod fixtures;

use fixtures::long_running;
use fixtures::task;
use fixtures::EngineFleet;
use fixtures::JOB;

/// Only one task of a step that allows one a worker has a place to go; the other would serve nobody
/// while its worker would still run it.
#[test]
fn second_task_of_a_step_with_one_a_worker_stays_when_one_other_worker_is_left() {
    // Arrange.
    let mut fleet = EngineFleet::new(3);
    fleet.submit(JOB, vec![long_running(2, 2)]);
    assert_eq!(fleet.start_all(), 2);
    fleet.report_all();
    let workers = [0, 1].map(|index| fleet.worker_of(&task(JOB, index)));

    // Act.
    for worker in &workers {
        fleet.set_draining(worker);
    }
    fleet.place();
    let stops = fleet.engine.take_stops();

    // Assert.
    assert_eq!(stops.len(), 1, "{stops:?}");
}
