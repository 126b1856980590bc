//! What a daemon knows of the system, for operators.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentreId;
use crate::id::EntryId;
use crate::id::Incarnation;
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
