//! Selects the jobs to defer when several organisations ask for more than a pool can do.
//!
//! The rule is that of [`crate::workflow::select_deferred_jobs`] with one difference: when the jobs
//! up to a latest start are too many, the job is taken from the organisation whose kept work is the
//! largest in relation to its weight, and not from all jobs. The kept work of an organisation is
//! measured by its dominant resource. An organisation whose work up to each deadline is within its
//! weighted share of the pool thus loses no job: whenever the pool is short, another organisation
//! exceeds its own share.
//!
//! The cost grows with the number of jobs times its logarithm, whatever the number of
//! organisations, since the organisations are kept in heaps, too.

use std::collections::BinaryHeap;

use crate::workflow::JobDemand;
use crate::workflow::ShareWeight;
use crate::workflow::WorkerResources;

/// The number of resources: CPU, memory and accelerators.
const RESOURCES: usize = 3;

/// The remaining demand of a job of one of several groups.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct GroupDemand {
    /// The position of the job's group.
    pub group: usize,
    /// The demand in CPU, as for a single group.
    pub job: JobDemand,
    /// The work of the job that has not started: resources times ms.
    pub work: WorkerResources,
}

/// The jobs of one group that are not deferred.
#[derive(Default)]
struct KeptGroup {
    work: [u128; RESOURCES],
    /// For each resource, the jobs that need it, by weighted work and position. Deferred jobs are
    /// removed when they come up.
    jobs: [BinaryHeap<(u64, usize)>; RESOURCES],
    /// Counts the changes of `work`; an entry of [`KeptJobs::leaders`] with another count is old.
    changes: u64,
}

/// The jobs that are not deferred.
struct KeptJobs<'a> {
    demands: &'a [GroupDemand],
    capacity: [u64; RESOURCES],
    weights: &'a [ShareWeight],
    groups: Vec<KeptGroup>,
    total: [u128; RESOURCES],
    is_kept: Vec<bool>,
    /// For each resource, the groups that need it, by dominant share, with their count of changes.
    leaders: [BinaryHeap<(u64, u64, usize)>; RESOURCES],
}

/// Returns the positions of the jobs to defer, in ascending order. `capacity` is that of the pool;
/// `weights` are those of the groups.
pub fn select_group_deferrals(
    demands: &[GroupDemand],
    capacity: &WorkerResources,
    weights: &[ShareWeight],
) -> Vec<usize> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&position| {
        let job = &demands[position].job;
        (job.slack_ms, job.work)
    });
    let mut kept = KeptJobs::new(demands, capacity, weights);
    let mut deferred = Vec::new();
    for position in order {
        // Up to the job's latest start, only the jobs before it need capacity; its own work
        // starts then.
        let slack_ms = demands[position].job.slack_ms;
        let mut short = kept.short_resource(slack_ms, None);
        kept.add(position);
        while let Some(removed) = short.and_then(|resource| kept.remove_one(resource)) {
            deferred.push(removed);
            // The job that is removed may be smaller than the one that made the pool short, if that
            // one is of another group.
            short = match weights.len() {
                1 => None,
                _ => kept.short_resource(slack_ms, Some(position)),
            };
        }
    }
    deferred.sort_unstable();
    deferred
}

impl<'a> KeptJobs<'a> {
    fn new(
        demands: &'a [GroupDemand],
        capacity: &WorkerResources,
        weights: &'a [ShareWeight],
    ) -> Self {
        Self {
            demands,
            capacity: capacity.amounts(),
            weights,
            groups: weights.iter().map(|_| KeptGroup::default()).collect(),
            total: [0; RESOURCES],
            is_kept: vec![false; demands.len()],
            leaders: Default::default(),
        }
    }

    /// Returns a resource of which the kept jobs, without the job at position `starting`, need more
    /// than the pool has until `slack_ms`.
    fn short_resource(&self, slack_ms: u64, starting: Option<usize>) -> Option<usize> {
        let starting = starting.filter(|&position| self.is_kept[position]);
        let starting = starting.map(|position| self.demands[position].work.amounts());
        (0..RESOURCES).find(|&resource| {
            let offered = u128::from(self.capacity[resource]) * u128::from(slack_ms);
            let excepted = starting.map_or(0, |work| u128::from(work[resource]));
            self.total[resource] - excepted > offered
        })
    }

    fn add(&mut self, position: usize) {
        let demand = &self.demands[position];
        let work = demand.work.amounts();
        let group = &mut self.groups[demand.group];
        self.is_kept[position] = true;
        for resource in (0..RESOURCES).filter(|&resource| work[resource] > 0) {
            let weighted = work[resource].saturating_mul(demand.job.priority_weight_percent);
            group.jobs[resource].push((weighted, position));
            group.work[resource] += u128::from(work[resource]);
            self.total[resource] += u128::from(work[resource]);
        }
        self.rank_group(demand.group);
    }

    /// Removes the job with the most work in the resource from the group with the largest dominant
    /// share among those that need the resource.
    fn remove_one(&mut self, resource: usize) -> Option<usize> {
        let group = loop {
            let (_, changes, group) = self.leaders[resource].pop()?;
            if self.groups[group].changes == changes {
                break group;
            }
        };
        let position = loop {
            let (_, position) = self.groups[group].jobs[resource].pop()?;
            if self.is_kept[position] {
                break position;
            }
        };
        self.is_kept[position] = false;
        let work = self.demands[position].work.amounts();
        for (resource, work) in work.into_iter().enumerate() {
            self.groups[group].work[resource] -= u128::from(work);
            self.total[resource] -= u128::from(work);
        }
        self.rank_group(group);
        Some(position)
    }

    /// Enters a group whose work has changed among the leaders of the resources that it needs.
    fn rank_group(&mut self, number: usize) {
        let group = &mut self.groups[number];
        group.changes += 1;
        let shares = group.work.iter().zip(self.capacity);
        let shares = shares.map(|(&work, capacity)| work as f64 / capacity.max(1) as f64);
        let dominant = shares.fold(0.0, f64::max) / self.weights[number].get();
        // Bits of numbers that are not negative are in the order of the numbers.
        let key = dominant.to_bits();
        for resource in (0..RESOURCES).filter(|&resource| group.work[resource] > 0) {
            self.leaders[resource].push((key, group.changes, number));
        }
    }
}
