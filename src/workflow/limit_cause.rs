//! Why an organisation's jobs wait or are refused.

use std::fmt::Display;
use std::fmt::Formatter;

/// The limit that an organisation has reached.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LimitCause {
    /// It submits more jobs per second than it is entitled to while a pool is short.
    Rate,
    /// Its waiting work exceeds its share of a pool.
    Share,
    /// What it has running leaves no room for its next task under its cap.
    Cap,
}

impl Display for LimitCause {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Rate => "rate",
            Self::Share => "share",
            Self::Cap => "cap",
        })
    }
}
