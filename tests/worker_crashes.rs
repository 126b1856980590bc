//! Tasks that crash each worker that starts them, and the tasks beside them.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/crashes.rs"]
mod crashes;

use zincpier::workflow::CommandOutcome;
use zincpier::workflow::CrashEvidence;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSchedule;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskName;

use crate::crashes::CrashFleet;
use crate::crashes::MAX_DEADLY_STARTS;
use crate::fixtures::long_running;
use crate::fixtures::step;
use crate::fixtures::task;
use crate::fixtures::with_cpu;
use crate::fixtures::worker_entry;
use crate::fixtures::EngineFleet;
use crate::fixtures::JOB;

const OTHER_JOBS: [&str; 6] = [
    "00000000000000b1",
    "00000000000000b2",
    "00000000000000b3",
    "00000000000000b4",
    "00000000000000b5",
    "00000000000000b6",
];

const LONG_JOB: &str = "00000000000000c1";

/// A worker that crashes reports no failure, so its task was started again without a limit.
#[test]
fn task_that_crashes_each_worker_is_given_up() {
    let mut fleet = CrashFleet::new(8);
    fleet.deadly.insert(task(JOB, 0));
    fleet.submit(JOB, vec![step(1)]);

    fleet.run(30_000);

    let starts = fleet.start_count(&task(JOB, 0));
    assert!(starts <= MAX_DEADLY_STARTS, "{starts} starts");
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
}

/// Each holder of the lease is killed before it learns of the crash, so that only the placement in the
/// row shows it.
#[test]
fn crash_count_survives_holders_that_are_killed_between_the_crashes() {
    let mut fleet = CrashFleet::new(8);
    fleet.deadly.insert(task(JOB, 0));
    fleet.submit(JOB, vec![step(1)]);

    for _ in 0..20 {
        fleet.start_unnoticed();
        fleet.take_over();
    }

    let starts = fleet.start_count(&task(JOB, 0));
    assert!(starts <= MAX_DEADLY_STARTS, "{starts} starts");
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
    fleet.take_over();
    fleet.run(2_000);
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
    assert_eq!(fleet.start_count(&task(JOB, 0)), starts);
}

/// Each holder learns of one crash and is killed before the next.
#[test]
fn crash_count_survives_holders_that_each_see_one_crash() {
    let mut fleet = CrashFleet::new(8);
    fleet.deadly.insert(task(JOB, 0));
    fleet.submit(JOB, vec![step(1)]);

    for _ in 0..20 {
        fleet.run(400);
        fleet.take_over();
    }

    let starts = fleet.start_count(&task(JOB, 0));
    assert!(starts <= MAX_DEADLY_STARTS, "{starts} starts");
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
}

/// A worker that starts again under its id is neither unlisted nor silent for long.
#[test]
fn crash_of_a_worker_that_restarts_under_its_id_counts() {
    let mut fleet = CrashFleet::new(4).with_kept_ids();
    fleet.deadly.insert(task(JOB, 0));
    fleet.submit(JOB, vec![step(1)]);

    fleet.run(60_000);

    let starts = fleet.start_count(&task(JOB, 0));
    assert!(starts <= MAX_DEADLY_STARTS, "{starts} starts");
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
}

/// The other tasks on a worker that crashes would be given up with the one that crashes it if each of
/// them counted the crash alike.
#[test]
fn tasks_beside_one_that_crashes_workers_complete() {
    let mut fleet = CrashFleet::new(8);
    fleet.deadly.insert(task(JOB, 1));
    fleet.submit(LONG_JOB, vec![long_running(3, 1)]);
    fleet.run(1_000);
    fleet.submit(JOB, vec![step(3)]);
    for id in OTHER_JOBS {
        fleet.submit(id, vec![step(5)]);
    }

    fleet.run(8_000);

    for id in OTHER_JOBS {
        assert_eq!(fleet.phase(id), JobPhase::Complete, "{id}");
    }
    assert_eq!(fleet.phase(LONG_JOB), JobPhase::Running);
    let placed = (0..3).filter(|&index| fleet.index_of(&task(LONG_JOB, index)).is_some());
    assert_eq!(placed.count(), 3);
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
    assert!(fleet.crashes <= 3, "{} crashes", fleet.crashes);
}

