//! Command line arguments of the `job` commands.

use std::net::SocketAddr;

use argh::FromArgs;

use zincpier::id::JobId;
use zincpier::id::ServiceId;
use zincpier::id::TeamId;
use zincpier::job::JobSize;

/// Submit, show, list or cancel jobs on workers.
#[derive(FromArgs)]
#[argh(subcommand, name = "job")]
pub(crate) struct JobArguments {
    #[argh(subcommand)]
    pub(crate) command: JobCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum JobCommand {
    Submit(SubmitArguments),
    Show(JobShowArguments),
    List(JobListArguments),
    Cancel(CancelArguments),
}

/// Submit a job and print its id; repeating a key does not submit it again.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct SubmitArguments {
    /// idempotency key of the submission within its team
    #[argh(option)]
    pub(crate) key: String,
    /// team whose quota it uses
    #[argh(option)]
    pub(crate) team: TeamId,
    /// service whose workers run it
    #[argh(option)]
    pub(crate) service: ServiceId,
    /// job kind; jobs of one team and kind are expected to use similar resources
    #[argh(option)]
    pub(crate) kind: String,
    /// resources: CORES/MEGABYTES or CORES/MEGABYTES/ACCELERATORS
    #[argh(option)]
    pub(crate) size: JobSize,
    /// expected run time, in seconds
    #[argh(option)]
    pub(crate) seconds: f64,
    /// deadline for completion, in seconds from now
    #[argh(option)]
    pub(crate) within: f64,
    /// schedule the job before all non-urgent jobs
    #[argh(switch)]
    pub(crate) urgent: bool,
    /// the job may be restarted from the beginning
    #[argh(switch)]
    pub(crate) repeatable: bool,
    /// the job saves checkpoints and can continue from them
    #[argh(switch)]
    pub(crate) checkpoints: bool,
    /// work description, passed to the worker unchanged
    #[argh(option, default = "String::new()")]
    pub(crate) work: String,
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// wait until the job has ended; exit with 0 only if it finished successfully
    #[argh(switch)]
    pub(crate) wait: bool,
}

/// Print the state of a job.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct JobShowArguments {
    /// job id
    #[argh(positional)]
    pub(crate) job: JobId,
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Print the open jobs, or the ended ones.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct JobListArguments {
    /// list ended jobs instead
    #[argh(switch)]
    pub(crate) ended: bool,
    /// list jobs after this job id
    #[argh(option, default = "String::new()")]
    pub(crate) after: String,
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Cancel jobs and print those that were still open.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct CancelArguments {
    /// job ids
    #[argh(positional)]
    pub(crate) jobs: Vec<JobId>,
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}
