//! The command line about jobs.

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

/// Submit a job and print its name; the same key submits it only once.
#[derive(FromArgs)]
#[argh(subcommand, name = "submit")]
pub(crate) struct SubmitArguments {
    /// names the submission within its team
    #[argh(option)]
    pub(crate) key: String,
    /// the team on whose quota it runs
    #[argh(option)]
    pub(crate) team: TeamId,
    /// the service whose workers run it
    #[argh(option)]
    pub(crate) service: ServiceId,
    /// the kind of job; those of a team and kind are expected to be alike
    #[argh(option)]
    pub(crate) kind: String,
    /// what it uses: CORES/MEGABYTES or CORES/MEGABYTES/ACCELERATORS
    #[argh(option)]
    pub(crate) size: JobSize,
    /// how long it runs, in seconds
    #[argh(option)]
    pub(crate) seconds: f64,
    /// by when it must be done, in seconds from now
    #[argh(option)]
    pub(crate) within: f64,
    /// it goes before all others
    #[argh(switch)]
    pub(crate) urgent: bool,
    /// it may run again from its start
    #[argh(switch)]
    pub(crate) repeatable: bool,
    /// it can save its progress and go on from there
    #[argh(switch)]
    pub(crate) checkpoints: bool,
    /// the work, as the worker understands it
    #[argh(option, default = "String::new()")]
    pub(crate) work: String,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// wait until it has ended; it then exits with 0 only if the job was done
    #[argh(switch)]
    pub(crate) wait: bool,
}

/// Print how far a job has come.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct JobShowArguments {
    /// the job
    #[argh(positional)]
    pub(crate) job: JobId,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Print the jobs that have not ended, or those that have.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct JobListArguments {
    /// those that have ended
    #[argh(switch)]
    pub(crate) ended: bool,
    /// the job after which the page begins
    #[argh(option, default = "String::new()")]
    pub(crate) after: String,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Cancel jobs and print those that had not ended before.
#[derive(FromArgs)]
#[argh(subcommand, name = "cancel")]
pub(crate) struct CancelArguments {
    /// the jobs
    #[argh(positional)]
    pub(crate) jobs: Vec<JobId>,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}
