//! Command line arguments of `zincpier`.

use std::net::SocketAddr;
use std::path::PathBuf;

use argh::FromArgs;

use crate::explain_command::ExplainArguments;
use crate::job_arguments::JobArguments;
use crate::organisation_command::OrganisationArguments;

/// Manage fleet capacity and maintenance: apply the service text, run waves
/// and jobs, inspect entry hosts, generate load.
///
/// Changes require the operator token in the environment variable ZINCPIER_TOKEN.
/// Exit codes: 0 success, 1 failure, 2 findings in the service text,
/// 3 request refused by a daemon or the platform.
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
    Organisations(OrganisationArguments),
    Status(StatusArguments),
    Audit(AuditArguments),
    Explain(ExplainArguments),
    Load(LoadArguments),
    Demo(DemoArguments),
}

/// Validate, compare, apply or show the service text.
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

/// Validate a service text and print all findings.
#[derive(FromArgs)]
#[argh(subcommand, name = "check")]
pub(crate) struct CheckArguments {
    /// path of the service text
    #[argh(positional)]
    pub(crate) file: PathBuf,
}

/// Print the lines that only the latest service text (-) or only a file (+) contains.
#[derive(FromArgs)]
#[argh(subcommand, name = "diff")]
pub(crate) struct DiffArguments {
    /// path of the service text
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Apply a service text.
#[derive(FromArgs)]
#[argh(subcommand, name = "apply")]
pub(crate) struct ApplyArguments {
    /// path of the service text
    #[argh(positional)]
    pub(crate) file: PathBuf,
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// revision to replace (default: the latest one)
    #[argh(option)]
    pub(crate) replaces: Option<u64>,
    /// wait up to 30 s until the text is in force on every entry host; print the entry hosts
    #[argh(switch)]
    pub(crate) wait: bool,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Print the latest service text.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct ShowArguments {
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Print a daemon's view of entry hosts and services.
#[derive(FromArgs)]
#[argh(subcommand, name = "status")]
pub(crate) struct StatusArguments {
    /// operator address of a daemon
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
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Send requests at a fixed mean rate, regardless of their outcomes, and print a report.
#[derive(FromArgs)]
#[argh(subcommand, name = "load")]
pub(crate) struct LoadArguments {
    /// caller address of an entry host (repeatable)
    #[argh(option)]
    pub(crate) to: Vec<SocketAddr>,
    /// request path
    #[argh(option, default = "String::from(\"/\")")]
    pub(crate) path: String,
    /// mean requests per second
    #[argh(option, default = "100.0")]
    pub(crate) rate: f64,
    /// duration of the load, in seconds
    #[argh(option, default = "10.0")]
    pub(crate) seconds: f64,
    /// deadline of each request, in milliseconds
    #[argh(option, default = "2000")]
    pub(crate) deadline_ms: u64,
    /// send POST requests, each with its own idempotency key
    #[argh(switch)]
    pub(crate) keyed: bool,
    /// customer on whose behalf the requests are sent
    #[argh(option)]
    pub(crate) customer: Option<String>,
    /// seed of the request times; the same seed repeats them
    #[argh(option, default = "1")]
    pub(crate) seed: u64,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Run a simulated platform, backend servers and three daemons in this process;
/// change the service text, run a wave and drain a host under load; print a report.
#[derive(FromArgs)]
#[argh(subcommand, name = "demo")]
pub(crate) struct DemoArguments {
    /// path of the service text (default: the bundled Granite Bay example)
    #[argh(positional)]
    pub(crate) file: Option<PathBuf>,
    /// duration of the load, in seconds
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

/// Print the steps of a wave without starting it.
#[derive(FromArgs)]
#[argh(subcommand, name = "preview")]
pub(crate) struct PreviewArguments {
    /// pool:NAME, service:NAME, rack:NAME or data-centre:NAME
    #[argh(positional)]
    pub(crate) scope: String,
    /// operator address of a daemon
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
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// wait until the wave has ended or is held
    #[argh(switch)]
    pub(crate) wait: bool,
}

/// Hold a wave: stop no further hosts until it is resumed.
#[derive(FromArgs)]
#[argh(subcommand, name = "hold")]
pub(crate) struct HoldArguments {
    /// wave id
    #[argh(positional)]
    pub(crate) wave: String,
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Resume a held wave.
#[derive(FromArgs)]
#[argh(subcommand, name = "resume")]
pub(crate) struct ResumeArguments {
    /// wave id
    #[argh(positional)]
    pub(crate) wave: String,
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Abort a wave; hosts that are already restarting still return to service.
#[derive(FromArgs)]
#[argh(subcommand, name = "abort")]
pub(crate) struct AbortArguments {
    /// wave id
    #[argh(positional)]
    pub(crate) wave: String,
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Print all waves.
#[derive(FromArgs)]
#[argh(subcommand, name = "show")]
pub(crate) struct WaveShowArguments {
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// List hosts, or move a host to another pool.
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

/// Print every host with its pool, location and condition.
#[derive(FromArgs)]
#[argh(subcommand, name = "list")]
pub(crate) struct HostListArguments {
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Drain a host and move it to another pool.
#[derive(FromArgs)]
#[argh(subcommand, name = "move")]
pub(crate) struct HostMoveArguments {
    /// host to move
    #[argh(positional)]
    pub(crate) host: String,
    /// target pool
    #[argh(positional)]
    pub(crate) pool: String,
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Print every pool with its hosts.
#[derive(FromArgs)]
#[argh(subcommand, name = "pool")]
pub(crate) struct PoolArguments {
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}

/// Remove a lost entry host; first make sure that it is no longer running.
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

/// Remove a lost entry host from the member set; waves no longer wait for it.
#[derive(FromArgs)]
#[argh(subcommand, name = "forget")]
pub(crate) struct EntryForgetArguments {
    /// entry host to remove
    #[argh(positional)]
    pub(crate) entry: String,
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
}

/// Print the availability budgets and their unused parts.
#[derive(FromArgs)]
#[argh(subcommand, name = "budget")]
pub(crate) struct BudgetArguments {
    /// operator address of a daemon
    #[argh(option)]
    pub(crate) server: SocketAddr,
    /// print JSON
    #[argh(switch)]
    pub(crate) json: bool,
}
