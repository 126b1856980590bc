//! Guards the engine's decisions, without I/O, against tasks that are lost, run twice or never
//! stopped when commands, workers or controllers fail.

#[path = "common/workflow.rs"]
mod fixtures;

use std::collections::BTreeSet;

use fixtures::*;
use zincpier::id::WorkerId;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::CommandPhase;
use zincpier::workflow::EndKind;
use zincpier::workflow::JobPhase;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskPhase;

/// Time without an answer after which a worker's lost runs are repeated.
const MAX_SILENCE_MS: u64 = 10_100;

/// Starts a job of one task and cuts its worker off until its lease has expired. Returns the worker.
fn lose_worker(fleet: &mut EngineFleet, step: StepSpec) -> WorkerId {
    fleet.submit(JOB, vec![step]);
    fleet.start_all();
    fleet.report_all();
    let worker = fleet.worker_of(&task(JOB, 0));
    fleet.mark_unresponsive_by_id(&worker);
    fleet.advance(LEASE_MS + 300);
    fleet.engine.expire_workers(fleet.now_ms);
    worker
}

#[test]
fn a_finished_step_makes_its_dependent_step_ready() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(2), step_after(1, 0)]);

    fleet.start_all();
    fleet.end_all(EndKind::Done);
    fleet.start_all();

    assert_eq!(fleet.placed(), vec![format!("{JOB}.0.1.0")]);
    fleet.end_all(EndKind::Done);
    assert_eq!(fleet.phase(JOB), JobPhase::Complete);
}

#[test]
fn a_stopped_run_that_is_still_listed_counts_as_unavailable() {
    let mut fleet = EngineFleet::new(3);
    fleet.submit(JOB, vec![long_running(2, 1)]);
    fleet.start_all();
    fleet.report_all();
    let first = task(JOB, 0);
    let second = task(JOB, 1);
    assert!(fleet.engine.can_spare(&second));
    fleet.stop(&first);

    fleet.report_all();

    assert!(matches!(
        fleet.command_phase(&first),
        Some(CommandPhase::Stopped(_))
    ));
    assert!(
        !fleet.engine.can_spare(&second),
        "the other task of the step is stopped"
    );
}

#[test]
fn an_unanswered_start_is_stopped_before_its_task_is_released() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(1)]);
    let name = task(JOB, 0);
    fleet.place();
    let lost = CommandOutcome::Unknown("no answer".to_owned());
    fleet.engine.apply_start(&name, 1, &lost, fleet.now_ms);

    fleet.advance(100);
    fleet.report_empty();
    let stops = fleet.engine.take_stops();

    assert_eq!(stops.len(), 1);
    assert!(fleet.is_placed(&name), "the run may still start");
    fleet
        .engine
        .apply_stop(&stops[0], &CommandOutcome::Accepted(1), fleet.now_ms);
    fleet.advance(100);
    fleet.report_empty();
    assert!(!fleet.is_placed(&name));
}

/// Starts without an answer may be executed late, after their stops were sent. The runs are then at work,
/// and stops that are sent again end more of them than their step allows.
#[test]
fn stops_of_starts_that_were_executed_late_keep_within_the_limit_of_their_step() {
    // Arrange: neither the starts nor the stops of two tasks are answered.
    let mut fleet = EngineFleet::new(3);
    fleet.submit(JOB, vec![long_running(2, 1)]);
    let lost = CommandOutcome::Unknown("no answer".to_owned());
    for name in fleet.place() {
        fleet.engine.apply_start(&name, 1, &lost, fleet.now_ms);
    }
    fleet.advance(100);
    fleet.report_empty();
    let stops = fleet.engine.take_stops();

    // Act: the starts are executed before the stops are sent again.
    fleet.report_all();
    for stop in &stops {
        fleet.engine.apply_stop(stop, &lost, fleet.now_ms);
    }
    let resent = fleet.engine.take_stops();

    // Assert.
    assert_eq!(stops.len(), 2);
    assert!(resent.len() <= 1, "both tasks at work are stopped");
}

#[test]
fn a_task_at_its_limit_of_attempts_fails_its_job() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(1)]);

    for _ in 0..ATTEMPTS {
        assert_eq!(fleet.start_all(), 1);
        fleet.end_all(EndKind::Failed);
    }

    assert_eq!(fleet.phase(JOB), JobPhase::Failed);
    assert_eq!(fleet.start_all(), 0);
}

