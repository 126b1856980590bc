//! A host as the platform lists it.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::RackId;

/// What the platform says of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostState {
    /// It runs and may get work.
    Live,
    /// It runs and must get no new work.
    Leaving,
    /// It does not run.
    Down,
}

/// One host of the platform's list.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostRecord {
    /// Its name.
    pub id: HostId,
    /// Where its backend server listens.
    pub address: SocketAddr,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// The rack it stands in.
    pub rack: RackId,
    /// What the platform says of it.
    pub state: HostState,
    /// Counts its restarts.
    #[serde(default)]
    pub boots: u64,
}
