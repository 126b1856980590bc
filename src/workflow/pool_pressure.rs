//! Tells whether a pool can serve all its jobs in time.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::ServiceId;

/// The first bound of the times until work must have started, in ms; each further one is twice as
/// long. It is the wait from which a queue counts as having a backlog.
const FIRST_BOUND_MS: u64 = 1_000;

/// The number of bounds; the last is 17 minutes.
const BOUNDS: usize = 11;

/// The pressure from which a pool counts as short, in percent of what it can do in time.
const SHORT_PERCENT: u64 = 100;

/// The pressure below which a pool counts as relieved, and for how long, in ms. A limit that is lifted
/// with the first gap would be needed again at once.
const RELIEVED_PERCENT: u64 = 50;
const RELIEVED_MS: u64 = 1_000;

/// The waiting work of one pool by the time until which it must have started.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct DueWork {
    work: [u64; BOUNDS],
}

impl DueWork {
    /// Adds work, in millicores times ms, that must have started within `slack_ms`.
    pub fn add(&mut self, work: u64, slack_ms: u64) {
        let doublings = slack_ms.div_ceil(FIRST_BOUND_MS).max(1).next_power_of_two();
        let position = (doublings.trailing_zeros() as usize).min(BOUNDS - 1);
        self.work[position] = self.work[position].saturating_add(work);
    }

    /// Returns the largest ratio, over all bounds, of the time that the work up to a bound takes to
    /// the bound, in percent. Over 100, not all jobs can be in time. `capacity_millis` is the pool's
    /// capacity and `lag_ms` how far the controller's own work is behind.
    pub fn pressure_percent(&self, capacity_millis: u64, lag_ms: u64) -> u64 {
        let mut work = 0_u64;
        let mut pressure = 0;
        for (position, due) in self.work.iter().enumerate() {
            work = work.saturating_add(*due);
            if work > 0 {
                let took_ms = (work / capacity_millis.max(1)).saturating_add(lag_ms);
                let bound_ms = FIRST_BOUND_MS << position;
                pressure = pressure.max(took_ms.saturating_mul(100) / bound_ms);
            }
        }
        pressure
    }
}

/// Which pools are short, with hysteresis.
#[derive(Debug, Default)]
pub struct PoolPressure {
    /// The short pools, with the time in ms at which each was last under pressure.
    short: BTreeMap<ServiceId, u64>,
}

impl PoolPressure {
    /// Starts without short pools.
    pub fn new() -> Self {
        Self::default()
    }

    /// Updates the short pools by their pressures in percent, and returns them. A pool without a
    /// pressure has none.
    pub fn update(
        &mut self,
        pressures: &BTreeMap<ServiceId, u64>,
        now_ms: u64,
    ) -> BTreeSet<ServiceId> {
        for (service, &percent) in pressures {
            let is_kept = percent >= RELIEVED_PERCENT && self.short.contains_key(service);
            if percent >= SHORT_PERCENT || is_kept {
                self.short.insert(service.clone(), now_ms);
            }
        }
        self.short
            .retain(|_, pressed_ms| now_ms < *pressed_ms + RELIEVED_MS);
        self.short.keys().cloned().collect()
    }
}
