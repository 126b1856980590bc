//! Which hosts change their pool.
//!
//! Load: one queue at a time asks for several times its pool's room while the others are
//! nearly idle. Hosts without long-running tasks follow the turns: from the pool of hosts
//! that are off first, then from pools with room to spare.

use std::collections::BTreeMap;

use crate::id::HostId;

/// The room beyond its demand that a pool gets, in percent: tasks don't fill hosts exactly.
const HEADROOM_PERCENT: u64 = 112;

/// The room that a pool must have to spare before it gives a host away, in percent of its
/// demand.
const SPARE_PERCENT: u64 = 130;

/// The same while another pool has far less than it needs.
const SPARE_PERCENT_AMID_NEED: u64 = 106;

/// The share of its demand below which a pool is in need, in percent.
const NEED_PERCENT: u64 = 80;

/// How long a pool must have had room to spare before a host is switched off, in ms: a move
/// and its return cost about as much as a host does in this time.
const SWITCH_OFF_MS: u64 = 2_500;

/// A host as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolHost {
    /// Its name.
    pub host: HostId,
    /// Its processor time, in thousandths of a core.
    pub capacity_millis: u64,
    /// What its tasks take of that.
    pub used_millis: u64,
    /// It cannot be moved now: it has long-running tasks, is down or is due for upkeep.
    pub pinned: bool,
    /// It is up, or will be soon.
    pub available: bool,
    /// It is being emptied for a move to this pool.
    pub leaving_to: Option<String>,
}

/// A pool as the planner sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolView {
    /// Its name.
    pub name: String,
    /// Its hosts are off.
    pub standby: bool,
    /// The processor time that its tasks will need soon, in thousandths of a core.
    pub demand_millis: u64,
    /// It has had room to spare for this long, in ms.
    pub spare_ms: u64,
    /// Its hosts.
    pub hosts: Vec<PoolHost>,
}

impl PoolView {
    /// Tells whether the pool's room is below its demand.
    pub fn lacks_capacity(&self) -> bool {
        !self.standby && self.capacity() < self.demand_millis
    }

    fn capacity(&self) -> u64 {
        let counted = self.hosts.iter().filter(|host| host.available);
        let staying = counted.filter(|host| host.leaving_to.is_none());
        staying.map(|host| host.capacity_millis).sum()
    }
}

/// A host's change of pool.
#[derive(Clone, Debug, PartialEq)]
pub struct HostMove {
    /// The host.
    pub host: HostId,
    /// The pool that it goes to.
    pub to: String,
}

/// Chooses the hosts that leave their pool, in the order of need. Moves that were chosen
/// before and whose need has passed are not chosen again. Hosts are switched off only beyond
/// `reserve_millis` of room that no pool needs now.
pub fn choose_moves(pools: &[PoolView], reserve_millis: u64) -> Vec<HostMove> {
    let mut capacities: BTreeMap<&str, u64> = BTreeMap::new();
    for pool in pools {
        let arriving = pools
            .iter()
            .flat_map(|pool| &pool.hosts)
            .filter(|host| host.leaving_to.as_deref() == Some(pool.name.as_str()));
        let arriving: u64 = arriving.map(|host| host.capacity_millis).sum();
        capacities.insert(&pool.name, pool.capacity() + arriving);
    }
    let mut moves: Vec<HostMove> = keep_moves(pools);
    let mut needy: Vec<_> = pools
        .iter()
        .filter(|pool| !pool.standby)
        .filter(|pool| capacities[pool.name.as_str()] < wanted(pool))
        .collect();
    needy.sort_by_key(|pool| std::cmp::Reverse(wanted(pool) - capacities[pool.name.as_str()]));
    let mut taken: Vec<HostId> = moves.iter().map(|chosen| chosen.host.clone()).collect();
    for pool in needy {
        while capacities[pool.name.as_str()] < wanted(pool) {
            let Some((donor, host)) = find_donor(pools, pool, &capacities, &taken) else {
                break;
            };
            *capacities.entry(&donor.name).or_default() -= host.capacity_millis;
            *capacities.entry(&pool.name).or_default() += host.capacity_millis;
            taken.push(host.host.clone());
            moves.push(HostMove {
                host: host.host.clone(),
                to: pool.name.clone(),
            });
        }
    }
    moves.extend(switch_off(pools, &mut capacities, &taken, reserve_millis));
    moves
}

