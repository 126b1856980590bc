//! Replays of organisations that send many times their usual load. Guards against an organisation
//! that delays the jobs of others.

#[path = "common/share_replay.rs"]
mod replays;

#[path = "common/workflow.rs"]
mod fixtures;

use fixtures::organisation;
use fixtures::QUEUE;
use replays::even_loads;
use replays::name;
use replays::Load;
use replays::ReplayedJob;
use replays::ShareReplay;
use replays::OTHER_QUEUE;
use zincpier::workflow::Organisation;

const ORGANISATIONS: usize = 20;

/// Jobs per second of each organisation: together 60% of what the pool can do.
const JOBS_PER_S: f64 = 1.4;

const BURST_MS: (u64, u64) = (4_000, 10_000);

const LENGTH_MS: u64 = 14_000;

/// The time in which the pool's capacity, and one job of 6 cores more than the share of each
/// organisation, becomes free: 96 and 114 cores at the longest duration of a task.
const TURNOVER_MS: u64 = 650 * (96 + 114) / 96;

/// Lower bound of the share of the jobs on time of an organisation within its share.
const MIN_ON_TIME: f64 = 0.97;

/// The factor of all weights. Shares depend only on ratios of weights, and no job is over the rate of
/// its organisation, which `tests/rate_limits.rs` covers.
const WEIGHT_FACTOR: f64 = 1_000.0;

fn weighted_organisation(number: usize, weight: f64) -> Organisation {
    organisation(&name(number), weight * WEIGHT_FACTOR)
}

fn equal_organisations() -> Vec<Organisation> {
    let numbers = 0..ORGANISATIONS;
    numbers
        .map(|number| weighted_organisation(number, JOBS_PER_S))
        .collect()
}

/// Returns the shares of the jobs on time that `select` takes, of those that arrive in the burst:
/// without organisations and with them.
fn compare(
    loads: &[Load],
    organisations: &[Organisation],
    select: impl Fn(&ReplayedJob) -> bool,
) -> (f64, f64) {
    let (mut before, mut after) = (0.0, 0.0);
    let seeds = 1..=2;
    let count = seeds.clone().count() as f64;
    for seed in seeds {
        let replay = |organisations| {
            let replay = ShareReplay::new(organisations, seed).play(loads, BURST_MS, LENGTH_MS);
            replay.on_time(BURST_MS, &select)
        };
        before += replay(None) / count;
        after += replay(Some(organisations.to_vec())) / count;
    }
    println!("on time: {before:.3} without organisations, {after:.3} with them");
    (before, after)
}

/// Guards against jobs of others that are late because one organisation sends 5 or 30 times its load.
#[test]
fn burst_of_one_organisation_delays_only_its_own_jobs() {
    for (burst, least_before) in [(5.0, 0.9), (30.0, 0.0)] {
        let mut loads = even_loads(ORGANISATIONS, JOBS_PER_S);
        loads[0].burst = burst;

        let (before, after) = compare(&loads, &equal_organisations(), |job| {
            job.organisation != name(0)
        });

        assert!(before >= least_before, "{burst}: {before}");
        assert!(after >= MIN_ON_TIME, "{burst}: {before}, then {after}");
    }
}

/// Guards against quiet organisations that are late while most others burst together.
#[test]
fn burst_of_twelve_organisations_leaves_the_others_their_share() {
    let mut loads = even_loads(ORGANISATIONS, JOBS_PER_S);
    loads[..12].iter_mut().for_each(|load| load.burst = 5.0);

    let (before, after) = compare(&loads, &equal_organisations(), |job| {
        job.organisation >= name(12)
    });

    // Jobs that exceed the share of their own organisation for a moment still wait.
    assert!(after >= 0.85 && after >= before + 0.3, "{before}, {after}");
}

/// Guards against one organisation's burst that decides who is late in a burst of a whole queue.
#[test]
fn burst_of_a_queue_at_the_same_time_is_shared() {
    let mut loads = even_loads(ORGANISATIONS, JOBS_PER_S / 2.0);
    let mut other_queue = loads.clone();
    for load in &mut other_queue {
        load.queue = OTHER_QUEUE;
        load.burst = 2.5;
    }
    loads[0].burst = 30.0;
    loads.extend(other_queue);

    let (before, after) = compare(&loads, &equal_organisations(), |job| {
        job.organisation != name(0) && job.queue == QUEUE
    });

    // Each organisation asks for a little more than its share.
    assert!(after >= before + 0.15, "{before}, {after}");
}

/// Guards against small organisations that starve beside a large one, and the reverse.
#[test]
fn small_organisations_and_a_large_one_keep_their_shares() {
    let weight = |number| if number == 0 { 19.0 } else { 1.0 };
    let organisations: Vec<_> = (0..ORGANISATIONS)
        .map(|number| weighted_organisation(number, weight(number)))
        .collect();
    let mut large_burst = even_loads(ORGANISATIONS, JOBS_PER_S / 2.0);
    large_burst[0].jobs_per_s = 14.0;
    let mut small_burst = large_burst.clone();
    large_burst[0].burst = 5.0;
    small_burst[1..]
        .iter_mut()
        .for_each(|load| load.burst = 5.0);

    let (_, large) = compare(&small_burst, &organisations, |job| {
        job.organisation == name(0)
    });
    let (before, small) = compare(&large_burst, &organisations, |job| {
        job.organisation != name(0)
    });

    assert!(large >= MIN_ON_TIME, "the large one: {large}");
    assert!(small >= 0.85 && small >= before + 0.3, "{before}, {small}");
}

/// Guards against an organisation within its share that waits for as long as others ask for more.
#[test]
fn job_within_its_share_waits_for_one_turnover_of_the_pool_at_most() {
    let mut organisations = equal_organisations();
    organisations[0] = weighted_organisation(0, 4.0 * JOBS_PER_S);
    let mut loads = even_loads(ORGANISATIONS, 5.0 * JOBS_PER_S);
    loads[0].jobs_per_s = 1.0;

    let replay = ShareReplay::new(Some(organisations), 1).play(&loads, (0, 0), LENGTH_MS);

    let jobs = replay.jobs.iter().filter(|job| job.organisation == name(0));
    let waits = jobs.map(|job| job.started_ms.map(|start_ms| start_ms - job.arrived_ms));
    let longest_ms = waits.max_by_key(|wait| wait.unwrap_or(u64::MAX)).unwrap();
    assert!(
        longest_ms.is_some_and(|longest_ms| longest_ms <= TURNOVER_MS),
        "{longest_ms:?}"
    );
}

/// Guards against a configuration with organisations that changes what a single one gets.
#[test]
fn single_organisation_is_placed_as_without_organisations() {
    let loads = even_loads(1, 80.0);
    let play = |organisations| {
        let replay = ShareReplay::new(organisations, 1).play(&loads, (0, 0), 4_000);
        replay.starts
    };
    let single = vec![weighted_organisation(0, 3.0)];

    let without = play(None);

    assert!(without.len() > 500, "{}", without.len());
    assert!(play(Some(single)) == without);
    assert!(play(Some(equal_organisations())) == without);
}
