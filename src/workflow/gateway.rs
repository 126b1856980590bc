//! What the job controller asks of the platform, beside the table.

use std::future::Future;
use std::time::Duration;

use crate::error::Result;
use crate::id::HostId;
use crate::id::Revision;
use crate::id::WaveId;
use crate::id::WorkerId;
use crate::provider::TableRow;
use crate::provider::TableService;
use crate::workflow::FleetConfig;
use crate::workflow::TaskName;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerFact;
use crate::workflow::WorkerReport;
use crate::workflow::WorkerResources;

/// What changed after a revision.
#[derive(Clone, Debug, PartialEq)]
pub enum ChangeSet<T> {
    /// The changes in order, and the revision to go on from.
    Changes(Vec<T>, Revision),
    /// The history does not go back so far: all must be read anew.
    HistoryLost,
}

/// A maintenance wave that the operator asks for.
#[derive(Clone, Debug, PartialEq)]
pub struct WaveRequest {
    /// Its name.
    pub wave: WaveId,
    /// The hosts that are due.
    pub hosts: Vec<HostId>,
    /// The time it may take, in ms.
    pub deadline_ms: u64,
    /// The most hosts that may be down for it at once.
    pub max_down: usize,
}

/// A change that the operator made.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorChange {
    /// A version of the configuration.
    Config(FleetConfig),
    /// A wave.
    Wave(WaveRequest),
}

/// Follows the platform's tables.
pub trait ChangeFeed {
    /// Waits up to `wait` for changes of the rows under `prefix` after `since`; 0 reads all rows.
    fn row_changes(
        &self,
        prefix: &str,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeSet<TableChange>>>;

    /// Waits up to `wait` for what the operator changed after `since`; 0 reads all.
    fn operator_changes(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeSet<OperatorChange>>>;

    /// Waits up to `wait` for changes of the list of workers after `since`; 0 reads all.
    fn worker_changes(
        &self,
        since: Revision,
        wait: Duration,
    ) -> impl Future<Output = Result<ChangeSet<WorkerFact>>>;

    /// Shows the operator how far a wave has come.
    fn publish_wave(&self, wave: &WaveId, complete: bool) -> impl Future<Output = Result<()>>;
}

/// A row's change.
#[derive(Clone, Debug, PartialEq)]
pub enum TableChange {
    /// The row has this value now.
    Written(TableRow),
    /// The row of this key was deleted.
    Deleted(String),
}

/// A task's start.
#[derive(Clone, Debug, PartialEq)]
pub struct StartCommand {
    /// The task.
    pub task: TaskName,
    /// The number of this run.
    pub run: u64,
    /// The text that the job was submitted with.
    pub payload: String,
    /// When the worker's lease ends, on the worker's clock, in ms.
    pub lease_ms: u64,
    /// The controller's epoch.
    pub epoch: u64,
    /// The checkpoint to start from, empty for none.
    pub checkpoint: String,
}

/// How an order to a worker went.
#[derive(Clone, Debug, PartialEq)]
pub enum CommandOutcome {
    /// It was carried out; the worker's clock in ms.
    Accepted(u64),
    /// It was refused and had no effect.
    Refused(CommandRefusal),
    /// Nothing was sent.
    NotSent(String),
    /// There was no answer; it may have been carried out or may yet be.
    Unknown(String),
}

impl CommandOutcome {
    /// Returns the outcome's name, without its details.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Accepted(_) => "accepted",
            Self::Refused(refusal) => refusal.name(),
            Self::NotSent(_) => "not-sent",
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Why a worker refused an order.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandRefusal {
    /// A higher epoch was seen.
    Fenced,
    /// The run is not higher than an earlier one.
    OldRun,
    /// The lease would have ended already.
    Late,
    /// The worker has too little room.
    NoRoom,
    /// The worker is unhealthy, or gave another reason.
    Unhealthy,
    /// Another incarnation of the worker answered.
    OtherIncarnation,
}

impl CommandRefusal {
    /// Returns the refusal's name.
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

/// The answer to a lease renewal.
#[derive(Clone, Debug, PartialEq)]
pub enum RenewalOutcome {
    /// The lease holds.
    Report(WorkerReport),
    /// The order was refused.
    Refused(CommandRefusal),
    /// There was no answer.
    Unknown(String),
}

impl RenewalOutcome {
    /// Returns the outcome's name, without its details.
    pub fn name(&self) -> &'static str {
        match self {
            Self::Report(_) => "report",
            Self::Refused(refusal) => refusal.name(),
            Self::Unknown(_) => "unknown",
        }
    }
}

/// Gives orders to workers.
pub trait WorkerGateway {
    /// Starts a task.
    fn start_task(
        &self,
        worker: &WorkerEntry,
        command: &StartCommand,
    ) -> impl Future<Output = CommandOutcome>;

    /// Stops a run; one that is not there yet will not start.
    fn stop_task(
        &self,
        worker: &WorkerEntry,
        task: &TaskName,
        run: u64,
        epoch: u64,
    ) -> impl Future<Output = CommandOutcome>;

    /// Renews the lease of all that runs there and waits up to `wait` for an end.
    fn renew_lease(
        &self,
        worker: &WorkerEntry,
        renewal: &LeaseRenewal,
    ) -> impl Future<Output = RenewalOutcome>;

    /// Lets a task work at a share of its pace.
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
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseRenewal {
    /// The controller's epoch.
    pub epoch: u64,
    /// When the lease ends, on the worker's clock in ms; nothing leaves it as it is.
    pub lease_ms: Option<u64>,
    /// The last end that is recorded durably.
    pub acknowledged: u64,
    /// How long the worker may wait for an end.
    pub wait: Duration,
}

/// What a host does.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum HostState {
    /// It runs tasks, or could.
    Up,
    /// It changes its pool.
    Moving,
    /// It is down for upkeep.
    Upkeep,
    /// It is down for another reason, or the platform doesn't say.
    Down,
}

/// A host as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct HostEntry {
    /// Its name.
    pub host: HostId,
    /// The service whose pool it is in.
    pub pool: String,
    /// What it does.
    pub state: HostState,
    /// What it has for tasks.
    pub capacity: WorkerResources,
    /// The worker whose incarnation runs on it, if one does.
    pub worker: Option<WorkerId>,
}

impl HostEntry {
    /// Tells whether it is up.
    pub fn is_up(&self) -> bool {
        self.state == HostState::Up
    }
}

/// The list of hosts.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct HostList {
    /// The hosts.
    pub hosts: Vec<HostEntry>,
    /// Some entries could not be read, so that a host that is missing may be there.
    pub has_gaps: bool,
}

/// How an order for a host went.
#[derive(Clone, Debug, PartialEq)]
pub enum HostOutcome {
    /// It is carried out, or was before.
    Accepted,
    /// It was refused; it may pass later.
    Busy(String),
    /// It will never pass.
    Rejected(String),
    /// There was no answer; it may have been carried out.
    Unknown(String),
}

/// Lists hosts and gives orders for them.
pub trait HostGateway {
    /// Returns all hosts.
    fn list_hosts(&self) -> impl Future<Output = Result<HostList>>;

    /// Starts a host's upkeep for a wave.
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

/// All that the controller asks of the platform.
pub trait FleetPlatform: ChangeFeed + HostGateway + TableService + WorkerGateway + 'static {}

impl<P: ChangeFeed + HostGateway + TableService + WorkerGateway + 'static> FleetPlatform for P {}
