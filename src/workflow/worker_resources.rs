//! Resource amounts: the capacity of workers and the demand of tasks.

use serde::Deserialize;
use serde::Serialize;

/// The limit on each resource of one worker: 100,000 cores in millicores, 100 TB in MB.
const MAX_WORKER_AMOUNT: u64 = 100_000_000;

/// An amount of CPU, memory and accelerators.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct WorkerResources {
    /// CPU, in millicores.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub cpu_millis: u64,
    /// Memory, in MB.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub memory_mb: u64,
    /// The number of accelerators.
    #[serde(default, skip_serializing_if = "is_zero")]
    pub gpus: u64,
}

impl WorkerResources {
    /// Returns whether no resource of `self` exceeds `free_capacity`.
    pub fn fits(&self, free_capacity: &Self) -> bool {
        self.cpu_millis <= free_capacity.cpu_millis
            && self.memory_mb <= free_capacity.memory_mb
            && self.gpus <= free_capacity.gpus
    }

    /// Returns whether one worker can have these resources. Sums over workers don't overflow then.
    pub fn is_plausible(&self) -> bool {
        self.amounts()
            .iter()
            .all(|amount| *amount <= MAX_WORKER_AMOUNT)
    }

    /// Adds each resource of `other`, up to the largest number.
    pub fn add(&mut self, other: &Self) {
        self.cpu_millis = self.cpu_millis.saturating_add(other.cpu_millis);
        self.memory_mb = self.memory_mb.saturating_add(other.memory_mb);
        self.gpus = self.gpus.saturating_add(other.gpus);
    }

    /// Raises each resource to that of `other`, if it is larger.
    pub fn extend_to(&mut self, other: &Self) {
        self.cpu_millis = self.cpu_millis.max(other.cpu_millis);
        self.memory_mb = self.memory_mb.max(other.memory_mb);
        self.gpus = self.gpus.max(other.gpus);
    }

    /// Returns the amounts of CPU, memory and accelerators, in this order.
    pub fn amounts(&self) -> [u64; 3] {
        [self.cpu_millis, self.memory_mb, self.gpus]
    }

    /// Returns the resources of `count` tasks that each need `self`.
    #[must_use]
    pub fn times(&self, count: u64) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_mul(count),
            memory_mb: self.memory_mb.saturating_mul(count),
            gpus: self.gpus.saturating_mul(count),
        }
    }

    /// Returns each resource times `numerator`, divided by `denominator` and rounded up.
    /// `denominator` must not be 0.
    #[must_use]
    pub fn scaled(&self, numerator: u64, denominator: u64) -> Self {
        let scale = |amount: u64| amount.saturating_mul(numerator).div_ceil(denominator);
        Self {
            cpu_millis: scale(self.cpu_millis),
            memory_mb: scale(self.memory_mb),
            gpus: scale(self.gpus),
        }
    }

    /// Subtracts each resource of `used`, with a lower bound of 0.
    #[must_use]
    pub fn saturating_sub(&self, used: &Self) -> Self {
        Self {
            cpu_millis: self.cpu_millis.saturating_sub(used.cpu_millis),
            memory_mb: self.memory_mb.saturating_sub(used.memory_mb),
            gpus: self.gpus.saturating_sub(used.gpus),
        }
    }
}

fn is_zero(number: &u64) -> bool {
    *number == 0
}
