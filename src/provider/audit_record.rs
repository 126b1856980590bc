//! The audit trail: one row for every change that was accepted or refused.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Revision;

/// The prefix of the keys of audit rows.
pub const AUDIT_PREFIX: &str = "audit/";

/// One change, as the audit trail keeps it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditRecord {
    /// When the change was decided, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Who asked for it: an operator's name or an entry host's.
    pub who: String,
    /// The change, such as `text apply`.
    pub action: String,
    /// What it was made to, such as a host or a wave.
    pub subject: String,
    /// The state before.
    pub before: String,
    /// The state after.
    pub after: String,
    /// Whether it was accepted, and why not.
    pub outcome: String,
    /// The revision of the service text in force.
    pub text_revision: Revision,
    /// The epoch of the role lease under which it was made; 0 for an operator's.
    pub lease_epoch: u64,
}

/// Returns the key of an audit row; `token` tells changes of one millisecond apart.
pub fn audit_key(at_ms: u64, token: &str) -> String {
    format!("{AUDIT_PREFIX}{at_ms:014}-{token}")
}
