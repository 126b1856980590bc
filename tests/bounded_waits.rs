//! Tasks that have room on idle workers, beside others that can't be placed. Guards against tasks that are
//! never started since workers are kept for a trial that doesn't come, or since a pass never gets to them.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/crashes.rs"]
mod crashes;

use std::collections::BTreeMap;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use zincpier::id::JobId;
use zincpier::workflow::JobPhase;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskName;
use zincpier::workflow::TaskPhase;
use zincpier::workflow::WorkerResources;

use crate::crashes::CrashFleet;
use crate::fixtures::capped_organisation;
use crate::fixtures::gang;
use crate::fixtures::long_running;
use crate::fixtures::organisation;
use crate::fixtures::step;
use crate::fixtures::task;
use crate::fixtures::with_cpu;

/// The longest time for which the users let a task wait that has room twice over on a pool that is half
/// idle, in ms.
const MAX_WAIT_MS: u64 = 3_000;

/// A queue whose jobs come after those of the other one.
const LATER_QUEUE: &str = "r-two";

/// Returns a job id; ids of different kinds differ.
fn id(kind: char, number: usize) -> String {
    format!("{kind}{number:015x}")
}

/// Returns a step that no worker has the memory for.
fn too_large(tasks: u32) -> StepSpec {
    let demand = WorkerResources {
        memory_mb: 32_000,
        ..step(tasks).demand
    };
    // Its objective is far away, so that it is not deferred.
    StepSpec {
        demand,
        estimate_ms: 600_000,
        ..step(tasks)
    }
}

/// Returns a gang that six workers together have not enough memory for, although each has room for a
/// member. It has little work, so that it is not deferred.
fn too_wide_gang() -> StepSpec {
    let demand = WorkerResources {
        cpu_millis: 1,
        memory_mb: 2_000,
        gpus: 0,
    };
    StepSpec {
        demand,
        estimate_ms: 600_000,
        ..gang(60, 1)
    }
}

/// Returns a step of which each worker may run one task only.
fn limited(tasks: u32) -> StepSpec {
    let demand = WorkerResources {
        cpu_millis: 100,
        memory_mb: 50,
        gpus: 0,
    };
    StepSpec {
        demand,
        max_per_worker: 1,
        ..step(tasks)
    }
}

fn is_complete(fleet: &CrashFleet, id: &str) -> bool {
    fleet.phase(id) == JobPhase::Complete
}

/// Guards against a pass that gives up before it comes to jobs that fit.
#[test]
fn jobs_that_fit_on_no_worker_keep_no_other_from_being_tried() {
    let mut fleet = CrashFleet::new(6);
    fleet.add_queue(LATER_QUEUE, 1);
    for number in 0..6 {
        let hopeless = (0..5).map(|_| too_large(1)).collect();
        fleet.submit(&id('0', number), hopeless);
    }
    for number in 0..20 {
        let steps = vec![with_cpu(500, step(1))];
        fleet.submit_to(LATER_QUEUE, &id('b', number), steps);
    }

    fleet.run(1_000 + MAX_WAIT_MS);

    for number in 0..20 {
        assert!(is_complete(&fleet, &id('b', number)), "job {number}");
    }
}

/// Guards against a pass that gives up after steps which only a limit on each worker keeps back.
#[test]
fn steps_at_their_limit_on_each_worker_keep_no_other_from_being_tried() {
    let mut fleet = CrashFleet::new(6);
    for number in 0..30 {
        let limited = limited(8);
        fleet.submit_lasting(&id('0', number), vec![limited], 60_000);
    }
    for number in 0..20 {
        fleet.submit(&id('b', number), vec![with_cpu(500, step(1))]);
    }

    fleet.run(1_000 + MAX_WAIT_MS);

    for number in 0..20 {
        assert!(is_complete(&fleet, &id('b', number)), "job {number}");
    }
}

/// Guards against jobs behind so many hopeless ones that a pass can't leave out all of those.
#[test]
fn each_of_many_waiting_jobs_has_its_turn() {
    let mut fleet = CrashFleet::new(6);
    fleet.add_queue(LATER_QUEUE, 1);
    for number in 0..400 {
        fleet.submit(&id('0', number), vec![too_wide_gang()]);
    }
    for number in 0..20 {
        let steps = vec![with_cpu(500, step(1))];
        fleet.submit_to(LATER_QUEUE, &id('b', number), steps);
    }

    fleet.run(1_000 + MAX_WAIT_MS);

    for number in 0..20 {
        assert!(is_complete(&fleet, &id('b', number)), "job {number}");
    }
}

/// A pool with drawn jobs that can't be placed, tasks that may crash workers, and lost or smaller workers.
struct DrawnPool {
    fleet: CrashFleet,
    random: SmallRng,
    workers: usize,
    jobs: usize,
    /// Jobs of one step whose tasks nothing but room holds back.
    probes: Vec<JobId>,
    /// How long each of their tasks has waited beside idle workers, in ms.
    waited_ms: BTreeMap<TaskName, u64>,
}

impl DrawnPool {
    fn new(seed: u64) -> Self {
        let mut random = SmallRng::seed_from_u64(seed);
        let workers = random.random_range(3..10);
        let mut fleet = CrashFleet::new(workers);
        let cap = random.random_range(1..12);
        fleet.set_organisations(vec![
            capped_organisation("north", cap),
            organisation("south", 1.0),
        ]);
        Self {
            fleet,
            random,
            workers,
            jobs: 0,
            probes: Vec::new(),
            waited_ms: BTreeMap::new(),
        }
    }

