//! Interfaces to the platform's change feeds, workers and hosts.

use std::collections::HashMap;
use std::future::Future;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::error::Result;
use crate::id::HostId;
use crate::id::Revision;
use crate::id::WaveId;
use crate::id::WorkerId;
use crate::provider::TableRow;
use crate::provider::TableService;
use crate::workflow::FleetConfig;
use crate::workflow::TaskName;
use crate::workflow::WorkerChange;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerReport;
use crate::workflow::WorkerResources;

/// The answer of a change feed.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeSet<T> {
    /// Changes in order, and the revision to continue from.
    Changes(Vec<T>, Revision),
    /// The history does not go back to the revision. Everything must be read again.
    HistoryLost,
}

/// A maintenance wave requested by the operator.
#[derive(Clone, Debug, PartialEq)]
pub struct WaveRequest {
    /// Chosen by the operator.
    pub wave: WaveId,
    /// Hosts that need upkeep.
    pub hosts: Vec<HostId>,
    /// Number of hosts whose names can't be read; the wave can't be complete with any.
    pub unreadable_hosts: usize,
    /// Time from the request to its deadline, in ms.
    pub deadline_ms: u64,
    /// Max hosts that may be down for it at the same time.
    pub max_down: usize,
}

/// A change made by the operator.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// Contains one complete version of the configuration.
    Config(FleetConfig),
    /// A version of the configuration that can't be decoded.
    UnreadableConfig,
    /// Contains a new or changed wave.
    Wave(WaveRequest),
}

/// Polls the platform's tables for changes.
pub trait ChangeFeed {
    /// Waits up to `wait` for changes after `since` to rows whose keys start with `prefix`.
    /// Revision 0 reads all rows.
    fn row_changes(
        &self,
        prefix: &str,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeSet<TableChange>>>;

    /// Waits up to `wait` for the operator's changes after `since`. Revision 0 reads everything.
    fn operator_changes(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeSet<OperatorChange>>>;

    /// Waits up to `wait` for changes to the list of workers after `since`. Revision 0 reads the
    /// full list.
    fn worker_changes(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeSet<WorkerChange>>>;

    /// Publishes to the operator whether a wave is complete.
    fn publish_wave(&self, wave: &WaveId, complete: bool) -> impl Future<Output = Result<()>>;
}

/// A change to a row.
#[derive(Clone, Debug, PartialEq)]
pub enum TableChange {
    /// The row now has this value.
    Written(TableRow),
    /// The row with this key was deleted.
    Deleted(String),
}

/// Command to a worker to start a task.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StartCommand {
    /// The task to start.
    pub task: TaskName,
    /// Rises with each run of the task.
    pub run: u64,
    /// Payload of the job, as submitted.
    pub payload: String,
    /// End of the worker's lease on the worker's clock, in ms.
    pub lease_end_ms: u64,
    /// Epoch of the controller's lease, the fencing token.
    pub epoch: u64,
    /// Checkpoint to resume from; empty for none.
    pub checkpoint: String,
}

/// Outcome of a command to a worker.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum CommandOutcome {
    /// Executed. Contains the worker's clock, in ms.
    Accepted(u64),
    /// Refused, without any effect.
    Refused(CommandRefusal),
    /// Not sent, with the reason.
    NotSent(String),
    /// No answer, with the reason. The command may have been executed or may still be.
    Unknown(String),
}

impl CommandOutcome {
    /// Returns the outcome's name in logs and metrics, without details.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted(_) => "accepted",
            Self::Refused(refusal) => refusal.name(),
            Self::NotSent(_) => "not-sent",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Why a worker refused a command.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum CommandRefusal {
    /// The worker has received a higher epoch.
    Fenced,
    /// The run number is not higher than an earlier one.
    OldRun,
    /// The lease in the command has already ended.
    Late,
    /// The worker has too little free capacity.
    NoRoom,
    /// The worker is unhealthy, or gave a reason that is not listed here.
    Unhealthy,
    /// Another incarnation of the worker answered.
    OtherIncarnation,
}

impl CommandRefusal {
    /// Returns the refusal's name in logs and metrics.
    pub fn name(self) -> &'static str {
        match self {
            Self::Fenced => "fenced",
            Self::OldRun => "old-run",
            Self::Late => "late",
            Self::NoRoom => "no-room",
            Self::Unhealthy => "unhealthy",
            Self::OtherIncarnation => "other-incarnation",
        }
    }
}

/// Outcome of a lease renewal.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub enum RenewalOutcome {
    /// The lease is renewed.
    Report(WorkerReport),
    /// The renewal was refused.
    Refused(CommandRefusal),
    /// There was no answer.
    Unknown(String),
}

impl RenewalOutcome {
    /// Returns the outcome's name in logs and metrics, without details.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::Refused(refusal) => refusal.name(),
            Self::Unknown(_) => "unknown",
        }
    }
}

