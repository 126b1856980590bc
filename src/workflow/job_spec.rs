//! A job's specification as a caller submits it, and its validation.

use serde::Deserialize;
use serde::Serialize;

use crate::id::OrganisationId;
use crate::workflow::SpecError;
use crate::workflow::WorkerResources;

/// The limit on tasks of one occurrence. A job's progress row is limited to 64 KB in the
/// platform's encoding, which leaves 48 KB of content; a running task reserves 48 bytes of it.
pub(crate) const MAX_OCCURRENCE_TASKS: u64 = 700;

/// The limit on tasks of all occurrences; a task that has not run or is done takes 2 bytes of the row.
/// As many run at a time as the row has room for.
const MAX_JOB_TASKS: u64 = 7_000;

/// The limit on each resource of a task: 10,000 cores in millicores, 10,000 GB in MB.
const MAX_RESOURCE_AMOUNT: u64 = 10_000_000;

/// The limit on the tasks and steps of all occurrences of a stored job, whichever version accepted it.
const MAX_STORED_TASKS: u64 = 100_000;

/// One step of a job: a number of identical tasks.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default)]
pub struct StepSpec {
    /// The number of tasks in each occurrence, at least 1.
    pub tasks: u32,
    /// The resources that each task requests.
    pub demand: WorkerResources,
    /// The caller's rough estimate of a task's duration, in ms.
    pub estimate_ms: u64,
    /// Indices of earlier steps whose tasks must all be done first.
    #[serde(skip_serializing_if = "Vec::is_empty")]
    pub after: Vec<u32>,
    /// Tasks write checkpoints and can resume from them.
    #[serde(skip_serializing_if = "is_false")]
    pub checkpointable: bool,
    /// All tasks start together and end together.
    #[serde(skip_serializing_if = "is_false")]
    pub gang: bool,
    /// Tasks run slower when they are spread over several racks.
    #[serde(skip_serializing_if = "is_false")]
    pub rack_local: bool,
    /// The label that a worker must have to run the tasks.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub required_label: Option<String>,
    /// The rack that holds the tasks' data; they run faster there.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub data_rack: Option<String>,
    /// The limit on tasks of the step on one worker; 0 for no limit.
    #[serde(skip_serializing_if = "is_zero")]
    pub max_per_worker: u32,
    /// Duplicate copies of a task may run at the same time.
    #[serde(skip_serializing_if = "is_false")]
    pub speculative: bool,
    /// Tasks run until the job is cancelled and are restarted whenever they end.
    #[serde(skip_serializing_if = "is_false")]
    pub long_running: bool,
    /// The image that the tasks run; tasks of one image behave alike.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub image: Option<String>,
    /// The limit on the tail latency of a task that serves users, in ms; 0 for none.
    #[serde(skip_serializing_if = "is_zero_u64")]
    pub target_ms: u64,
    /// Tasks use only idle CPU time and reserve no CPU capacity.
    #[serde(skip_serializing_if = "is_false")]
    pub backfill: bool,
    /// A command may end a task only if at most this many tasks of the step, including that
    /// one, are then unavailable; `None` for no limit.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_unavailable: Option<u32>,
}

impl StepSpec {
    fn first_error(&self, number: usize) -> Option<SpecError> {
        if self.tasks == 0 {
            return Some(SpecError::NoTasks(number));
        }
        if self
            .after
            .iter()
            .any(|&dependency| dependency as usize >= number)
        {
            return Some(SpecError::ForwardDependency(number));
        }
        let WorkerResources {
            cpu_millis,
            memory_mb,
            gpus,
        } = self.demand;
        let too_large = cpu_millis.max(memory_mb).max(gpus) > MAX_RESOURCE_AMOUNT;
        too_large.then_some(SpecError::TaskTooLarge(number))
    }

    /// Returns the resources that a task reserves on its worker: no CPU for backfill.
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

/// The schedule of a job whose steps run repeatedly.
#[derive(Clone, Copy, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSchedule {
    /// The number of occurrences; 0 counts as 1.
    pub times: u32,
    /// When the first occurrence is due, in ms since the Unix epoch.
    pub first_ms: u64,
    /// The time between two occurrences, in ms.
    pub interval_ms: u64,
}

/// A job as its caller submitted it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobSpec {
    /// The name of the queue that it was submitted to.
    pub queue: String,
    /// The organisation that submitted it; `None` without organisations or from a public queue.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub organisation: Option<OrganisationId>,
    /// The text that is passed to each task at its start.
    pub payload: String,
    /// The steps; each may depend only on earlier ones.
    pub steps: Vec<StepSpec>,
    /// The schedule; `None` for a job that runs once.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub schedule: Option<JobSchedule>,
}

