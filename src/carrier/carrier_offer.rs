//! What an entry host offers as a carrier.

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentreId;

/// An entry host that makes calls to workers for the holder of the lease.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CarrierOffer {
    /// The entry host's name.
    pub name: String,
    /// The data centre of the entry host.
    pub data_centre: DataCentreId,
    /// Processor time, in millicores; 0 if unknown.
    pub processor_millis: u64,
    /// Bandwidth of the link, in kbit/s; 0 if unknown.
    pub link_kbps: u64,
}
