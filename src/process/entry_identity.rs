//! Who this entry host is.

use std::net::SocketAddr;

use crate::id::DataCentreId;
use crate::id::EntryId;
use crate::id::Incarnation;
use crate::process::Member;

/// The name, run, place and peer address of this entry host.
#[derive(Clone, Debug)]
pub struct EntryIdentity {
    /// Its name, kept by the host that replaces it.
    pub entry: EntryId,
    /// The run of its daemon.
    pub incarnation: Incarnation,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// Where it talks to its peers.
    pub peer: SocketAddr,
}

impl EntryIdentity {
    /// Returns the member row of this run, which may take the place of an earlier one.
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
