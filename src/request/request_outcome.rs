//! The outcome of a request that zincpier answers itself.

use std::fmt;
use std::str::FromStr;

/// Whether a request may have run, as sent in the outcome header.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum RequestOutcome {
    /// No backend server has run or will run it.
    NotRun,
    /// A backend server may have run it.
    Unknown,
    /// A request with the same key is running.
    InProgress,
}

impl RequestOutcome {
    /// Returns the value of the outcome header.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not-run",
            Self::Unknown => "unknown",
            Self::InProgress => "in-progress",
        }
    }
}

impl fmt::Display for RequestOutcome {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(self.as_str())
    }
}

impl FromStr for RequestOutcome {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        [Self::NotRun, Self::Unknown, Self::InProgress]
            .into_iter()
            .find(|outcome| outcome.as_str() == text)
            .ok_or_else(|| format!("{text:?} is not an outcome"))
    }
}
