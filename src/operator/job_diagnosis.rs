//! Diagnoses of jobs: why a job was refused, late or failed, or that it was none of these.

use thiserror::Error;

/// Diagnosis of a job, derived from log lines.
///
/// Each text starts with its category, such as `refused` or `late`, by which operators group jobs.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
pub enum JobDiagnosis {
    /// No log line mentions the job.
    #[error("no log line mentions this job")]
    NoLogLines,
    /// No log line mentions the job, and it is not among those whose lines were kept at some time.
    #[error("not logged: from {from_ms} to {to_ms} the log was sampled, down to {kept_per_mille} of 1,000 jobs{}", lag_text(*lag_ms, *lag_time_ms))]
    NotSampled {
        /// When lines about this job were dropped first, in ms since the Unix epoch.
        from_ms: u64,
        /// When they were kept again, or the last line's time, in ms since the Unix epoch.
        to_ms: u64,
        /// Jobs of a thousand whose lines were kept at the lowest rate.
        kept_per_mille: u64,
        /// The largest lag that a controller logged meanwhile, in ms; 0 for none.
        lag_ms: u64,
        /// When it was logged, in ms since the Unix epoch.
        lag_time_ms: u64,
    },
    /// It was refused while the table was unreachable.
    #[error("refused: the table did not answer {hosts} entry hosts for up to {unanswered_ms} ms")]
    TableUnreachable {
        /// Number of entry hosts that had lost the connection to the table.
        hosts: usize,
        /// Longest time without an answer that a refused submission logged, in ms; 0 if none did.
        unanswered_ms: u64,
    },
    /// One of its tasks crashed workers.
    #[error("failed: task {task} crashed {crashes} workers: {workers}")]
    CrashesWorkers {
        /// The task.
        task: String,
        /// Number of crashes that counted against it.
        crashes: u64,
        /// The workers of these crashes that were logged, separated by commas.
        workers: String,
    },
    /// The table did not store it; holds the logged reason.
    #[error("refused: the table did not store the job: {0}")]
    TableRefused(String),
    /// The work ahead of it would have outlasted the time for which its result is of use.
    #[error("refused: {wait_ms} ms of work waited before it, and its result is of use for {useful_ms} ms")]
    BacklogTooLong {
        /// Time that the work ahead of it would have taken, in ms.
        wait_ms: u64,
        /// Time from its submission after which its result is of no use, in ms.
        useful_ms: u64,
    },
    /// Its organisation submitted more jobs per second than it is entitled to, while a pool was short.
    #[error("refused: rate: {organisation} sent more than it is entitled to, and {percent}% of its jobs were admitted")]
    RateExceeded {
        /// The organisation.
        organisation: String,
        /// The part of its submissions that was admitted, in percent.
        percent: String,
    },
    /// The waiting work of its organisation would have outlasted, on the organisation's share of the
    /// pool, the time for which the job's result is of use.
    #[error("refused: share: {wait_ms} ms of {organisation}'s own work waited on its share, and the result is of use for {useful_ms} ms")]
    ShareExceeded {
        /// The organisation.
        organisation: String,
        /// Time that its waiting work would have taken, in ms.
        wait_ms: u64,
        /// Time from its submission after which the job's result is of no use, in ms.
        useful_ms: u64,
    },
    /// The caller's key is unknown to the configuration, or there was none; holds the version.
    #[error(
        "refused: key: the caller's key is unknown in version {0} of the configuration, or missing"
    )]
    KeyUnknown(String),
    /// The entry host could not know whether the key was still valid.
    #[error("refused: key: version {version} of the configuration had been confirmed {age_ms} ms before, too long for a key of organisation {organisation}")]
    KeyUnconfirmed {
        /// The organisation whose key it is in that version, or `unknown`.
        organisation: String,
        /// The version of the configuration.
        version: String,
        /// The time since the version was known to be the newest, in ms, or `unknown`.
        age_ms: String,
    },
    /// Its submission was invalid or could not be satisfied; holds the logged reason.
    #[error("rejected: {0}")]
    Rejected(String),
    /// Its tasks failed on several workers, or on one that was not quarantined.
    #[error("failed: {task} failed {failures} times on {workers} workers, so the job is at fault")]
    JobAtFault {
        /// Task whose failures failed the job.
        task: String,
        /// Number of its failures.
        failures: u64,
        /// Number of workers that it failed on.
        workers: usize,
    },
    /// Its task failed only on one worker, which was quarantined.
    #[error("failed: {task} failed {failures} times on {worker}, which was quarantined")]
    WorkerAtFault {
        /// Task whose failures failed the job.
        task: String,
        /// Number of its failures.
        failures: u64,
        /// The quarantined worker.
        worker: String,
    },
    /// It was cancelled on a caller's request.
    #[error("cancelled by a caller")]
    Cancelled,
    /// An entry host gained the controller lease while the job waited for its first task to start.
    #[error("late: {waited_ms} ms passed before its first start, while {holder} took over as controller")]
    ControllerChanged {
        /// Time from its first log line to its first task start, or to its last line if no task was
        /// started, in ms.
        waited_ms: u64,
        /// New holder of the lease.
        holder: String,
    },
    /// The controller was short of processor time.
    #[error("late: waited {waited_ms} ms while the controller was behind by up to {lag_ms} ms")]
    ControllerBehind {
        /// Time from its first log line to its last task start, or to its last line if no task was
        /// started, in ms.
        waited_ms: u64,
        /// The largest lag that the controller logged meanwhile, in ms.
        lag_ms: u64,
    },
    /// Its organisation had reached its rate, share or cap.
    #[error("late: waited {waited_ms} ms; {organisation} had reached its {cause}: {used_millis} millicores in use, share {share_millis}, cap {cap_millis}")]
    OrganisationLimited {
        /// Time from its first log line to its last task start, or to its last line if no task was
        /// started, in ms.
        waited_ms: u64,
        /// The organisation.
        organisation: String,
        /// `rate`, `share` or `cap`.
        cause: String,
        /// CPU that the organisation had in use, in millicores.
        used_millis: u64,
        /// Its share of the pools that it used, in millicores.
        share_millis: u64,
        /// Its cap in millicores; 0 if there is none.
        cap_millis: u64,
    },
    /// Its pool had less capacity than demand.
    #[error("late: waited {waited_ms} ms; pool {pool} had capacity for {capacity_millis} of {demand_millis} requested millicores")]
    PoolShortage {
        /// Time from its first log line to its last task start, or to its last line if no task was
        /// started, in ms.
        waited_ms: u64,
        /// The pool of its service.
        pool: String,
        /// Capacity of the pool when its shortage was largest, in millicores.
        capacity_millis: u64,
        /// Demand at that time, in millicores.
        demand_millis: u64,
    },
    /// A task had to be started again.
    #[error("late: {task} was started {runs} times: {reason}")]
    TaskRestarted {
        /// The task that was started most often.
        task: String,
        /// Number of its runs, including the first.
        runs: u64,
        /// Last logged reason or unsuccessful end of the task.
        reason: String,
    },
    /// It was not delayed: its tasks ran for at least 75 % of the time between its first and last
    /// log line.
    #[error("own work: its tasks ran for {execution_ms} of {total_ms} ms")]
    ExecutionTime {
        /// Time during which any of its tasks ran, in ms.
        execution_ms: u64,
        /// Time from its first log line to its last, in ms.
        total_ms: u64,
    },
    /// Commits to the table were retried while the job was open; holds the number of retries.
    #[error("late: table commits were retried {0} times while it was open")]
    CommitsRetried(usize),
    /// It completed before it would have counted as late; holds the time taken in ms.
    #[error("complete after {0} ms")]
    CompletedInTime(u64),
    /// The log lines are incomplete or give no cause.
    #[error("inconclusive: {0}")]
    Inconclusive(String),
}

/// Returns the part of a diagnosis that says how far the controller was behind, if it was.
fn lag_text(lag_ms: u64, time_ms: u64) -> String {
    match lag_ms {
        0 => String::new(),
        _ => format!("; the controller was behind by up to {lag_ms} ms at {time_ms}"),
    }
}
