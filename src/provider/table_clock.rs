//! The time on the table's clock, as an entry host knows it from the table's answers.

use std::cell::Cell;

/// How long an offset is kept before one that is smaller replaces it, in ms. Clocks that differ by 2%
/// drift apart by 0.2 s meanwhile.
const OFFSET_LIFETIME_MS: u64 = 10_000;

/// Relates the clock of this process to the table's steady clock, which all entry hosts share. The
/// time of day is no substitute, since it may differ between hosts and jump.
#[derive(Debug, Default)]
pub struct TableClock {
    /// The table's time minus this process's, and when it was recorded, in ms.
    offset: Cell<Option<(i64, u64)>>,
}

impl TableClock {
    /// Creates a clock that doesn't know the time yet.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the table's time in an answer that was received at `received_ms`. An answer that took
    /// longer gives a smaller offset, so the largest of those that are recent counts. A time beyond
    /// all clocks is ignored.
    pub fn record(&self, table_ms: u64, received_ms: u64) {
        let offset = i64::try_from(table_ms).ok();
        let Some(offset) = offset.and_then(|ms| ms.checked_sub_unsigned(received_ms)) else {
            return;
        };
        let is_newer = match self.offset.get() {
            Some((known, recorded_ms)) => {
                offset > known || received_ms > recorded_ms + OFFSET_LIFETIME_MS
            }
            None => true,
        };
        if is_newer {
            self.offset.set(Some((offset, received_ms)));
        }
    }

    /// Returns the table's time at `now_ms` on this process's clock, in ms; `None` before the first
    /// answer.
    pub fn table_ms(&self, now_ms: u64) -> Option<u64> {
        let (offset, _) = self.offset.get()?;
        now_ms.checked_add_signed(offset)
    }
}
