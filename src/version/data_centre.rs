//! Data centres of the service text.

use crate::id::DataCentreId;

/// A data centre: a group of racks that can fail together.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// The unique name in the service text.
    pub id: DataCentreId,
    /// The region: the largest part of the network that a partition can isolate.
    pub region: String,
    /// The one-way latency from a caller to an entry host of the data centre, in microseconds.
    pub caller_latency_micros: u64,
}
