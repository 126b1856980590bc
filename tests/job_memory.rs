//! The progress of jobs with many occurrences. Guards against jobs that take memory for what was accepted, and
//! not for what is due or under way.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/crashes.rs"]
mod crashes;

use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use serde_json::json;
use serde_json::Value;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSchedule;
use zincpier::workflow::JobSpec;
use zincpier::workflow::JobState;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskName;
use zincpier::workflow::TaskPhase;
use zincpier::workflow::TaskState;

use crate::crashes::CrashFleet;
use crate::fixtures::gang;
use crate::fixtures::step;
use crate::fixtures::step_after;
use crate::fixtures::JOB;
use crate::fixtures::QUEUE;

/// The most occurrences that are accepted.
const TIMES: u32 = 7_000;

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

        let mut restored = job(steps, times);
        restored.restore(&modelled.row(), 0).unwrap();

        assert_eq!(restored.to_value(), modelled.row(), "seed {seed}");
        modelled.job = restored;
        modelled.check(seed);
    }
}
