//! What a daemon knows of the system, for operators.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentreId;
use crate::id::EntryId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::PoolId;
use crate::id::RackId;
use crate::id::Revision;
use crate::id::ServiceId;

/// One entry host, as another sees it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryStatus {
    /// Its name.
    pub entry: EntryId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// The run of its daemon.
    pub incarnation: Incarnation,
    /// Whether it is agreed to be lost.
    pub lost: bool,
    /// How long it has been silent, in milliseconds.
    pub silence_ms: u64,
    /// The service text that it routes by.
    pub text_in_force: Revision,
}

/// One service, as an entry host routes it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceStatus {
    /// Its name.
    pub service: ServiceId,
    /// Its backend servers that may get work.
    pub servers: usize,
    /// The requests that wait for a slot here.
    pub waiting: usize,
}

/// The whole of a daemon's view.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatusReport {
    /// The entry host that reports.
    pub entry: EntryId,
    /// Whether it wants requests.
    pub ready: bool,
    /// The service text that it routes by.
    pub text_in_force: Revision,
    /// The placement that it holds.
    pub placement: Revision,
    /// The host list that it holds.
    pub hosts: Revision,
    /// The members.
    pub entries: Vec<EntryStatus>,
    /// The services.
    pub services: Vec<ServiceStatus>,
}

/// One host of the fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostStatus {
    /// Its name.
    pub host: HostId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Its rack.
    pub rack: RackId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it serves: `up`, `closed` or `lost`.
    pub condition: String,
    /// How far its stop or move has come.
    pub phase: String,
}

/// One service's availability budget.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BudgetStatus {
    /// The service.
    pub service: ServiceId,
    /// The availability that it is promised.
    pub availability: String,
    /// The time it may be unavailable within its window, in seconds.
    pub allowance_seconds: u64,
    /// What is left of that, in seconds.
    pub left_seconds: u64,
}
