//! Which jobs are left to be late when not all can be in time.
//!
//! Load: for some seconds a queue asks for two to five times its pool's room. Serving the
//! job with the least slack first then spends the room on jobs that are late in the end, and
//! all become late one after another. When the room before a job's last start is too little
//! for all that must start before it, the job with the most work left waits (Moore and
//! Hodgson's rule for the least number of late jobs), its work weighed by the job's lot.

use std::collections::BinaryHeap;

use crate::id::JobId;

/// The least lot of a job, in percent.
const MIN_PRIORITY_WEIGHT_PERCENT: u64 = 20;

/// The number of lots, and how far they lie apart, in percent.
const PRIORITY_WEIGHT_STEPS: u64 = 9;
const PRIORITY_WEIGHT_STEP_PERCENT: u64 = 20;

/// What a job that can be in time still needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobDemand {
    /// The time until it must have its room to be in time, in ms.
    pub slack_ms: u64,
    /// The work that has not started, in thousandths of a core times ms.
    pub work: u64,
    /// Drawn once for each job: how much its work counts when one is chosen to wait, in percent.
    pub priority_weight_percent: u64,
}

/// Returns a job's lot, by its id: 20 to 180 percent. Without it the largest jobs of a long
/// overload would hardly be served at all.
pub fn job_priority_weight(id: &JobId) -> u64 {
    let digits = id.as_str().bytes();
    let mixed = digits.fold(0, |sum: u64, digit| sum * 31 % 1_009 + u64::from(digit));
    MIN_PRIORITY_WEIGHT_PERCENT + mixed % PRIORITY_WEIGHT_STEPS * PRIORITY_WEIGHT_STEP_PERCENT
}

/// Returns the positions of the jobs that are left to be late, in ascending order;
/// `capacity_millis` is the processor time of the pool, in thousandths of a core.
pub fn select_deferred_jobs(demands: &[JobDemand], capacity_millis: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&position| (demands[position].slack_ms, demands[position].work));
    let mut kept: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    let mut total: u128 = 0;
    let mut late = Vec::new();
    for position in order {
        let demand = demands[position];
        let offered = u128::from(capacity_millis) * u128::from(demand.slack_ms);
        // The job itself needs its room at its last start, those before it need theirs by then.
        let is_feasible = total <= offered;
        let weighed = demand.work.saturating_mul(demand.priority_weight_percent);
        kept.push((weighed, position));
        total += u128::from(demand.work);
        if is_feasible {
            continue;
        }
        if let Some((_, largest)) = kept.pop() {
            total -= u128::from(demands[largest].work);
            late.push(largest);
        }
    }
    late.sort_unstable();
    late
}
