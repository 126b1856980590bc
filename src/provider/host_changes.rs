//! Changes of the platform's host list, and orders for its hosts.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Revision;
use crate::version::HostRecord;

/// The hosts that changed after a revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostChanges {
    /// The revision that the changes lead to.
    pub revision: Revision,
    /// The changed hosts as they are now.
    pub hosts: Vec<HostRecord>,
}

/// An order to restart a host; an order with a known token has no further effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RebootCommand {
    /// Names the order, so that it is idempotent.
    pub token: String,
}
