//! For how long a placed task has run, relative to what is expected.

use crate::workflow::health::worker_pace::SLOW_RATIO;

/// The longest time in ms between two looks at the running tasks of a worker, since expected
/// durations change with each ended task.
pub(crate) const MAX_REVIEW_MS: u64 = 1_000;

/// The limit on the doublings of the time after which a task is stopped as stalled again.
const MAX_PATIENCE_DOUBLINGS: u32 = 16;

/// For how long a placed task has run, or will have run if its start is on its way, relative to what
/// is expected. Times are in ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunningTime {
    /// The time since the task was placed or its start was sent.
    pub(crate) age_ms: u64,
    /// `None` while the queue has too little history.
    pub(crate) expected_ms: Option<u64>,
    /// Whether the task is known to run.
    pub(crate) is_running: bool,
    /// The number of the task's runs that were stopped as stalled.
    pub(crate) stalls: u32,
}

impl RunningTime {
    /// Returns the age and the expected duration of a running task, if both are known.
    pub(crate) fn age_and_expected_ms(&self) -> Option<(u64, u64)> {
        Some((self.age_ms, self.expected_ms.filter(|_| self.is_running)?))
    }

    /// Returns the multiple of the usual time after which the task is taken for stalled. A task that was stopped
    /// before may just take longer than expected, and ends once it is given long enough.
    pub(crate) fn patience(&self) -> u64 {
        1 << self.stalls.min(MAX_PATIENCE_DOUBLINGS)
    }

    /// Returns the time until the task must be looked at: until it may first be so old that it tells
    /// the worker's speed, or [`MAX_REVIEW_MS`] if that is sooner.
    pub(crate) fn review_in_ms(&self) -> u64 {
        let told_ms = self
            .expected_ms
            .map_or(0, |expected_ms| (expected_ms as f64 * SLOW_RATIO) as u64);
        told_ms.saturating_sub(self.age_ms).min(MAX_REVIEW_MS)
    }
}
