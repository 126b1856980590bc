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

/// The share of a wave's time that is planned with, in percent; the rest is for trouble.
const PLANNED_SHARE: u64 = 80;

/// How far a wave has come; durable.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WaveProgress {
    /// Hosts whose upkeep was decided.
    pub begun: BTreeSet<HostId>,
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
    pub begun: bool,
    /// The processor time that its tasks take, in thousandths of a core.
    pub used_millis: u64,
    /// It is emptied for this wave.
    pub cordoned: bool,
    /// Nothing runs on it.
    pub empty: bool,
}

/// What to do for a wave now.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct UpkeepChoice {
    /// Hosts to take down now.
    pub begin: Vec<HostId>,
    /// Hosts to keep new tasks off.
    pub cordon: Vec<HostId>,
    /// Tasks are stopped rather than waited for.
    pub force: bool,
}

/// Chooses what to do for a wave of which `left_ms` are left and `max_down` may be down.
pub fn choose_upkeep(hosts: &[WaveHost], max_down: usize, left_ms: u64) -> UpkeepChoice {
    let down = hosts.iter().filter(|host| host.down).count();
    let due: Vec<_> = hosts.iter().filter(|host| !host.begun && host.up).collect();
    let free = max_down.saturating_sub(down);
    let rounds = (due.len() as u64).div_ceil(max_down.max(1) as u64);
    let force = rounds * HOST_TURN_MS > left_ms * PLANNED_SHARE / 100;
    let mut order: BTreeMap<(bool, u64, &HostId), &WaveHost> = BTreeMap::new();
    for host in due {
        order.insert((!host.cordoned, host.used_millis, &host.host), host);
    }
    let next: Vec<_> = order.into_values().take(max_down.max(1)).collect();
    let ready = next.iter().filter(|host| host.empty);
    let begin: Vec<_> = ready.take(free).map(|host| host.host.clone()).collect();
    UpkeepChoice {
        begin,
        cordon: next.iter().map(|host| host.host.clone()).collect(),
        force,
    }
}
