//! An in-memory table with simulated outages and lost answers.

#![allow(dead_code)] // Each test file uses some of the fixtures.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use monoio::time::sleep;
use monoio::time::Instant;
use serde_json::Value;

use zincpier::error::Error;
use zincpier::error::Result;
use zincpier::id::Revision;
use zincpier::process::boot_ms;
use zincpier::provider::ObjectService;
use zincpier::provider::RowCheck;
use zincpier::provider::TableRow;
use zincpier::provider::TableService;
use zincpier::provider::Transaction;
use zincpier::provider::TransactionOutcome;

/// Time for which the sender of a transaction waits that is committed late.
const ANSWER_LIMIT: Duration = Duration::from_millis(50);

#[derive(Default)]
pub(crate) struct FakeTable {
    rows: RefCell<BTreeMap<String, TableRow>>,
    revision: Cell<u64>,
    /// Number of upcoming transactions that are committed but whose answers are lost.
    pub(crate) lost_answers: Cell<u32>,
    /// Number of upcoming transactions that the table doesn't receive.
    pub(crate) lost_requests: Cell<u32>,
    /// Time after which transactions are committed, if there is one: longer than their sender waits.
    pub(crate) late_time: Cell<Option<Duration>>,
    /// Transactions that are to be committed, with the time.
    late: RefCell<Vec<(Instant, Transaction)>>,
    /// All calls fail.
    pub(crate) unresponsive: Cell<bool>,
    /// Number of transactions received, including those that conflicted.
    pub(crate) transactions: Cell<u64>,
    /// When the last transaction was committed, in ms.
    pub(crate) committed_ms: Cell<u64>,
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

    /// Commits the transactions that are late, whatever their time.
    pub(crate) fn commit_all_late(&self) {
        for (_, transaction) in self.late.take() {
            self.commit(&transaction);
        }
    }

    /// Commits the transactions whose time has come.
    fn commit_late(&self) {
        let now = Instant::now();
        let (due, rest) = self.late.take().into_iter().partition(|(at, _)| *at <= now);
        self.late.replace(rest);
        let due: Vec<(Instant, Transaction)> = due;
        for (_, transaction) in due {
            self.commit(&transaction);
        }
    }

    /// Commits a transaction, unless one of its checks fails.
    pub(crate) fn commit(&self, transaction: &Transaction) -> TransactionOutcome {
        let conflicts = transaction
            .checks
            .iter()
            .filter(|check| self.revision_of(&check.key) != check.revision);
        let conflicts = conflicts.cloned().collect::<Vec<_>>();
        if !conflicts.is_empty() {
            return TransactionOutcome::Conflict(conflicts);
        }
        self.committed_ms.set(boot_ms());
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
        TransactionOutcome::Committed(revision)
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
        if self.lost_requests.get() > 0 {
            self.lost_requests.set(self.lost_requests.get() - 1);
            return Err(Error::PlatformSilent("lost request".to_owned()));
        }
        if let Some(time) = self.late_time.get() {
            let late = (Instant::now() + time, transaction.clone());
            self.late.borrow_mut().push(late);
            sleep(ANSWER_LIMIT).await;
            return Err(Error::PlatformSilent("late".to_owned()));
        }
        let outcome = self.commit(transaction);
        let is_committed = matches!(outcome, TransactionOutcome::Committed(_));
        if is_committed && self.lost_answers.get() > 0 {
            self.lost_answers.set(self.lost_answers.get() - 1);
            return Err(Error::PlatformSilent("lost answer".to_owned()));
        }
        Ok(outcome)
    }

    async fn read(&self, keys: &[&str]) -> Result<Vec<TableRow>> {
        self.check_answers()?;
        self.commit_late();
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
