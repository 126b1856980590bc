//! Compares the hosts that the capacity plan moves with those found by a search over all hosts for
//! each move.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use zincpier::id::HostId;
use zincpier::workflow::choose_moves;
use zincpier::workflow::HostMove;
use zincpier::workflow::PoolHost;
use zincpier::workflow::PoolView;

const HOST_MILLIS: u64 = 64_000;

/// Returns pools of different demands, one of them of hosts that are switched off. Some hosts can't be
/// moved, and some are refused for a pool.
fn pools(random: &mut SmallRng) -> Vec<PoolView> {
    let mut number = 0;
    let count = random.random_range(2..6);
    let names: Vec<_> = (0..count).map(|pool| format!("pool-{pool}")).collect();
    let pool = |(position, name): (usize, &String)| {
        let hosts = random.random_range(0..30);
        let host = |_| {
            number += random.random_range(1..3);
            PoolHost {
                host: format!("m-{}", number * 7 % 1_009).parse().unwrap(),
                capacity_millis: HOST_MILLIS * random.random_range(1..3),
                used_millis: 1_000 * random.random_range(0..4),
                pinned: random.random_bool(0.2),
                available: random.random_bool(0.9),
                leaving_to: random
                    .random_bool(0.1)
                    .then(|| names[random.random_range(0..count)].clone()),
                refused_pools: match random.random_bool(0.1) {
                    true => vec![names[random.random_range(0..count)].clone()],
                    false => Vec::new(),
                },
            }
        };
        let hosts: Vec<_> = (0..hosts).map(host).collect();
        PoolView {
            name: name.clone(),
            standby: position == 0,
            demand_millis: random.random_range(0..3) * random.random_range(0..HOST_MILLIS * 20),
            spare_ms: 0,
            hosts,
        }
    };
    names.iter().enumerate().map(pool).collect()
}

/// Chooses the moves to pools in short supply, each by a search over all hosts.
fn searched_moves(pools: &[PoolView]) -> Vec<HostMove> {
    let target = |pool: &PoolView| pool.demand_millis * 112 / 100;
    let all = || pools.iter().flat_map(|pool| &pool.hosts);
    let mut capacities: BTreeMap<&str, u64> = BTreeMap::new();
    for pool in pools {
        let own = pool.hosts.iter();
        let staying = own.filter(|host| host.available && host.leaving_to.is_none());
        let arriving = all().filter(|host| host.leaving_to.as_ref() == Some(&pool.name));
        let capacity = staying
            .chain(arriving)
            .map(|host| host.capacity_millis)
            .sum();
        capacities.insert(&pool.name, capacity);
    }
    let mut short: Vec<_> = pools
        .iter()
        .filter(|pool| !pool.standby && capacities[pool.name.as_str()] < target(pool))
        .collect();
    short.sort_by_key(|pool| std::cmp::Reverse(target(pool) - capacities[pool.name.as_str()]));
    let mut taken: BTreeSet<&HostId> = BTreeSet::new();
    let mut moves = Vec::new();
    for receiver in short {
        while capacities[receiver.name.as_str()] < target(receiver) {
            let is_short = capacities[receiver.name.as_str()] * 100 < receiver.demand_millis * 80;
            let percent = if is_short { 106 } else { 130 };
            let mut found: Option<(&PoolView, &PoolHost)> = None;
            for donor in pools.iter().filter(|pool| pool.name != receiver.name) {
                let retained = donor.demand_millis * percent / 100;
                let capacity = capacities[donor.name.as_str()];
                for host in &donor.hosts {
                    let fits = donor.standby
                        || (capacity > retained && capacity >= retained + host.capacity_millis);
                    let is_free = !host.pinned
                        && host.available
                        && host.leaving_to.is_none()
                        && !host.refused_pools.contains(&receiver.name)
                        && !taken.contains(&host.host);
                    let rank = |(pool, host): (&PoolView, &PoolHost)| {
                        (!pool.standby, host.used_millis, host.host.clone())
                    };
                    let is_better = found.is_none_or(|best| rank((donor, host)) < rank(best));
                    if fits && is_free && is_better {
                        found = Some((donor, host));
                    }
                }
            }
            let Some((donor, host)) = found else {
                break;
            };
            *capacities.get_mut(donor.name.as_str()).unwrap() -= host.capacity_millis;
            *capacities.get_mut(receiver.name.as_str()).unwrap() += host.capacity_millis;
            taken.insert(&host.host);
            moves.push(HostMove {
                host: host.host.clone(),
                to: receiver.name.clone(),
            });
        }
    }
    moves
}

#[test]
fn hosts_are_those_that_a_search_for_each_move_finds() {
    let mut moved = 0;
    for seed in 0..2_000 {
        let pools = pools(&mut SmallRng::seed_from_u64(seed));
        let leaving: BTreeSet<_> = pools
            .iter()
            .flat_map(|pool| &pool.hosts)
            .filter(|host| host.leaving_to.is_some())
            .map(|host| &host.host)
            .collect();

        let moves = choose_moves(&pools, u64::MAX / 2);

        let is_new = |host_move: &HostMove| !leaving.contains(&host_move.host);
        let new: Vec<_> = moves.into_iter().filter(is_new).collect();
        assert_eq!(new, searched_moves(&pools), "seed {seed}");
        moved += new.len();
    }
    assert!(moved > 2_000, "{moved} moves");
}
