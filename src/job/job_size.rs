//! Amounts of CPU cores, memory and accelerators.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;
use thiserror::Error;

const MILLIS_PER_CORE: u32 = 1_000;

/// The resources that a job uses or a worker has.
///
/// The text form is `2.5/4096/1`: cores, megabytes, accelerators. Without the third number, there
/// are no accelerators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, Hash, PartialEq, Serialize)]
pub struct JobSize {
    /// CPU, in millicores.
    pub cores_milli: u32,
    /// Memory in megabytes.
    pub memory_mb: u32,
    /// Whole accelerators.
    pub accelerators: u32,
}

/// A text that is not a valid size.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("{0:?} is not CORES/MEGABYTES/ACCELERATORS")]
pub struct SizeError(String);

impl JobSize {
    /// Creates a size of whole cores, megabytes and accelerators.
    pub const fn new(cores: u32, memory_mb: u32, accelerators: u32) -> Self {
        Self {
            cores_milli: cores * MILLIS_PER_CORE,
            memory_mb,
            accelerators,
        }
    }

    /// Returns whether every component fits into `capacity`.
    pub fn fits(&self, capacity: &Self) -> bool {
        self.cores_milli <= capacity.cores_milli
            && self.memory_mb <= capacity.memory_mb
            && self.accelerators <= capacity.accelerators
    }

    /// Returns the sum of each component, saturating.
    #[must_use]
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_add(other.cores_milli),
            memory_mb: self.memory_mb.saturating_add(other.memory_mb),
            accelerators: self.accelerators.saturating_add(other.accelerators),
        }
    }

    /// Subtracts `other` from each component, not below zero.
    #[must_use]
    pub fn minus(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.saturating_sub(other.cores_milli),
            memory_mb: self.memory_mb.saturating_sub(other.memory_mb),
            accelerators: self.accelerators.saturating_sub(other.accelerators),
        }
    }

    /// Returns the larger value of each component.
    #[must_use]
    pub fn max(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.max(other.cores_milli),
            memory_mb: self.memory_mb.max(other.memory_mb),
            accelerators: self.accelerators.max(other.accelerators),
        }
    }

    /// Returns the smaller value of each component.
    #[must_use]
    pub fn min(&self, other: &Self) -> Self {
        Self {
            cores_milli: self.cores_milli.min(other.cores_milli),
            memory_mb: self.memory_mb.min(other.memory_mb),
            accelerators: self.accelerators.min(other.accelerators),
        }
    }

    /// Multiplies cores and memory by `factor`; accelerators are indivisible and stay as they are.
    #[must_use]
    pub fn scaled(&self, factor: f64) -> Self {
        Self {
            cores_milli: (f64::from(self.cores_milli) * factor) as u32,
            memory_mb: (f64::from(self.memory_mb) * factor) as u32,
            accelerators: self.accelerators,
        }
    }

    /// Returns the sum of the shares of `total` that the components take: 0 to 3 for a size that
    /// fits into `total`. A component of zero in `total` counts as one.
    pub fn share_of(&self, total: &Self) -> f64 {
        let share = |component: u32, total: u32| f64::from(component) / f64::from(total.max(1));
        share(self.cores_milli, total.cores_milli)
            + share(self.memory_mb, total.memory_mb)
            + share(self.accelerators, total.accelerators)
    }
}

impl fmt::Display for JobSize {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let cores = f64::from(self.cores_milli) / f64::from(MILLIS_PER_CORE);
        write!(
            formatter,
            "{cores}/{}/{}",
            self.memory_mb, self.accelerators
        )
    }
}

impl FromStr for JobSize {
    type Err = SizeError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let invalid = || SizeError(text.to_owned());
        let mut fields = text.split('/');
        let cores = fields.next().and_then(|field| field.parse::<f64>().ok());
        let memory_mb = fields.next().and_then(|field| field.parse().ok());
        let accelerators = fields.next().map_or(Some(0), |field| field.parse().ok());
        let cores = cores.filter(|cores| cores.is_finite() && *cores >= 0.0);
        match fields.next() {
            Some(_) => Err(invalid()),
            None => Ok(Self {
                cores_milli: (cores.ok_or_else(invalid)? * f64::from(MILLIS_PER_CORE)) as u32,
                memory_mb: memory_mb.ok_or_else(invalid)?,
                accelerators: accelerators.ok_or_else(invalid)?,
            }),
        }
    }
}
