//! Decides which jobs of an organisation are within its share of a pool in short supply.

use crate::workflow::share_capacity;
use crate::workflow::ShareDemand;
use crate::workflow::ShareWeight;
use crate::workflow::WorkerResources;

/// The parts into which a pool is divided, fine enough for a task of 1 millicore in a pool of
/// a million cores.
const POOL_PARTS: u64 = 1_000_000_000;

/// What one organisation, or all callers without one, uses and asks of a pool.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct GroupLoad {
    /// Its weight among those that ask.
    pub weight: ShareWeight,
    /// The resources of its running tasks.
    pub running: WorkerResources,
    /// The resources of its tasks that could start now.
    pub ready: WorkerResources,
}

/// The shares of a pool and how much of them is used, for the length of a placement pass.
#[derive(Debug)]
pub struct ShareOrder {
    capacity: WorkerResources,
    /// For each group, its share in parts of the pool.
    shares: Vec<u64>,
    /// For each group, the resources of its running tasks and of those of the jobs so far.
    granted: Vec<WorkerResources>,
}

impl ShareOrder {
    /// Divides a pool's capacity among groups by weight: weighted max-min over the dominant resource
    /// of each.
    pub fn new(capacity: &WorkerResources, loads: &[GroupLoad]) -> Self {
        let demand = |load: &GroupLoad| {
            let mut wanted = load.running;
            wanted.add(&load.ready);
            ShareDemand {
                weight: load.weight,
                amount: dominant_parts(&wanted, capacity),
            }
        };
        let demands: Vec<_> = loads.iter().map(demand).collect();
        Self {
            capacity: *capacity,
            shares: share_capacity(POOL_PARTS, &demands),
            granted: loads.iter().map(|load| load.running).collect(),
        }
    }

    /// Grants the next job of a group the resources of its tasks that could start now; returns
    /// whether it begins beyond the group's share. A job that begins within the share may end
    /// beyond it, so that a job larger than the share is not put off forever.
    pub fn grant(&mut self, group: usize, ready: &WorkerResources) -> bool {
        let granted = &mut self.granted[group];
        let is_beyond = dominant_parts(granted, &self.capacity) >= self.shares[group];
        granted.add(ready);
        is_beyond
    }
}

/// Returns the largest part of the pool's resources that `amount` takes, in [`POOL_PARTS`]. A
/// resource that the pool does not have cannot be divided and does not count.
fn dominant_parts(amount: &WorkerResources, capacity: &WorkerResources) -> u64 {
    let parts = amount.amounts().into_iter().zip(capacity.amounts());
    let parts = parts.map(|(amount, capacity)| match (amount, capacity) {
        (_, 0) => 0,
        _ => (u128::from(amount) * u128::from(POOL_PARTS) / u128::from(capacity)) as u64,
    });
    parts.max().unwrap_or(0)
}
