//! Weight of an organisation.

use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

/// The weight of an organisation that states none, and the upper bound of weights.
const DEFAULT_WEIGHT: f64 = 1.0;
const MAX_WEIGHT: f64 = 1e9;

/// An organisation's share of the capacity in relation to those of others when all is in use. It is
/// also the number of jobs a second that the organisation is entitled to have served.
#[derive(Clone, Copy, Debug, PartialEq, PartialOrd)]
pub struct ShareWeight(f64);

impl ShareWeight {
    /// Creates a weight; a value that is not positive and finite is replaced by the default, 1.
    pub fn new(weight: f64) -> Self {
        match weight.is_finite() && weight > 0.0 {
            true => Self(weight.min(MAX_WEIGHT)),
            false => Self(DEFAULT_WEIGHT),
        }
    }

    /// Returns the weight, which is positive and finite.
    pub fn get(self) -> f64 {
        self.0
    }

    /// Returns the number of jobs a second that the organisation is entitled to.
    pub fn jobs_per_s(self) -> f64 {
        self.0
    }
}

impl Default for ShareWeight {
    fn default() -> Self {
        Self(DEFAULT_WEIGHT)
    }
}

impl Display for ShareWeight {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        Display::fmt(&self.0, formatter)
    }
}

impl FromStr for ShareWeight {
    type Err = std::num::ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self::new)
    }
}
