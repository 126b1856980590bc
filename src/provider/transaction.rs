//! Transactions of the platform's table.

use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::id::Revision;

/// A row's revision that must hold for a transaction to commit.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowCheck {
    /// The row's key.
    pub key: String,
    /// The revision that the row must have; 0 means that there must be no row.
    pub revision: Revision,
}

impl RowCheck {
    /// Returns the revision of a row out of those that exist, 0 if it does not.
    pub fn revision_in(shown: &[Self], key: &str) -> Revision {
        shown
            .iter()
            .find(|check| check.key == key)
            .map_or(Revision::new(0), |check| check.revision)
    }
}

/// A row's new value.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RowWrite {
    /// The row's key.
    pub key: String,
    /// The value, or nothing to delete the row.
    pub value: Option<Value>,
}

/// Checks and writes that take effect together or not at all.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Transaction {
    /// What must hold.
    pub checks: Vec<RowCheck>,
    /// What is written.
    pub writes: Vec<RowWrite>,
}

impl Transaction {
    /// Creates a transaction without checks and writes.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a check of a row's revision.
    #[must_use]
    pub fn with_check(mut self, key: impl Into<String>, revision: Revision) -> Self {
        self.checks.push(RowCheck {
            key: key.into(),
            revision,
        });
        self
    }

    /// Adds a write of a row's value.
    #[must_use]
    pub fn with_write(mut self, key: impl Into<String>, value: Value) -> Self {
        self.writes.push(RowWrite {
            key: key.into(),
            value: Some(value),
        });
        self
    }

    /// Adds the deletion of a row.
    #[must_use]
    pub fn with_delete(mut self, key: impl Into<String>) -> Self {
        self.writes.push(RowWrite {
            key: key.into(),
            value: None,
        });
        self
    }
}

/// How a transaction ended.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum TransactionOutcome {
    /// It took effect; its rows now have this revision.
    Committed(Revision),
    /// It had no effect, since these rows have other revisions.
    Conflict(Vec<RowCheck>),
}
