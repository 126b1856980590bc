//! Detects that the process was frozen, for example suspended or starved of processor time.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

/// The minimum time between two ticks that counts as a freeze of the process.
const FREEZE_THRESHOLD: Duration = Duration::from_millis(1_500);

/// Tracks whether the state of the process may be stale because it was frozen.
#[derive(Debug)]
pub struct FreezeDetector {
    last_tick: Cell<Instant>,
    stale: Cell<bool>,
}

impl FreezeDetector {
    /// Creates a detector whose first tick is at `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick: Cell::new(now),
            stale: Cell::new(false),
        }
    }

    /// Records that the process is running; returns whether it was frozen before this tick.
    pub fn record_tick(&self, now: Instant) -> bool {
        let frozen = self.is_frozen(now);
        self.stale.set(self.stale.get() || frozen);
        self.last_tick.set(now);
        frozen
    }

    /// Returns whether the process was frozen and [`Self::mark_current`] has not been called since.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.stale.get() || self.is_frozen(now)
    }

    /// Marks the state as current after a poll of the platform, even if the platform did not
    /// answer.
    pub fn mark_current(&self) {
        self.stale.set(false);
    }

    fn is_frozen(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick.get()) >= FREEZE_THRESHOLD
    }
}
