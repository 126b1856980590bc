//! Replays of urgent and ordinary queues in a pool that one organisation fills. Guards against urgent
//! work that starves, and against queue priorities that take what shares give.

#![expect(dead_code, reason = "other replays use the rest of the fixtures")]

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

/// One large organisation, the first, with half of the weight, and 19 small ones.
const ORGANISATIONS: usize = 20;
const LARGE_WEIGHT: f64 = 19.0;

/// All weights are so high that no job is over the rate of its organisation.
const WEIGHT_FACTOR: f64 = 1_000.0;

/// Jobs per second of the large organisation and of each small one on each queue, without a burst.
/// Together they are 27 jobs of 2 core seconds each second, in a pool of 96 cores.
const LARGE_JOBS_PER_S: f64 = 7.0;
const SMALL_JOBS_PER_S: f64 = 0.35;

/// The weight of a small organisation that stays within its share of 9 cores.
const QUIET_WEIGHT: f64 = 4.0;

/// The time in which the pool's capacity, and one job of 6 cores more than the share of each
/// organisation, becomes free: 96 and 114 cores at the longest duration of a task.
const TURNOVER_MS: u64 = 650 * (96 + 114) / 96;

const URGENT: &str = OTHER_QUEUE;
const ORDINARY: &str = QUEUE;

/// The priorities of the ordinary and of the urgent queue.
const PRIORITIES: [u32; 2] = [2, 0];

const BURST: f64 = 30.0;
const BURST_MS: (u64, u64) = (4_000, 10_000);
const LENGTH_MS: u64 = 14_000;

fn organisations() -> Vec<Organisation> {
    let weight = |number| if number == 0 { LARGE_WEIGHT } else { 1.0 };
    (0..ORGANISATIONS)
        .map(|number| organisation(&name(number), weight(number) * WEIGHT_FACTOR))
        .collect()
}

/// Returns the loads of both queues; `bursts` are those of the large organisation.
fn loads(urgent_burst: f64, ordinary_burst: f64) -> Vec<Load> {
    let mut loads = even_loads(ORGANISATIONS, SMALL_JOBS_PER_S);
    loads[0].jobs_per_s = LARGE_JOBS_PER_S;
    let mut urgent = loads.clone();
    urgent.iter_mut().for_each(|load| load.queue = URGENT);
    urgent[0].burst = urgent_burst;
    loads[0].burst = ordinary_burst;
    loads.extend(urgent);
    loads
}

fn play(organisations: Option<Vec<Organisation>>, loads: &[Load], seed: u64) -> ShareReplay {
    let replay = ShareReplay::with_priorities(organisations, PRIORITIES, seed);
    replay.play(loads, BURST_MS, LENGTH_MS)
}

fn is_of(large: bool, queue: &'static str) -> impl Fn(&ReplayedJob) -> bool {
    move |job| (job.organisation == name(0)) == large && job.queue == queue
}

/// Returns the shares of jobs on time, of those that arrive in the burst, as the mean of two seeds: the
/// small organisations' urgent and ordinary jobs, then the large one's.
fn on_time(with_organisations: bool, loads: &[Load]) -> [f64; 4] {
    let mut shares = [0.0; 4];
    for seed in [1, 2] {
        let replay = play(with_organisations.then(organisations), loads, seed);
        let kinds = [
            (false, URGENT),
            (false, ORDINARY),
            (true, URGENT),
            (true, ORDINARY),
        ];
        for (share, (large, queue)) in shares.iter_mut().zip(kinds) {
            *share += replay.on_time(BURST_MS, is_of(large, queue)) / 2.0;
        }
    }
    println!("with organisations {with_organisations}: small urgent, ordinary, large urgent, ordinary {shares:.3?}");
    shares
}

/// Returns the longest wait for a first start, in ms, among the jobs that `select` takes; `None` if one
/// was never started.
fn longest_wait_ms(replay: &ShareReplay, select: impl Fn(&ReplayedJob) -> bool) -> Option<u64> {
    let jobs = replay.jobs.iter().filter(|job| select(job));
    let waits = jobs.map(|job| Some(job.started_ms? - job.arrived_ms));
    let waits: Option<Vec<_>> = waits.collect();
    waits?.into_iter().max()
}

/// Guards against urgent jobs of small organisations that wait behind those of a large one, whatever
/// the priority of what it sends, and against their ordinary jobs that wait behind its urgent ones.
#[test]
fn burst_of_a_large_organisation_does_not_starve_urgent_work_of_small_ones() {
    for (urgent_burst, ordinary_burst) in [(BURST, 1.0), (1.0, BURST), (BURST, BURST)] {
        let loads = loads(urgent_burst, ordinary_burst);

        let before = on_time(false, &loads);
        let after = on_time(true, &loads);

        let figures = format!("{urgent_burst} {ordinary_burst}: {before:?}, {after:?}");
        assert!(after[0] >= 0.85 && after[0] >= before[0] + 0.2, "{figures}");
        assert!(after[1] >= 0.65 && after[1] >= before[1] + 0.2, "{figures}");
        assert!(after[0] >= after[1], "{figures}");
    }
}

/// Guards against a job within its organisation's share that waits for as long as another organisation
/// sends jobs of a more urgent queue.
#[test]
fn ordinary_job_within_its_share_is_passed_over_for_one_turnover_at_most() {
    let mut organisations = organisations();
    organisations[1] = organisation(&name(1), QUIET_WEIGHT * WEIGHT_FACTOR);

    let replay = play(Some(organisations), &loads(BURST, 1.0), 1);

    for queue in [URGENT, ORDINARY] {
        let is_quiet = |job: &ReplayedJob| job.organisation == name(1) && job.queue == queue;
        let longest_ms = longest_wait_ms(&replay, is_quiet);
        println!("longest wait in {queue}: {longest_ms:?} ms");
        assert!(
            longest_ms.is_some_and(|longest_ms| longest_ms <= TURNOVER_MS),
            "{queue} {longest_ms:?}"
        );
    }
}

/// Guards against an organisation whose urgent jobs wait behind a burst of its own ordinary ones.
#[test]
fn burst_of_ordinary_work_does_not_delay_urgent_work_of_the_same_organisation() {
    let mut loads = loads(1.0, 1.0);
    loads[1].burst = 4.0 * BURST;

    let replay = play(Some(organisations()), &loads, 1);

    let own = |queue| {
        replay.on_time(BURST_MS, |job: &ReplayedJob| {
            job.organisation == name(1) && job.queue == queue
        })
    };
    let (urgent, ordinary) = (own(URGENT), own(ORDINARY));
    println!("own urgent {urgent:.3}, own ordinary {ordinary:.3}");
    assert!(urgent >= 0.95 && ordinary <= 0.5, "{urgent}, {ordinary}");
    let others = replay.on_time(BURST_MS, |job| {
        job.organisation != name(1) && job.queue == URGENT
    });
    assert!(others >= 0.95, "{others}");
}
