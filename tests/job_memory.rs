//! The progress of jobs with many occurrences. Guards against jobs that take memory for what was accepted, and
//! not for what is due or under way.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/crashes.rs"]
mod crashes;

use std::collections::BTreeSet;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use serde_json::json;
use serde_json::Value;
use zincpier::id::JobId;
use zincpier::id::Revision;
use zincpier::provider::TableRow;
use zincpier::workflow::BacklogView;
use zincpier::workflow::CommitEffect;
use zincpier::workflow::EndKind;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSchedule;
use zincpier::workflow::JobSpec;
use zincpier::workflow::JobState;
use zincpier::workflow::LeaderRecord;
use zincpier::workflow::PackedProgress;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskName;
use zincpier::workflow::TaskPhase;
use zincpier::workflow::TaskState;
use zincpier::workflow::WorkerResources;
use zincpier::workflow::LEADER_KEY;

use crate::crashes::CrashFleet;
use crate::fixtures::gang;
use crate::fixtures::step;
use crate::fixtures::step_after;
use crate::fixtures::task;
use crate::fixtures::with_cpu;
use crate::fixtures::EngineFleet;
use crate::fixtures::JOB;
use crate::fixtures::QUEUE;

/// The most occurrences that are accepted.
const TIMES: u32 = 7_000;

/// A limit on the memory of jobs for a small controller, in bytes.
const MEMORY_LIMIT: usize = 500_000;

fn spec(steps: Vec<StepSpec>, times: u32) -> JobSpec {
    JobSpec {
        queue: QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps,
        schedule: Some(JobSchedule {
            times,
            first_ms: 0,
            interval_ms: 60_000,
        }),
    }
}

fn job(steps: Vec<StepSpec>, times: u32) -> JobState {
    JobState::new(JOB.parse().unwrap(), Rc::new(spec(steps, times)), 0)
}

/// Guards against passes that look at each occurrence of each job.
#[test]
fn first_occurrences_of_many_jobs_run_in_time() {
    let mut fleet = CrashFleet::new(8);
    let schedule = JobSchedule {
        times: TIMES,
        first_ms: fleet.now_ms + 2_000,
        interval_ms: 60_000,
    };
    let ids: Vec<_> = (0..60).map(|number| format!("{number:016x}")).collect();
    for id in &ids {
        fleet.submit_scheduled(id, vec![step(1)], Some(schedule));
    }

    fleet.run(5_000);

    for id in &ids {
        let job = &fleet.engine.jobs[&id.parse().unwrap()];
        assert!(job.is_step_done(0, 0), "job {id}");
        assert_eq!(job.phase, JobPhase::Running);
    }
}

/// A job beside a list of the states of all its tasks.
struct ModelledJob {
    job: JobState,
    tasks: Vec<(TaskName, TaskState)>,
}

impl ModelledJob {
    fn new(steps: Vec<StepSpec>, times: u32) -> Self {
        let job = job(steps, times);
        let tasks = job.task_names().map(|name| (name, TaskState::new()));
        Self {
            tasks: tasks.collect(),
            job,
        }
    }

    /// Starts a drawn task, ends one, or marks it as done.
    fn change(&mut self, random: &mut SmallRng) {
        let position = random.random_range(0..self.tasks.len());
        let (name, model) = &mut self.tasks[position];
        if model.phase == TaskPhase::Done {
            self.job.mark_done(name);
            return;
        }
        let next = match random.random_range(0..4) {
            0 => TaskState {
                last_run: model.last_run + 1,
                ..TaskState::new()
            },
            1 if model.last_run > 0 => TaskState {
                checkpoint: "0a".to_owned(),
                ..model.clone()
            },
            _ => {
                self.job.mark_done(name);
                model.phase = TaskPhase::Done;
                return;
            }
        };
        *self.job.task_mut(name).unwrap() = next.clone();
        *model = next;
    }

    /// Returns the row that lists all tasks as the model has them.
    fn row(&self) -> Value {
        let tasks = self.tasks.iter().map(|(_, state)| state.to_value());
        json!({ "phase": "queued", "tasks": tasks.collect::<Vec<_>>() })
    }