/// A holder that is killed leaves the tasks beside a deadly one with no sign of which of them it was.
#[test]
fn tasks_beside_one_that_crashes_workers_complete_although_holders_are_killed() {
    let mut fleet = CrashFleet::new(8);
    fleet.deadly.insert(task(JOB, 1));
    fleet.submit(JOB, vec![step(3)]);
    for id in OTHER_JOBS {
        fleet.submit(id, vec![step(5)]);
    }

    for _ in 0..6 {
        fleet.start_unnoticed();
        fleet.take_over();
        fleet.run(100);
    }
    fleet.run(8_000);

    for id in OTHER_JOBS {
        assert_eq!(fleet.phase(id), JobPhase::Complete, "{id}");
    }
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
    let starts = fleet.start_count(&task(JOB, 1));
    assert!(starts <= MAX_DEADLY_STARTS, "{starts} starts");
}

/// No holder learns of an answer, so that each finds only placements of several tasks on a worker that is
/// gone. What an earlier one suspected must tell the next which of them it was.
#[test]
fn suspicion_survives_holders_that_find_only_placements_of_several_tasks() {
    let mut fleet = CrashFleet::new(12);
    fleet.submit(LONG_JOB, vec![long_running(12, 1)]);
    fleet.run(1_000);
    fleet.deadly.insert(task(JOB, 0));
    fleet.submit(JOB, vec![step(1)]);

    for _ in 0..12 {
        fleet.start_unnoticed();
        fleet.take_over();
    }
    fleet.run(8_000);

    let starts = fleet.start_count(&task(JOB, 0));
    assert!(starts <= MAX_DEADLY_STARTS, "{starts} starts");
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
    assert_eq!(fleet.phase(LONG_JOB), JobPhase::Running);
}

/// A long-running task that crashes its workers has no limit of failed runs.
#[test]
fn long_running_task_that_crashes_each_worker_is_given_up() {
    let mut fleet = CrashFleet::new(8);
    fleet.deadly.insert(task(LONG_JOB, 0));
    fleet.submit(LONG_JOB, vec![long_running(2, 1)]);

    fleet.run(30_000);

    let starts = fleet.start_count(&task(LONG_JOB, 0));
    assert!(starts <= MAX_DEADLY_STARTS, "{starts} starts");
    assert_eq!(fleet.phase(LONG_JOB), JobPhase::Failed);
}

/// The members of a gang start together, so each crash of one of them is seen beside the others.
#[test]
fn gang_with_a_member_that_crashes_each_worker_is_given_up() {
    let mut fleet = CrashFleet::new(8);
    fleet.deadly.insert(task(JOB, 2));
    let gang = StepSpec {
        gang: true,
        max_per_worker: 2,
        ..step(4)
    };
    fleet.submit(JOB, vec![gang]);

    fleet.run(30_000);

    let starts = fleet.start_count(&task(JOB, 2));
    assert!(starts <= MAX_DEADLY_STARTS, "{starts} starts");
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
}

/// Guards against a member that is cleared since the worker of another one has survived.
#[test]
fn gang_with_a_deadly_member_is_given_up_although_the_others_run_on_for_some_time() {
    let mut fleet = CrashFleet::new(8);
    fleet.break_delay_ms = 400;
    fleet.deadly.insert(task(JOB, 2));
    let gang = StepSpec {
        gang: true,
        max_per_worker: 2,
        ..step(4)
    };
    fleet.submit(JOB, vec![gang]);

    fleet.run(30_000);

    let starts = fleet.start_count(&task(JOB, 2));
    assert!(starts <= MAX_DEADLY_STARTS, "{starts} starts");
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
}

/// The occurrences of a job run the same task, and overlap.
#[test]
fn crashes_of_one_occurrence_count_for_the_next() {
    let mut fleet = CrashFleet::new(12);
    let schedule = JobSchedule {
        times: 8,
        first_ms: 0,
        interval_ms: 100,
    };
    for occurrence in 0..8 {
        let mut name = task(JOB, 0);
        name.occurrence = occurrence;
        fleet.deadly.insert(name);
    }
    fleet.submit_scheduled(JOB, vec![step(1)], Some(schedule));

    fleet.run(30_000);

    let starts = fleet.starts.values().max().unwrap();
    assert!(*starts <= MAX_DEADLY_STARTS, "{starts} starts");
    assert!(fleet.crashes <= 10, "{} crashes", fleet.crashes);
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
}

