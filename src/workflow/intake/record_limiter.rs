//! Limits how many cancellations of unknown jobs one entry host records.
//!
//! Each takes a write, which the table's rate is shared by with submissions, and two rows for minutes.
//! Callers cancel few jobs whose submission wasn't answered; a flood of cancellations of ids that never
//! existed must not slow down submissions.

use std::cell::Cell;

/// The records that may be written at once.
const MAX_BURST: u64 = 32;

/// The time in ms after which one more may be written.
const INTERVAL_MS: u64 = 500;

/// Counts the records that an entry host has written lately.
#[derive(Debug, Default)]
pub struct RecordLimiter {
    /// The time up to which the records so far are paid for, in ms.
    paid_until_ms: Cell<u64>,
}

impl RecordLimiter {
    /// Creates a limiter that has counted nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a record at `now_ms`; returns whether it may be written.
    pub fn admit(&self, now_ms: u64) -> bool {
        let until_ms = self.paid_until_ms.get().max(now_ms) + INTERVAL_MS;
        let is_admitted = until_ms <= now_ms + MAX_BURST * INTERVAL_MS;
        if is_admitted {
            self.paid_until_ms.set(until_ms);
        }
        is_admitted
    }
}
