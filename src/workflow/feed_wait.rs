//! How long a feed is asked to wait for changes.
//!
//! Load: answers of the table are lost for some seconds. What changed is then seen only when
//! the wait is over and the feed is asked again, so that waits are short until answers come.

use std::time::Duration;

/// The longest wait: longer ones save few calls.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// The shortest wait, after a feed without an answer.
const MIN_WAIT: Duration = Duration::from_millis(60);

/// The wait of one feed.
#[derive(Debug)]
pub struct FeedWait {
    wait: Duration,
}

impl FeedWait {
    /// Creates the wait of a feed that is expected to answer.
    pub fn new() -> Self {
        Self { wait: MAX_WAIT }
    }

    /// Returns how long the feed may wait now.
    pub fn get(&self) -> Duration {
        self.wait
    }

    /// Notes whether the feed answered.
    pub fn record_answer(&mut self, answered: bool) {
        self.wait = match answered {
            true => (self.wait * 2).min(MAX_WAIT),
            false => MIN_WAIT,
        };
    }
}

impl Default for FeedWait {
    fn default() -> Self {
        Self::new()
    }
}
