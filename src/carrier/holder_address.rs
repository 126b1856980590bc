//! Where the holder of the lease takes carriers.

use std::net::SocketAddr;

/// The holder that the leader row names.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct HolderAddress {
    /// Epoch of the holder's lease.
    pub epoch: u64,
    /// The address at which carriers connect.
    pub address: SocketAddr,
}
