//! A row that the table refuses, whatever else the transaction holds.

use crate::error::Error;
use crate::provider::RowWrite;

/// A write that the table refuses for good, unlike one that it can't take now.
#[derive(Clone, Debug, PartialEq)]
pub struct RefusedRow {
    /// The refused write.
    pub write: RowWrite,
    /// The status of the table's answer.
    pub status: u16,
    /// The reason that the table stated.
    pub reason: String,
}

impl RefusedRow {
    /// Returns the size of the row's value, in bytes; 0 for a deletion.
    pub fn bytes(&self) -> usize {
        let value = self.write.value.as_ref();
        value.map_or(0, |value| value.to_string().len())
    }
}

/// Returns the status and reason of an answer that the same transaction would always get. A table that
/// is overloaded, slow or has another revision of a row may accept it later.
pub(crate) fn lasting_refusal(error: Error) -> Result<(u16, String), Error> {
    match error {
        Error::PlatformRefused { status, reason }
            if (400..500).contains(&status) && !matches!(status, 408 | 409 | 412 | 425 | 429) =>
        {
            Ok((status, reason))
        }
        other => Err(other),
    }
}
