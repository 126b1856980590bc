//! A row of the platform's table.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::id::Revision;

/// A row with the revision of its last change.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TableRow {
    /// The row's key, such as `claim/reports/1f`.
    pub key: String,
    /// The revision of its last change.
    pub revision: Revision,
    /// Its value.
    pub value: Value,
}