#[test]
fn progress_survives_a_controller_change() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(2), step_after(1, 0)]);
    fleet.start_all();
    fleet.end_first(EndKind::Done);

    let mut next = fleet.successor();
    next.report_empty();

    let task_phases: Vec<_> = next.task_phases(JOB);
    assert_eq!(task_phases[0], TaskPhase::Done);
    assert_eq!(
        task_phases[1],
        TaskPhase::Waiting,
        "no worker lists its run"
    );
}

#[test]
fn an_unresponsive_worker_keeps_its_tasks_until_its_lease_expires() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![step(1)]);
    fleet.start_all();
    fleet.report_all();
    let name = task(JOB, 0);
    fleet.mark_unresponsive(0);

    fleet.advance(LEASE_MS - 500);
    fleet.engine.expire_workers(fleet.now_ms);
    assert!(
        fleet.is_placed(&name),
        "the worker may still run the task behind a network partition"
    );

    fleet.advance(800);
    fleet.engine.expire_workers(fleet.now_ms);
    assert!(!fleet.is_placed(&name));
}

#[test]
fn an_unlisted_worker_that_answers_keeps_its_tasks() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![long_running(1, 0)]);
    fleet.start_all();
    let mut next = fleet.successor();
    next.mark_unresponsive(0);
    next.unlist_worker(0);

    next.report_all();
    next.engine.expire_workers(next.now_ms);

    assert!(
        next.is_placed(&task(JOB, 0)),
        "the worker still runs the task"
    );
}

#[test]
fn an_unresponsive_worker_gets_no_further_lease() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![step(1)]);
    fleet.start_all();
    fleet.report_all();
    assert!(fleet.next_lease_end_ms(0).is_some());

    fleet.mark_unresponsive(0);

    assert_eq!(fleet.next_lease_end_ms(0), None);
}

#[test]
fn a_task_on_an_unresponsive_worker_counts_as_unavailable() {
    let mut fleet = EngineFleet::new(3);
    fleet.submit(JOB, vec![long_running(2, 1)]);
    fleet.start_all();
    fleet.report_all();
    let first = task(JOB, 0);
    let second = task(JOB, 1);
    let unresponsive = fleet.worker_of(&first);

    fleet.mark_unresponsive_by_id(&unresponsive);

    assert!(
        !fleet.engine.can_spare(&second),
        "the other task of the step may be lost"
    );
}

/// Guards against stops of two controllers that together exceed a step's limit: the last one has
/// stopped a task that its worker still lists, and the next one takes it for available.
#[test]
fn a_run_that_the_last_controller_may_have_stopped_counts_as_unavailable() {
    let mut fleet = EngineFleet::new(3);
    fleet.submit(JOB, vec![long_running(2, 1)]);
    fleet.start_all();
    fleet.report_all();
    let mut next = fleet.successor();
    let second = task(JOB, 1);

    next.report_all();
    let spared_at_once = next.engine.can_spare(&second);
    next.advance(1_250);
    next.report_all();

    assert!(!spared_at_once, "the other task may be about to end");
    assert!(next.engine.can_spare(&second));
}

#[test]
fn a_cancelled_job_is_stopped_when_its_worker_is_listed_after_the_cancellation() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![long_running(1, 0)]);
    fleet.start_all();
    let mut next = fleet.successor_without_workers();
    next.engine.cancel_job(&task(JOB, 0).job, next.now_ms);
    next.engine.take_stops();

    next.list_and_report_running();

    let stops = next.engine.take_stops();
    assert_eq!(stops.len(), 1, "the inherited run must be stopped");
}

#[test]
fn the_end_of_a_worker_incarnation_releases_its_tasks() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(1)]);
    fleet.start_all();
    let name = task(JOB, 0);
    let worker = fleet.worker_of(&name);

    fleet.engine.end_incarnation(&worker, "test", fleet.now_ms);

    assert!(!fleet.is_placed(&name));
    let entry = worker_entry(0);
    fleet.engine.set_worker(entry.clone(), fleet.now_ms);
    let is_listed = fleet.engine.workers.contains_key(&entry.id);
    assert_eq!(
        is_listed,
        entry.id != worker,
        "an ended incarnation must not be added again"
    );
}

#[test]
fn tasks_of_workers_without_a_host_are_released_after_a_controller_change() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![step(1)]);
    fleet.start_all();
    let mut next = fleet.successor_without_workers();

    next.engine
        .reconcile_hosted_workers(&BTreeSet::new(), next.now_ms);
    let after_one_list = next.is_placed(&task(JOB, 0));
    next.advance(200);
    next.engine
        .reconcile_hosted_workers(&BTreeSet::new(), next.now_ms);
    let after_two_lists = next.is_placed(&task(JOB, 0));

    assert_eq!((after_one_list, after_two_lists), (true, false));
}

