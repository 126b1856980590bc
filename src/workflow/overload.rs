//! Which jobs are left to be late when not all can be in time.
//!
//! Load: for some seconds a queue asks for two to five times its pool's room. Serving the
//! job with the least slack first then spends the room on jobs that are late in the end, and
//! all become late one after another. When the room before a job's last start is too little
//! for all that must start before it, the job with the most work left waits (Moore and
//! Hodgson's rule for the least number of late jobs).

use std::collections::BinaryHeap;

/// What a job that can be in time still needs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct JobDemand {
    /// The time until it must have its room to be in time, in ms.
    pub slack_ms: u64,
    /// The work that has not started, in thousandths of a core times ms.
    pub work: u64,
}

/// Returns the positions of the jobs that are left to be late, in ascending order;
/// `room_millis` is the processor time of the pool, in thousandths of a core.
pub fn choose_late(demands: &[JobDemand], room_millis: u64) -> Vec<usize> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    order.sort_by_key(|&position| (demands[position].slack_ms, demands[position].work));
    let mut kept: BinaryHeap<(u64, usize)> = BinaryHeap::new();
    let mut total: u128 = 0;
    let mut late = Vec::new();
    for position in order {
        let demand = demands[position];
        let offered = u128::from(room_millis) * u128::from(demand.slack_ms);
        // The job itself needs its room at its last start, those before it need theirs by then.
        let is_feasible = total <= offered;
        kept.push((demand.work, position));
        total += u128::from(demand.work);
        if is_feasible {
            continue;
        }
        if let Some((work, largest)) = kept.pop() {
            total -= u128::from(work);
            late.push(largest);
        }
    }
    late.sort_unstable();
    late
}
