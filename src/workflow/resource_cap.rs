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