fn wanted(pool: &PoolView) -> u64 {
    pool.demand_millis * HEADROOM_PERCENT / 100
}

/// Keeps the moves under way whose pool still needs the host.
fn keep_moves(pools: &[PoolView]) -> Vec<HostMove> {
    let hosts = pools.iter().flat_map(|pool| &pool.hosts);
    let leaving = hosts.filter_map(|host| Some((host, host.leaving_to.clone()?)));
    let wanted = leaving.filter(|(_, to)| {
        let target = pools.iter().find(|pool| pool.name == *to);
        target.is_some_and(|pool| pool.standby || pool.demand_millis > 0)
    });
    let chosen = wanted.map(|(host, to)| HostMove {
        host: host.host.clone(),
        to,
    });
    chosen.collect()
}

fn find_donor<'p>(
    pools: &'p [PoolView],
    needy: &PoolView,
    capacities: &BTreeMap<&str, u64>,
    taken: &[HostId],
) -> Option<(&'p PoolView, &'p PoolHost)> {
    let in_need = capacities[needy.name.as_str()] * 100 < needy.demand_millis * NEED_PERCENT;
    let percent = if in_need {
        SPARE_PERCENT_AMID_NEED
    } else {
        SPARE_PERCENT
    };
    let spare = |pool: &&PoolView| {
        let keep = pool.demand_millis * percent / 100;
        pool.name != needy.name && (pool.standby || capacities[pool.name.as_str()] > keep)
    };
    let hosts = pools.iter().filter(spare).flat_map(|pool| {
        let keep = pool.demand_millis * percent / 100;
        let capacity = capacities[pool.name.as_str()];
        let free = move |host: &&PoolHost| {
            let fits = pool.standby || capacity >= keep + host.capacity_millis;
            !host.pinned && host.available && host.leaving_to.is_none() && fits
        };
        pool.hosts.iter().filter(free).map(move |host| (pool, host))
    });
    hosts
        .filter(|(_, host)| !taken.contains(&host.host))
        .min_by_key(|(pool, host)| (!pool.standby, host.used_millis, host.host.clone()))
}

/// Switches hosts off that no pool has needed for a while.
fn switch_off<'p>(
    pools: &'p [PoolView],
    capacities: &mut BTreeMap<&'p str, u64>,
    taken: &[HostId],
    reserve_millis: u64,
) -> Vec<HostMove> {
    let on = pools.iter().filter(|pool| !pool.standby);
    let mut spare: u64 = on
        .map(|pool| capacities[pool.name.as_str()].saturating_sub(wanted(pool)))
        .sum();
    let Some(standby) = pools.iter().find(|pool| pool.standby) else {
        return Vec::new();
    };
    let mut moves = Vec::new();
    for pool in pools.iter().filter(|pool| !pool.standby) {
        if pool.spare_ms < SWITCH_OFF_MS {
            continue;
        }
        for host in &pool.hosts {
            let keep = pool.demand_millis * SPARE_PERCENT / 100;
            let capacity = capacities[pool.name.as_str()];
            let idle = !host.pinned && host.available && host.used_millis == 0;
            let free = idle && host.leaving_to.is_none() && !taken.contains(&host.host);
            let needed = spare < reserve_millis + host.capacity_millis;
            if !free || needed || capacity < keep + host.capacity_millis {
                continue;
            }
            spare -= host.capacity_millis;
            *capacities.entry(&pool.name).or_default() -= host.capacity_millis;
            moves.push(HostMove {
                host: host.host.clone(),
                to: standby.name.clone(),
            });
        }
    }
    moves
}
