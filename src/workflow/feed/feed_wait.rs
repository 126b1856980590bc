//! Adapts how long a feed's long poll waits for changes.
//!
//! Answers of the table may be lost for some seconds. A change in a lost answer is read only after
//! the wait has passed and the feed is polled again. Waits are therefore short until answers
//! arrive again.

use std::time::Duration;

/// Wait of a feed that answers; a longer one would save few calls.
const MAX_WAIT: Duration = Duration::from_millis(1_000);

/// Wait after a poll without an answer.
const MIN_WAIT: Duration = Duration::from_millis(60);

/// The wait of one feed's next poll. A lost answer resets it to the minimum, and each answer
/// doubles it up to the maximum.
#[derive(Debug)]
pub struct FeedWait {
    wait: Duration,
    max: Duration,
}

impl FeedWait {
    /// Starts with the longest wait, as for a feed that answers.
    pub fn new() -> Self {
        Self::with_max(MAX_WAIT)
    }

    /// Like [`FeedWait::new`], for a feed whose polls may wait for `max`.
    pub fn with_max(max: Duration) -> Self {
        Self { wait: max, max }
    }

    /// Returns the time for which the next poll may wait for changes.
    pub fn get(&self) -> Duration {
        self.wait
    }

    /// Records whether the feed answered its last poll.
    pub fn record_answer(&mut self, answered: bool) {
        self.wait = match answered {
            true => (self.wait * 2).min(self.max),
            false => MIN_WAIT,
        };
    }
}

impl Default for FeedWait {
    fn default() -> Self {
        Self::new()
    }
}
