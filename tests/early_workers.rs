//! Guards against runs that are lost, or run twice, because of what a new holder learns of workers before it
//! knows all jobs.

#[path = "common/workflow.rs"]
mod fixtures;

use std::rc::Rc;

use serde_json::json;
use zincpier::id::IncarnationStart;
use zincpier::id::WorkerId;
use zincpier::workflow::CommitEffect;
use zincpier::workflow::EarlyWorkers;
use zincpier::workflow::EndKind;
use zincpier::workflow::JobEngine;
use zincpier::workflow::JobSpec;
use zincpier::workflow::RunningTask;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskEnd;
use zincpier::workflow::TaskPhase;
use zincpier::workflow::WorkerChange;
use zincpier::workflow::WorkerEntry;
use zincpier::workflow::WorkerReport;

const EPOCH: u64 = 2;

/// The clock of the worker in its first report.
const CLOCK_MS: u64 = 1_000_000;

/// The time at which the state is loaded.
const LOADED_MS: u64 = 6_000;

/// The time for which runs may go on unobserved after a holder that released its lease.
const INHERITED_MS: u64 = 6_000;

/// The longest time that a lease requested at the end of the load lasts.
const LEASE_MS: u64 = 5_000;

fn entry(start: Option<u64>) -> WorkerEntry {
    WorkerEntry {
        incarnation_start: start.map(IncarnationStart::new),
        ..fixtures::worker_entry(0)
    }
}

fn worker_id() -> WorkerId {
    entry(None).id
}

fn report(start: Option<u64>, clock_ms: u64, has_run: bool) -> WorkerReport {
    let running = has_run.then(|| RunningTask {
        task: fixtures::task(fixtures::JOB, 0),
        run: 1,
        checkpoint: String::new(),
        percent: 100,
        load: 0,
    });
    WorkerReport {
        incarnation_start: start.map(IncarnationStart::new),
        clock_ms,
        running: running.into_iter().collect(),
        ..WorkerReport::default()
    }
}

/// Returns the engine of a new holder.
fn engine() -> JobEngine {
    let mut engine = JobEngine::new(0, INHERITED_MS);
    engine.config = Some(Rc::new(fixtures::config()));
    engine
}

/// Loads a job whose only task an earlier holder has placed on the worker.
fn load_job(engine: &mut JobEngine, step: StepSpec) {
    let spec = JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![step],
        schedule: None,
    };
    let placed = json!([1, 0, "", worker_id().as_str()]);
    let progress = json!({ "phase": "running", "tasks": [placed] });
    let id = fixtures::JOB.parse().unwrap();
    engine.add_job(id, spec, Some(&progress), LOADED_MS);
}

/// Returns the listed worker after its first report and, if it lists a run, a lease requested at
/// [`LOADED_MS`].
fn early_workers(start: Option<u64>, has_run: bool) -> EarlyWorkers {
    let mut early = EarlyWorkers::new();
    early.apply_list(vec![WorkerChange::Present(entry(start))], true);
    early.next_renewal(&worker_id(), EPOCH, 0).unwrap();
    early.record_report(&worker_id(), &report(start, CLOCK_MS, has_run), 0);
    early.next_renewal(&worker_id(), EPOCH, LOADED_MS);
    early
}

fn is_placed(engine: &JobEngine) -> bool {
    let task = fixtures::task(fixtures::JOB, 0);
    let state = engine.jobs[&task.job].task(&task).unwrap();
    matches!(state.phase, TaskPhase::Placed { .. })
}

/// A lease for an idle worker costs calls, and one for a silent worker makes its tasks wait.
#[test]
fn lease_is_requested_from_answering_workers_with_runs_only() {
    for (has_run, is_silent) in [(true, false), (true, true), (false, false)] {
        let mut early = EarlyWorkers::new();
        early.apply_list(vec![WorkerChange::Present(entry(None))], true);
        let first = early.next_renewal(&worker_id(), EPOCH, LOADED_MS);
        early.record_report(&worker_id(), &report(None, CLOCK_MS, has_run), LOADED_MS);
        if is_silent {
            early.record_silence(&worker_id(), LOADED_MS);
        }

        let next = early.next_renewal(&worker_id(), EPOCH, LOADED_MS);

        assert_eq!(first.unwrap().1.lease_end_ms, None);
        let lease_end_ms = next.and_then(|(_, renewal)| {
            assert_eq!(renewal.acknowledged, 0);
            renewal.lease_end_ms
        });
        assert_eq!(lease_end_ms.is_some(), has_run && !is_silent);
        assert!(lease_end_ms.is_none_or(|end_ms| end_ms > CLOCK_MS));
    }
}

