//! Decides which hosts of a wave are drained and taken down next.
//!
//! A wave may cover half of all hosts, allow only a few of them to be down at once, and have a
//! deadline of about 25 s. Meanwhile, demand peaks of several times the mean alternate between
//! queues. Hosts with the least work are taken down first, and
//! the next ones are drained while others are down. Tasks other than long-running ones are stopped
//! only if the wave would otherwise miss its deadline.
//!
//! Hosts with long-running tasks take the longest, because only a few tasks of a step may be
//! unavailable at once. They are drained from the start of the wave on, as soon as their steps allow
//! it, beside the hosts with the least work. Pools without spare capacity give them up as well if
//! draining one after another would take too long.

use std::collections::BTreeMap;

use crate::id::HostId;

/// Time from cordoning a host until it is listed as up again: tasks of up to 2 s, the upkeep
/// itself, and the host poll that shows the host as up.
const HOST_CYCLE_MS: u64 = 3_200;

/// Share of a wave's remaining time that the plan uses, in percent. The rest is a margin for a
/// change of the controller and for unavailable hosts.
const PLANNED_PERCENT: u64 = 55;

/// Remaining time below which busy pools give up hosts as well: three host cycles, or one host
/// cycle and a change of the controller.
const URGENT_BELOW_MS: u64 = 11_000;

/// Remaining time below which tasks are stopped instead of waited for: two host cycles.
const FORCE_BELOW_MS: u64 = 6_500;

/// A host of a wave as input to the upkeep plan.
#[derive(Clone, Debug, PartialEq)]
pub struct WaveHost {
    /// As named in the wave request.
    pub host: HostId,
    /// The platform lists it as up; it may do so for a moment after its upkeep was commanded.
    pub up: bool,
    /// Its upkeep was decided and is not known to be over.
    pub down: bool,
    /// Its upkeep was decided.
    pub started: bool,
    /// CPU used by its tasks, in millicores.
    pub used_millis: u64,
    /// Being drained for this wave.
    pub cordoned: bool,
    /// Runs no tasks.
    pub empty: bool,
    /// The pool that it is in.
    pub pool: String,
    /// Its pool has no spare capacity.
    pub pool_busy: bool,
    /// Runs long-running tasks, all of which may be stopped now.
    pub can_spare_long_running: bool,
}

/// The next actions of a wave.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpkeepChoice {
    /// Hosts to take down now.
    pub start: Vec<HostId>,
    /// Hosts to cordon and drain.
    pub cordon: Vec<HostId>,
    /// Whether to stop tasks instead of waiting for them.
    pub force: bool,
}

/// Chooses the next actions of a wave whose deadline is in `remaining_ms` ms. At most `max_down`
/// hosts are down at once, where 0 counts as 1; while `capacity_short`, only as many as are needed
/// to meet the deadline.
pub fn choose_upkeep(
    hosts: &[WaveHost],
    max_down: usize,
    remaining_ms: u64,
    capacity_short: bool,
) -> UpkeepChoice {
    let down = hosts.iter().filter(|host| host.down).count();
    let due: Vec<_> = hosts
        .iter()
        .filter(|host| !host.started && host.up)
        .collect();
    let max_parallel = max_down.max(1);
    let planned_ms = (remaining_ms * PLANNED_PERCENT / 100).max(1);
    let work_ms = due.len() as u64 * HOST_CYCLE_MS;
    let required_parallel = (work_ms.div_ceil(planned_ms) as usize).clamp(1, max_parallel);
    let min_wave_ms = work_ms.div_ceil(max_parallel as u64);
    let urgent = min_wave_ms * 2 > planned_ms || remaining_ms < URGENT_BELOW_MS;
    let force = min_wave_ms > planned_ms || remaining_ms < FORCE_BELOW_MS;
    let mut order: BTreeMap<(bool, bool, u64, &HostId), &WaveHost> = BTreeMap::new();
    for host in due {
        let key = (host.pool_busy, !host.cordoned, host.used_millis, &host.host);
        order.insert(key, host);
    }
    let allowed = order
        .into_values()
        .filter(|host| urgent || !host.pool_busy || host.cordoned);
    let mut choice = UpkeepChoice {
        force,
        ..UpkeepChoice::default()
    };
    for host in allowed {
        let limit = if capacity_short {
            required_parallel
        } else {
            max_parallel
        };
        if host.empty && down + choice.start.len() < limit {
            choice.start.push(host.host.clone());
        } else if down + choice.start.len() + choice.cordon.len() < required_parallel {
            choice.cordon.push(host.host.clone());
        }
    }
    let busy = down + choice.start.len() + choice.cordon.len();
    let busy_time_ms = if urgent { 0 } else { planned_ms };
    let extra = drainable_hosts(hosts, &choice.cordon, busy_time_ms);
    let extra = extra.take(max_parallel.saturating_sub(busy));
    choice.cordon.extend(extra);
    choice
}

/// Returns hosts with long-running tasks to drain besides `cordoned`, one of each pool. A pool without
/// spare capacity gives up none while its hosts, one after another, take `busy_time_ms` ms at most.
/// The next pass sees what the steps of these tasks allow then.
fn drainable_hosts<'h>(
    hosts: &'h [WaveHost],
    cordoned: &[HostId],
    busy_time_ms: u64,
) -> impl Iterator<Item = HostId> + use<'h> {
    let is_drainable = |host: &&WaveHost| {
        let is_due = !host.started && host.up;
        is_due && host.can_spare_long_running && !cordoned.contains(&host.host)
    };
    let mut hosts_by_pool: BTreeMap<&str, Vec<&WaveHost>> = BTreeMap::new();
    for host in hosts.iter().filter(is_drainable) {
        hosts_by_pool.entry(&host.pool).or_default().push(host);
    }
    hosts_by_pool.into_values().filter_map(move |members| {
        let is_late = members.len() as u64 * HOST_CYCLE_MS > busy_time_ms;
        let least_used = members.into_iter().min_by_key(|host| host.used_millis)?;
        (is_late || !least_used.pool_busy).then(|| least_used.host.clone())
    })
}
