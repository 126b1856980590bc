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
use zincpier::id::WorkerId;
use zincpier::workflow::DistrustCause;
use zincpier::workflow::EndKind;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::HealthState;
use zincpier::workflow::SlowdownFactor;
use zincpier::workflow::StepSpec;
use zincpier::workflow::WorkerHealth;
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
/// Jobs a second that use about 0.7 of the 33 workers without a fault: 3.4 core seconds a job.
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
    println!("{name}: {counts:?}");
}

/// Guards against a choice of workers that changes where no worker is bad. The first two digests were
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
            ("varied", "4317c2410fee3422".to_owned()),
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

/// Guards against workers that are distrusted again and again, and still receive work. Before
/// quarantines took earlier failures into account, there were 58 and 61 quarantines, and 429 and 526
/// starts on flapping and hanging workers.
#[test]
fn bad_workers_get_few_tasks_at_a_peak() {
    for rate in [PEAK_RATE, 2 * PEAK_RATE] {
        let counts = replay(peak_jobs(rate), peak_faults).counts;

        let starts = counts.bad_starts["flapping"] + counts.bad_starts["hanging"];
        assert!(starts < 130, "{starts} starts at {rate} jobs a second");
        let distrusts = counts.event("worker_distrusted");
        assert!(distrusts < 55, "{distrusts} at {rate} jobs a second");
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

/// Lets a quarantine pass and returns the length of the next one after a failed probe.
fn relapse(health: &mut WorkerHealth, now_ms: &mut u64) -> Option<u64> {
    *now_ms = health.quarantined_until_ms();
    health.distrust(DistrustCause::Stall, *now_ms)
}

/// Guards against a worker that is distrusted again and again within half a second, and that returns
/// after the same time however often it has failed before.
#[test]
fn quarantines_double_with_each_relapse() {
    let mut now_ms = 1_000_000;
    let mut health = WorkerHealth::new();

    let first_ms = health.distrust(DistrustCause::Stall, now_ms);
    let repeated_ms = health.distrust(DistrustCause::Stall, now_ms + 250);
    let relapses_ms = [(); 3].map(|()| relapse(&mut health, &mut now_ms));

    assert_eq!(first_ms, Some(2_000));
    assert_eq!(repeated_ms, None);
    assert_eq!(relapses_ms, [Some(4_000), Some(8_000), Some(8_000)]);
}

/// Guards against a worker that gets its whole capacity of tasks right after a quarantine, and
/// against one that is never trusted again.
#[test]
fn a_worker_returns_with_one_task_and_is_trusted_after_successes() {
    let mut now_ms = 1_000_000;
    let mut health = WorkerHealth::new();
    health.distrust(DistrustCause::Stall, now_ms);
    let in_quarantine = health.task_limit(now_ms);

    now_ms += 2_000;
    let mut limits = vec![health.task_limit(now_ms)];
    for _ in 0..3 {
        health.record_success(now_ms);
        limits.push(health.task_limit(now_ms));
    }
    let again_ms = health.distrust(DistrustCause::Stall, now_ms + 1_000);
    now_ms += 5_000;
    (0..3).for_each(|_| {
        health.record_success(now_ms);
    });
    let much_later_ms = health.distrust(DistrustCause::Stall, now_ms + 16_000);

    assert_eq!(in_quarantine, Some(0));
    assert_eq!(limits, [Some(1), Some(2), Some(4), None]);
    assert_eq!(again_ms, Some(4_000), "a relapse soon after the trust");
    assert_eq!(much_later_ms, Some(2_000), "the memory of relapses ends");
}

/// Guards against a worker that stays in quarantine although its tasks make progress again.
#[test]
fn a_success_ends_the_quarantine_of_a_stalled_worker() {
    let mut health = WorkerHealth::new();
    health.distrust(DistrustCause::Stall, 1_000_000);

    health.record_success(1_000_500);

    assert_eq!(health.state(1_000_500), HealthState::Probing);
}

/// Guards against a pool that is quarantined as a whole, for instance when what all its workers
/// depend on is at fault.
#[test]
fn at_most_half_of_a_pool_is_quarantined_and_the_worst_stay() {
    let mut fleet = EngineFleet::new(10);
    let worst = worker_entry(9).id;
    let distrust = |fleet: &mut EngineFleet, id: &WorkerId| {
        let now_ms = fleet.now_ms;
        fleet
            .engine
            .distrust_worker(id, DistrustCause::Failures, now_ms);
    };
    distrust(&mut fleet, &worst);
    fleet.advance(2_000);

    distrust(&mut fleet, &worst);
    for index in 0..8 {
        fleet.advance(10);
        distrust(&mut fleet, &worker_entry(index).id);
    }

    let workers = fleet.engine.workers.iter();
    let quarantined: Vec<_> = workers
        .filter(|(_, worker)| worker.health.state(fleet.now_ms) == HealthState::Quarantined)
        .map(|(id, _)| id.clone())
        .collect();
    assert_eq!(quarantined.len(), 5);
    assert!(quarantined.contains(&worst));
}

/// Guards against a pool of one worker that serves nobody during its quarantine.
#[test]
fn the_only_worker_of_a_pool_is_tried_at_once() {
    let mut fleet = EngineFleet::new(1);
    let id = worker_entry(0).id;

    let now_ms = fleet.now_ms;
    fleet
        .engine
        .distrust_worker(&id, DistrustCause::Failures, now_ms);
    fleet.submit(JOB, vec![step(4)]);

    assert_eq!(fleet.start_all(), 1);
}

/// Returns the mean duration that the queue's backlog is computed with, in ms.
fn queue_task_ms(fleet: &mut EngineFleet) -> u64 {
    for number in 0..20 {
        fleet.submit(&format!("{:016x}", 0xb000 + number), vec![step(8)]);
    }
    fleet.place();
    let backlogs = fleet.engine.queue_backlogs(0, fleet.now_ms);
    backlogs[QUEUE].task_ms
}

/// Runs `rounds` jobs of eight tasks on the worker with the label; each task takes `took_ms`.
fn run_tasks(fleet: &mut EngineFleet, rounds: u32, label: &str, took_ms: u64) {
    for number in 0..rounds {
        let spec = StepSpec {
            required_label: Some(label.to_owned()),
            ..step(8)
        };
        let id = format!("{:016x}", fleet.now_ms * 100 + u64::from(number));
        fleet.submit(&id, vec![spec]);
        assert_eq!(fleet.start_all(), 8);
        fleet.report_all();
        fleet.advance(took_ms);
        fleet.engine.release_stalled(fleet.now_ms);
        fleet.end_all(EndKind::Done);
    }
}

/// Guards against tasks on a slow worker that raise the expected duration for all workers: jobs are
/// then deferred or refused that would end in time.
#[test]
fn tasks_on_a_slow_worker_do_not_raise_the_expected_duration() {
    let mut fleet = EngineFleet::new(3);
    run_tasks(&mut fleet, 3, "rack-1", TASK_MS);
    make_slow(&mut fleet, 0);

    run_tasks(&mut fleet, 6, "rack-0", 5 * TASK_MS);

    let task_ms = queue_task_ms(&mut fleet);
    assert!(task_ms < TASK_MS * 3 / 2, "{task_ms} ms");
}

/// Guards against an expected duration that no longer follows a queue whose tasks have become longer
/// everywhere.
#[test]
fn longer_tasks_on_all_workers_raise_the_expected_duration() {
    let mut fleet = EngineFleet::new(2);
    run_tasks(&mut fleet, 2, "rack-0", TASK_MS);
    run_tasks(&mut fleet, 2, "rack-1", TASK_MS);

    for _ in 0..10 {
        run_tasks(&mut fleet, 1, "rack-0", 3 * TASK_MS);
        run_tasks(&mut fleet, 1, "rack-1", 3 * TASK_MS);
    }

    let task_ms = queue_task_ms(&mut fleet);
    assert!(task_ms > 2 * TASK_MS, "{task_ms} ms");
    let workers = fleet.engine.workers.values();
    let slow = workers.filter(|worker| worker.health.pace.is_slow());
    assert_eq!(slow.count(), 0);
}

/// Returns whether a run of about 2 s of work is moved after `age_ms` on a worker that is six times
/// slower, with another worker of `free` cores.
fn is_moved(age_ms: u64, has_checkpoint: bool, free: u32) -> bool {
    // Arrange.
    let mut fleet = EngineFleet::new(2);
    run_tasks(&mut fleet, 2, "rack-1", TASK_MS);
    let long = StepSpec {
        estimate_ms: 5_000,
        checkpointable: true,
        required_label: None,
        ..step(1)
    };
    fleet.submit(JOB, vec![long]);
    fleet.start_all();
    assert_eq!(fleet.worker_of(&task(JOB, 0)), worker_entry(0).id);
    make_slow(&mut fleet, 0);
    let others = StepSpec {
        required_label: Some("rack-1".to_owned()),
        long_running: true,
        ..step(8 - free)
    };
    if free < 8 {
        fleet.submit("00000000000000a2", vec![others]);
        fleet.start_all();
    }
    fleet.report_all();
    if has_checkpoint {
        let name = task(JOB, 0);
        let job = fleet.engine.jobs.get_mut(&name.job).unwrap();
        job.task_mut(&name).unwrap().checkpoint = "7".to_owned();
    }

    // Act.
    fleet.advance(age_ms);
    fleet.engine.release_stalled(fleet.now_ms);

    let stops = fleet.engine.take_stops();
    stops.iter().any(|stop| stop.task == task(JOB, 0))
}

/// Guards against runs that end late on a slow worker although they end sooner elsewhere, and against
/// moves by which they end later: the stop, the restart and the work that is done again take time.
#[test]
fn a_run_moves_from_a_slow_worker_only_if_it_ends_sooner() {
    // About 12.5 s are needed there, 2.1 s elsewhere.
    assert!(is_moved(1_000, true, 1));
    assert!(
        is_moved(1_000, false, 1),
        "a whole run elsewhere is shorter"
    );
    assert!(
        is_moved(9_800, true, 1),
        "less than half a second is left elsewhere"
    );
    assert!(
        !is_moved(9_800, false, 1),
        "a whole run elsewhere is longer"
    );
    assert!(!is_moved(11_000, true, 1), "the restart takes longer");
    assert!(!is_moved(1_000, true, 0), "there is no room elsewhere");
}

/// Guards against a slow worker whose recovery is never noticed, because the run that tries it is
/// moved before it can end.
#[test]
fn a_run_that_tries_a_slow_worker_is_not_moved_at_once() {
    let mut fleet = EngineFleet::new(2);
    run_tasks(&mut fleet, 2, "rack-1", TASK_MS);
    make_slow(&mut fleet, 0);
    // The first delay is 4 s and doubles twice.
    fleet.advance(16_000);
    fleet.submit(JOB, vec![step(9)]);
    fleet.start_all();
    assert_eq!(tasks_on(&fleet, 0), 1);
    fleet.report_all();
    let elsewhere = fleet.placed_names().into_iter();
    let mut elsewhere = elsewhere.filter(|name| fleet.worker_of(name) == worker_entry(1).id);
    let other = elsewhere.next().unwrap();
    fleet.end(&other, EndKind::Done);

    fleet.advance(TASK_MS);
    fleet.engine.release_stalled(fleet.now_ms);

    let stops = fleet.engine.take_stops();
    assert!(stops.iter().all(|stop| stop.worker != worker_entry(0).id));
}

fn lasting(fault: WorkerFault) -> Vec<FaultPeriod> {
    vec![FaultPeriod {
        fault,
        from_ms: FAULT_FROM_MS,
        until_ms: FAULT_UNTIL_MS,
    }]
}

/// Guards against workers that answer well but fail their work, whether always or, for the callers of
/// one of three data centres, for a third of the runs.
#[test]
fn a_few_failing_workers_are_quarantined() {
    let always = |number| match number {
        10..14 => lasting(WorkerFault::Failing(100)),
        _ => Vec::new(),
    };
    let sometimes = |number| match number {
        10..14 => lasting(WorkerFault::Failing(33)),
        _ => Vec::new(),
    };

    let always = replay(peak_jobs(PEAK_RATE), always).counts;
    let sometimes = replay(peak_jobs(PEAK_RATE), sometimes).counts;

    print("always", &always);
    print("sometimes", &sometimes);
    assert!(always.event("worker_distrusted") >= 4);
    assert!(always.all_bad_starts() < 80, "{always:?}");
    assert!(sometimes.event("worker_distrusted") >= 4);
    assert_eq!((always.failed, sometimes.failed), (0, 0));
}

/// Guards against a pool that loses half of its workers when what fails is the same everywhere, such
/// as the callers of one data centre.
#[test]
fn failures_of_a_whole_pool_are_not_the_fault_of_its_workers() {
    let everywhere = |_| lasting(WorkerFault::Failing(33));

    let counts = replay(peak_jobs(PEAK_RATE), everywhere).counts;

    // A few workers fail repeatedly before the share of the pool is known.
    print("everywhere", &counts);
    assert!(counts.event("worker_distrusted") <= 6, "{counts:?}");
}

/// Guards against a pool that loses a third of its workers because the path from the controller to
/// their data centre loses calls.
#[test]
fn silences_of_a_whole_data_centre_are_not_the_fault_of_its_workers() {
    let data_centre_faults = |number| match number {
        0..20 => lasting(WorkerFault::Flapping),
        _ => Vec::new(),
    };

    let workers = (0..WORKERS).map(|number| {
        let mut entry = worker_entry(number);
        let data_centre = ["hall-a", "hall-b", "hall-c"][number / 20];
        entry.data_centre = data_centre.parse().unwrap();
        (entry, data_centre_faults(number))
    });
    let jobs = peak_jobs(PEAK_RATE);
    let mut replay = WorkerReplay::new(SEED, two_queues(), workers.collect(), jobs);

    replay.run(FAULT_UNTIL_MS - 2_000);
    let now_ms = replay.now_ms;
    let workers = replay.engine.workers.values();
    let quarantined =
        workers.filter(|worker| worker.health.state(now_ms) == HealthState::Quarantined);
    let quarantined = quarantined.count();
    replay.run(END_MS);

    // At most a quarter of the 20 workers is quarantined before the others are silent as well.
    let counts = replay.counts;
    print("data centre", &counts);
    assert!(quarantined <= 5, "{quarantined}");
    assert!(counts.event("worker_distrusted") <= 10, "{counts:?}");
    assert_eq!((counts.complete, counts.double_runs), (counts.jobs, 0));
}

/// Guards against running work that is started elsewhere because its worker reports its end late.
#[test]
fn work_of_a_worker_that_reports_late_is_not_repeated() {
    let late = |number| match number {
        10..20 => lasting(WorkerFault::LateReports(2_500)),
        _ => Vec::new(),
    };

    let counts = replay(peak_jobs(PEAK_RATE), late).counts;

    print("late", &counts);
    assert_eq!((counts.complete, counts.double_runs), (counts.jobs, 0));
}

/// Guards against workers that stay idle after the cause of a quarantine has passed.
#[test]
fn workers_are_trusted_again_soon_after_a_cause_has_passed() {
    let hanging = |number| match number {
        10..25 => lasting(WorkerFault::Hanging),
        _ => Vec::new(),
    };
    let workers = (0..WORKERS).map(|number| (worker_entry(number), hanging(number)));
    let jobs = peak_jobs(2 * PEAK_RATE);
    let mut replay = WorkerReplay::new(SEED, two_queues(), workers.collect(), jobs);

    // The longest quarantine is 8 s, and about three tasks in turn end the probation.
    replay.run(FAULT_UNTIL_MS + 11_000);

    print("recovery", &replay.counts);
    let now_ms = replay.now_ms;
    let workers = replay.engine.workers.values();
    let distrusted = workers.filter(|worker| worker.health.state(now_ms) != HealthState::Trusted);
    assert_eq!(distrusted.count(), 0);
}

/// Guards against a new or restarted worker that inherits the distrust of an earlier incarnation.
#[test]
fn what_was_learnt_ends_with_the_incarnation() {
    let mut fleet = EngineFleet::new(2);
    make_slow(&mut fleet, 0);
    let id = worker_entry(0).id;
    let now_ms = fleet.now_ms;
    fleet
        .engine
        .distrust_worker(&id, DistrustCause::Stall, now_ms);
    let mut restarted = worker_entry(0);
    restarted.id = "w-0b".parse().unwrap();

    fleet.engine.end_incarnation(&id, "test", now_ms);
    fleet.engine.set_worker(restarted.clone(), fleet.now_ms);

    let health = &fleet.engine.workers[&restarted.id].health;
    assert_eq!(health.state(now_ms), HealthState::Trusted);
    assert_eq!(health.slowdown(), SlowdownFactor::NONE);
    let next = fleet.successor();
    let healths = next.engine.workers.values().map(|worker| &worker.health);
    let states: Vec<_> = healths.map(|health| health.state(now_ms)).collect();
    assert!(states.iter().all(|state| *state == HealthState::Trusted));
}
