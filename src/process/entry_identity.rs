//! The identity of this entry host in the member set.

use std::net::SocketAddr;

use crate::id::DataCentreId;
use crate::id::EntryId;
use crate::id::Incarnation;
use crate::process::Member;

/// The name, incarnation, data centre and peer address of this entry host.
#[derive(Clone, Debug)]
pub struct EntryIdentity {
    /// The name, which a replacement host takes over.
    pub entry: EntryId,
    /// The run of the daemon: its start time in milliseconds since the Unix epoch, so that a later
    /// run has a higher value.
    pub incarnation: Incarnation,
    /// The data centre of the entry host.
    pub data_centre: DataCentreId,
    /// The address at which peers call this entry host.
    pub peer: SocketAddr,
}

impl EntryIdentity {
    /// Returns the record of this run in the member set; `replaces` is set if it takes over from
    /// an earlier run.
    pub fn member(&self, replaces: bool) -> Member {
        Member {
            incarnation: self.incarnation,
            data_centre: self.data_centre.clone(),
            peer: self.peer,
            replaces,
            lost: false,
        }
    }
}
