//! Measures how far a controller's work is behind, and slows down the work that can wait.
//!
//! At a demand peak of thousands of runs a second the controller may need more processor time than
//! its entry host has. Everything then waits in one queue, renewals of leases included, and leases
//! are lost with all that runs under them. Work whose cost falls if it is done less often, such as
//! collecting the reports of workers and planning, therefore pauses for longer.

use std::cell::Cell;
use std::time::Duration;

/// The weight of a new sample in the average.
const SAMPLE_WEIGHT: f64 = 0.25;

/// The lag up to which nothing is slowed down. Timers fire late by this much on an idle host.
const TOLERATED_LAG: Duration = Duration::from_millis(3);

/// The factor by which the lag lengthens a pause.
const PAUSE_FACTOR: u32 = 3;

/// The limit on the time by which a pause is lengthened.
const MAX_ADDED_PAUSE: Duration = Duration::from_millis(250);

/// The average time by which timers fire too late, since other work is done first.
#[derive(Debug, Default)]
pub struct ControlLag {
    average_s: Cell<f64>,
}

impl ControlLag {
    /// Starts without any lag.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a timer set to `requested` fired after `elapsed`.
    pub fn record(&self, requested: Duration, elapsed: Duration) {
        let sample_s = elapsed.saturating_sub(requested).as_secs_f64();
        let average_s = self.average_s.get();
        self.average_s
            .set(average_s + (sample_s - average_s) * SAMPLE_WEIGHT);
    }

    /// Returns the average lag.
    pub fn average(&self) -> Duration {
        Duration::from_secs_f64(self.average_s.get())
    }

    /// Returns `pause`, lengthened while the controller is behind.
    pub fn lengthen(&self, pause: Duration) -> Duration {
        let excess = self.average().saturating_sub(TOLERATED_LAG);
        pause + (excess * PAUSE_FACTOR).min(MAX_ADDED_PAUSE)
    }
}
