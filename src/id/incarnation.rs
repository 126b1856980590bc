//! Identifier of one run of an entry host's daemon.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// Distinguishes one run of a daemon from earlier runs on the same entry host.
///
/// A later run has a greater number: a daemon uses its start time, in milliseconds since the Unix
/// epoch.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Incarnation(u64);

impl Incarnation {
    /// Creates an incarnation from its number, which must exceed those of earlier runs.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number as it is encoded for peers and the table.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for Incarnation {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
