//! Selects the jobs to defer when not all of them can be on time.
//!
//! At a demand peak a queue needs two to five times its pool's capacity for some seconds. If jobs
//! were placed by least slack alone, the capacity would go to jobs that end late anyway, and all
//! jobs would become late one after another. Instead, when the capacity up to a job's latest start
//! is too small for all jobs that must start before it, the job with the most remaining work is
//! deferred (the Moore-Hodgson algorithm, which minimises the number of late jobs). The work is
//! multiplied by the job's priority weight.

use std::collections::BinaryHeap;

use crate::id::JobId;

const MIN_PRIORITY_WEIGHT_PERCENT: u64 = 20;

/// The number of possible weights, which are 20 percent apart.
const PRIORITY_WEIGHT_STEPS: u64 = 9;
const PRIORITY_WEIGHT_STEP_PERCENT: u64 = 20;

/// The remaining demand of a job that can still meet its deadline.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobDemand {
    /// The time until the job must have its capacity to be on time, in ms.
    pub slack_ms: u64,
    /// The work that has not started, in millicores times ms.
    pub work: u64,
    /// The factor by which the work is multiplied to choose the job to defer, in percent. It is
    /// constant for each job; see [`job_priority_weight`].
    pub priority_weight_percent: u64,
}

/// Derives a job's priority weight from a hash of its id: 20 to 180 percent. With equal
/// weights, the largest jobs would hardly be served at all during a long overload.
pub fn job_priority_weight(id: &JobId) -> u64 {
    let digits = id.as_str().bytes();
    let hash = digits.fold(0, |hash: u64, digit| hash * 31 % 1_009 + u64::from(digit));
    MIN_PRIORITY_WEIGHT_PERCENT + hash % PRIORITY_WEIGHT_STEPS * PRIORITY_WEIGHT_STEP_PERCENT
}

/// Returns the positions of the jobs to defer, in ascending order; `capacity_millis` is the CPU
/// capacity of the pool, in millicores.
pub fn select_deferred_jobs(demands: &[JobDemand], capacity_millis: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&position| (demands[position].slack_ms, demands[position].work));
    let mut kept: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    let mut total_work: u128 = 0;
    let mut deferred = Vec::new();
    for position in order {
        let demand = demands[position];
        let offered_work = u128::from(capacity_millis) * u128::from(demand.slack_ms);
        // Up to the job's latest start, only the jobs before it need capacity; its own work
        // starts then.
        let is_feasible = total_work <= offered_work;
        let weighted_work = demand.work.saturating_mul(demand.priority_weight_percent);
        kept.push((weighted_work, position));
        total_work += u128::from(demand.work);
        if is_feasible {
            continue;
        }
        if let Some((_, largest)) = kept.pop() {
            total_work -= u128::from(demands[largest].work);
            deferred.push(largest);
        }
    }
    deferred.sort_unstable();
    deferred
}
