//! Replays of jobs on workers that are slow, unreachable, hanging or failing, and of healthy ones.

#[path = "common/workflow.rs"]
mod fixtures;
#[path = "common/worker_replay.rs"]
mod worker_replay;

use fixtures::config;
use fixtures::step;
use fixtures::task;
use fixtures::worker_entry;
use fixtures::EngineFleet;
use fixtures::JOB;
use fixtures::QUEUE;
use worker_replay::generate_jobs;
use worker_replay::next_random;
use worker_replay::FaultPeriod;
use worker_replay::ReplayCounts;
use worker_replay::ReplayJob;
use worker_replay::WorkerFault;
use worker_replay::WorkerReplay;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::SlowdownFactor;
use zincpier::workflow::WorkerPace;

const SEED: u64 = 0x2545_f491_4f6c_dd1d;
/// The workers of the pool.
const WORKERS: usize = 60;
/// The time in which jobs arrive.
const LENGTH_MS: u64 = 20_000;
/// The time after which all jobs must have ended.
const END_MS: u64 = 40_000;
/// The time in which the faults last.
const FAULT_FROM_MS: u64 = 2_000;
const FAULT_UNTIL_MS: u64 = 14_000;
/// Jobs a second that use about four fifths of the 33 workers without a fault.
const PEAK_RATE: u64 = 55;

/// Returns a configuration with a queue for short tasks and one for long ones.
fn two_queues() -> FleetConfig {
    let mut config = config();
    let mut long = config.queues[0].clone();
    long.name = format!("{QUEUE}-long");
    config.queues.push(long);
    config
}

/// Returns the faults of the specified load: a fifth of the workers is six times slower, 4 are
/// flapping and 11 hang.
fn peak_faults(number: usize) -> Vec<FaultPeriod> {
    // Multiplication by 7 spreads the faults over the order of the ids.
    let fault = match number * 7 % WORKERS {
        0..12 => WorkerFault::Slow(6),
        12..16 => WorkerFault::Flapping,
        16..27 => WorkerFault::Hanging,
        _ => return Vec::new(),
    };
    vec![FaultPeriod {
        fault,
        from_ms: FAULT_FROM_MS,
        until_ms: FAULT_UNTIL_MS,
    }]
}

fn no_faults(_: usize) -> Vec<FaultPeriod> {
    Vec::new()
}

fn replay(jobs: Vec<ReplayJob>, faults: fn(usize) -> Vec<FaultPeriod>) -> WorkerReplay {
    let workers = (0..WORKERS).map(|number| (worker_entry(number), faults(number)));
    let mut replay = WorkerReplay::new(SEED, two_queues(), workers.collect(), jobs);
    replay.run(END_MS);
    replay
}

fn peak_jobs(per_second: u64) -> Vec<ReplayJob> {
    generate_jobs(SEED, per_second, LENGTH_MS, QUEUE)
}

/// Generates jobs of which one in fifty fails wherever it runs, with tasks of all kinds that the
/// choice of a worker depends on.
fn varied_jobs(per_second: u64) -> Vec<ReplayJob> {
    let mut jobs = peak_jobs(per_second);
    let mut state = SEED;
    for job in &mut jobs {
        let kind = next_random(&mut state) % 50;
        let step = &mut job.spec.steps[0];
        match kind {
            0 => job.is_faulty = true,
            1..5 => step.data_rack = Some(format!("rack-{kind}")),
            5..9 => step.backfill = true,
            9..13 => step.max_per_worker = 1,
            13..17 => step.gang = true,
            _ => {}
        }
    }
    jobs
}

fn print(name: &str, counts: &ReplayCounts) {
    println!("{name}: {counts:#?}");
}

/// Guards against a choice of workers that changes where no worker is bad. The digests were
/// computed before workers' speeds were learnt.
#[test]
fn healthy_workers_get_the_same_tasks_as_before() {
    let digests = [
        ("steady", replay(peak_jobs(60), no_faults)),
        ("overload", replay(peak_jobs(150), no_faults)),
        ("varied", replay(varied_jobs(80), no_faults)),
    ]
    .map(|(name, replay)| {
        print(name, &replay.counts);
        (name, format!("{:016x}", replay.counts.digest))
    });

    assert_eq!(
        digests,
        [
            ("steady", "03050e2c2025e499".to_owned()),
            ("overload", "bd02aace814bdde4".to_owned()),
            ("varied", "465748f0a8356f93".to_owned()),
        ]
    );
}

