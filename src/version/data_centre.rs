//! A data centre of the service text.

use crate::id::DataCentreId;

/// A data centre and the region it stands in.
#[derive(Clone, Debug)]
pub struct DataCentre {
    /// Its name.
    pub id: DataCentreId,
    /// The region, which is the largest part of the network that can be cut off.
    pub region: String,
    /// The time from a caller to an entry host, one way, in microseconds.
    pub caller_latency_micros: u64,
}
