//! Benchmarks the choice of hosts to move at the start of a demand peak, by the number of hosts. Run with
//! `cargo bench --bench host_plan`.

use std::time::Instant;

use zincpier::workflow::choose_moves;
use zincpier::workflow::PoolHost;
use zincpier::workflow::PoolView;

/// Numbers of hosts, in five pools of the same size.
const HOST_COUNTS: [usize; 3] = [350, 1_100, 3_000];

const POOLS: usize = 5;
const HOST_MILLIS: u64 = 64_000;
const PASSES: usize = 40;

fn main() {
    for count in HOST_COUNTS {
        let pools = pools(count);
        let mut times = Vec::with_capacity(PASSES);
        let mut moves = 0;
        for _ in 0..PASSES {
            let started = Instant::now();
            moves = choose_moves(&pools, u64::MAX / 2).len();
            times.push(started.elapsed());
        }
        times.sort();
        println!(
            "hosts={count} moves={moves} median_us={} fastest_us={}",
            times[PASSES / 2].as_micros(),
            times[0].as_micros()
        );
    }
}

/// Returns pools of `count` hosts, the first of which needs twice its capacity and the last of which is
/// switched off.
fn pools(count: usize) -> Vec<PoolView> {
    let size = count / POOLS;
    let host = |pool: usize, number: usize| PoolHost {
        host: format!("m-{pool}-{number}").parse().expect("a valid name"),
        capacity_millis: HOST_MILLIS,
        used_millis: (number * 7_919 % 40) as u64 * 1_000,
        pinned: number % 10 == 0,
        available: true,
        leaving_to: None,
        refused_pools: Vec::new(),
    };
    let demand_millis = |pool: usize| match pool {
        0 => 2 * size as u64 * HOST_MILLIS,
        _ => size as u64 * HOST_MILLIS / 4,
    };
    let pool = |pool: usize| PoolView {
        name: format!("pool-{pool}"),
        standby: pool == POOLS - 1,
        demand_millis: demand_millis(pool),
        spare_ms: 0,
        hosts: (0..size).map(|number| host(pool, number)).collect(),
    };
    (0..POOLS).map(pool).collect()
}