    fn next_id(&mut self) -> String {
        self.jobs += 1;
        let first = self.random.random_range(0..16);
        format!("{first:x}{:015x}", self.jobs)
    }

    /// Submits a job that can't be placed for long, or for ever, or that is in the way of others.
    fn submit_obstacle(&mut self) {
        let id = self.next_id();
        let workers = self.workers as u32;
        let members = self.random.random_range(1..=workers + 1);
        let cpu_millis = self.random.random_range(1_000..9_000);
        match self.random.random_range(0..8) {
            0 => {
                let steps = self.random.random_range(1..8);
                let steps = (0..steps).map(|_| too_large(2)).collect();
                self.fleet.submit(&id, steps);
            }
            1 => {
                let limited = limited(workers + 2);
                self.fleet.submit_lasting(&id, vec![limited], 30_000);
            }
            2 => self.fleet.submit(&id, vec![gang(members, cpu_millis)]),
            3 => self
                .fleet
                .submit_for("north", &id, vec![with_cpu(cpu_millis, step(4))]),
            4 => self
                .fleet
                .submit_lasting(&id, vec![with_cpu(cpu_millis / 2, step(1))], 20_000),
            5 => {
                let labelled = StepSpec {
                    required_label: Some("none".to_owned()),
                    ..step(1)
                };
                self.fleet.submit(&id, vec![labelled]);
            }
            6 => self
                .fleet
                .submit(&id, vec![with_cpu(cpu_millis / 3, long_running(2, 1))]),
            _ => {
                let deadly = task(&id, 0);
                self.fleet.deadly.insert(deadly);
                let steps = match self.random.random_bool(0.5) {
                    true => vec![gang(members, cpu_millis / 2)],
                    false => vec![step(1)],
                };
                self.fleet.submit(&id, steps);
            }
        }
    }

    fn submit_probe(&mut self) {
        let id = self.next_id();
        let cpu_millis = self.random.random_range(100..2_000);
        let tasks = self.random.random_range(1..4);
        self.fleet
            .submit(&id, vec![with_cpu(cpu_millis, step(tasks))]);
        self.probes.push(id.parse().unwrap());
    }

    fn change_workers(&mut self) {
        let index = self.random.random_range(0..self.workers);
        match self.random.random_range(0..4) {
            0 => self.fleet.crash(index),
            1 if index > 1 => self.fleet.lose(index),
            _ => {
                let cpu_millis = self.random.random_range(2_000..9_000);
                self.fleet.resize(index, cpu_millis);
            }
        }
    }

    /// Returns whether less than half of the CPU is in use, and each worker's free resources.
    fn is_half_idle(&self) -> (bool, Vec<WorkerResources>) {
        let free = self.fleet.free_resources();
        let capacity: u64 = free.iter().map(|(_, capacity)| capacity).sum();
        let unused: u64 = free.iter().map(|(free, _)| free.cpu_millis).sum();
        let free = free.into_iter().map(|(free, _)| free).collect();
        (2 * unused > capacity, free)
    }

    /// Counts how long tasks of the probes have waited although there is room for them twice over.
    fn check_waits(&mut self, step_ms: u64, seed: u64) {
        let (is_half_idle, free) = self.is_half_idle();
        for id in &self.probes {
            let job = &self.fleet.engine.jobs[id];
            let reserved = job.spec.steps[0].reserved();
            let fits = |free: &WorkerResources| {
                let by_memory = free.memory_mb / reserved.memory_mb;
                by_memory.min(free.cpu_millis / reserved.cpu_millis)
            };
            let places: u64 = free.iter().map(fits).sum();
            let is_waiting = |name: &TaskName| job.task(name).unwrap().phase == TaskPhase::Waiting;
            let waiting: Vec<_> = job.task_names().filter(is_waiting).collect();
            let has_room = is_half_idle && places >= 2 * waiting.len() as u64;
            // A task that may have crashed a worker is tried after others.
            let is_due = |name: &TaskName| has_room && job.task(name).unwrap().crashes == 0;
            self.waited_ms
                .retain(|name, _| name.job != *id || waiting.contains(name));
            for name in waiting {
                let waited_ms = self.waited_ms.entry(name.clone()).or_default();
                *waited_ms = if is_due(&name) {
                    *waited_ms + step_ms
                } else {
                    0
                };
                assert!(*waited_ms <= MAX_WAIT_MS, "{name} waits, seed {seed}");
            }
        }
    }

    fn play(&mut self, seed: u64) {
        let (obstacles, probes) = (self.random.random_range(5..40), 12);
        for _ in 0..obstacles {
            self.submit_obstacle();
        }
        for round in 0..700 {
            if round % 50 == 0 && self.random.random_bool(0.5) {
                self.change_workers();
            }
            if round % 100 == 50 {
                self.submit_obstacle();
            }
            if round % 50 == 25 && self.probes.len() < probes {
                self.submit_probe();
            }
            let before_ms = self.fleet.now_ms;
            self.fleet.pass();
            self.check_waits(self.fleet.now_ms - before_ms, seed);
        }
    }
}

/// Guards against any state of a pool in which something that can't be placed keeps a task from idle workers.
#[test]
fn task_with_room_on_a_half_idle_pool_is_placed_in_time() {
    let mut placed = 0;
    for seed in 0..150 {
        let mut pool = DrawnPool::new(seed);

        pool.play(seed);

        let jobs = &pool.fleet.engine.jobs;
        let ended = pool
            .probes
            .iter()
            .filter(|id| jobs[*id].phase == JobPhase::Complete);
        placed += ended.count();
    }
    assert!(placed > 500, "{placed} jobs complete");
}
