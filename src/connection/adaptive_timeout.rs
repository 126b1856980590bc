//! A timeout that adapts to the latency of recent responses.
//!
//! Two faults, each lasting for seconds, rule out a fixed timeout. If a third or more of the
//! responses are lost while the others arrive within milliseconds, a timeout long enough for a
//! slow server stops all work at each loss. If all responses take sixty times as long, a short
//! timeout abandons every call.

use std::cell::Cell;
use std::time::Duration;

/// The timeout as a multiple of the last latency.
const LATENCY_MULTIPLIER: u32 = 8;

/// The factor by which the timeout grows after a call without a response: two such calls are
/// enough for a server that has become sixty times as slow, if the lower bound is at least 15
/// times its normal latency.
const TIMEOUT_GROWTH: u32 = 2;

/// The time to wait for a response, between two bounds.
///
/// All times in milliseconds must be readings of one monotonic clock.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    min: Duration,
    max: Duration,
    timeout: Cell<Duration>,
    /// When the timeout was last adapted.
    changed_ms: Cell<u64>,
}

impl AdaptiveTimeout {
    /// Creates a timeout between `min` and `max` that starts at `max`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            timeout: Cell::new(max),
            changed_ms: Cell::new(0),
        }
    }

    /// Returns the timeout for the next call.
    pub fn get(&self) -> Duration {
        self.timeout.get()
    }

    /// Records a response, received at `now_ms`, to a call sent at `sent_ms`.
    pub fn record_response(&self, sent_ms: u64, now_ms: u64) {
        let latency = Duration::from_millis(now_ms.saturating_sub(sent_ms));
        // Shrinks by at most the growth factor, so that one fast response among slow ones does not
        // reset the timeout.
        let timeout = (latency * LATENCY_MULTIPLIER).max(self.timeout.get() / TIMEOUT_GROWTH);
        self.change(timeout, now_ms);
    }

    /// Records that a call sent at `sent_ms` timed out at `now_ms`; calls sent before the last
    /// change are ignored, so that concurrent timeouts count once.
    pub fn record_timeout(&self, sent_ms: u64, now_ms: u64) {
        if sent_ms >= self.changed_ms.get() {
            self.change(self.timeout.get() * TIMEOUT_GROWTH, now_ms);
        }
    }

    fn change(&self, timeout: Duration, now_ms: u64) {
        self.timeout.set(timeout.clamp(self.min, self.max));
        self.changed_ms.set(now_ms);
    }
}
