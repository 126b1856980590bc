//! Start time of an incarnation of a worker.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// When an incarnation of a worker started, in ms since the Unix epoch. Of two incarnations with
/// the same worker id, the one with the larger start is the newer one.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct IncarnationStart(u64);

impl IncarnationStart {
    /// Creates a start from the time in ms since the Unix epoch.
    pub const fn new(unix_ms: u64) -> Self {
        Self(unix_ms)
    }

    /// Returns the time in ms since the Unix epoch.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for IncarnationStart {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for IncarnationStart {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
