//! Which hosts of a wave are emptied and taken down next.
//!
//! Load: half of all hosts are due within some 25 s, a few at a time, while queues take
//! turns of several times their mean. Hosts that run least go first, the next ones are
//! emptied while others are down, and work is only stopped when the wave would be late.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;

/// The time from the choice of a host to its return, in ms: tasks of up to 2 s, the upkeep
/// itself and the look that shows it.
const HOST_TURN_MS: u64 = 3_200;

/// The share of a wave's time that is planned with, in percent; the rest is for a change of
/// the controller and for hosts that are away.
const PLANNED_SHARE: u64 = 55;

/// The time left below which busy pools give hosts too, in ms: three turns of a host, or one
/// and a change of the controller.
const HURRY_MS: u64 = 11_000;

/// The time left below which tasks are stopped rather than waited for, in ms: two turns.
const FORCE_MS: u64 = 6_500;

/// How far a wave has come; durable.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WaveProgress {
    /// Hosts whose upkeep was decided.
    #[serde(rename = "begun")]
    pub started: BTreeSet<HostId>,
    /// Hosts whose upkeep the platform accepted.
    pub accepted: BTreeSet<HostId>,
    /// All are accepted.
    pub complete: bool,
}

/// A host of a wave as it is now.
#[derive(Clone, Debug, PartialEq)]
pub struct WaveHost {
    /// Its name.
    pub host: HostId,
    /// The platform lists it as up.
    pub up: bool,
    /// Its upkeep was decided and it is not back yet.
    pub down: bool,
    /// Its upkeep was decided.
    pub started: bool,
    /// The processor time that its tasks take, in thousandths of a core.
    pub used_millis: u64,
    /// It is emptied for this wave.
    pub cordoned: bool,
    /// Nothing runs on it.
    pub empty: bool,
    /// Its pool needs all the room it has.
    pub pool_busy: bool,
}

/// What to do for a wave now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpkeepChoice {
    /// Hosts to take down now.
    pub start: Vec<HostId>,
    /// Hosts to keep new tasks off.
    pub cordon: Vec<HostId>,
    /// Tasks are stopped rather than waited for.
    pub force: bool,
}

/// Chooses what to do for a wave of which `left_ms` are left and `max_down` may be down.
/// While room is short, no more hosts are down at once than the wave's time asks for.
pub fn choose_upkeep(
    hosts: &[WaveHost],
    max_down: usize,
    left_ms: u64,
    capacity_short: bool,
) -> UpkeepChoice {
    let down = hosts.iter().filter(|host| host.down).count();
    let due: Vec<_> = hosts
        .iter()
        .filter(|host| !host.started && host.up)
        .collect();
    let cap = max_down.max(1);
    let planned_ms = (left_ms * PLANNED_SHARE / 100).max(1);
    let work_ms = due.len() as u64 * HOST_TURN_MS;
    let pace = (work_ms.div_ceil(planned_ms) as usize).clamp(1, cap);
    let rounds_ms = work_ms.div_ceil(cap as u64);
    let hurried = rounds_ms * 2 > planned_ms || left_ms < HURRY_MS;
    let force = rounds_ms > planned_ms || left_ms < FORCE_MS;
    let mut order: BTreeMap<(bool, bool, u64, &HostId), &WaveHost> = BTreeMap::new();
    for host in due {
        let key = (host.pool_busy, !host.cordoned, host.used_millis, &host.host);
        order.insert(key, host);
    }
    let allowed = order
        .into_values()
        .filter(|host| hurried || !host.pool_busy || host.cordoned);
    let mut choice = UpkeepChoice {
        force,
        ..UpkeepChoice::default()
    };
    for host in allowed {
        let limit = if capacity_short { pace } else { cap };
        if host.empty && down + choice.start.len() < limit {
            choice.start.push(host.host.clone());
        } else if down + choice.start.len() + choice.cordon.len() < pace {
            choice.cordon.push(host.host.clone());
        }
    }
    choice
}