/// Guards against one loss of a rack that is counted once for each occurrence: under each task, one worker has
/// crashed.
#[test]
fn loss_of_a_rack_under_several_occurrences_is_one_crash_of_each() {
    let mut fleet = CrashFleet::new(8);
    let schedule = JobSchedule {
        times: 6,
        first_ms: fleet.now_ms,
        interval_ms: 20,
    };
    fleet.submit_scheduled(JOB, vec![with_cpu(5_000, step(1))], Some(schedule));
    fleet.run(120);

    fleet.crash_together(&[0, 1, 2, 3]);
    fleet.run(6_000);

    let crashed: Vec<_> = fleet.crashed_under.values().copied().collect();
    assert!(crashed.len() > 2, "{crashed:?}");
    assert!(crashed.iter().all(|crashes| *crashes == 1), "{crashed:?}");
    assert_eq!(fleet.phase(JOB), JobPhase::Complete);
}

/// Guards against occurrences that each take two workers before one of them is given up: the text is the same,
/// so that further ones wait while one is on trial.
#[test]
fn occurrences_of_a_deadly_task_wait_for_the_trial_of_one() {
    let mut fleet = CrashFleet::new(12);
    let schedule = JobSchedule {
        times: 40,
        first_ms: fleet.now_ms,
        interval_ms: 100,
    };
    for occurrence in 0..40 {
        let name = TaskName {
            occurrence,
            ..task(JOB, 0)
        };
        fleet.deadly.insert(name);
    }
    fleet.submit_scheduled(JOB, vec![step(1)], Some(schedule));

    fleet.run(30_000);

    assert!(fleet.crashes <= 5, "{} crashes", fleet.crashes);
    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
}

/// The start may have come after the crash. A task under which one worker has crashed may not be given
/// up yet.
#[test]
fn crash_before_a_start_was_answered_is_not_counted_while_others_may_have_caused_it() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![step(2)]);
    let tasks = fleet.place();
    for name in &tasks {
        fleet.send(name);
    }
    let now_ms = fleet.now_ms;
    let (accepted, lost) = (
        CommandOutcome::Accepted(now_ms),
        CommandOutcome::Unknown("the connection ended".to_owned()),
    );
    fleet.engine.apply_start(&tasks[0], 1, &accepted, now_ms);
    fleet.engine.apply_start(&tasks[1], 1, &lost, now_ms);

    let worker = worker_entry(0).id;
    fleet
        .engine
        .crash_worker(&worker, CrashEvidence::HostDown, now_ms, now_ms);

    let crashes = tasks.iter().map(|name| fleet.state(name).crashes);
    assert_eq!(crashes.collect::<Vec<_>>(), [1, 0]);
    assert_eq!(fleet.engine.suspect_count(), 2);
}

/// Workers that leave after a drain end their tasks, which is not the tasks' doing.
#[test]
fn workers_that_drain_and_leave_count_as_no_crashes() {
    let mut fleet = CrashFleet::new(8);
    fleet.submit(LONG_JOB, vec![long_running(1, 1)]);

    for _ in 0..6 {
        fleet.run(60);
        let index = fleet.index_of(&task(LONG_JOB, 0)).unwrap();
        fleet.set_draining(index);
        fleet.crash(index);
        fleet.run(400);
    }

    assert_eq!(fleet.phase(LONG_JOB), JobPhase::Running);
}

/// The crash of a worker that has run a task for some time is not the task's doing, however often it
/// happens.
#[test]
fn crashes_of_workers_long_after_a_start_don_t_count_against_its_task() {
    let mut fleet = CrashFleet::new(8);
    fleet.submit(LONG_JOB, vec![long_running(1, 1)]);

    for _ in 0..6 {
        fleet.run(1_000);
        let index = fleet.index_of(&task(LONG_JOB, 0)).unwrap();
        fleet.crash(index);
        fleet.run(1_000);
    }

    assert_eq!(fleet.phase(LONG_JOB), JobPhase::Running);
}
