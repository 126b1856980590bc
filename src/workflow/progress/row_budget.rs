//! The bytes that the tasks of a job take of its durable row.

use crate::workflow::progress::row_bytes::RowBytes;

/// Counts the bytes of a job's tasks. A worker's report may change the checkpoints of many tasks one
/// after another, so only tasks that may have changed are counted again.
#[derive(Clone, Debug, Default)]
pub(crate) struct RowBudget {
    /// The bytes that each task was last counted with, by position; empty before the first count.
    counted: Vec<RowBytes>,
    /// The sum of `counted`.
    total: RowBytes,
    /// Positions of tasks that may have changed since they were counted.
    changed: Vec<usize>,
}

impl RowBudget {
    /// Records that the task at `position` may change.
    pub(crate) fn record_change(&mut self, position: usize) {
        if self.counted.is_empty() || self.changed.last() == Some(&position) {
            return;
        }
        if self.changed.len() < self.counted.len() {
            self.changed.push(position);
        } else {
            *self = Self::default();
        }
    }

    /// Returns the bytes of `tasks` tasks, of which `bytes` returns those of the one at a position.
    pub(crate) fn count(&mut self, tasks: usize, bytes: impl Fn(usize) -> RowBytes) -> RowBytes {
        if self.counted.is_empty() {
            self.counted = (0..tasks).map(bytes).collect();
            for bytes in &self.counted {
                self.total += *bytes;
            }
            return self.total;
        }
        for position in self.changed.drain(..) {
            let bytes = bytes(position);
            self.total += bytes;
            self.total -= std::mem::replace(&mut self.counted[position], bytes);
        }
        self.total
    }
}