/// Guards against jobs that are lost or run twice when a third of a pool is bad at a peak.
#[test]
fn all_jobs_of_a_peak_with_bad_workers_complete_once() {
    for rate in [PEAK_RATE, 2 * PEAK_RATE] {
        let counts = replay(peak_jobs(rate), peak_faults).counts;

        print(&format!("{rate} jobs a second"), &counts);
        assert_eq!((counts.complete, counts.double_runs), (counts.jobs, 0));
    }
}

/// The expected duration of a task of the engine's fixtures.
const TASK_MS: u64 = 500;

/// Lets a worker of `fleet` end tasks that take six times as long as expected.
fn make_slow(fleet: &mut EngineFleet, index: usize) {
    let id = worker_entry(index).id;
    let worker = fleet.engine.workers.get_mut(&id).unwrap();
    for _ in 0..20 {
        let pace = &mut worker.health.pace;
        pace.record_end(6 * TASK_MS, TASK_MS, fleet.now_ms);
    }
}

fn tasks_on(fleet: &EngineFleet, index: usize) -> usize {
    fleet.engine.workers[&worker_entry(index).id].tasks.len()
}

/// Guards against a choice by free cores alone, which fills slow workers first as soon as they are
/// partly used.
#[test]
fn a_task_goes_to_the_worker_on_which_it_ends_sooner() {
    let mut fleet = EngineFleet::new(2);
    make_slow(&mut fleet, 0);
    fleet.submit(JOB, vec![step(1)]);

    fleet.start_all();

    assert_eq!(fleet.worker_of(&task(JOB, 0)), worker_entry(1).id);
}

/// Guards against slow workers that are used too soon, for tasks that would end earlier by waiting,
/// and against ones that stay idle under a backlog.
#[test]
fn a_slow_worker_is_used_only_if_waiting_takes_longer() {
    // Arrange: each job needs one worker for 500 ms, and takes 3 s on the slow one.
    let short_backlog = [4, 7].map(|jobs| {
        let mut fleet = EngineFleet::new(2);
        make_slow(&mut fleet, 0);
        for number in 0..jobs {
            fleet.submit(&format!("{number:016x}"), vec![step(8)]);
        }

        // Act.
        fleet.start_all();

        (tasks_on(&fleet, 0), tasks_on(&fleet, 1))
    });

    // Assert: a seventh job would start after 3 s and end after 3.5 s on the other worker.
    assert_eq!(short_backlog, [(0, 8), (8, 8)]);
}

/// Guards against slow workers that get no task any more, so that their recovery is not noticed, and
/// against ones that are filled to find out.
#[test]
fn a_slow_worker_is_tried_with_one_task_after_some_time() {
    let mut fleet = EngineFleet::new(2);
    make_slow(&mut fleet, 0);
    fleet.submit(JOB, vec![step(16)]);

    fleet.start_all();
    let at_once = tasks_on(&fleet, 0);
    // The first delay is 4 s and doubles twice.
    fleet.advance(16_000);
    fleet.report_all();
    fleet.place();

    assert_eq!((at_once, tasks_on(&fleet, 0)), (0, 1));
}

/// Guards against a worker that counts as slow for a single long task, and against one that does not
/// recover.
#[test]
fn a_pace_follows_several_tasks() {
    let mut pace = WorkerPace::new();
    pace.record_end(10 * TASK_MS, TASK_MS, 0);
    let after_one = pace.slowdown();
    for _ in 0..10 {
        pace.record_end(6 * TASK_MS, TASK_MS, 0);
    }
    let after_ten = pace.slowdown().per_mille();
    pace.record_end(TASK_MS, TASK_MS, 0);
    pace.record_end(TASK_MS, TASK_MS, 0);

    assert_eq!(after_one, SlowdownFactor::NONE);
    assert!((5_000..7_000).contains(&after_ten), "{after_ten}");
    assert_eq!(pace.slowdown(), SlowdownFactor::NONE);
}

/// Guards against factors that stop a placement pass by a division by zero.
#[test]
fn a_factor_is_at_least_one() {
    let factors = [f64::NAN, -1.0, 0.0, f64::INFINITY].map(SlowdownFactor::new);

    assert_eq!(
        factors.map(SlowdownFactor::per_mille),
        [1_000, 1_000, 1_000, 20_000]
    );
    assert_eq!("2.5".parse::<SlowdownFactor>().unwrap().to_string(), "2.50");
}
