//! Rack of the service text.

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::RackId;

/// A rack: a group of hosts that can fail together.
#[derive(Clone, Debug)]
pub struct Rack {
    /// The unique name in the service text.
    pub id: RackId,
    /// The data centre of the rack.
    pub data_centre: DataCentreId,
    /// The hosts in the rack; each host is in one rack only.
    pub hosts: Vec<HostId>,
}
