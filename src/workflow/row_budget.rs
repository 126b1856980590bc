//! The bytes that the tasks of a job reserve in its durable row.

/// Counts the reserved bytes of a job's tasks. A worker's report may change the checkpoints of many tasks
/// one after another, so only tasks that may have changed are counted again.
#[derive(Clone, Debug, Default)]
pub(crate) struct RowBudget {
    /// The bytes that each task was last counted with, by position; empty before the first count.
    counted: Vec<usize>,
    /// The sum of `counted`.
    total: usize,
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
    pub(crate) fn count(&mut self, tasks: usize, bytes: impl Fn(usize) -> usize) -> usize {
        if self.counted.is_empty() {
            self.counted = (0..tasks).map(bytes).collect();
            self.total = self.counted.iter().sum();
            return self.total;
        }
        for position in self.changed.drain(..) {
            let bytes = bytes(position);
            let before = std::mem::replace(&mut self.counted[position], bytes);
            self.total = self.total + bytes - before;
        }
        self.total
    }
}
