//! Limit on the resources that an organisation has in use.

use crate::workflow::WorkerResources;

/// The limit on what an organisation has running on all workers together. A resource of 0 is not
/// limited.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ResourceCap(WorkerResources);

impl ResourceCap {
    /// Creates a cap; a resource of 0 is not limited.
    pub fn new(limits: WorkerResources) -> Self {
        Self(limits)
    }

    /// Returns the limits; a resource of 0 is not limited.
    pub fn limits(&self) -> &WorkerResources {
        &self.0
    }

    /// Returns whether `used` is within the cap.
    pub fn allows(&self, used: &WorkerResources) -> bool {
        let limits = self.0.amounts().into_iter().zip(used.amounts());
        let mut limits = limits.filter(|(limit, _)| *limit > 0);
        limits.all(|(limit, used)| used <= limit)
    }

    /// Returns which part of `wanted` may run beside `used`, from 0 to 1.
    pub fn fraction(&self, used: &WorkerResources, wanted: &WorkerResources) -> f64 {
        let amounts = used.amounts().into_iter().zip(wanted.amounts());
        let limited = self.0.amounts().into_iter().zip(amounts);
        let limited = limited.filter(|(limit, (_, wanted))| *limit > 0 && *wanted > 0);
        limited
            .map(|(limit, (used, wanted))| limit.saturating_sub(used) as f64 / wanted as f64)
            .fold(1.0, f64::min)
    }

    /// Returns the lower limit of the two caps for each resource.
    #[must_use]
    pub fn lowest(&self, other: &Self) -> Self {
        let lower = |first: u64, second: u64| match (first, second) {
            (0, limit) | (limit, 0) => limit,
            _ => first.min(second),
        };
        Self(WorkerResources {
            cpu_millis: lower(self.0.cpu_millis, other.0.cpu_millis),
            memory_mb: lower(self.0.memory_mb, other.0.memory_mb),
            gpus: lower(self.0.gpus, other.0.gpus),
        })
    }

    /// Returns how many more tasks that need `demand` each may run beside `used`.
    pub fn room_for(&self, used: &WorkerResources, demand: &WorkerResources) -> u64 {
        let rooms = [
            (self.0.cpu_millis, used.cpu_millis, demand.cpu_millis),
            (self.0.memory_mb, used.memory_mb, demand.memory_mb),
            (self.0.gpus, used.gpus, demand.gpus),
        ];
        let limited = rooms
            .iter()
            .filter(|(limit, _, needed)| *limit > 0 && *needed > 0);
        let tasks = limited.map(|(limit, used, needed)| limit.saturating_sub(*used) / needed);
        tasks.min().unwrap_or(u64::MAX)
    }
}
