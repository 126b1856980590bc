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
