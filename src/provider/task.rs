//! Commands for tasks on workers, and reports of their state.

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::Revision;
use crate::id::TaskId;
use crate::job::JobSize;

/// The action of a command for a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskAction {
    /// Start the task, unless it has been started or stopped before.
    Start(TaskStart),
    /// Save the progress of the task and stop it; a task not yet started will never start.
    Checkpoint,
    /// Stop the task without saving its progress; a task not yet started will never start.
    Stop,
}

/// The parameters of a task's start.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskStart {
    /// The resources that the task may use.
    pub size: JobSize,
    /// The work to do, as given in the job.
    pub work: String,
    /// The progress to resume from, in milliseconds of work.
    pub resume_ms: u64,
    /// The name of the lease under which the task runs.
    pub lease: String,
}

/// A command for one task; repeating it has no further effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskCommand {
    /// The task that the command is for.
    pub task: TaskId,
    /// The host of the worker.
    pub host: HostId,
    /// What the worker must do with the task.
    pub action: TaskAction,
}

/// The state of a task.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TaskState {
    /// The task runs.
    Running,
    /// The task completed its work.
    Finished,
    /// The task ended with this error.
    Failed(String),
    /// The task was stopped by a command.
    Stopped,
    /// The lease expired or the worker went down while the task ran.
    Lapsed,
    /// The task was not started and never will be.
    NeverStarted,
}

/// The platform's report on a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskReport {
    /// The task that is reported on.
    pub task: TaskId,
    /// The host of the worker.
    pub host: HostId,
    /// The last state that the platform knows.
    pub state: TaskState,
    /// The saved progress of the job, including earlier runs, in milliseconds of work.
    pub saved_ms: u64,
    /// The run time of this task so far, without earlier runs, in milliseconds.
    pub ran_ms: u64,
    /// The peak resource usage; `None` until it is known, some time after the start.
    pub usage: Option<JobSize>,
}

/// The tasks that changed after a revision.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct TaskChanges {
    /// The revision of the task list after the changes.
    pub revision: Revision,
    /// The current reports of the changed tasks.
    pub tasks: Vec<TaskReport>,
}

/// A lease on tasks. Its tasks stop running if it is not renewed before it expires.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskLease {
    /// The name by which [`TaskStart`] refers to the lease.
    pub lease: String,
    /// How long the lease is valid after the platform has received the call, in milliseconds.
    pub hold_ms: u64,
}
