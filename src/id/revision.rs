//! Version number of the platform's data.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

/// A position in the sequence of commits of the platform's table.
///
/// A row has the revision of its last change; 0 means that the row does not exist.
/// The platform's host and task lists have revisions of their own.
#[derive(
    Clone, Copy, Debug, Default, Deserialize, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
)]
#[serde(transparent)]
pub struct Revision(u64);

impl Revision {
    /// Creates a revision from the number that the platform assigned.
    pub const fn new(number: u64) -> Self {
        Self(number)
    }

    /// Returns the number that the platform assigned.
    pub const fn get(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Revision {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

impl FromStr for Revision {
    type Err = ParseIntError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self)
    }
}
