//! Status documents returned by the operator API.

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

/// State of an entry host, as known to the reporting entry host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct EntryStatus {
    /// Unique among entry hosts.
    pub entry: EntryId,
    /// Data centre that it is deployed in.
    pub data_centre: DataCentreId,
    /// Identifies the current run of its daemon.
    pub incarnation: Incarnation,
    /// Whether the member set marks it as lost, since its heartbeats have stopped.
    pub lost: bool,
    /// Time since its last heartbeat, in milliseconds; 0 for the reporting entry host.
    pub silence_ms: u64,
    /// Revision of the service text that it routes by.
    pub text_in_force: Revision,
}

/// Routing state of a service on the reporting entry host.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct ServiceStatus {
    /// Unique in the service text.
    pub service: ServiceId,
    /// Number of backend servers that may receive requests.
    pub servers: usize,
    /// Number of requests waiting for a slot on this entry host.
    pub waiting: usize,
}

/// A daemon's view of the system.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct StatusReport {
    /// The reporting entry host.
    pub entry: EntryId,
    /// Whether its readiness probe succeeds.
    pub ready: bool,
    /// Revision of the service text that it routes by.
    pub text_in_force: Revision,
    /// Revision of its placement, the row of hosts that are closed or moved to another pool.
    pub placement: Revision,
    /// Revision of its copy of the platform's host list.
    pub hosts: Revision,
    /// All member entry hosts, the reporting one included.
    pub entries: Vec<EntryStatus>,
    /// Services in the routing table.
    pub services: Vec<ServiceStatus>,
}

/// State of a host of the fleet.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct HostStatus {
    /// Unique in the service text.
    pub host: HostId,
    /// Pool that it belongs to.
    pub pool: PoolId,
    /// Rack according to the service text.
    pub rack: RackId,
    /// Data centre of the rack.
    pub data_centre: DataCentreId,
    /// `up` if it serves its pool, `closed` if a wave or a move has closed it, or `lost` if it is
    /// down or leaving for another reason.
    pub condition: String,
    /// Progress of its stop or move: `leaving` or `restarting`; `active` if neither is under
    /// way.
    pub phase: String,
}

/// Availability budget of a service.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct BudgetStatus {
    /// The service that the budget belongs to.
    pub service: ServiceId,
    /// Availability target, with a percent sign.
    pub availability: String,
    /// Time that the service may be unavailable within its window, in seconds.
    pub allowance_seconds: u64,
    /// Unused part of the allowance, in seconds.
    pub left_seconds: u64,
}
