//! Rows of the audit log: one for every change that was accepted or refused.

use serde::Deserialize;
use serde::Serialize;

use crate::id::Revision;

/// The key prefix of audit rows.
pub const AUDIT_PREFIX: &str = "audit/";

/// One accepted or refused change in the audit log.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct AuditRecord {
    /// When the change was decided, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The requester: the name of an operator or of an entry host.
    pub who: String,
    /// The requested action, such as `text apply`.
    pub action: String,
    /// The object of the change, such as a host or a wave.
    pub subject: String,
    /// The state before the change.
    pub before: String,
    /// The state after the change.
    pub after: String,
    /// `accepted`, or the reason for the refusal.
    pub outcome: String,
    /// The revision of the service text in force.
    pub text_revision: Revision,
    /// The epoch of the role lease under which the change was made; 0 for an operator's change.
    pub lease_epoch: u64,
}

/// Builds the key of an audit row; a random `token` keeps keys of the same millisecond unique.
///
/// The time is zero-padded so that keys sort by time.
pub fn audit_key(at_ms: u64, token: &str) -> String {
    format!("{AUDIT_PREFIX}{at_ms:014}-{token}")
}