    fn check(&self, seed: u64) {
        let is_waiting = |state: &TaskState| state.phase == TaskPhase::Waiting;
        let waiting = self.tasks.iter().filter(|(_, state)| is_waiting(state));
        assert_eq!(
            self.job.waiting_task_count(),
            waiting.count(),
            "seed {seed}"
        );
        for (name, model) in &self.tasks {
            let state = self.job.task(name).unwrap();
            assert_eq!(state.phase, model.phase, "{name}, seed {seed}");
            let is_done = model.phase == TaskPhase::Done;
            assert!(is_done || state == model, "{name}, seed {seed}");
        }
        let is_done = |state: &TaskState| state.phase == TaskPhase::Done;
        let all_done = self.tasks.iter().all(|(_, state)| is_done(state));
        assert_eq!(self.job.is_done(), all_done, "seed {seed}");
        assert_eq!(self.job.to_value(), self.row(), "seed {seed}");
    }
}

/// Guards against rows that the build before can't read, or that lose progress: rows list each task of each
/// occurrence, whatever is kept in memory.
#[test]
fn job_and_its_row_agree_with_a_list_of_all_tasks() {
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let times = random.random_range(1..8);
        let steps = match random.random_bool(0.5) {
            true => vec![step(random.random_range(1..4)), step_after(2, 0)],
            false => vec![gang(random.random_range(1..4), 100)],
        };
        let mut modelled = ModelledJob::new(steps.clone(), times);
        for _ in 0..random.random_range(1..60) {
            modelled.change(&mut random);
            modelled.check(seed);
        }

        let packed = PackedProgress::new(modelled.row());
        let mut restored = job(steps, times);
        restored.restore(&packed.into_row(), 0).unwrap();

        assert_eq!(restored.to_value(), modelled.row(), "seed {seed}");
        modelled.job = restored;
        modelled.check(seed);
    }
}

/// Returns a job of many tasks that is due at once.
fn wide_job(fleet: &mut CrashFleet, number: usize) -> String {
    let id = format!("{number:016x}");
    fleet.submit(&id, vec![with_cpu(1_000, step(100))]);
    id
}

/// Runs the fleet and measures the memory of its jobs, which is that of the last measurement meanwhile.
fn run_measured(fleet: &mut CrashFleet, time_ms: u64) -> usize {
    let until_ms = fleet.now_ms + time_ms;
    let mut most = 0;
    while fleet.now_ms < until_ms {
        fleet.pass();
        let memory = fleet.engine.measure_job_memory(fleet.now_ms);
        most = most.max(memory.held_bytes);
    }
    most
}

/// Guards against accepted jobs that a controller can't hold once they are due: it says that it is full before, and
/// has room again when they have ended.
#[test]
fn controller_is_full_before_its_jobs_exceed_the_limit() {
    let mut fleet = CrashFleet::new(8).with_memory_limit(MEMORY_LIMIT);
    let mut jobs = 0;
    while !fleet.engine.measure_job_memory(fleet.now_ms).is_full() {
        wide_job(&mut fleet, jobs);
        jobs += 1;
    }

    let most = run_measured(&mut fleet, 30_000);

    assert!(jobs > 5, "{jobs} jobs");
    assert!(most <= MEMORY_LIMIT, "{most} bytes");
    assert!(!fleet.engine.job_memory().is_full());
    let jobs = fleet.engine.jobs.values();
    assert!(jobs.into_iter().all(|job| job.phase == JobPhase::Complete));
}

/// Guards against jobs given up for memory: what was accepted beyond the limit waits until others have ended.
#[test]
fn jobs_beyond_the_limit_wait_and_complete() {
    let mut fleet = CrashFleet::new(64).with_memory_limit(MEMORY_LIMIT);
    let ids: Vec<_> = (0..60).map(|number| wide_job(&mut fleet, number)).collect();

    let most = run_measured(&mut fleet, 60_000);

    let job_bytes = fleet.engine.job_memory().due_bytes;
    assert!(most <= 2 * MEMORY_LIMIT + job_bytes, "{most} bytes");
    for id in &ids {
        assert_eq!(fleet.phase(id), JobPhase::Complete, "job {id}");
    }
}

fn leader_row(revision: u64, is_full: bool) -> TableRow {
    let record = LeaderRecord {
        epoch: 1,
        is_full,
        ..LeaderRecord::default()
    };
    TableRow {
        key: LEADER_KEY.to_owned(),
        revision: Revision::new(revision),
        value: serde_json::to_value(record).unwrap(),
    }
}

