//! The rows of a transaction that the table refuses.

use crate::provider::RowWrite;

/// Rows of which the table refuses at least one, with its answer.
pub(crate) struct RefusedWrites {
    pub(crate) writes: Vec<RowWrite>,
    /// The status of the table's answer.
    pub(crate) status: u16,
    /// The reason that the table stated.
    pub(crate) reason: String,
}
