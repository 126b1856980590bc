//! Adapts how many rows are requested at once to what the link to the table carries.

use std::time::Duration;

/// Rows of the first request. Rows of 4 KB take 52 ms on a link of 10 Mbit/s and 0.26 s on one of
/// 2 Mbit/s, the slowest of the users' sites.
const START_ROWS: usize = 16;

/// Min rows of a request: a row of the largest size, 64 KB, takes 0.26 s on a link of 2 Mbit/s.
const MIN_ROWS: usize = 1;

/// Max rows of a request: four of the platform's largest pages.
const MAX_ROWS: usize = 2_000;

/// The transfer time aimed at. A commit that waits behind it is answered within the shortest
/// timeout of commits, 150 ms.
const TARGET_TIME: Duration = Duration::from_millis(100);

/// The number of rows to request next.
///
/// It grows by up to twice while transfers are quick, shrinks to what the link carries in 100 ms,
/// and halves after an answer that did not arrive. The transfer time excludes the time until the
/// answer begins: a slow table does not make requests smaller, which would make it slower still.
#[derive(Debug)]
pub struct PageSizer {
    rows: usize,
}

impl PageSizer {
    /// Starts with few rows, as for a slow link.
    pub fn new() -> Self {
        Self { rows: START_ROWS }
    }

    /// Returns the number of rows to request.
    pub fn rows(&self) -> usize {
        self.rows
    }

    /// Records that `rows` rows arrived, with a transfer that took `transfer_time`.
    pub fn record_rows(&mut self, rows: usize, transfer_time: Duration) {
        let time_ms = transfer_time.as_millis().max(1) as usize;
        let carried = rows * TARGET_TIME.as_millis() as usize / time_ms;
        // Few rows at the end of a table say nothing about larger requests.
        if carried < self.rows && rows < self.rows && transfer_time <= TARGET_TIME {
            return;
        }
        let range = (self.rows / 2).max(MIN_ROWS)..=(self.rows * 2).min(MAX_ROWS);
        self.rows = carried.clamp(*range.start(), *range.end());
    }

    /// Records a request without a complete answer.
    pub fn record_failure(&mut self) {
        self.rows = (self.rows / 2).max(MIN_ROWS);
    }
}

impl Default for PageSizer {
    fn default() -> Self {
        Self::new()
    }
}
