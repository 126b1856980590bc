//! What the regular check of all workers keeps.

use std::collections::BTreeMap;

use crate::id::ServiceId;
use crate::workflow::HealthState;

/// What the regular check of all workers keeps.
#[derive(Clone, Debug, Default)]
pub struct FleetHealth {
    /// When the workers were last checked, in ms.
    pub(crate) checked_ms: u64,
    /// The number of listed workers in each state, as of the last check.
    pub counts: BTreeMap<HealthState, u64>,
    /// The number of listed workers that were slow at the last check.
    pub slow_count: u64,
    /// The number of listed workers of each pool that distrust limits to few tasks or none, as of the last check.
    pub limited: BTreeMap<ServiceId, u64>,
    /// When a waiting gang was last logged, in ms.
    pub(crate) gang_logged_ms: u64,
    /// The number of workers whose running tasks were looked at in the last check.
    pub reviewed_workers: u64,
    /// The share of failed runs in each pool.
    pub(crate) failure_shares: BTreeMap<ServiceId, f64>,
}
