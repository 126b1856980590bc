//! Tasks and gangs that fit on idle workers which are distrusted, and tasks that take longer than estimated.
//! Guards against distrust that only a run can end and that keeps the run away, and against tasks that are
//! stopped as stalled each time, so that they never end.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/crashes.rs"]
mod crashes;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use zincpier::id::JobId;
use zincpier::id::WorkerId;
use zincpier::workflow::DistrustCause;
use zincpier::workflow::HealthState;
use zincpier::workflow::JobPhase;
use zincpier::workflow::StepSpec;
use zincpier::workflow::WorkerHealth;

use crate::crashes::CrashFleet;
use crate::crashes::RUN_MS;
use crate::fixtures::gang;
use crate::fixtures::step;
use crate::fixtures::task;
use crate::fixtures::with_cpu;
use crate::fixtures::JOB;

/// The longest time for which the users let a job wait that has room twice over on a pool that is half
/// idle, in ms.
const MAX_WAIT_MS: u64 = 3_000;

/// Jobs whose tasks tell how long those of their queue usually take.
const HISTORY_JOBS: usize = 12;

const CAUSES: [DistrustCause; 3] = [
    DistrustCause::Failures,
    DistrustCause::Silences,
    DistrustCause::Stall,
];

/// Returns a job id; ids of different kinds differ.
fn id(kind: char, number: usize) -> String {
    format!("{kind}{number:015x}")
}

/// Returns a fleet that knows how long the tasks of its queue usually take.
fn experienced_fleet(workers: usize) -> CrashFleet {
    let mut fleet = CrashFleet::new(workers);
    for number in 0..HISTORY_JOBS {
        fleet.submit(&id('a', number), vec![step(1)]);
    }
    fleet.run(2 * RUN_MS);
    fleet
}

/// Returns the state of a worker that is on probation from `now_ms` on.
fn probing_worker(now_ms: u64) -> WorkerHealth {
    let mut health = WorkerHealth::new();
    health.distrust(DistrustCause::Stall, now_ms);
    health.end_quarantine(now_ms);
    health
}

/// Guards against a task that is stopped as late on each worker as on the first, for good (review/8).
#[test]
fn task_that_takes_longer_than_estimated_completes() {
    for factor in [2, 3, 4, 6, 10, 30] {
        let mut fleet = experienced_fleet(8);
        let length_ms = factor * RUN_MS;
        fleet.submit_lasting(JOB, vec![step(1)], length_ms);

        fleet.run(4 * length_ms + 4_000);

        assert_eq!(fleet.phase(JOB), JobPhase::Complete, "{factor} times");
    }
}

/// Guards against long tasks whose stalls are held against each worker that they run on.
#[test]
fn long_task_costs_the_trust_of_one_worker() {
    let mut fleet = experienced_fleet(8);
    fleet.submit_lasting(JOB, vec![step(1)], 10 * RUN_MS);

    let mut distrusted = 0;
    for _ in 0..100 {
        fleet.run(200);
        let workers = fleet.engine.workers.values();
        let states = workers.map(|worker| worker.health.state(fleet.now_ms));
        let bad = states.filter(|state| *state != HealthState::Trusted);
        distrusted = distrusted.max(bad.count());
    }

    assert_eq!(fleet.phase(JOB), JobPhase::Complete);
    assert_eq!(distrusted, 1);
}

/// Guards against a gang that waits for workers of which each may have one task at a time (review/8).
#[test]
fn gang_larger_than_the_limits_of_an_idle_pool_is_placed_in_time() {
    let mut fleet = experienced_fleet(8);
    let ids: Vec<_> = fleet.engine.workers.keys().cloned().collect();
    for id in &ids {
        let worker = fleet.engine.workers.get_mut(id).unwrap();
        worker.health = probing_worker(fleet.now_ms);
    }
    fleet.submit(JOB, vec![gang(12, 1_000)]);

    fleet.run(MAX_WAIT_MS);

    assert_eq!(fleet.start_count(&task(JOB, 11)), 1);
}

/// Guards against a worker whose tasks last, so that none tells that it is sound.
#[test]
fn limit_of_a_worker_whose_tasks_last_ends_by_time() {
    let now_ms = 1_000_000;
    let health = probing_worker(now_ms);

    let limits: Vec<_> = [0, 4_000, 8_000, 16_000, 20_000]
        .into_iter()
        .map(|after_ms| health.task_limit(now_ms + after_ms))
        .collect();

    assert_eq!(limits, [Some(1), Some(2), Some(4), Some(16), None]);
}

/// A pool of drawn distrust, with jobs that have room on it.
struct DrawnTrust {
    fleet: CrashFleet,
    random: SmallRng,
    jobs: usize,
    /// Jobs of one step that need their room at once, and how long each has waited beside idle workers, in ms.
    probes: Vec<(JobId, StepSpec, u64)>,
}

