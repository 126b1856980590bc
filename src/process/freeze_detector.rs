//! Notices that the process was paused.

use std::cell::Cell;
use std::time::Duration;
use std::time::Instant;

/// The gap between two ticks that counts as a pause.
const PAUSE: Duration = Duration::from_millis(1_500);

/// Tells whether what the process knows may be old, since it was paused.
#[derive(Debug)]
pub struct FreezeDetector {
    last_tick: Cell<Instant>,
    stale: Cell<bool>,
}

impl FreezeDetector {
    /// Creates a guard of a process that runs since `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            last_tick: Cell::new(now),
            stale: Cell::new(false),
        }
    }

    /// Notes that the process runs; returns whether it has been paused before.
    pub fn tick(&self, now: Instant) -> bool {
        let paused = self.is_paused(now);
        self.stale.set(self.stale.get() || paused);
        self.last_tick.set(now);
        paused
    }

    /// Tells whether the process has been paused and has not caught up since.
    pub fn is_stale(&self, now: Instant) -> bool {
        self.stale.get() || self.is_paused(now)
    }

    /// Notes that the process has caught up as far as it can.
    pub fn catch_up(&self) {
        self.stale.set(false);
    }

    fn is_paused(&self, now: Instant) -> bool {
        now.saturating_duration_since(self.last_tick.get()) >= PAUSE
    }
}