/// Guards against entry hosts that accept jobs which the holder of the lease can't hold, or refuse them by what it
/// said long ago.
#[test]
fn entry_hosts_know_that_the_holder_is_full() {
    let view = BacklogView::new();
    view.record_read(Some(&leader_row(1, false)), 1_000);
    assert!(!view.is_full(1_000));

    view.record_read(Some(&leader_row(2, true)), 1_300);

    assert!(view.is_full(1_400));
    assert!(!view.is_full(4_000));
    view.record_read(Some(&leader_row(3, false)), 1_600);
    assert!(!view.is_full(1_700));
}

/// Guards against a record that builds before this one don't know, while nothing is to be told.
#[test]
fn record_of_a_holder_with_room_says_nothing_of_its_memory() {
    let row = leader_row(1, false);

    assert_eq!(row.value.get("full"), None);
}

/// Guards against a commit with the rows of all jobs that change at once: those of wide jobs take memory by their
/// tasks. Each effect waits for the row of its decision.
#[test]
fn rows_of_many_changed_jobs_are_taken_in_parts_with_their_effects() {
    let mut fleet = EngineFleet::new(8);
    for number in 0..60 {
        let id = format!("{number:016x}").parse().unwrap();
        let spec = spec(vec![step(1)], TIMES);
        fleet.engine.add_job(id, spec, None, fleet.now_ms);
    }
    fleet.engine.place_tasks(fleet.now_ms, 1_000);

    let mut taken = BTreeSet::new();
    let mut started = BTreeSet::new();
    let mut parts = 0;
    while fleet.engine.has_changes() {
        let (rows, effects) = fleet.engine.take_changes();
        let tasks: usize = rows.len() * TIMES as usize;
        assert!(tasks < 100_000 + TIMES as usize, "{tasks} tasks");
        taken.extend(rows.into_iter().map(|(id, _)| id));
        for effect in effects {
            let CommitEffect::Start(task, _) = effect else {
                panic!("{effect:?}");
            };
            assert!(taken.contains(&task.job), "{task}");
            started.insert(task.job);
        }
        parts += 1;
    }

    assert!(parts > 3, "{parts} parts");
    assert_eq!((taken.len(), started.len()), (60, 60));
}

/// Guards against an acknowledgement that covers an end whose row is not durable: later ones of its worker wait.
#[test]
fn acknowledgements_wait_for_all_rows_of_their_worker() {
    let mut fleet = EngineFleet::new(1);
    let ids: Vec<JobId> = (0..30)
        .map(|number| format!("{number:016x}").parse().unwrap())
        .collect();
    let demand = WorkerResources {
        cpu_millis: 100,
        memory_mb: 100,
        gpus: 0,
    };
    for id in &ids {
        let small = StepSpec { demand, ..step(1) };
        let spec = spec(vec![small], TIMES);
        fleet.engine.add_job(id.clone(), spec, None, fleet.now_ms);
    }
    fleet.engine.place_tasks(fleet.now_ms, 1_000);
    while fleet.engine.has_changes() {
        fleet.engine.take_changes();
    }

    // The last jobs end first, so that their rows are the last ones to be taken.
    let last = ids.iter().rev().take(20);
    for id in last.clone() {
        fleet.end(&task(&id.to_string(), 0), EndKind::Done);
    }

    let mut taken = BTreeSet::new();
    while fleet.engine.has_changes() {
        let (rows, effects) = fleet.engine.take_changes();
        taken.extend(rows.into_iter().map(|(id, _)| id));
        for effect in effects {
            if let CommitEffect::Acknowledge(_, _, number, _) = effect {
                let ended = last.clone().take(number as usize);
                let unsaved: Vec<_> = ended.filter(|id| !taken.contains(*id)).collect();
                assert!(unsaved.is_empty(), "{number} covers {unsaved:?}");
            }
        }
    }
    assert_eq!(taken.len(), 20);
}

/// Guards against rows that a new holder changes by packing them, whatever they hold.
#[test]
fn packed_progress_is_that_of_the_row() {
    let rows = [
        json!({ "phase": "running", "tasks": [1, 1, 0, [2, 0, "", "w"], 0, 0], "crashes": [[3, 1]] }),
        json!({ "phase": "complete", "tasks": [] }),
        json!({ "phase": "queued", "tasks": "odd" }),
        json!([1, 1]),
        Value::Null,
    ];
    for row in rows {
        let packed = PackedProgress::new(row.clone());

        assert_eq!(packed.into_row(), row);
    }
}
