//! An in-memory table with simulated outages and lost answers.

#![allow(dead_code)] // Each test file uses some of the fixtures.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;

use bytes::Bytes;
use serde_json::Value;

use zincpier::error::Error;
use zincpier::error::Result;
use zincpier::id::Revision;
use zincpier::provider::ObjectService;
use zincpier::provider::RowCheck;
use zincpier::provider::TableRow;
use zincpier::provider::TableService;
use zincpier::provider::Transaction;
use zincpier::provider::TransactionOutcome;

#[derive(Default)]
pub(crate) struct FakeTable {
    rows: RefCell<BTreeMap<String, TableRow>>,
    revision: Cell<u64>,
    /// Number of upcoming transactions that are committed but whose answers are lost.
    pub(crate) lost_answers: Cell<u32>,
    /// All calls fail.
    pub(crate) unresponsive: Cell<bool>,
    /// Number of transactions received, including those that conflicted.
    pub(crate) transactions: Cell<u64>,
}

impl FakeTable {
    pub(crate) fn row(&self, key: &str) -> Option<TableRow> {
        self.rows.borrow().get(key).cloned()
    }

    /// Writes a row without checking its revision.
    pub(crate) fn store(&self, key: &str, value: Value) {
        self.revision.set(self.revision.get() + 1);
        let row = TableRow {
            key: key.to_owned(),
            revision: Revision::new(self.revision.get()),
            value,
        };
        self.rows.borrow_mut().insert(key.to_owned(), row);
    }

    pub(crate) fn remove(&self, key: &str) {
        self.rows.borrow_mut().remove(key);
    }

    /// Returns the rows whose keys start with `prefix`, ordered by revision.
    pub(crate) fn rows_with_prefix(&self, prefix: &str) -> Vec<TableRow> {
        let rows = self.rows.borrow();
        let found = rows.values().filter(|row| row.key.starts_with(prefix));
        let mut found = found.cloned().collect::<Vec<_>>();
        found.sort_by_key(|row| row.revision);
        found
    }

    fn revision_of(&self, key: &str) -> Revision {
        self.row(key).map_or(Revision::new(0), |row| row.revision)
    }

    fn check_answers(&self) -> Result<()> {
        match self.unresponsive.get() {
            true => Err(Error::PlatformSilent("outage".to_owned())),
            false => Ok(()),
        }
    }
}

impl TableService for FakeTable {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome> {
        self.check_answers()?;
        self.transactions.set(self.transactions.get() + 1);
        let conflicts = transaction
            .checks
            .iter()
            .filter(|check| self.revision_of(&check.key) != check.revision);
        let conflicts = conflicts.cloned().collect::<Vec<_>>();
        if !conflicts.is_empty() {
            return Ok(TransactionOutcome::Conflict(conflicts));
        }
        self.revision.set(self.revision.get() + 1);
        let revision = Revision::new(self.revision.get());
        for write in &transaction.writes {
            let key = write.key.clone();
            match write.value.clone() {
                None => self.rows.borrow_mut().remove(&key),
                Some(value) => self.rows.borrow_mut().insert(
                    key.clone(),
                    TableRow {
                        key,
                        revision,
                        value,
                    },
                ),
            };
        }
        if self.lost_answers.get() > 0 {
            self.lost_answers.set(self.lost_answers.get() - 1);
            return Err(Error::PlatformSilent("lost answer".to_owned()));
        }
        Ok(TransactionOutcome::Committed(revision))
    }

    async fn read(&self, keys: &[&str]) -> Result<Vec<TableRow>> {
        self.check_answers()?;
        Ok(keys.iter().filter_map(|key| self.row(key)).collect())
    }

    async fn revisions(&self, keys: &[&str]) -> Result<Vec<RowCheck>> {
        let rows = self.read(keys).await?.into_iter();
        Ok(rows
            .map(|row| RowCheck {
                key: row.key,
                revision: row.revision,
            })
            .collect())
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<TableRow>> {
        self.check_answers()?;
        let rows = self.rows.borrow();
        let found = rows
            .values()
            .filter(|row| row.key.starts_with(prefix) && row.key.as_str() > after);
        Ok(found.take(limit).cloned().collect())
    }
}

impl ObjectService for FakeTable {
    async fn put_object(&self, _name: &str, _content: Bytes) -> Result<()> {
        self.check_answers()
    }

    async fn get_object(&self, _name: &str) -> Result<Option<Bytes>> {
        self.check_answers().map(|()| None)
    }
}
