//! Tasks on workers: orders for them and reports about them.

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::Revision;
use crate::id::TaskId;
use crate::job::JobSize;

/// What is to be done with a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskAction {
    /// Start it, unless it was ever started or stopped before.
    Start(TaskStart),
    /// Save its progress and stop it; a task that was never started never starts.
    Checkpoint,
    /// Stop it without its progress; a task that was never started never starts.
    Stop,
}

/// How a task is started.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskStart {
    /// What it may use.
    pub size: JobSize,
    /// The work, as the job gives it.
    pub work: String,
    /// The progress that it goes on from, in milliseconds of work.
    pub resume_ms: u64,
    /// The lease under which it runs.
    pub lease: String,
}

/// An order for one task; repeating it has no further effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskCommand {
    /// The task.
    pub task: TaskId,
    /// The worker.
    pub host: HostId,
    /// What is to be done.
    pub action: TaskAction,
}

/// How far a task has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// It runs.
    Running,
    /// It has done its work.
    Finished,
    /// It ended with an error.
    Failed(String),
    /// It was stopped by an order.
    Stopped,
    /// Its lease or its worker was lost while it ran.
    Lapsed,
    /// It was never started and never will be.
    NeverStarted,
}

/// What the platform says of a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskReport {
    /// The task.
    pub task: TaskId,
    /// The worker.
    pub host: HostId,
    /// How far it has come.
    pub state: TaskState,
    /// The progress that was saved, in milliseconds of work.
    pub saved_ms: u64,
    /// The time that it has run, in milliseconds.
    pub ran_ms: u64,
    /// The most that it was seen to use; it lags.
    pub usage: Option<JobSize>,
}

/// The tasks that changed after a revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TaskChanges {
    /// The revision that the changes lead to.
    pub revision: Revision,
    /// The changed tasks as they are now.
    pub tasks: Vec<TaskReport>,
}

/// A lease on tasks: while it is renewed in time, they run.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskLease {
    /// The name of the lease.
    pub lease: String,
    /// How long it holds from now, in milliseconds.
    pub hold_ms: u64,
}
