//! Row of the platform's table.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::id::Revision;

/// A row as the table returns it.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableRow {
    /// The key, such as `claim/reports/1f`.
    pub key: String,
    /// The revision of its last change.
    pub revision: Revision,
    /// The value, decoded from JSON; null if it can't be decoded.
    pub value: Value,
}
