//! What a controller has learnt about one incarnation of a worker.

use crate::workflow::SlowdownFactor;
use crate::workflow::WorkerPace;

/// What a controller has learnt about one incarnation of a worker. Times are in ms on the
/// controller's clock.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// How long tasks take on the worker.
    pub pace: WorkerPace,
}

impl WorkerHealth {
    /// Creates the health of a worker about which nothing is known.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how many tasks may be placed on the worker at a time; `None` for no limit but its
    /// capacity.
    pub fn task_limit(&self, now_ms: u64) -> Option<u32> {
        self.pace.is_probe_due(now_ms).then_some(1)
    }

    /// Returns how many times as long as expected a task takes on the worker.
    pub fn slowdown(&self) -> SlowdownFactor {
        self.pace.slowdown()
    }
}
