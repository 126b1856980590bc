//! What a caller submits: steps of tasks.

use serde::Deserialize;
use serde::Serialize;

use crate::workflow::SpecError;
use crate::workflow::WorkerResources;

/// The most tasks of one occurrence: the row with a job's progress takes 64 KB in the
/// platform's encoding, and a task that runs takes some 45 bytes of 48 KB.
const MAX_OCCURRENCE_TASKS: u64 = 700;

/// The most tasks of all occurrences: one that doesn't run takes 2 bytes of the row.
const MAX_JOB_TASKS: u64 = 7_000;

/// The most of any resource that a task may ask for: ten thousand cores, as many GB.
const MAX_RESOURCE_AMOUNT: u64 = 10_000_000;

/// One step: tasks that are alike.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// The number of tasks.
    pub tasks: u32,
    /// What each task asks for.
    pub demand: WorkerResources,
    /// The caller's rough estimate of a task's duration, in ms.
    pub estimate_ms: u64,
    /// The earlier steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Tasks write checkpoints and can start from them.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpointable: bool,
    /// All tasks run together and end together.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Tasks are slower when they run on more than one rack.
    #[serde(skip_serializing_if = "is_false")]
    pub rack_local: bool,
    /// The label that a worker must have.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<String>,
    /// The rack on which the tasks are faster.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<String>,
    /// The most tasks of the step on one worker, 0 for no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub max_per_worker: u32,
    /// Copies of a task may run beside it.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Tasks run until the job is cancelled and are restarted however they end.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// What the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// The bound on the tail latency that a task serves its users with, in ms, 0 for none.
    #[serde(skip_serializing_if = "is_zero_u64")]
    pub target_ms: u64,
    /// Tasks take the processor time that others leave, so that theirs isn't counted.
    #[serde(skip_serializing_if = "is_false")]
    pub backfill: bool,
    /// The most tasks that orders may make unavailable at a time; nothing for no bound.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    fn first_error(&self, number: usize) -> Option<SpecError> {
        if self.tasks == 0 {
            return Some(SpecError::NoTasks(number));
        }
        if self.after.iter().any(|&before| before as usize >= number) {
            return Some(SpecError::ForwardDependency(number));
        }
        let WorkerResources {
            cpu_millis,
            memory_mb,
            gpus,
        } = self.demand;
        let huge = cpu_millis.max(memory_mb).max(gpus) > MAX_RESOURCE_AMOUNT;
        huge.then_some(SpecError::TaskTooLarge(number))
    }

    /// Returns what a task takes from its worker's room.
    pub fn reserved(&self) -> WorkerResources {
        let cpu_millis = if self.backfill {
            0
        } else {
            self.demand.cpu_millis
        };
        WorkerResources {
            cpu_millis,
            ..self.demand
        }
    }
}

/// When the steps of a job run again and again.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSchedule {
    /// The number of occurrences.
    pub times: u32,
    /// When the first is due, in ms since 1970.
    pub first_ms: u64,
    /// The time between two, in ms.
    pub interval_ms: u64,
}

/// A job as it was submitted.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// The queue that it was handed to.
    pub queue: String,
    /// The text that each task is started with.
    pub payload: String,
    /// Its steps.
    pub steps: Vec<StepSpec>,
    /// Its schedule, if it has one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<JobSchedule>,
}

impl JobSpec {
    /// Returns the number of occurrences, 1 without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }

    /// Returns the longest chain through the steps, each of which takes what `length` says, in ms.
    pub fn longest_chain(&self, length: impl Fn(usize, &StepSpec) -> u64) -> u64 {
        let mut ends: Vec<u64> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let before = step
                .after
                .iter()
                .filter_map(|&step| ends.get(step as usize));
            let start = before.copied().max().unwrap_or(0);
            ends.push(start.saturating_add(length(number, step)));
        }
        ends.into_iter().max().unwrap_or(0)
    }

    /// Returns why the job cannot be taken, if it cannot.
    pub fn first_error(&self) -> Option<SpecError> {
        if self.steps.is_empty() {
            return Some(SpecError::NoSteps);
        }
        let steps = self.steps.iter().enumerate();
        let first_error = steps
            .filter_map(|(number, step)| step.first_error(number))
            .next();
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let total = tasks.saturating_mul(u64::from(self.occurrences()));
        first_error
            .or(
                (tasks > MAX_OCCURRENCE_TASKS).then_some(SpecError::TooManyOccurrenceTasks(
                    tasks,
                    MAX_OCCURRENCE_TASKS,
                )),
            )
            .or((total > MAX_JOB_TASKS).then_some(SpecError::TooManyTasks(total, MAX_JOB_TASKS)))
    }
}

fn is_false(flag: &bool) -> bool {
    !*flag
}

fn is_zero(number: &u32) -> bool {
    *number == 0
}

fn is_zero_u64(number: &u64) -> bool {
    *number == 0
}
