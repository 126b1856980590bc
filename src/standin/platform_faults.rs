//! Faults of the platform stand-in.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;

/// The faults that are switched on.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered with 503 and has no effect.
    pub outage: bool,
    /// Every call is answered this much later, in milliseconds.
    pub delay_ms: u64,
    /// So many next transactions take effect, after which the connection closes without an answer.
    pub lost_answers: u32,
    /// The host list does not show changes.
    pub frozen_list: bool,
    /// Table reads show the rows as they were when this was switched on.
    pub stale_reads: bool,
    /// Restarted hosts stay down.
    pub stuck_reboots: bool,
    /// Leases on tasks end at once.
    pub end_leases: bool,
    /// Workers that fail every task that they start.
    pub bad_workers: BTreeSet<HostId>,
}
