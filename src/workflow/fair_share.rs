//! Divides a pool's capacity among organisations by weight.
//!
//! At a demand peak several organisations ask for more than a pool can do. Each gets its share by
//! weight; what one doesn't need goes to the others, again by weight (weighted max-min fairness).

use crate::workflow::ShareWeight;

/// What one organisation asks of a pool.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ShareDemand {
    /// Its weight among those that ask.
    pub weight: ShareWeight,
    /// The amount that it can use, in the unit of the capacity.
    pub amount: u64,
}

/// Returns the amount that each of `demands` gets of `capacity`, in the same order. No one gets more
/// than it asks for, and nothing is left over while someone asks for more, but for rounding down.
pub fn share_capacity(capacity: u64, demands: &[ShareDemand]) -> Vec<u64> {
    let mut order: Vec<usize> = (0..demands.len()).collect();
    // The time at which each is satisfied if all are filled at a rate by weight.
    let fill_time = |position: &usize| {
        let demand = &demands[*position];
        demand.amount as f64 / demand.weight.get()
    };
    order.sort_by(|first, second| fill_time(first).total_cmp(&fill_time(second)));
    let mut weight: f64 = demands.iter().map(|demand| demand.weight.get()).sum();
    let mut remaining = capacity;
    let mut shares = vec![0; demands.len()];
    for position in order {
        let demand = &demands[position];
        let fair = (remaining as f64 * (demand.weight.get() / weight).min(1.0)) as u64;
        shares[position] = demand.amount.min(fair).min(remaining);
        remaining -= shares[position];
        weight -= demand.weight.get();
    }
    shares
}
