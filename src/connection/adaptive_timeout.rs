//! How long an answer is waited for, learnt from those that came.
//!
//! Load: a third or more of the answers are lost for some seconds while the others come
//! within milliseconds, so that a fixed timeout, long enough for a slow server, stops all
//! work at each loss; or all answers take sixty times as long for some seconds, so that a
//! short one would give all of them up.

use std::cell::Cell;
use std::time::Duration;

/// How many times an answer's duration the next ones may take.
const LATENCY_MULTIPLIER: u32 = 8;

/// How the time grows at a silence: a server that has turned sixty times as slow is waited
/// for long enough after two.
const TIMEOUT_GROWTH: u32 = 2;

/// The time that answers may take, between two bounds.
#[derive(Debug)]
pub struct AdaptiveTimeout {
    min: Duration,
    max: Duration,
    time: Cell<Duration>,
    changed_ms: Cell<u64>,
}

impl AdaptiveTimeout {
    /// Creates a time that begins at `most`.
    pub fn new(min: Duration, max: Duration) -> Self {
        Self {
            min,
            max,
            time: Cell::new(max),
            changed_ms: Cell::new(0),
        }
    }

    /// Returns how long the next answer may take.
    pub fn get(&self) -> Duration {
        self.time.get()
    }

    /// Notes an answer to a call that was sent at `sent_ms`.
    pub fn record_response(&self, sent_ms: u64, now_ms: u64) {
        let took = Duration::from_millis(now_ms.saturating_sub(sent_ms));
        // One quick answer among slow ones does not undo what was learnt.
        let time = (took * LATENCY_MULTIPLIER).max(self.time.get() / TIMEOUT_GROWTH);
        self.change(time, now_ms);
    }

    /// Notes that a call that was sent at `sent_ms` got no answer; calls that ran at the
    /// same time count once.
    pub fn record_timeout(&self, sent_ms: u64, now_ms: u64) {
        if sent_ms >= self.changed_ms.get() {
            self.change(self.time.get() * TIMEOUT_GROWTH, now_ms);
        }
    }

    fn change(&self, time: Duration, now_ms: u64) {
        self.time.set(time.clamp(self.min, self.max));
        self.changed_ms.set(now_ms);
    }
}
