//! Conditional transactions on the platform's table.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::id::Revision;

/// The key of a row with a revision.
///
/// In [`Transaction::checks`] this is the revision that the row must have for the transaction to
/// commit. In responses of the table it is the row's actual revision.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowCheck {
    /// The key of the row.
    pub key: String,
    /// The expected or actual revision; 0 means that the row does not exist.
    pub revision: Revision,
}

impl RowCheck {
    /// Returns the revision of `key` in a response of
    /// [`TableService::revisions`](crate::provider::TableService::revisions), which leaves out
    /// rows that do not exist; 0 for these.
    pub fn revision_in(existing: &[Self], key: &str) -> Revision {
        existing
            .iter()
            .find(|check| check.key == key)
            .map_or(Revision::new(0), |check| check.revision)
    }
}

/// A write or deletion of one row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowWrite {
    /// The key of the written row.
    pub key: String,
    /// The new value; `None` deletes the row.
    pub value: Option<Value>,
}

/// Checks and writes that are applied atomically.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    /// The revisions that must match.
    pub checks: Vec<RowCheck>,
    /// The rows to write if all checks hold.
    pub writes: Vec<RowWrite>,
}

impl Transaction {
    /// Creates an empty transaction.
    pub fn new() -> Self {
        Self::default()
    }

    /// Requires that the row has `revision`, or does not exist if that is 0.
    #[must_use]
    pub fn with_check(mut self, key: impl Into<String>, revision: Revision) -> Self {
        self.checks.push(RowCheck {
            key: key.into(),
            revision,
        });
        self
    }

    /// Writes `value` to the row, creating it if needed.
    #[must_use]
    pub fn with_write(mut self, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(RowWrite {
            key: key.into(),
            value: Some(value),
        });
        self
    }

    /// Deletes the row.
    #[must_use]
    pub fn with_delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(RowWrite {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// The outcome of a transaction that the platform answered.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransactionOutcome {
    /// The transaction was applied; the written rows now have this revision.
    Committed(Revision),
    /// The transaction was not applied; these are the rows whose revision is not the expected
    /// one, with their actual revisions, or 0 if they do not exist.
    Conflict(Vec<RowCheck>),
}