/// A task whose worker falls silent at the end of the load would start elsewhere while its run goes on.
#[test]
fn tasks_of_a_worker_that_falls_silent_are_held_for_the_lease_requested_during_the_load() {
    for step in [fixtures::step(1), fixtures::long_running(1, 1)] {
        // Arrange.
        let mut engine = engine();
        load_job(&mut engine, step);
        early_workers(None, true).hand_over(&mut engine, LOADED_MS);
        let worker = engine.workers.get_mut(&worker_id()).unwrap();
        worker.record_unresponsive(LOADED_MS);

        // Act.
        engine.expire_workers(LOADED_MS + LEASE_MS - 300);
        let is_placed_before = is_placed(&engine);
        engine.expire_workers(LOADED_MS + LEASE_MS);

        // Assert.
        assert!(is_placed_before);
        assert!(!is_placed(&engine));
    }
}

/// The same for a worker that has left the list, before or after its jobs are known.
#[test]
fn tasks_of_a_worker_that_leaves_the_list_during_the_load_are_held_for_its_lease() {
    for is_loaded_first in [true, false] {
        // Arrange.
        let mut engine = engine();
        let mut early = early_workers(None, true);
        early.apply_list(vec![WorkerChange::Gone(worker_id())], false);
        if is_loaded_first {
            load_job(&mut engine, fixtures::step(1));
            early.hand_over(&mut engine, LOADED_MS);
        } else {
            early.hand_over(&mut engine, LOADED_MS);
            load_job(&mut engine, fixtures::step(1));
        }

        // Act.
        engine.expire_workers(LOADED_MS + LEASE_MS - 300);

        // Assert.
        assert!(is_placed(&engine), "{is_loaded_first}");
        let worker = engine.workers.get(&worker_id());
        assert_eq!(worker.is_some(), is_loaded_first);
        assert!(worker.is_none_or(|worker| !worker.listed));
    }
}

/// A worker that starts again during the load has lost its runs, but a start that was meant for the
/// earlier incarnation may still reach it.
#[test]
fn tasks_of_a_worker_that_restarts_during_the_load_are_carried_over() {
    // Arrange: the restart shows first in the list or first in a report.
    for is_listed in [true, false] {
        let mut engine = engine();
        load_job(&mut engine, fixtures::step(1));
        let mut early = early_workers(Some(1), true);
        if is_listed {
            early.apply_list(vec![WorkerChange::Present(entry(Some(2)))], false);
        } else {
            early.record_report(&worker_id(), &report(Some(2), 10, false), LOADED_MS);
        }
        early.record_report(&worker_id(), &report(Some(1), CLOCK_MS, true), LOADED_MS);

        // Act.
        early.hand_over(&mut engine, LOADED_MS);
        let worker = engine.workers.get_mut(&worker_id()).unwrap();
        let has_carried = worker.has_carried_tasks();
        worker.record_unresponsive(LOADED_MS);
        engine.expire_workers(LOADED_MS + LEASE_MS);
        let is_placed_while_silent = is_placed(&engine);
        let answered_ms = LOADED_MS + LEASE_MS + 1;
        let first = report(Some(2), 10, false);
        engine.apply_report(&worker_id(), &first, answered_ms, answered_ms);

        // Assert.
        assert!(has_carried, "{is_listed}");
        assert!(is_placed_while_silent, "{is_listed}");
        assert!(!is_placed(&engine), "{is_listed}");
    }
}

/// The first report after the load is the first that counts: it shows the ends that were listed meanwhile,
/// and runs that an earlier holder has stopped may still be listed in it.
#[test]
fn first_report_after_the_load_is_applied_in_full() {
    // Arrange: the run ends during the load.
    let mut engine = engine();
    load_job(&mut engine, fixtures::step(1));
    let mut early = early_workers(None, true);
    let end = TaskEnd {
        number: 1,
        task: fixtures::task(fixtures::JOB, 0),
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    };
    let ended = WorkerReport {
        ends: vec![end],
        ..report(None, CLOCK_MS + LOADED_MS, false)
    };
    early.record_report(&worker_id(), &ended, LOADED_MS);
    early.hand_over(&mut engine, LOADED_MS);
    let (_, effects_before) = engine.take_changes();

    // Act.
    engine.apply_report(&worker_id(), &ended, LOADED_MS, LOADED_MS);

    // Assert.
    assert_eq!(effects_before, []);
    let (_, effects) = engine.take_changes();
    assert!(matches!(
        effects.as_slice(),
        [CommitEffect::Acknowledge(_, None, 1, _)]
    ));
    let worker = &engine.workers[&worker_id()];
    assert!(worker.lease_end_ms >= CLOCK_MS + LOADED_MS + LEASE_MS);
    assert!(!worker.has_settled());
    let job = &engine.jobs[&fixtures::JOB.parse().unwrap()];
    assert!(job.is_done());
}

/// The runs of an unknown job take capacity until the lease that was requested for them is over.
#[test]
fn lease_requested_for_unknown_runs_is_remembered() {
    let mut engine = engine();
    early_workers(None, true).hand_over(&mut engine, LOADED_MS);
    let first = report(None, CLOCK_MS + LOADED_MS, true);
    engine.apply_report(&worker_id(), &first, LOADED_MS, LOADED_MS);

    let worker = &engine.workers[&worker_id()];
    assert!(!worker.is_lease_expired(LOADED_MS + 4_500));
    assert!(worker.is_lease_expired(LOADED_MS + LEASE_MS));
}
