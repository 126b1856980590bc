//! How much longer tasks take on a worker.

use std::fmt::Display;
use std::fmt::Formatter;
use std::num::ParseFloatError;
use std::str::FromStr;

const PER_MILLE: u64 = 1_000;

/// The upper bound of factors. A worker that is still slower is not told apart from a stalled one.
const MAX_FACTOR: f64 = 20.0;

/// How many times as long as expected a task takes until it is done, at least 1. It is kept in per
/// mille.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct SlowdownFactor(u64);

impl SlowdownFactor {
    /// The factor of a worker that is as fast as expected.
    pub const NONE: Self = Self(PER_MILLE);

    /// Creates a factor; values outside of 1 to 20 are replaced by the nearer bound, and a value that
    /// is not a number by 1.
    pub fn new(factor: f64) -> Self {
        let factor = match factor > 1.0 {
            true => factor.min(MAX_FACTOR),
            false => 1.0,
        };
        Self((factor * PER_MILLE as f64) as u64)
    }

    /// Returns the factor in per mille.
    pub fn per_mille(self) -> u64 {
        self.0
    }

    /// Returns the duration in ms of a task that is expected to take `expected_ms`.
    pub fn stretch(self, expected_ms: u64) -> u64 {
        expected_ms.saturating_mul(self.0) / PER_MILLE
    }

    /// Returns the work in ms that is done in `elapsed_ms`.
    pub fn shrink(self, elapsed_ms: u64) -> u64 {
        elapsed_ms.saturating_mul(PER_MILLE) / self.0
    }
}

impl Display for SlowdownFactor {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        write!(formatter, "{:.2}", self.0 as f64 / PER_MILLE as f64)
    }
}

impl FromStr for SlowdownFactor {
    type Err = ParseFloatError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        text.parse().map(Self::new)
    }
}
