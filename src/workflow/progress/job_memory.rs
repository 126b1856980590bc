//! The memory that jobs take of their controller, and its bound.
//!
//! Jobs that are accepted can't be given up for want of memory, so new ones are refused in time. Work that is due
//! counts as if it had begun, and beyond the bound no further step begins until others are done.

use std::mem::size_of;

use crate::workflow::JobEngine;
use crate::workflow::JobState;
use crate::workflow::StepSpec;
use crate::workflow::TaskState;

/// The bytes of a job besides its payload, steps and tasks: its own fields and its places in the controller's
/// maps.
const JOB_BYTES: usize = 1_024;

/// The bytes of a step besides its fields: dependencies and names.
const STEP_BYTES: usize = 64;

/// The bytes of a task that has begun besides its state: checkpoint, workers, and its place in the row.
const TASK_BYTES: usize = 96;

/// The share of the limit, in percent, from which new jobs are refused. Jobs of the last moments are under way
/// when the entry hosts learn of it.
const FULL_PERCENT: usize = 80;

/// The memory that the jobs of a controller take.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct JobMemory {
    /// The limit in bytes; `None` if it is unknown.
    pub limit_bytes: Option<usize>,
    /// The bytes that the jobs hold, as of the last measurement.
    pub held_bytes: usize,
    /// The bytes that they hold once all that is due has begun.
    pub due_bytes: usize,
}

impl JobMemory {
    /// Returns whether there is no room for further jobs.
    pub fn is_full(&self) -> bool {
        let limit = self.limit_bytes.map(|bytes| bytes / 100 * FULL_PERCENT);
        limit.is_some_and(|bytes| self.due_bytes >= bytes)
    }

    /// Returns whether there is no room for further steps to begin.
    pub(crate) fn is_exhausted(&self) -> bool {
        self.limit_bytes
            .is_some_and(|bytes| self.held_bytes >= bytes)
    }
}

impl JobState {
    /// Returns the bytes that the job holds, and those that it holds once what is due at `wall_ms` has begun.
    fn memory_bytes(&self, wall_ms: u64) -> (usize, usize) {
        let steps = self.spec.steps.len() * (size_of::<StepSpec>() + STEP_BYTES);
        let held = JOB_BYTES + self.spec.payload.len() + steps;
        if self.spec.schedule.is_none() {
            let tasks = self.tasks_per_occurrence() * task_bytes();
            let begun = if self.begun.is_empty() { 0 } else { tasks };
            return (held + begun, held + tasks);
        }
        let held = held + self.begun_tasks().count() * task_bytes();
        let ready = self.ready_steps(wall_ms).into_iter();
        let ready = ready.map(|(occurrence, step)| self.step_tasks(occurrence, step));
        let waiting = ready.filter(|tasks| !tasks.is_held());
        let waiting: usize = waiting.map(|tasks| tasks.len()).sum();
        (held, held + waiting * task_bytes())
    }
}

impl JobEngine {
    /// Measures the memory that the jobs take.
    pub fn measure_job_memory(&mut self, wall_ms: u64) -> JobMemory {
        let was_full = self.job_memory.is_full();
        let jobs = self.jobs.values();
        let sizes = jobs.map(|job| {
            let (held, due) = job.memory_bytes(wall_ms);
            let later = if job.phase.has_ended() { held } else { due };
            (held, later)
        });
        let (held, due) = sizes.fold((0, 0), |sum, size| (sum.0 + size.0, sum.1 + size.1));
        self.job_memory.held_bytes = held;
        self.job_memory.due_bytes = due;
        let is_full = self.job_memory.is_full();
        if is_full != was_full {
            let (jobs, limit) = (self.jobs.len(), self.job_memory.limit_bytes.unwrap_or(0));
            log::warn!(
                "event=job_memory full={is_full} held_bytes={held} due_bytes={due} limit_bytes={limit} jobs={jobs}"
            );
        }
        self.job_memory
    }

    /// Returns the memory that the jobs take, as of the last measurement.
    pub fn job_memory(&self) -> JobMemory {
        self.job_memory
    }
}

fn task_bytes() -> usize {
    size_of::<TaskState>() + TASK_BYTES
}
