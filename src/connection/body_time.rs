//! The time that the body of a response took to arrive.

use std::time::Duration;

/// The time between the head of a response and the end of its body, an extension of responses.
/// Unlike the response time, it depends on the size and the link, and not on the server.
#[derive(Clone, Copy, Debug, Default, Eq, Ord, PartialEq, PartialOrd)]
pub struct BodyTime(Duration);

impl BodyTime {
    /// Creates the time of a body that took `duration`.
    pub fn new(duration: Duration) -> Self {
        Self(duration)
    }

    /// Returns the time as a duration.
    pub fn get(self) -> Duration {
        self.0
    }
}
