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
    /// How many of the following transactions, restarts and lists of task commands take effect, but
    /// have their connection closed without a response.
    pub lost_answers: u32,
    /// Reads of the host list return it as it was when this was set.
    pub frozen_list: bool,
    /// Table reads return the rows as they were when this was set.
    pub stale_reads: bool,
    /// Hosts that are restarted stay down.
    pub stuck_reboots: bool,
    /// While this is set, all leases on tasks expire at each read of the task list and each list
    /// of task commands.
    pub end_leases: bool,
    /// The hosts of workers on which every task fails shortly after its start.
    pub bad_workers: BTreeSet<HostId>,
}