/// Guards against a leader row over the table's limit of 64 KB: the commit is then rejected, and each
/// controller loses the lease shortly after it has taken over.
#[test]
fn backlogs_of_thousands_of_queues_fit_the_leader_row() {
    // Arrange: thousands of queues of one service, each with a job that waits for a long time.
    let mut fleet = EngineFleet::new(1);
    let mut config = config();
    let queue = config.queues[0].clone();
    for number in 0..5_000 {
        let mut queue = queue.clone();
        queue.name = format!("r-{number}");
        config.queues.push(queue);
    }
    fleet.engine.config = Some(std::rc::Rc::new(config));
    for number in 0..5_000 {
        let spec = zincpier::workflow::JobSpec {
            queue: format!("r-{number}"),
            organisation: None,
            payload: String::new(),
            steps: vec![step(8)],
            schedule: None,
        };
        let id = format!("{number:016x}").parse().unwrap();
        fleet.engine.add_job(id, spec, None, fleet.now_ms);
    }
    fleet.place();

    // Act.
    let backlogs = fleet.engine.queue_backlogs(0, fleet.now_ms);

    // Assert.
    let bytes = serde_json::to_string(&backlogs).unwrap().len();
    assert!(!backlogs.is_empty());
    assert!(bytes < 8_000, "{bytes} bytes");
}

/// Guards against a deferral that takes the capacity of running jobs for free: the largest jobs then
/// go first at an overload, and all are late.
#[test]
fn a_large_job_that_must_wait_for_running_ones_is_deferred() {
    // Arrange: on a worker of eight cores, one task runs that can end just in time. A wide job has
    // less time left than that, and two smaller ones have just arrived.
    let mut fleet = EngineFleet::new(1);
    fleet.submit("00000000000000b1", vec![step(1)]);
    fleet.start_all();
    let wide = StepSpec {
        estimate_ms: 400,
        ..step(7)
    };
    fleet.submit(JOB, vec![wide]);
    fleet.advance(820);
    fleet.submit("00000000000000b2", vec![step(3)]);
    fleet.submit("00000000000000b3", vec![step(3)]);

    // Act.
    let placed = fleet.place();

    // Assert.
    let of_wide_job = placed.iter().filter(|name| name.job.as_str() == JOB);
    assert_eq!((placed.len(), of_wide_job.count()), (7, 1));
}

#[test]
fn a_failed_task_is_retried_on_another_worker() {
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![step(1)]);
    let name = task(JOB, 0);
    fleet.start_all();
    let first = fleet.worker_of(&name);

    fleet.end_all(EndKind::Failed);
    fleet.start_all();

    assert_ne!(fleet.worker_of(&name), first);
}

#[test]
fn stalled_tasks_are_stopped_and_their_worker_is_quarantined() {
    let mut fleet = EngineFleet::new(2);
    for number in 0..10 {
        fleet.submit(&format!("{number:016x}"), vec![step(1)]);
        fleet.start_all();
        fleet.advance(400);
        fleet.end_all(EndKind::Done);
    }
    fleet.submit(JOB, vec![step(2)]);
    fleet.start_all();
    fleet.report_all();
    let stalled = fleet.worker_of(&task(JOB, 0));

    fleet.advance(900);
    fleet.engine.release_stalled(fleet.now_ms);
    assert!(
        fleet.engine.take_stops().is_empty(),
        "the tasks may only be slow"
    );

    fleet.advance(1_000);
    fleet.engine.release_stalled(fleet.now_ms);
    assert_eq!(fleet.engine.take_stops().len(), 2);
    assert!(!fleet.engine.workers[&stalled].accepts_tasks(fleet.now_ms));
}

#[test]
fn a_run_that_ended_behind_a_cut_is_not_repeated() {
    let mut fleet = EngineFleet::new(2);
    let lost = lose_worker(&mut fleet, step(1));
    fleet.report_empty_but(&lost);

    let restarted = fleet.start_all();
    fleet.report_end(&lost, EndKind::Done);

    assert_eq!(restarted, 0, "its worker may list the run as done");
    assert_eq!(fleet.phase(JOB), JobPhase::Complete);
}

#[test]
fn a_run_that_ended_behind_a_cut_is_not_repeated_by_a_successor() {
    let mut fleet = EngineFleet::new(2);
    let lost = lose_worker(&mut fleet, step(1));
    let mut next = fleet.successor();
    next.report_empty_but(&lost);

    let restarted = next.start_all();
    next.report_end(&lost, EndKind::Done);

    assert_eq!(restarted, 0, "its worker may list the run as done");
    assert_eq!(next.phase(JOB), JobPhase::Complete);
}

