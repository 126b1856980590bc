//! Jobs of drawn shapes beside drawn faults and changes of the controller. Guards against jobs that end as
//! failed without a cause that the users' pages name, counted here from starts, crashes and ends alone, and
//! against jobs that don't end.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/crashes.rs"]
mod crashes;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use serde_json::Value;
use zincpier::id::JobId;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSchedule;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskName;

use crate::crashes::CrashFleet;
use crate::fixtures::gang;
use crate::fixtures::step;
use crate::fixtures::with_cpu;
use crate::fixtures::ATTEMPTS;

const WORKERS: usize = 12;

/// Workers of one rack, which are lost together.
const RACK: usize = 4;

/// Crashes under one task from which a job may be given up.
const NAMED_CRASHES: u32 = 2;

/// Starts of a task that the users allow after three workers have crashed under it.
const MAX_LATE_STARTS: u32 = 2;

/// The time in which jobs end once nothing fails any more, in ms.
const CALM_MS: u64 = 40_000;

/// Draws an ordinary step or a gang.
fn drawn_step(rng: &mut SmallRng) -> StepSpec {
    let tasks = rng.random_range(1..=4);
    let cpu_millis = rng.random_range(500..=3_000);
    match rng.random_bool(0.4) {
        true => gang(tasks + 1, cpu_millis),
        false => with_cpu(cpu_millis, step(tasks)),
    }
}

/// Submits a job of drawn steps, with several occurrences or a deadly task in some cases.
fn submit_drawn(fleet: &mut CrashFleet, id: &str, rng: &mut SmallRng) {
    let mut steps = vec![drawn_step(rng)];
    if rng.random_bool(0.3) {
        let after = vec![0];
        steps.push(StepSpec {
            after,
            ..drawn_step(rng)
        });
    }
    let times = match rng.random_bool(0.5) {
        true => rng.random_range(2..=6),
        false => 1,
    };
    let schedule = JobSchedule {
        times,
        first_ms: fleet.now_ms + rng.random_range(0..200),
        interval_ms: rng.random_range(20..400),
    };
    if rng.random_bool(0.15) {
        let index = rng.random_range(0..steps[0].tasks);
        fleet.deadly.extend((0..times).map(|occurrence| TaskName {
            job: id.parse().unwrap(),
            occurrence,
            step: 0,
            index,
        }));
    }
    let schedule = (times > 1).then_some(schedule);
    fleet.submit_scheduled(id, steps, schedule);
}

/// Returns the row as a build leaves it that knows no failed runs of gangs.
fn without_failed_runs(mut row: Value) -> Value {
    row.as_object_mut().unwrap().remove("failed-runs");
    row
}

/// Lets one drawn fault happen, or none.
fn disturb(fleet: &mut CrashFleet, rng: &mut SmallRng) {
    let worker = rng.random_range(0..WORKERS);
    match rng.random_range(0..10) {
        0 | 1 => {
            let first = worker / RACK * RACK;
            let count = rng.random_range(1..=RACK);
            let lost: Vec<_> = (first..first + count).collect();
            fleet.crash_together(&lost);
        }
        2 => fleet.crash_together(&[worker]),
        3 | 4 => {
            fleet.failing.insert(worker);
        }
        5 => fleet.failing.clear(),
        6 => fleet.take_over(),
        7 => fleet.take_over_from(without_failed_runs),
        8 => {
            fleet.start_unnoticed();
            fleet.take_over();
        }
        _ => {}
    }
}

/// Returns whether something that the users' pages name has failed a job.
fn has_named_cause(fleet: &CrashFleet, id: &JobId) -> bool {
    let mut crashed = fleet.crashed_under.iter();
    let mut failed = fleet.failed_runs.iter();
    crashed.any(|(name, crashes)| name.job == *id && *crashes >= NAMED_CRASHES)
        || failed.any(|(name, runs)| name.job == *id && runs.len() >= ATTEMPTS as usize)
}

/// Plays jobs and faults of a seed; returns the number of jobs that ended as failed.
fn play(seed: u64) -> usize {
    let mut rng = SmallRng::seed_from_u64(seed);
    let mut fleet = CrashFleet::new(WORKERS);
    fleet.break_delay_ms = [0, 300][rng.random_range(0..2)];
    for number in 0..rng.random_range(2..=8) {
        let id = format!("{number:016x}");
        submit_drawn(&mut fleet, &id, &mut rng);
        fleet.run(rng.random_range(0..400));
    }
    for _ in 0..rng.random_range(1..=14) {
        disturb(&mut fleet, &mut rng);
        fleet.run(rng.random_range(20..800));
    }
    fleet.failing.clear();
    fleet.run(CALM_MS);

    let jobs: Vec<_> = fleet.engine.jobs.values().collect();
    for job in &jobs {
        let (id, phase) = (&job.id, job.phase);
        assert!(phase.has_ended(), "seed {seed}: job {id} is {phase:?}");
        let is_due = phase != JobPhase::Failed || has_named_cause(&fleet, id);
        assert!(is_due, "seed {seed}: job {id} failed without a cause");
    }
    let exhausted = &fleet.exhausted_starts;
    assert!(exhausted.is_empty(), "seed {seed}: started {exhausted:?}");
    for (name, starts) in &fleet.late_starts {
        let is_deadly = fleet.deadly.contains(name);
        let is_allowed = !is_deadly || *starts <= MAX_LATE_STARTS;
        assert!(is_allowed, "seed {seed}: {name} started {starts} times");
    }
    let failed = jobs.iter().filter(|job| job.phase == JobPhase::Failed);
    failed.count()
}

/// Guards against one event that is counted several times, and against jobs that never end.
#[test]
fn jobs_end_as_failed_for_named_causes_only() {
    let failed: usize = (0..400).map(play).sum();

    assert!(failed > 100, "only {failed} jobs failed");
}
