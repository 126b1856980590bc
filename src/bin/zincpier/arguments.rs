//! The command line.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::explain_command::ExplainArguments;
use crate::job_arguments::JobArguments;

/// Keep services within their availability budgets: change the service text,
/// watch entry hosts, send load.
///
/// Changes need the operators' token in the environment variable ZINCPIER_TOKEN.
/// Exit codes: 0 done, 1 failed, 2 the text has findings, 3 refused.
#[derive(FromArgs)]
pub(crate) struct Arguments {
    #[argh(subcommand)]
    pub(crate) command: Command,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum Command {
    Text(TextArguments),
    Wave(WaveArguments),
    Host(HostArguments),
    Pool(PoolArguments),
    Job(JobArguments),
    Entry(EntryArguments),
    Budget(BudgetArguments),
    Status(StatusArguments),
    Audit(AuditArguments),
    Explain(ExplainArguments),
    Load(LoadArguments),
    Demo(DemoArguments),
}

/// Check, compare, apply or show the service text.
#[derive(FromArgs)]
#[argh(subcommand, name = "text")]
pub(crate) struct TextArguments {
    #[argh(subcommand)]
    pub(crate) command: TextCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum TextCommand {
    Check(CheckArguments),
    Diff(DiffArguments),
    Apply(ApplyArguments),
    Show(ShowArguments),
}

/// Check a service text and print every finding.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArguments {
    /// the service text
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Print the lines that differ between a file and the text in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArguments {
    /// the service text
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Put a service text in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArguments {
    /// the service text
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// the revision that it replaces; the one in force if not given
    #[argh(option)]
    pub(crate) replaces: Option<u64>,
    /// wait until every entry host has it in force, and say which have
    #[argh(switch)]
    pub(crate) wait: bool,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Print the service text in force.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ShowArguments {
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Print what a daemon knows of entry hosts and services.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArguments {
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Print the audit trail.
#[derive(FromArgs)]
#[argh(subcommand, name = "audit")]
pub(crate) struct AuditArguments {
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Send requests at a fixed rate, whatever becomes of them, and print a report.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadArguments {
    /// the callers' address of an entry host; may be given more than once
    #[argh(option)]
    pub(crate) to: Vec<SocketAddr>,
    /// the path of the requests
    #[argh(option, default = "String::from(\"/\")")]
    pub(crate) path: String,
    /// the requests a second
    #[argh(option, default = "100.0")]
    pub(crate) rate: f64,
    /// how long, in seconds
    #[argh(option, default = "10.0")]
    pub(crate) seconds: f64,
    /// the deadline of each request, in milliseconds
    #[argh(option, default = "2000")]
    pub(crate) deadline_ms: u64,
    /// send POST requests with an idempotency key each
    #[argh(switch)]
    pub(crate) keyed: bool,
    /// the customer on whose behalf they are sent
    #[argh(option)]
    pub(crate) customer: Option<String>,
    /// makes runs alike
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Run platform, backend servers and three daemons in this process; change the
/// text, run a wave and drain a host under load; print a report.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoArguments {
    /// the service text; Granite Bay's example if not given
    #[argh(positional)]
    pub(crate) file: Option<PathBuf>,
    /// how long the load lasts, in seconds
    #[argh(option, default = "15.0")]
    pub(crate) seconds: f64,
}

/// Preview, start, hold, resume, abort or show maintenance waves.
#[derive(FromArgs)]
#[argh(subcommand, name = "wave")]
pub(crate) struct WaveArguments {
    #[argh(subcommand)]
    pub(crate) command: WaveCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum WaveCommand {
    Preview(PreviewArguments),
    Start(StartArguments),
    Hold(HoldArguments),
    Resume(ResumeArguments),
    Abort(AbortArguments),
    Show(WaveShowArguments),
}

/// Print the steps of a wave before anything is stopped.
#[derive(FromArgs)]
#[argh(subcommand, name = "preview")]
pub(crate) struct PreviewArguments {
    /// pool:NAME, service:NAME, rack:NAME or data-centre:NAME
    #[argh(positional)]
    pub(crate) scope: String,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Start a wave over a part of the fleet.
#[derive(FromArgs)]
#[argh(subcommand, name = "start")]
pub(crate) struct StartArguments {
    /// pool:NAME, service:NAME, rack:NAME or data-centre:NAME
    #[argh(positional)]
    pub(crate) scope: String,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// wait until the wave is over or held
    #[argh(switch)]
    pub(crate) wait: bool,
}

/// Stop no further host of a wave.
#[derive(FromArgs)]
#[argh(subcommand, name = "hold")]
pub(crate) struct HoldArguments {
    /// the wave
    #[argh(positional)]
    pub(crate) wave: String,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Let a held wave go on.
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
pub(crate) struct ResumeArguments {
    /// the wave
    #[argh(positional)]
    pub(crate) wave: String,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Give a wave up; hosts that are restarting still come back.
#[derive(FromArgs)]
#[argh(subcommand, name = "abort")]
pub(crate) struct AbortArguments {
    /// the wave
    #[argh(positional)]
    pub(crate) wave: String,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Print the waves.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct WaveShowArguments {
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// List the hosts, or move one to another pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "host")]
pub(crate) struct HostArguments {
    #[argh(subcommand)]
    pub(crate) command: HostCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum HostCommand {
    List(HostListArguments),
    Move(HostMoveArguments),
}

/// Print every host with its pool, place and condition.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct HostListArguments {
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Drain a host and make it a member of another pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
pub(crate) struct HostMoveArguments {
    /// the host
    #[argh(positional)]
    pub(crate) host: String,
    /// the pool
    #[argh(positional)]
    pub(crate) pool: String,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Print every pool with the hosts that it has.
#[derive(FromArgs)]
#[argh(subcommand, name = "pool")]
pub(crate) struct PoolArguments {
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Forget an entry host that is lost and known not to run any more.
#[derive(FromArgs)]
#[argh(subcommand, name = "entry")]
pub(crate) struct EntryArguments {
    #[argh(subcommand)]
    pub(crate) command: EntryCommand,
}

#[derive(FromArgs)]
#[argh(subcommand)]
pub(crate) enum EntryCommand {
    Forget(EntryForgetArguments),
}

/// Wait for it in no wave any more.
#[derive(FromArgs)]
#[argh(subcommand, name = "forget")]
pub(crate) struct EntryForgetArguments {
    /// the entry host
    #[argh(positional)]
    pub(crate) entry: String,
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Print the availability budgets and what is left of them.
#[derive(FromArgs)]
#[argh(subcommand, name = "budget")]
pub(crate) struct BudgetArguments {
    /// the operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}
