//! Chooses the hosts to move between pools, from each pool's demand and capacity.
//!
//! Demand peaks alternate: one queue at a time needs several times its pool's capacity while
//! the others are nearly idle. Hosts without long-running tasks are moved to the pool at its
//! peak. They come from the standby pool first, whose hosts are switched off, then from pools
//! with spare capacity.

use std::collections::BTreeMap;
use std::collections::HashSet;

use crate::id::HostId;

/// Capacity to provide for a pool, in percent of its demand. The headroom is needed because
/// tasks do not fill hosts exactly.
const TARGET_CAPACITY_PERCENT: u64 = 112;

/// Capacity that a pool retains when it gives up a host, in percent of its demand.
const DONOR_RETAINED_PERCENT: u64 = 130;

/// Like [`DONOR_RETAINED_PERCENT`], but while the receiving pool is in shortage.
const DONOR_RETAINED_SHORTAGE_PERCENT: u64 = 106;

/// Capacity below which a pool is in shortage, in percent of its demand.
const SHORTAGE_PERCENT: u64 = 80;

/// Time for which a pool must have had spare capacity before one of its hosts is switched off.
/// Moving a host to the standby pool and back costs about as much as running it for this long.
const SWITCH_OFF_DELAY_MS: u64 = 2_500;

/// A host as input to the capacity plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolHost {
    /// As listed by the platform.
    pub host: HostId,
    /// Total CPU capacity, in millicores.
    pub capacity_millis: u64,
    /// CPU used by its tasks, in millicores.
    pub used_millis: u64,
    /// Cannot be moved now: runs long-running tasks, is down or is due for upkeep.
    pub pinned: bool,
    /// Up, or about to be, so that its capacity counts.
    pub available: bool,
    /// Target pool while the host is drained for a move, otherwise `None`.
    pub leaving_to: Option<String>,
    /// Pools to which the platform has refused to move it for good.
    pub refused_pools: Vec<String>,
}

/// A pool as input to the capacity plan.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolView {
    /// The service that the pool belongs to.
    pub name: String,
    /// Hosts of this pool are switched off.
    pub standby: bool,
    /// CPU that its tasks will need by the time a host moved now could serve them, in millicores.
    pub demand_millis: u64,
    /// Time for which the pool has had spare capacity, in ms.
    pub spare_ms: u64,
    /// Includes hosts that are about to leave the pool.
    pub hosts: Vec<PoolHost>,
}

impl PoolView {
    /// Returns whether the pool's capacity, without hosts about to leave, is below its demand;
    /// false for a standby pool.
    pub fn lacks_capacity(&self) -> bool {
        !self.standby && self.capacity() < self.demand_millis
    }

    fn capacity(&self) -> u64 {
        let counted = self.hosts.iter().filter(|host| host.available);
        let staying = counted.filter(|host| host.leaving_to.is_none());
        staying.map(|host| host.capacity_millis).sum()
    }
}

/// A planned move of a host to another pool.
#[derive(Clone, Debug, PartialEq)]
pub struct HostMove {
    /// The host to move.
    pub host: HostId,
    /// Name of the target pool.
    pub to: String,
}

/// Chooses the hosts to move, for the pools with the largest shortage first.
///
/// The result includes the moves under way, except those to a pool whose demand has dropped to 0.
/// A host is switched off only if at least `reserve_millis` millicores of capacity beyond the
/// pools' targets remain without it.
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
    let mut moves: Vec<HostMove> = retain_moves(pools);
    let mut short_pools: Vec<_> = pools
        .iter()
        .filter(|pool| !pool.standby)
        .filter(|pool| capacities[pool.name.as_str()] < target_millis(pool))
        .collect();
    short_pools.sort_by_key(|pool| {
        std::cmp::Reverse(target_millis(pool) - capacities[pool.name.as_str()])
    });
    let mut taken: HashSet<HostId> = moves
        .iter()
        .map(|host_move| host_move.host.clone())
        .collect();
    let donors = match short_pools.is_empty() {
        true => Vec::new(),
        false => sorted_donors(pools),
    };
    for pool in short_pools {
        // Until the pool has its capacity, a host that can't be taken now can't be taken later either,
        // so one look at each host serves for all moves to the pool.
        let mut left = donors.iter();
        while capacities[pool.name.as_str()] < target_millis(pool) {
            let donor = left.find(|(donor, host)| {
                !taken.contains(&host.host) && may_give(donor, host, pool, &capacities)
            });
            let Some((donor, host)) = donor else {
                break;
            };
            *capacities.entry(&donor.name).or_default() -= host.capacity_millis;
            *capacities.entry(&pool.name).or_default() += host.capacity_millis;
            taken.insert(host.host.clone());
            moves.push(HostMove {
                host: host.host.clone(),
                to: pool.name.clone(),
            });
        }
    }
    moves.extend(choose_switch_offs(
        pools,
        &mut capacities,
        &taken,
        reserve_millis,
    ));
    moves
}

