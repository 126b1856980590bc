//! Limits on the size and duration of HTTP messages.

use std::time::Duration;

/// The maximum size and duration of each part of a message.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// The maximum size of a head, in bytes.
    pub head_bytes: usize,
    /// The maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// The maximum idle time between messages.
    pub idle: Duration,
    /// The maximum time from the first to the last byte of a head.
    pub head: Duration,
    /// The maximum time for reading a body.
    pub body: Duration,
    /// The maximum time for writing a response.
    pub write: Duration,
}

impl Default for MessageLimits {
    fn default() -> Self {
        Self {
            head_bytes: 16 * 1024,
            body_bytes: 1024 * 1024,
            idle: Duration::from_secs(60),
            head: Duration::from_secs(5),
            body: Duration::from_secs(20),
            write: Duration::from_secs(10),
        }
    }
}
