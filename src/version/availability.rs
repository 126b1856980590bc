//! The availability target of a service.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

/// The share of time that a service must be available, in millionths from 0 to 1,000,000.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(transparent)]
pub struct Availability {
    millionths: u32,
}

const MILLIONTHS_PER_ONE: u32 = 1_000_000;

impl Availability {
    /// Rounds a percentage to millionths; `None` unless it is from 0 to 100, both included.
    pub fn from_percent(percent: f64) -> Option<Self> {
        if !(0.0..=100.0).contains(&percent) {
            return None;
        }
        let millionths = (percent * f64::from(MILLIONTHS_PER_ONE) / 100.0).round() as u32;
        Some(Self { millionths })
    }

    /// Returns the availability budget: the time that the service may be unavailable in `window`.
    pub fn allowance(self, window: Duration) -> Duration {
        window * (MILLIONTHS_PER_ONE - self.millionths) / MILLIONTHS_PER_ONE
    }
}

impl fmt::Display for Availability {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}%", f64::from(self.millionths) / 10_000.0)
    }
}

impl FromStr for Availability {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.trim_end_matches('%')
            .parse()
            .ok()
            .and_then(Self::from_percent)
            .ok_or_else(|| format!("{text:?} is not a percentage between 0 and 100"))
    }
}