#[test]
fn a_run_that_lapsed_behind_a_cut_is_repeated_once_its_worker_says_so() {
    let mut fleet = EngineFleet::new(2);
    let lost = lose_worker(&mut fleet, step(1));
    fleet.report_empty_but(&lost);
    assert_eq!(fleet.start_all(), 0, "its worker may list the run as done");

    fleet.report_end(&lost, EndKind::Lapsed);

    assert_eq!(fleet.start_all(), 1);
    assert_eq!(fleet.state(&task(JOB, 0)).last_run, 2);
}

#[test]
fn a_lost_run_is_repeated_once_its_worker_has_ended() {
    let mut fleet = EngineFleet::new(2);
    let lost = lose_worker(&mut fleet, step(1));
    fleet.report_empty_but(&lost);
    assert_eq!(fleet.start_all(), 0, "its worker may list the run as done");

    fleet.engine.end_incarnation(&lost, "test", fleet.now_ms);

    assert_eq!(fleet.start_all(), 1);
}

#[test]
fn a_lost_run_is_repeated_if_its_worker_stays_silent() {
    let mut fleet = EngineFleet::new(2);
    let lost = lose_worker(&mut fleet, step(1));

    fleet.advance(MAX_SILENCE_MS);
    fleet.engine.expire_workers(fleet.now_ms);
    fleet.report_empty_but(&lost);

    assert_eq!(fleet.start_all(), 1);
}

#[test]
fn a_lost_long_running_task_is_restarted_at_once() {
    let mut fleet = EngineFleet::new(2);
    let lost = lose_worker(&mut fleet, long_running(1, 0));

    fleet.report_empty_but(&lost);

    assert_eq!(fleet.start_all(), 1);
}

/// Guards against a stop that is forgotten: the run must then be stopped again, and its task waits
/// for seconds although the worker may not start it any more.
#[test]
fn a_late_answer_of_a_start_does_not_undo_an_accepted_stop() {
    // Arrange: the task is stopped while its start is on its way.
    let mut fleet = EngineFleet::new(2);
    fleet.submit(JOB, vec![long_running(1, 1)]);
    let name = task(JOB, 0);
    fleet.place();
    fleet.send(&name);
    let worker = fleet.worker_of(&name);
    fleet.engine.cancel_job(&name.job, fleet.now_ms);
    let stops = fleet.engine.take_stops();
    let accepted = CommandOutcome::Accepted(1);
    fleet.engine.apply_stop(&stops[0], &accepted, fleet.now_ms);
    fleet.advance(100);

    // Act.
    let lost = CommandOutcome::Unknown("no answer".to_owned());
    fleet.engine.apply_start(&name, 1, &lost, fleet.now_ms);
    fleet.report_empty();

    // Assert.
    assert!(!fleet.is_placed(&name), "{worker} runs nothing");
    assert!(fleet.engine.take_stops().is_empty());
}

/// Guards against a pool that stands still: long-running jobs that fit nowhere come first in each
/// pass, and none of the others is tried.
#[test]
fn long_running_jobs_that_fit_nowhere_do_not_keep_others_from_free_workers() {
    // Arrange: many jobs each have one task more than workers on which it may run.
    let mut fleet = EngineFleet::new(2);
    let mut spread = long_running(3, 1);
    spread.demand.cpu_millis = 10;
    spread.demand.memory_mb = 10;
    for number in 0..30 {
        fleet.submit(&format!("{number:016x}"), vec![spread.clone()]);
    }
    fleet.start_all();
    fleet.start_all();
    fleet.submit(JOB, vec![long_running(1, 1)]);
    fleet.submit("00000000000000b1", vec![step(1)]);

    // Act.
    let placed = fleet.start_all();

    // Assert.
    assert_eq!(placed, 2, "both workers have room");
}

/// Guards against a pool that stands still: long-running jobs that wait for workers of another kind
/// come first in each pass, and none of the others is tried.
#[test]
fn jobs_that_wait_for_missing_workers_do_not_keep_others_from_free_workers() {
    // Arrange: many jobs need a label that no worker has.
    let mut fleet = EngineFleet::new(2);
    let mut labelled = long_running(1, 1);
    labelled.required_label = Some("missing".to_owned());
    for number in 0..30 {
        fleet.submit(&format!("{number:016x}"), vec![labelled.clone()]);
    }
    fleet.submit(JOB, vec![long_running(1, 1)]);
    fleet.submit("00000000000000b1", vec![step(1)]);

    // Act.
    let placed = fleet.start_all();

    // Assert.
    assert_eq!(placed, 2, "both workers have room");
}