impl DrawnTrust {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let workers = random.random_range(3..12);
        Self {
            fleet: experienced_fleet(workers),
            random,
            jobs: 0,
            probes: Vec::new(),
        }
    }

    fn next_id(&mut self) -> String {
        self.jobs += 1;
        id('b', self.jobs)
    }

    /// Makes the engine distrust some workers, as often as it may have in the time before.
    fn distrust_workers(&mut self) {
        let share = self.random.random_range(0.2..1.0);
        let ids: Vec<WorkerId> = self.fleet.engine.workers.keys().cloned().collect();
        for id in &ids {
            if !self.random.random_bool(share) {
                continue;
            }
            let now_ms = self.fleet.now_ms;
            let cause = CAUSES[self.random.random_range(0..CAUSES.len())];
            self.fleet.engine.distrust_worker(id, cause, now_ms);
            let Some(worker) = self.fleet.engine.workers.get_mut(id) else {
                continue;
            };
            match self.random.random_range(0..4) {
                0 => worker.health.end_quarantine(now_ms),
                1 => {
                    for _ in 0..4 {
                        worker.health.pace.record_end(8_000, 800, now_ms);
                    }
                }
                _ => {}
            }
        }
    }

    fn submit_long_tasks(&mut self) {
        let id = self.next_id();
        let tasks = self.random.random_range(1..4);
        let length_ms = self.random.random_range(2 * RUN_MS..10 * RUN_MS);
        let steps = vec![with_cpu(500, step(tasks))];
        self.fleet.submit_lasting(&id, steps, length_ms);
    }

    fn submit_probe(&mut self) {
        let id = self.next_id();
        let tasks = self.random.random_range(1..12);
        let cpu_millis = self.random.random_range(100..1_000);
        let spec = match self.random.random_range(0..3) {
            0 => with_cpu(cpu_millis, step(tasks)),
            1 => StepSpec {
                max_per_worker: 1,
                ..gang(tasks.min(3), cpu_millis)
            },
            _ => gang(tasks, cpu_millis),
        };
        self.fleet.submit(&id, vec![spec.clone()]);
        self.probes.push((id.parse().unwrap(), spec, 0));
    }

    /// Counts how long probes have had no task started although there is room for them twice over.
    fn check_waits(&mut self, step_ms: u64, seed: u64) {
        let free = self.fleet.free_resources();
        let capacity: u64 = free.iter().map(|(_, capacity)| capacity).sum();
        let unused: u64 = free.iter().map(|(free, _)| free.cpu_millis).sum();
        for (id, spec, waited_ms) in &mut self.probes {
            let per_worker = match spec.max_per_worker {
                0 => u64::MAX,
                limit => u64::from(limit),
            };
            let places = free.iter().map(|(free, _)| {
                let by_memory = free.memory_mb / spec.demand.memory_mb;
                let by_cpu = free.cpu_millis / spec.demand.cpu_millis;
                by_memory.min(by_cpu).min(per_worker)
            });
            let places: u64 = places.sum();
            let has_room = 2 * unused > capacity && places >= 2 * u64::from(spec.tasks);
            let first = task(&id.to_string(), spec.tasks - 1);
            let is_waiting = self.fleet.start_count(&first) == 0;
            *waited_ms = match has_room && is_waiting {
                true => *waited_ms + step_ms,
                false => 0,
            };
            assert!(*waited_ms <= MAX_WAIT_MS, "{id} waits, seed {seed}");
        }
    }

    fn play(&mut self, seed: u64) {
        for round in 0..600 {
            if round % 60 == 0 && self.random.random_bool(0.6) {
                self.distrust_workers();
            }
            if round % 100 == 30 && self.random.random_bool(0.5) {
                self.submit_long_tasks();
            }
            if round % 40 == 20 {
                self.submit_probe();
            }
            if round % 150 == 149 && self.random.random_bool(0.3) {
                self.fleet.take_over();
            }
            let before_ms = self.fleet.now_ms;
            self.fleet.pass();
            self.check_waits(self.fleet.now_ms - before_ms, seed);
        }
        self.fleet.run(60_000);
    }
}

/// Guards against any state of distrust that keeps a job from idle workers on which it has room.
#[test]
fn job_with_room_on_distrusted_workers_is_placed_in_time() {
    for seed in 0..150 {
        let mut drawn = DrawnTrust::new(seed);

        drawn.play(seed);

        for job in drawn.fleet.engine.jobs.values() {
            let (id, phase) = (&job.id, job.phase);
            assert_eq!(phase, JobPhase::Complete, "{id}, seed {seed}");
        }
    }
}