impl JobSpec {
    /// Returns whether the job is never refused or placed last for its organisation's rate or a
    /// backlog: long-running jobs are placed before others, scheduled ones later.
    pub fn is_exempt_from_rates(&self) -> bool {
        self.schedule.is_some() || self.steps.iter().any(|step| step.long_running)
    }

    /// Returns the number of occurrences, 1 without a schedule.
    pub fn occurrences(&self) -> u32 {
        self.schedule.map_or(1, |schedule| schedule.times.max(1))
    }

    /// Returns the number of occurrences that are due at `wall_ms`, in ms since the Unix epoch; 1 without a
    /// schedule.
    pub fn due_occurrences(&self, wall_ms: u64) -> u32 {
        let Some(schedule) = self.schedule else {
            return 1;
        };
        let Some(since_ms) = wall_ms.checked_sub(schedule.first_ms) else {
            return 0;
        };
        let later = since_ms.checked_div(schedule.interval_ms);
        let later = later.and_then(|later| u32::try_from(later).ok());
        let due = later.map_or(u32::MAX, |later| later.saturating_add(1));
        due.min(self.occurrences())
    }

    /// Returns the length in ms of the critical path, where `step_ms` gives each step's duration.
    pub fn critical_path_ms(&self, step_ms: impl Fn(usize, &StepSpec) -> u64) -> u64 {
        let (length, _) = self.critical_paths_ms(|number, step| (step_ms(number, step), 0));
        length
    }

    /// Like [`JobSpec::critical_path_ms`], for two durations of each step.
    pub(crate) fn critical_paths_ms(
        &self,
        step_ms: impl Fn(usize, &StepSpec) -> (u64, u64),
    ) -> (u64, u64) {
        let latest = |one: (u64, u64), other: &(u64, u64)| (one.0.max(other.0), one.1.max(other.1));
        let mut ends: Vec<(u64, u64)> = Vec::with_capacity(self.steps.len());
        for (number, step) in self.steps.iter().enumerate() {
            let dependencies = step
                .after
                .iter()
                .filter_map(|&step| ends.get(step as usize));
            let start = dependencies.fold((0, 0), latest);
            let took = step_ms(number, step);
            ends.push((
                start.0.saturating_add(took.0),
                start.1.saturating_add(took.1),
            ));
        }
        ends.iter().fold((0, 0), latest)
    }

    /// Returns the first reason why the job cannot be accepted, or `None` for a valid job.
    pub fn first_error(&self) -> Option<SpecError> {
        if self.steps.is_empty() {
            return Some(SpecError::NoSteps);
        }
        let steps = self.steps.iter().enumerate();
        let step_error = steps
            .filter_map(|(number, step)| step.first_error(number))
            .next();
        let tasks: u64 = self.steps.iter().map(|step| u64::from(step.tasks)).sum();
        let total = tasks.saturating_mul(u64::from(self.occurrences()));
        step_error
            .or(
                (tasks > MAX_OCCURRENCE_TASKS).then_some(SpecError::TooManyOccurrenceTasks(
                    tasks,
                    MAX_OCCURRENCE_TASKS,
                )),
            )
            .or((total > MAX_JOB_TASKS).then_some(SpecError::TooManyTasks(total, MAX_JOB_TASKS)))
            .or_else(|| self.long_running_error())
    }

    /// Returns whether a stored job can be held and added up: an older version may have accepted more
    /// than this one, and what another writer stored may be anything.
    pub(crate) fn is_plausible(&self) -> bool {
        let steps = self.steps.iter();
        let size: u64 = steps.map(|step| u64::from(step.tasks) + 1).sum();
        let size = size.saturating_mul(u64::from(self.occurrences()));
        let mut steps = self.steps.iter();
        size <= MAX_STORED_TASKS && steps.all(|step| step.demand.is_plausible())
    }

    /// Returns an error if the long-running tasks of all occurrences, none of which ends, can't run at the
    /// same time beside the other tasks of one occurrence.
    fn long_running_error(&self) -> Option<SpecError> {
        let (long_running, others): (Vec<_>, Vec<_>) =
            self.steps.iter().partition(|step| step.long_running);
        let tasks =
            |steps: Vec<&StepSpec>| -> u64 { steps.iter().map(|step| u64::from(step.tasks)).sum() };
        let long_running = tasks(long_running).saturating_mul(u64::from(self.occurrences()));
        let total = long_running.saturating_add(tasks(others));
        (long_running > 0 && total > MAX_OCCURRENCE_TASKS)
            .then_some(SpecError::TooManyLongRunning(total, MAX_OCCURRENCE_TASKS))
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
