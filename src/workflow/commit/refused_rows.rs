//! Which rows the table has refused, and when they are sent again.
//!
//! A refused row would be refused again with each of some sixty commits a second, and each time the
//! other rows would have to be told from it.

use std::collections::BTreeMap;

use crate::provider::RowWrite;
use crate::workflow::RefusedRow;

/// The pause after the first refusal of a row, in ms; it doubles with each further one.
pub(crate) const FIRST_PAUSE_MS: u64 = 1_000;

/// The limit on that pause, in ms: a row that has become acceptable is stored within it.
pub(crate) const MAX_PAUSE_MS: u64 = 10_000;

/// Min time between commits of refused rows, in ms. All rows together take few of the calls that all
/// entry hosts share.
const MIN_INTERVAL_MS: u64 = 100;

/// A row that is set aside.
#[derive(Debug)]
struct SetAsideRow {
    /// The newest write, if it is still to be sent.
    write: Option<RowWrite>,
    retry_ms: u64,
    pause_ms: u64,
}

/// The rows that were refused and not accepted since.
#[derive(Debug, Default)]
pub struct RefusedRows {
    rows: BTreeMap<String, SetAsideRow>,
    /// When one of them was last sent, in ms.
    sent_ms: u64,
}

impl RefusedRows {
    /// Creates the state of a holder that has met no refusal.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no row is set aside.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns whether a row whose key begins with `prefix` is set aside.
    pub fn contains_prefix(&self, prefix: &str) -> bool {
        self.rows.keys().any(|key| key.starts_with(prefix))
    }

    /// Returns whether the row with this key is set aside.
    pub fn contains(&self, key: &str) -> bool {
        self.rows.contains_key(key)
    }

    /// Takes the writes of rows that are set aside out of `writes`, each in place of an earlier one of its
    /// row. Returns the one to send now, if any is due.
    pub fn withhold(&mut self, writes: &mut Vec<RowWrite>, now_ms: u64) -> Option<RowWrite> {
        if self.rows.is_empty() {
            return None;
        }
        writes.retain(|write| match self.rows.get_mut(&write.key) {
            Some(row) => {
                row.write = Some(write.clone());
                false
            }
            None => true,
        });
        if now_ms < self.sent_ms + MIN_INTERVAL_MS {
            return None;
        }
        let waiting = self.rows.values_mut().filter(|row| row.write.is_some());
        let next = waiting.min_by_key(|row| row.retry_ms);
        let due = next.filter(|row| row.retry_ms <= now_ms)?;
        self.sent_ms = now_ms;
        due.write.take()
    }

    /// Records a refusal. The row is sent again after a pause that doubles with each refusal.
    pub fn record_refused(&mut self, refused: &RefusedRow, now_ms: u64) {
        let row = self.rows.entry(refused.write.key.clone());
        let row = row.or_insert(SetAsideRow {
            write: None,
            retry_ms: now_ms,
            pause_ms: FIRST_PAUSE_MS,
        });
        row.write.get_or_insert_with(|| refused.write.clone());
        row.retry_ms = now_ms + row.pause_ms;
        row.pause_ms = (row.pause_ms * 2).min(MAX_PAUSE_MS);
    }

    /// Lets a row be sent at once, because it has become smaller.
    pub fn record_reduced(&mut self, key: &str, now_ms: u64) {
        if let Some(row) = self.rows.get_mut(key) {
            row.retry_ms = now_ms;
        }
    }

    /// Records that a row was accepted.
    pub fn record_accepted(&mut self, key: &str) {
        self.rows.remove(key);
    }
}
