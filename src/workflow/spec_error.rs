//! Validation errors of a submitted job.

use thiserror::Error;

/// Why a job cannot be accepted. Callers receive the text; steps are numbered from 0.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SpecError {
    /// The list of steps is empty.
    #[error("the job has no steps")]
    NoSteps,
    /// The step's number of tasks is 0.
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    /// The step depends on itself or on a later step.
    #[error("step {0} waits for a step that does not come before it")]
    ForwardDependency(usize),
    /// One occurrence has more tasks than the progress row can hold while they run. Contains the
    /// number of tasks and the limit.
    #[error("{0} tasks in one occurrence are more than {1}")]
    TooManyOccurrenceTasks(u64, u64),
    /// All occurrences together have more tasks than the progress row can hold. Contains the number
    /// of tasks and the limit.
    #[error("{0} tasks in all are more than {1}")]
    TooManyTasks(u64, u64),
    /// The long-running tasks of all occurrences, with the others of one occurrence, are more than the
    /// progress row can hold while they run. Contains the number of tasks and the limit.
    #[error("{0} long-running tasks and others beside them are more than {1}")]
    TooManyLongRunning(u64, u64),
    /// A task of the step requests more of a resource than any host has.
    #[error("a task of step {0} asks for more than any host has")]
    TaskTooLarge(usize),
}
