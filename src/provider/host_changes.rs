//! Changes of the platform's host list, and the command to restart a host.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Revision;
use crate::version::HostRecord;

/// The hosts that changed after a revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct HostChanges {
    /// The revision of the host list after the changes.
    pub revision: Revision,
    /// The current records of the changed hosts.
    pub hosts: Vec<HostRecord>,
}

/// A command to restart a host; repeating it with the same token has no further effect.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RebootCommand {
    /// The idempotency token, unique for each restart.
    pub token: String,
}
