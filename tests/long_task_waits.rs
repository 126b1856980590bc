//! Guards against long-running tasks that stay without a run while nobody is told.

#[path = "common/workflow.rs"]
mod fixtures;

use fixtures::capped_organisation;
use fixtures::long_running;
use fixtures::step;
use fixtures::task;
use fixtures::EngineFleet;
use fixtures::JOB;
use zincpier::workflow::CommandOutcome;

/// Returns for how long the task that waits longest has waited, in ms, and for what.
fn longest_wait(fleet: &mut EngineFleet) -> Option<(u64, &'static str)> {
    let wait = fleet.engine.check_long_tasks(fleet.now_ms)?;
    Some((wait.waited_ms, wait.reason))
}

#[test]
fn a_long_running_task_without_room_is_reported_with_its_time() {
    // Arrange: two tasks, one worker.
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![long_running(2, 1)]);
    fleet.start_all();
    fleet.report_all();

    // Act.
    let first = longest_wait(&mut fleet);
    fleet.advance(3_500);
    let second = longest_wait(&mut fleet);

    // Assert.
    let reason = "no worker has room for it";
    assert_eq!((first, second), (Some((0, reason)), Some((3_500, reason))));
}

#[test]
fn a_stop_that_nobody_answers_is_reported_until_the_task_runs_again() {
    // Arrange.
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![long_running(1, 1)]);
    fleet.start_all();
    fleet.report_all();
    let name = task(JOB, 0);
    let worker = fleet.worker_of(&name);
    let running = longest_wait(&mut fleet);
    fleet.advance(500);

    // Act: the stop is lost, then accepted, and the task starts elsewhere.
    fleet.engine.drain_worker(&worker, false);
    let stopping = longest_wait(&mut fleet);
    let stops = fleet.engine.take_stops();
    fleet.advance(2_000);
    let accepted = CommandOutcome::Accepted(1);
    fleet.engine.apply_stop(&stops[0], &accepted, fleet.now_ms);
    let stopped = longest_wait(&mut fleet);
    fleet.report_empty();
    fleet.start_all();
    fleet.report_all();
    fleet.advance(500);
    let restarted = longest_wait(&mut fleet);

    // Assert.
    assert_eq!(running, None);
    assert_eq!(stopping, Some((0, "its stop is not answered")));
    assert_eq!(
        stopped,
        Some((2_000, "its worker has not reported its end"))
    );
    assert_eq!(restarted, None);
}

#[test]
fn a_task_that_may_not_start_yet_is_not_reported_as_waiting() {
    // Arrange: the long-running step waits for another one, and the other job is cancelled.
    let mut fleet = EngineFleet::new(1);
    let mut after = long_running(1, 1);
    after.after = vec![0];
    fleet.submit(JOB, vec![step(1), after]);
    fleet.submit("00000000000000b1", vec![long_running(2, 1)]);
    fleet.start_all();
    fleet.report_all();
    let cancelled = task("00000000000000b1", 0).job;
    fleet.engine.cancel_job(&cancelled, fleet.now_ms);

    // Act.
    let wait = longest_wait(&mut fleet);

    // Assert.
    assert_eq!(wait, None);
}

#[test]
fn a_task_over_its_cap_does_not_look_as_if_workers_were_missing() {
    // Arrange.
    let mut fleet = EngineFleet::new(2);
    fleet.set_organisations(vec![capped_organisation("org-a", 1)]);
    fleet.submit_for("org-a", JOB, vec![long_running(2, 1)]);
    fleet.start_all();
    fleet.report_all();

    // Act.
    let wait = longest_wait(&mut fleet);

    // Assert.
    assert_eq!(wait, Some((0, "its organisation is at its cap")));
}

/// A worker that ends with its tasks reports nothing, so its tasks would count as running.
#[test]
fn a_task_of_a_silent_worker_is_reported_until_it_runs_again() {
    // Arrange.
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![long_running(1, 1)]);
    fleet.start_all();
    fleet.report_all();
    let silent = fleet.worker_of(&task(JOB, 0));
    let running = longest_wait(&mut fleet);
    fleet.advance(500);

    // Act.
    fleet.mark_unresponsive_by_id(&silent);
    let first = longest_wait(&mut fleet);
    fleet.advance(2_000);
    let second = longest_wait(&mut fleet);

    // Assert.
    let reason = "its worker does not answer";
    assert_eq!(running, None);
    assert_eq!((first, second), (Some((0, reason)), Some((2_000, reason))));
}
