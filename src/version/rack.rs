//! A rack of the service text.

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::RackId;

/// A rack: hosts that fail together.
#[derive(Clone, Debug)]
pub struct Rack {
    /// Its name.
    pub id: RackId,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// The hosts in it.
    pub hosts: Vec<HostId>,
}
