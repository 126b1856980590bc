//! Run ends that can't be decoded: a task that may be done must not start again, and the other tasks of
//! its worker go on.

#[path = "common/workflow.rs"]
mod fixtures;

use zincpier::id::WorkerId;
use zincpier::workflow::CommitEffect;
use zincpier::workflow::EndKind;
use zincpier::workflow::HeldEnd;
use zincpier::workflow::RunningTask;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskEnd;
use zincpier::workflow::TaskName;
use zincpier::workflow::TaskPhase;
use zincpier::workflow::WorkerReport;

use crate::fixtures::EngineFleet;
use crate::fixtures::JOB;

/// A fleet of one worker on which the tasks of `step` run.
fn running(step: StepSpec) -> (EngineFleet, WorkerId) {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![step]);
    fleet.start_all();
    fleet.report_all();
    fleet.engine.take_changes();
    (fleet, fixtures::worker_entry(0).id)
}

fn unreadable(number: u64, index: u32) -> HeldEnd {
    HeldEnd::Unreadable {
        number,
        run: Some((fixtures::task(JOB, index), 1)),
    }
}

fn done(number: u64, index: u32) -> HeldEnd {
    HeldEnd::Readable(TaskEnd {
        number,
        task: fixtures::task(JOB, index),
        run: 1,
        kind: EndKind::Done,
        checkpoint: String::new(),
    })
}

fn name_of(end: &HeldEnd) -> Option<&TaskName> {
    match end {
        HeldEnd::Readable(end) => Some(&end.task),
        HeldEnd::Unreadable { .. } => end.unreadable_task(),
    }
}

/// Reports these ends, and all other placed tasks as running. Returns the numbers up to which the worker
/// may forget its ends.
fn report(fleet: &mut EngineFleet, id: &WorkerId, held_ends: &[HeldEnd]) -> Vec<u64> {
    fleet.advance(2_000);
    let ended: Vec<_> = held_ends.iter().filter_map(name_of).collect();
    let running = fleet.placed_names().into_iter();
    let running = running.filter(|name| !ended.contains(&name));
    let running = running.map(|name| RunningTask {
        run: fleet.state(&name).last_run,
        task: name,
        checkpoint: String::new(),
        percent: 100,
        load: 0,
    });
    let report = WorkerReport {
        clock_ms: fleet.now_ms,
        running: running.collect(),
        held_ends: held_ends.to_vec(),
        ..WorkerReport::default()
    };
    let now_ms = fleet.now_ms;
    fleet.engine.apply_report(id, &report, now_ms, now_ms);
    let (_, effects) = fleet.engine.take_changes();
    let acknowledged = effects.into_iter().filter_map(|effect| match effect {
        CommitEffect::Acknowledge(_, _, last, _) => Some(last),
        _ => None,
    });
    acknowledged.collect()
}

#[test]
fn task_with_an_unreadable_end_is_neither_started_again_nor_forgotten() {
    // Arrange.
    let (mut fleet, id) = running(fixtures::step(2));
    let ends = [unreadable(1, 0), done(2, 1)];

    // Act: the worker lists its ends until they are acknowledged.
    let acknowledged: Vec<_> = (0..5)
        .flat_map(|_| {
            let last = report(&mut fleet, &id, &ends);
            fleet.place();
            last
        })
        .collect();

    // Assert: the other task is done, once and for all.
    let task = fixtures::task(JOB, 0);
    assert_eq!(acknowledged, Vec::<u64>::new());
    assert_eq!(fleet.state(&task).last_run, 1);
    assert_eq!(fleet.state(&task).worker(), Some(&id));
    assert!(fleet.engine.take_stops().is_empty());
    assert_eq!(fleet.task_phases(JOB)[1], TaskPhase::Done);
}

/// A worker would list its ends without end, and get nothing any more.
#[test]
fn unreadable_end_is_passed_once_it_is_read_or_its_job_is_cancelled() {
    // Arrange.
    let (mut fleet, id) = running(fixtures::step(2));
    assert!(report(&mut fleet, &id, &[unreadable(1, 0), done(2, 1)]).is_empty());

    // Act.
    fleet.engine.cancel_job(&JOB.parse().unwrap(), fleet.now_ms);
    let acknowledged = report(&mut fleet, &id, &[unreadable(1, 0), done(2, 1)]);

    // Assert.
    assert_eq!(acknowledged, [2]);
    assert!(fleet.placed_names().is_empty());
}

/// Its users would be without service until the worker's host is restarted.
#[test]
fn long_running_task_with_an_unreadable_end_is_released() {
    let (mut fleet, id) = running(fixtures::long_running(1, 1));

    let acknowledged = report(&mut fleet, &id, &[unreadable(1, 0)]);

    assert_eq!(acknowledged, [1]);
    assert_eq!(fleet.task_phases(JOB)[0], TaskPhase::Waiting);
}

/// An end without a name may be that of a run that the worker does not list, and of no other.
#[test]
fn end_without_a_name_is_passed_only_if_all_runs_are_listed() {
    // Arrange.
    let unnamed = HeldEnd::Unreadable {
        number: 1,
        run: None,
    };
    let (mut fleet, id) = running(fixtures::step(2));

    // Act.
    let listed = report(&mut fleet, &id, std::slice::from_ref(&unnamed));
    let next = HeldEnd::Unreadable {
        number: 2,
        run: None,
    };
    let hidden = WorkerReport {
        clock_ms: fleet.now_ms,
        held_ends: vec![next],
        has_more_ends: true,
        ..WorkerReport::default()
    };
    let now_ms = fleet.now_ms;
    fleet.engine.apply_report(&id, &hidden, now_ms, now_ms);
    let (_, effects) = fleet.engine.take_changes();

    // Assert.
    assert_eq!(listed, [1]);
    let is_acknowledged = |effect: &CommitEffect| matches!(effect, CommitEffect::Acknowledge(..));
    assert!(!effects.iter().any(is_acknowledged));
    assert_eq!(fleet.placed_names().len(), 2);
}