/// A page of a part of a table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RowPage {
    /// Rows in the order of their keys.
    pub rows: Vec<TableRow>,
    /// Key after which the next page begins; `None` if the part has no more rows.
    pub next: Option<String>,
    /// Size of the answer, in bytes.
    pub bytes: usize,
    /// Time that the answer took to arrive once it began, and to be decoded.
    pub transfer_time: Duration,
}

/// Reads tables that are too large for one answer.
pub trait PageSource {
    /// Lists the key prefixes of the parts of the table at `prefix`. Also returns a revision from
    /// before the list was read.
    fn part_prefixes(&self, prefix: &str) -> impl Future<Output = Result<(Vec<String>, Revision)>>;

    /// Reads up to `limit` rows of a part after the key `after`, which is empty for the first page.
    fn read_page(
        &self,
        part: &str,
        after: &str,
        limit: usize,
    ) -> impl Future<Output = Result<RowPage>>;
}

/// Sends commands to workers.
pub trait WorkerGateway {
    /// Starts a run of a task.
    fn start_task(
        &self,
        worker: &WorkerEntry,
        command: &StartCommand,
    ) -> impl Future<Output = CommandOutcome>;

    /// Stops a run. A run that has not started yet will not start.
    fn stop_task(
        &self,
        worker: &WorkerEntry,
        task: &TaskName,
        run: u64,
        epoch: u64,
    ) -> impl Future<Output = CommandOutcome>;

    /// Renews the lease of all runs on a worker and waits up to `wait` for a run to end.
    fn renew_lease(
        &self,
        worker: &WorkerEntry,
        renewal: &LeaseRenewal,
    ) -> impl Future<Output = RenewalOutcome>;

    /// Limits a run's processing rate to a percentage of its full rate.
    fn set_task_pace(
        &self,
        worker: &WorkerEntry,
        task: &TaskName,
        run: u64,
        percent: u32,
        epoch: u64,
    ) -> impl Future<Output = CommandOutcome>;
}

/// A renewal of a worker's lease.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaseRenewal {
    /// Epoch of the controller's lease, the fencing token.
    pub epoch: u64,
    /// New end of the lease on the worker's clock, in ms; `None` leaves it unchanged.
    pub lease_end_ms: Option<u64>,
    /// Sequence number of the last task end that is stored durably.
    pub acknowledged: u64,
    /// Max time that the worker waits for a run to end before it answers.
    pub wait: Duration,
}

/// State of a host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostState {
    /// Able to run tasks.
    Up,
    /// Moving to another pool.
    Moving,
    /// Down for upkeep.
    Upkeep,
    /// Down for another reason, or the platform does not report the state.
    Down,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    /// Unique in the fleet.
    pub host: HostId,
    /// Service that owns the host's pool.
    pub pool: String,
    /// As reported by the platform.
    pub state: HostState,
    /// Total resources for tasks.
    pub capacity: WorkerResources,
    /// The worker incarnation on the host, if any.
    pub worker: Option<WorkerId>,
}

impl HostEntry {
    /// Returns whether the host is able to run tasks.
    pub fn is_up(&self) -> bool {
        self.state == HostState::Up
    }
}

/// The platform's list of hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostList {
    /// Entries that could be read.
    pub hosts: Vec<HostEntry>,
    /// Some entries could not be read, so a missing host may still exist.
    pub has_gaps: bool,
}

/// Returns the worker on each host, if any.
pub(crate) fn workers_by_host(hosts: &[HostEntry]) -> HashMap<&HostId, Option<&WorkerId>> {
    let workers = hosts.iter();
    workers
        .map(|entry| (&entry.host, entry.worker.as_ref()))
        .collect()
}

/// Outcome of a command to a host.
#[derive(Clone, Debug, PartialEq)]
pub enum HostOutcome {
    /// Being executed, or executed before.
    Accepted,
    /// Refused, with the reason; may succeed later.
    Busy(String),
    /// Refused for good, with the reason.
    Rejected(String),
    /// Refused with an answer that is not expected to change soon, with the reason. Nothing was done.
    Refused(String),
    /// No answer, with the reason. The command may have been executed.
    Unknown(String),
}

/// Lists hosts and sends commands to them.
pub trait HostGateway {
    /// Lists all hosts that the platform knows.
    fn list_hosts(&self) -> impl Future<Output = Result<HostList>>;

    /// Starts a host's upkeep for a wave, which ends everything that runs on the host.
    fn start_upkeep(
        &self,
        host: &HostId,
        wave: &WaveId,
        epoch: u64,
    ) -> impl Future<Output = HostOutcome>;

    /// Moves a host to another pool.
    fn move_host(&self, host: &HostId, pool: &str, epoch: u64)
        -> impl Future<Output = HostOutcome>;
}

/// All platform interfaces that the controller needs.
pub trait FleetPlatform:
    ChangeFeed + HostGateway + PageSource + TableService + WorkerGateway + 'static
{
}

impl<P> FleetPlatform for P where
    P: ChangeFeed + HostGateway + PageSource + TableService + WorkerGateway + 'static
{
}
