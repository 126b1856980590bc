//! Replays of jobs of many organisations on a pool whose tasks take a known time, without I/O.

use std::collections::BTreeMap;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use zincpier::id::JobId;
use zincpier::id::WorkerId;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::CommitEffect;
use zincpier::workflow::EndKind;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::Organisation;
use zincpier::workflow::OrganisationDirectory;
use zincpier::workflow::RunningTask;
use zincpier::workflow::TaskEnd;
use zincpier::workflow::TaskName;
use zincpier::workflow::WorkerReport;

use crate::fixtures::config;
use crate::fixtures::step;
use crate::fixtures::EngineFleet;
use crate::fixtures::QUEUE;

/// A second queue of the same pool.
pub(crate) const OTHER_QUEUE: &str = "r-two";

/// Workers of 8 cores; a task takes one core.
const WORKERS: usize = 12;

/// Resolution of the replay's clock, in ms.
const TICK_MS: u64 = 20;

/// Shortest and longest duration of a task, in ms. Callers state 500.
const TASK_MS: std::ops::Range<u64> = 400..650;

/// Time from a job's arrival within which it should end, with the objective of the fixtures.
pub(crate) const OBJECTIVE_MS: u64 = 1_400;

/// Load of one organisation on one queue.
#[derive(Clone)]
pub(crate) struct Load {
    pub(crate) organisation: String,
    pub(crate) queue: &'static str,
    pub(crate) jobs_per_s: f64,
    /// Factor of the rate during the burst.
    pub(crate) burst: f64,
}

/// A job of a replay, once it is submitted.
pub(crate) struct ReplayedJob {
    pub(crate) organisation: String,
    pub(crate) queue: &'static str,
    pub(crate) arrived_ms: u64,
    pub(crate) started_ms: Option<u64>,
    pub(crate) ended_ms: Option<u64>,
}

struct Run {
    name: TaskName,
    run: u64,
    worker: WorkerId,
    ends_ms: u64,
}

/// A pool that is played through a burst.
pub(crate) struct ShareReplay {
    pub(crate) jobs: Vec<ReplayedJob>,
    /// All starts, in order.
    pub(crate) starts: Vec<(u64, TaskName)>,
    positions: BTreeMap<JobId, usize>,
    fleet: EngineFleet,
    runs: Vec<Run>,
    ends: BTreeMap<WorkerId, u64>,
    random: SmallRng,
    start_ms: u64,
}

impl ShareReplay {
    /// Creates a pool; `organisations` is `None` for a configuration without a list of them.
    pub(crate) fn new(organisations: Option<Vec<Organisation>>, seed: u64) -> Self {
        Self::with_priorities(organisations, [0, 0], seed)
    }

    /// Like [`ShareReplay::new`], with the priorities of the first and the second queue.
    pub(crate) fn with_priorities(
        organisations: Option<Vec<Organisation>>,
        priorities: [u32; 2],
        seed: u64,
    ) -> Self {
        let mut fleet = EngineFleet::new(WORKERS);
        let mut config = FleetConfig::clone(&config());
        let mut other = config.queues[0].clone();
        other.name = OTHER_QUEUE.to_owned();
        config.queues.push(other);
        for (queue, priority) in config.queues.iter_mut().zip(priorities) {
            queue.priority = priority;
        }
        config.version += 1;
        config.organisations = organisations.map(OrganisationDirectory::new);
        fleet.engine.config = Some(Rc::new(config));
        Self {
            jobs: Vec::new(),
            starts: Vec::new(),
            positions: BTreeMap::new(),
            start_ms: fleet.now_ms,
            fleet,
            runs: Vec::new(),
            ends: BTreeMap::new(),
            random: SmallRng::seed_from_u64(seed),
        }
    }

    /// Plays `loads` for `length_ms`, with bursts from `burst_ms.0` to `burst_ms.1`, and then until
    /// 6 s have passed without arrivals.
    pub(crate) fn play(mut self, loads: &[Load], burst_ms: (u64, u64), length_ms: u64) -> Self {
        for time_ms in (0..length_ms + 6_000).step_by(TICK_MS as usize) {
            self.fleet.now_ms = self.start_ms + time_ms;
            self.end_tasks();
            let in_burst = (burst_ms.0..burst_ms.1).contains(&time_ms);
            for load in loads.iter().filter(|_| time_ms < length_ms) {
                let factor = if in_burst { load.burst } else { 1.0 };
                let mut expected = load.jobs_per_s * factor * TICK_MS as f64 / 1_000.0;
                while expected > 0.0 && self.random.random_bool(expected.min(1.0)) {
                    self.submit(load);
                    expected -= 1.0;
                }
            }
            self.place();
        }
        self
    }

