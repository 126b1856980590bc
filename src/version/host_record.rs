//! Host in the platform's host list.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::RackId;

/// The state of a host as the platform reports it.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// The host is up and may receive new work.
    Live,
    /// The host is up and must not receive new work.
    Leaving,
    /// The host is not running.
    Down,
}

/// One entry of the platform's host list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// The unique name that the platform gives the host.
    pub id: HostId,
    /// The address on which the backend server listens; not used for the host of a worker.
    pub address: SocketAddr,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// The rack of the host.
    pub rack: RackId,
    /// The state reported by the platform.
    pub state: HostState,
    /// The number of restarts that the platform has counted.
    #[serde(default)]
    pub boots: u64,
}
