//! Injectable faults of the simulated platform.

use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;

/// The injected faults; the default injects none.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlatformFaults {
    /// Every call is answered with 503 and has no effect.
    pub outage: bool,
    /// The extra delay of every call, in milliseconds.
    pub delay_ms: u64,
    /// The number of next transactions and commands that take effect but whose connection is
    /// closed without a response.
    pub lost_answers: u32,
    /// The host list stays as it was when this was set.
    pub frozen_list: bool,
    /// Table reads return the rows as they were when this was set.
    pub stale_reads: bool,
    /// Restarted hosts do not come up again.
    pub stuck_reboots: bool,
    /// Leases on tasks expire at once.
    pub end_leases: bool,
    /// The workers on which every started task fails.
    pub bad_workers: BTreeSet<HostId>,
}