    /// Returns the share of the jobs that `select` takes, arrived from `from_ms` to `until_ms`, that
    /// ended within their objective.
    pub(crate) fn on_time(
        &self,
        (from_ms, until_ms): (u64, u64),
        select: impl Fn(&ReplayedJob) -> bool,
    ) -> f64 {
        let arrived = from_ms + self.start_ms..until_ms + self.start_ms;
        let jobs = self.jobs.iter();
        let jobs = jobs.filter(|job| arrived.contains(&job.arrived_ms) && select(job));
        let (mut all, mut in_time) = (0, 0);
        for job in jobs {
            let ended_ms = job.ended_ms;
            all += 1;
            in_time += u32::from(ended_ms.is_some_and(|end| end <= job.arrived_ms + OBJECTIVE_MS));
        }
        f64::from(in_time) / f64::from(all.max(1))
    }

    fn submit(&mut self, load: &Load) {
        let number = self.jobs.len() as u64 + 1;
        let id: JobId = format!("{:016x}", number.wrapping_mul(0x9e37_79b9_7f4a_7c15))
            .parse()
            .unwrap();
        let spec = JobSpec {
            queue: load.queue.to_owned(),
            organisation: Some(load.organisation.parse().unwrap()),
            payload: "text".to_owned(),
            steps: vec![step(self.random.random_range(1..8))],
            schedule: None,
        };
        let now_ms = self.fleet.now_ms;
        self.fleet.engine.add_job(id.clone(), spec, None, now_ms);
        self.positions.insert(id, self.jobs.len());
        self.jobs.push(ReplayedJob {
            organisation: load.organisation.clone(),
            queue: load.queue,
            arrived_ms: now_ms,
            started_ms: None,
            ended_ms: None,
        });
    }

    fn place(&mut self) {
        let now_ms = self.fleet.now_ms;
        self.fleet.engine.place_tasks(now_ms, 0);
        let (_, effects) = self.fleet.engine.take_changes();
        for effect in effects {
            let CommitEffect::Start(name, run) = effect else {
                continue;
            };
            let outcome = CommandOutcome::Accepted(now_ms);
            self.fleet.engine.apply_start(&name, run, &outcome, now_ms);
            let job = &mut self.jobs[self.positions[&name.job]];
            job.started_ms.get_or_insert(now_ms);
            self.starts.push((now_ms, name.clone()));
            self.runs.push(Run {
                worker: self.fleet.worker_of(&name),
                name,
                run,
                ends_ms: now_ms + self.random.random_range(TASK_MS),
            });
        }
    }

    /// Reports the tasks that have ended, and all others as running, for each worker with an end.
    fn end_tasks(&mut self) {
        let now_ms = self.fleet.now_ms;
        let mut reports: BTreeMap<WorkerId, WorkerReport> = BTreeMap::new();
        for run in self.runs.iter().filter(|run| run.ends_ms <= now_ms) {
            let number = self.ends.entry(run.worker.clone()).or_default();
            *number += 1;
            let report = reports.entry(run.worker.clone()).or_default();
            report.ends.push(TaskEnd {
                number: *number,
                task: run.name.clone(),
                run: run.run,
                kind: EndKind::Done,
                checkpoint: String::new(),
            });
        }
        self.runs.retain(|run| run.ends_ms > now_ms);
        for run in &self.runs {
            if let Some(report) = reports.get_mut(&run.worker) {
                report.running.push(RunningTask {
                    task: run.name.clone(),
                    run: run.run,
                    checkpoint: String::new(),
                    percent: 100,
                    load: 0,
                });
            }
        }
        for (worker, mut report) in reports {
            report.clock_ms = now_ms;
            let ended: Vec<_> = report.ends.iter().map(|end| end.task.job.clone()).collect();
            self.fleet
                .engine
                .apply_report(&worker, &report, now_ms, now_ms);
            for id in ended {
                if self.fleet.engine.jobs[&id].phase == JobPhase::Complete {
                    let job = &mut self.jobs[self.positions[&id]];
                    job.ended_ms.get_or_insert(now_ms);
                }
            }
        }
    }
}

/// Returns the name of an organisation of a replay.
pub(crate) fn name(number: usize) -> String {
    format!("org-{number:02}")
}

/// Returns one load for each of `organisations`, on the first queue.
pub(crate) fn even_loads(organisations: usize, jobs_per_s: f64) -> Vec<Load> {
    let load = |number| Load {
        organisation: name(number),
        queue: QUEUE,
        jobs_per_s,
        burst: 1.0,
    };
    (0..organisations).map(load).collect()
}
