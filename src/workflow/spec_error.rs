//! What is wrong with a submitted job.

use thiserror::Error;

/// Why a job cannot be taken.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum SpecError {
    /// There is nothing to do.
    #[error("the job has no steps")]
    NoSteps,
    /// A step has no tasks.
    #[error("step {0} has no tasks")]
    NoTasks(usize),
    /// A step waits for itself or a later one.
    #[error("step {0} waits for a step that does not come before it")]
    ForwardDependency(usize),
    /// One occurrence has more tasks than a row can hold while they run.
    #[error("{0} tasks in one occurrence are more than {1}")]
    TooManyOccurrenceTasks(u64, u64),
    /// All occurrences together have more tasks than a row can hold.
    #[error("{0} tasks in all are more than {1}")]
    TooManyTasks(u64, u64),
    /// A task asks for more than any host has.
    #[error("a task of step {0} asks for more than any host has")]
    TaskTooLarge(usize),
}
