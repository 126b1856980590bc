//! Conditional transactions on the platform's table.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::id::Revision;

/// The revision that a row must have for a transaction to commit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowCheck {
    /// The key of the checked row.
    pub key: String,
    /// The expected revision; 0 means that the row must not exist.
    pub revision: Revision,
}

impl RowCheck {
    /// Looks up the revision of `key` among the existing rows; 0 if it is not one of them.
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
    /// The transaction was not applied; these are the rows with a different revision than
    /// expected, and their actual revisions.
    Conflict(Vec<RowCheck>),
}
