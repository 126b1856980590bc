//! The limit on the content of a row of the table.

use std::fmt;
use std::str::FromStr;

/// The bytes of content that a row of the table may hold.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct RowLimit(usize);

impl RowLimit {
    /// Creates a limit of so many bytes of content.
    pub fn new(bytes: usize) -> Self {
        Self(bytes)
    }

    /// Returns the limit in bytes.
    pub fn get(self) -> usize {
        self.0
    }
}

impl Default for RowLimit {
    /// The platform's usual limit: 64 KB in its encoding, which adds a third, and some reserve.
    fn default() -> Self {
        Self(48_000)
    }
}

impl fmt::Display for RowLimit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} bytes", self.0)
    }
}

impl FromStr for RowLimit {
    type Err = std::num::ParseIntError;

    /// Parses a number of bytes.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
