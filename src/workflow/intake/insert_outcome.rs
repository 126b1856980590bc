//! What the insertion of a row came to.

use crate::provider::RowCheck;

/// Outcome of the insertion of a row.
pub(crate) enum InsertOutcome {
    /// By this call.
    Inserted,
    /// Contains the rows that did not have the required revision.
    Exists(Vec<RowCheck>),
    /// The table refused, and won't insert it later.
    Refused,
    /// The row may be inserted.
    Unknown,
}
