//! Why a job was refused, late or shown as failed.

use thiserror::Error;

/// What the log lines tell of a job's end.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum JobDiagnosis {
    /// No line is about the job.
    #[error("no line is about this job")]
    NoLogLines,
    /// It was refused while the table was out of reach.
    #[error("refused: the table did not answer {hosts} entry hosts for up to {unanswered_ms} ms")]
    TableUnreachable {
        /// The entry hosts that had lost the table at that time.
        hosts: usize,
        /// The longest silence that a refusal names.
        unanswered_ms: u64,
    },
    /// The table refused to store it.
    #[error("refused: the table would not store it: {0}")]
    TableRefused(String),
    /// Its submission cannot be read, or asks for what cannot be done.
    #[error("rejected: {0}")]
    Rejected(String),
    /// Its own tasks fail.
    #[error("failed: {task} failed {failures} times on {workers} workers, so the job is at fault")]
    JobAtFault {
        /// The task that failed last.
        task: String,
        /// How often it failed.
        failures: u64,
        /// On how many workers.
        workers: usize,
    },
    /// A worker fails what it runs.
    #[error("failed: {task} failed {failures} times on {worker}, which was distrusted")]
    WorkerAtFault {
        /// The task that failed last.
        task: String,
        /// How often it failed.
        failures: u64,
        /// The worker.
        worker: String,
    },
    /// A caller cancelled it.
    #[error("cancelled by a caller")]
    Cancelled,
    /// It waited for a new controller.
    #[error("late: {waited_ms} ms passed before its first start, in which {holder} took over")]
    ControllerChanged {
        /// The wait in ms.
        waited_ms: u64,
        /// The new holder of the lease.
        holder: String,
    },
    /// Its pool had too little room.
    #[error("late: {waited_ms} ms without room; pool {pool} had {capacity_millis} of {demand_millis} thousandths of a core that were asked for")]
    PoolShortage {
        /// The wait in ms.
        waited_ms: u64,
        /// The pool.
        pool: String,
        /// Its room at the worst time, in thousandths of a core.
        capacity_millis: u64,
        /// What was asked of it then.
        demand_millis: u64,
    },
    /// A run of a task had to be repeated.
    #[error("late: {task} was started {runs} times: {reason}")]
    TaskRestarted {
        /// The task.
        task: String,
        /// Its runs.
        runs: u64,
        /// Why the last but one ended.
        reason: String,
    },
    /// Its tasks were at work nearly all the time.
    #[error("as long as its work: its tasks ran in {execution_ms} of {total_ms} ms")]
    ExecutionTime {
        /// The time in which any of its tasks ran, in ms.
        execution_ms: u64,
        /// The time from its first line to its last, in ms.
        total_ms: u64,
    },
    /// The table held the start of its tasks up.
    #[error("late: commits were tried again {0} times while it waited")]
    CommitsRetried(usize),
    /// It was done in time.
    #[error("complete after {0} ms")]
    CompletedInTime(u64),
    /// The lines end before the job does, or tell no reason.
    #[error("the trail breaks: {0}")]
    Inconclusive(String),
}
