//! Bounds on the size and duration of HTTP messages.

use std::time::Duration;

/// How large a message may be and how long its parts may take.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// The greatest size of a head, in bytes.
    pub head_bytes: usize,
    /// The greatest size of a body, in bytes.
    pub body_bytes: usize,
    /// How long a connection may stay idle between messages.
    pub idle: Duration,
    /// How long a head may take from its first byte to its last.
    pub head: Duration,
    /// How long a body may take.
    pub body: Duration,
    /// How long the other side may take to accept an answer.
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