fn target_millis(pool: &PoolView) -> u64 {
    pool.demand_millis * TARGET_CAPACITY_PERCENT / 100
}

/// Returns the moves under way whose target pool still has demand or is the standby pool.
fn retain_moves(pools: &[PoolView]) -> Vec<HostMove> {
    let hosts = pools.iter().flat_map(|pool| &pool.hosts);
    let leaving = hosts.filter_map(|host| Some((host, host.leaving_to.clone()?)));
    let needed = leaving.filter(|(_, to)| {
        let target = pools.iter().find(|pool| pool.name == *to);
        target.is_some_and(|pool| pool.standby || pool.demand_millis > 0)
    });
    let host_moves = needed.map(|(host, to)| HostMove {
        host: host.host.clone(),
        to,
    });
    host_moves.collect()
}

/// Returns the hosts that may be moved, each with its pool, in the order in which they are taken: those
/// of the standby pool first, then those with the least CPU in use.
fn sorted_donors(pools: &[PoolView]) -> Vec<(&PoolView, &PoolHost)> {
    let hosts = pools
        .iter()
        .flat_map(|pool| pool.hosts.iter().map(move |host| (pool, host)));
    let is_free = |host: &PoolHost| !host.pinned && host.available && host.leaving_to.is_none();
    let mut donors: Vec<_> = hosts.filter(|(_, host)| is_free(host)).collect();
    donors.sort_by_key(|(pool, host)| (!pool.standby, host.used_millis, &host.host));
    donors
}

/// Returns whether a pool can spare a host for `receiver`.
fn may_give(
    donor: &PoolView,
    host: &PoolHost,
    receiver: &PoolView,
    capacities: &BTreeMap<&str, u64>,
) -> bool {
    let in_shortage =
        capacities[receiver.name.as_str()] * 100 < receiver.demand_millis * SHORTAGE_PERCENT;
    let percent = if in_shortage {
        DONOR_RETAINED_SHORTAGE_PERCENT
    } else {
        DONOR_RETAINED_PERCENT
    };
    if donor.name == receiver.name || host.refused_pools.contains(&receiver.name) {
        return false;
    }
    let retained_millis = donor.demand_millis * percent / 100;
    let capacity = capacities[donor.name.as_str()];
    let has_spare =
        capacity > retained_millis && capacity >= retained_millis + host.capacity_millis;
    donor.standby || has_spare
}

/// Chooses hosts to switch off: idle ones in pools that have had spare capacity for
/// [`SWITCH_OFF_DELAY_MS`].
fn choose_switch_offs<'p>(
    pools: &'p [PoolView],
    capacities: &mut BTreeMap<&'p str, u64>,
    taken: &HashSet<HostId>,
    reserve_millis: u64,
) -> Vec<HostMove> {
    let active_pools = pools.iter().filter(|pool| !pool.standby);
    let mut spare: u64 = active_pools
        .map(|pool| capacities[pool.name.as_str()].saturating_sub(target_millis(pool)))
        .sum();
    let Some(standby) = pools.iter().find(|pool| pool.standby) else {
        return Vec::new();
    };
    let mut moves = Vec::new();
    for pool in pools.iter().filter(|pool| !pool.standby) {
        if pool.spare_ms < SWITCH_OFF_DELAY_MS {
            continue;
        }
        for host in &pool.hosts {
            let retained_millis = pool.demand_millis * DONOR_RETAINED_PERCENT / 100;
            let capacity = capacities[pool.name.as_str()];
            let idle = !host.pinned && host.available && host.used_millis == 0;
            let allowed = !host.refused_pools.contains(&standby.name);
            let staying = host.leaving_to.is_none() && !taken.contains(&host.host);
            let free = idle && allowed && staying;
            let needed = spare < reserve_millis + host.capacity_millis;
            if !free || needed || capacity < retained_millis + host.capacity_millis {
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
