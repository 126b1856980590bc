//! Bytes of a job's durable row.

use std::ops::AddAssign;
use std::ops::SubAssign;

/// Bytes of a durable row that belong to one task, or to all tasks of a job.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RowBytes {
    /// Kept for them: at least those of a usual run for each task that runs or may run.
    pub(crate) reserved: usize,
    /// Taken by them as they are.
    pub(crate) taken: usize,
}

impl RowBytes {
    /// Returns whether there are none.
    pub(crate) fn is_zero(self) -> bool {
        self.reserved == 0 && self.taken == 0
    }

    /// Returns the bytes of so many tasks alike.
    pub(crate) fn times(self, tasks: usize) -> Self {
        Self {
            reserved: self.reserved.saturating_mul(tasks),
            taken: self.taken.saturating_mul(tasks),
        }
    }
}

impl AddAssign for RowBytes {
    fn add_assign(&mut self, other: Self) {
        self.reserved += other.reserved;
        self.taken += other.taken;
    }
}

impl SubAssign for RowBytes {
    fn sub_assign(&mut self, other: Self) {
        self.reserved -= other.reserved;
        self.taken -= other.taken;
    }
}
