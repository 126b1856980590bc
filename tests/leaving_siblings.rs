//! Guards tasks of one step on leaving workers against sharing the only place that is left.

#[path = "common/workflow.rs"]
mod fixtures;

use fixtures::long_running;
use fixtures::task;
use fixtures::EngineFleet;
use fixtures::JOB;
use zincpier::workflow::EndKind;

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

/// The stop of a task on a worker that stays is within its step's limit when it is sent, and must still be
/// when it takes effect: siblings that leave beyond the limit wait for it.
#[test]
fn siblings_that_leave_together_wait_for_a_stop_on_a_worker_that_stays() {
    // Arrange: one of four tasks is being stopped, as one may be.
    let mut fleet = EngineFleet::new(8);
    fleet.submit(JOB, vec![long_running(4, 1)]);
    assert_eq!(fleet.start_all(), 4);
    fleet.report_all();
    let workers = [0, 1, 2, 3].map(|index| fleet.worker_of(&task(JOB, index)));
    fleet.engine.drain_worker(&workers[0], false);
    assert_eq!(fleet.engine.take_stops().len(), 1);

    // Act: two others are to leave, and their time runs out.
    for worker in &workers[1..3] {
        fleet.set_draining(worker);
    }
    fleet.advance(1_000);
    fleet.place();
    let early = fleet.engine.take_stops();
    fleet.end(&task(JOB, 0), EndKind::Stopped);
    fleet.place();
    let late = fleet.engine.take_stops();

    // Assert.
    assert_eq!(early, []);
    assert_eq!(late.len(), 2);
}
