//! Gangs whose members fail. Guards against a failed run of a gang that counts once for each of its members, so
//! that a job ends as failed although its gang has failed less often than its queue allows.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/crashes.rs"]
mod crashes;

use serde_json::json;
use serde_json::Value;
use zincpier::workflow::EndKind;
use zincpier::workflow::JobPhase;

use crate::crashes::CrashFleet;
use crate::fixtures::gang;
use crate::fixtures::step;
use crate::fixtures::task;
use crate::fixtures::EngineFleet;
use crate::fixtures::ATTEMPTS;
use crate::fixtures::JOB;

/// Returns the row that a build writes which counts failures by member.
fn by_member(mut row: Value, failures: &[u32]) -> Value {
    let tasks = row["tasks"].as_array_mut().unwrap();
    for (task, failures) in tasks.iter_mut().zip(failures) {
        task[1] = json!(failures);
    }
    row.as_object_mut().unwrap().remove("failed-runs");
    row
}

/// Returns a gang of four on one worker whose first run has begun.
fn started_gang() -> EngineFleet {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![gang(4, 1_000)]);
    fleet.start_all();
    fleet
}

/// Fails the gang's present run at the members that `indices` names and breaks it at the others.
fn fail_run(fleet: &mut EngineFleet, indices: &[u32]) {
    for index in 0..4 {
        let kind = match indices.contains(&index) {
            true => EndKind::Failed,
            false => EndKind::Broken,
        };
        fleet.end(&task(JOB, index), kind);
    }
}

/// Guards against a failing worker that uses up all attempts with one run (review/7).
#[test]
fn run_that_fails_at_each_member_counts_once() {
    let mut fleet = CrashFleet::new(2);
    fleet.failing.insert(0);
    fleet.submit(JOB, vec![gang(6, 1_000)]);

    fleet.run(4_000);

    assert_eq!(fleet.phase(JOB), JobPhase::Complete);
    assert_eq!(fleet.failed_runs[&task(JOB, 0)].len(), 1);
}

/// Guards against a gang that is started again although it has failed as often as its queue allows.
#[test]
fn gang_that_always_fails_is_started_as_often_as_its_queue_allows() {
    let mut fleet = CrashFleet::new(3);
    fleet.failing.extend(0..3);
    fleet.submit(JOB, vec![gang(6, 1_000)]);

    fleet.run(20_000);

    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
    for index in 0..6 {
        assert_eq!(fleet.start_count(&task(JOB, index)), ATTEMPTS);
    }
}

/// Guards against a count by member: members that fail in turn, one in each run, fail the gang each time.
#[test]
fn members_that_fail_in_turn_each_fail_the_gang() {
    let mut fleet = started_gang();

    for run in 0..ATTEMPTS {
        assert_eq!(fleet.phase(JOB), JobPhase::Running, "run {run}");
        fail_run(&mut fleet, &[run]);
        fleet.start_all();
    }

    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
}

/// Guards against ends of the other members that count as failures.
#[test]
fn broken_members_count_as_no_failures() {
    let mut fleet = started_gang();

    for _ in 0..3 * ATTEMPTS {
        fail_run(&mut fleet, &[]);
        fleet.start_all();
    }

    assert_eq!(fleet.phase(JOB), JobPhase::Running);
    assert_eq!(fleet.state(&task(JOB, 0)).failures, 0);
}

/// Guards against a run that counts again since a new controller learns of its other ends.
#[test]
fn run_whose_ends_come_before_and_after_a_takeover_counts_once() {
    let mut fleet = started_gang();

    for index in 0..4 {
        fleet.end(&task(JOB, index), EndKind::Failed);
        fleet = fleet.successor();
    }

    assert_eq!(fleet.state(&task(JOB, 0)).failures, 1);
    assert_eq!(fleet.phase(JOB), JobPhase::Running);
}

/// Guards against rows of builds that counted each member of a failed run.
#[test]
fn row_with_failures_of_each_member_counts_as_one_failed_run() {
    let mut fleet = started_gang();
    fail_run(&mut fleet, &[0]);
    let job = &fleet.engine.jobs[&JOB.parse().unwrap()];
    let (row, spec) = (job.to_value(), job.spec.as_ref().clone());

    let mut next = fleet.successor_without_workers();
    next.engine.jobs.clear();
    let id = JOB.parse().unwrap();
    let row = by_member(row, &[0, 1, 1, 0]);
    next.engine.add_job(id, spec, Some(&row), next.now_ms);
    next.list_and_report_running();
    next.start_all();

    assert_eq!(next.phase(JOB), JobPhase::Running);
    assert_eq!(next.state(&task(JOB, 0)).failures, 1);
    for run in 1..ATTEMPTS {
        assert_eq!(next.phase(JOB), JobPhase::Running, "run {run}");
        fail_run(&mut next, &[0, 1, 2, 3]);
        next.start_all();
    }
    assert_eq!(next.phase(JOB), JobPhase::Failed);
}

/// Guards against rows from which a build that adds up the failures of all members takes more than the gang's.
#[test]
fn row_adds_up_to_the_failed_runs_of_the_gang() {
    let mut fleet = started_gang();
    fail_run(&mut fleet, &[1, 2, 3]);
    fleet.start_all();
    fail_run(&mut fleet, &[0, 3]);

    let row = fleet.engine.jobs[&JOB.parse().unwrap()].to_value();

    let tasks = row["tasks"].as_array().unwrap().iter();
    let failures: u64 = tasks.map(|task| task[1].as_u64().unwrap()).sum();
    assert_eq!(failures, 2);
}

/// Guards against tasks that are no gang and count each other's failures.
#[test]
fn tasks_of_an_ordinary_step_count_their_own_failures() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![step(4)]);
    fleet.start_all();

    fail_run(&mut fleet, &[0, 1, 2, 3]);

    assert_eq!(fleet.phase(JOB), JobPhase::Running);
}
