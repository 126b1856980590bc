//! Sums over the open jobs: the CPU demand of each pool, the backlogs and the pending jobs of queues.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::ServiceId;
use crate::workflow::capped_work::CappedWork;
use crate::workflow::engine_caps::exceeds_cap;
use crate::workflow::JobEngine;
use crate::workflow::JobSpec;
use crate::workflow::JobState;
use crate::workflow::JobUrgency;
use crate::workflow::QueueBacklog;
use crate::workflow::QueueBacklogs;
use crate::workflow::QueueConfig;
use crate::workflow::ResourceCap;
use crate::workflow::StepSpec;
use crate::workflow::WorkerResources;

/// The most queues whose backlogs are told: a few KB of the leader row, which holds 64 KB.
const MAX_BACKLOGS: usize = 64;

/// The limit on a pool's demand, in millicores, which is multiplied by percentages: ten thousand of the
/// largest workers, a thousand times over.
const MAX_DEMAND_MILLIS: u64 = 1_000_000_000_000_000;

/// Wait from which a queue counts as having a backlog, in ms.
const MIN_BACKLOG_MS: u64 = 1_000;

impl JobEngine {
    /// Adds a new job's work to the forecast; long-running jobs are not forecast.
    pub(crate) fn record_arrival(&mut self, spec: &JobSpec, now_ms: u64) {
        let queue = self
            .config
            .as_ref()
            .and_then(|config| config.queue(&spec.queue).cloned());
        let Some(queue) = queue else {
            return;
        };
        if spec.steps.iter().any(|step| step.long_running) {
            return;
        }
        let work: f64 = spec
            .steps
            .iter()
            .map(|step| {
                let expected_ms = self.durations.expected_ms(&queue.name, step.estimate_ms);
                f64::from(step.tasks) * step.reserved().cpu_millis as f64 * expected_ms as f64
            })
            .sum();
        let work = self.counted_arrival(spec, work, now_ms);
        self.forecast.record_arrival(&queue.service, work, now_ms);
    }

    /// Returns a job's work that has not started and that can ever run under the cap of its
    /// organisation, in millicores times ms.
    pub(crate) fn waiting_work(&self, job: &JobState, queue: &QueueConfig) -> u64 {
        let cap = self.cap_of(&job.spec).map(|(_, cap)| cap);
        let steps = waiting_steps(job, cap).map(|(step, tasks)| {
            let expected_ms = self.durations.expected_ms(&queue.name, step.estimate_ms);
            step_work(step, tasks, expected_ms)
        });
        steps.fold(0, u64::saturating_add)
    }

    /// Returns the part of a new job's work that the cap of its organisation allows to run.
    fn counted_arrival(&mut self, spec: &JobSpec, work: f64, now_ms: u64) -> f64 {
        let Some((id, cap)) = self.cap_of(spec) else {
            return work;
        };
        let allowed_millis = |step: &StepSpec| {
            let tasks = match exceeds_cap(cap, step) {
                true => 0,
                false => cap.room_for(&WorkerResources::default(), &step.demand),
            };
            tasks.saturating_mul(step.reserved().cpu_millis)
        };
        let cap_millis = spec.steps.iter().map(allowed_millis).max().unwrap_or(0);
        let id = id.clone();
        self.capped_arrivals.count(&id, work, cap_millis, now_ms)
    }

    /// Counts, for each queue, the jobs of which no task is known to have started.
    pub fn pending_counts(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        if let Some(config) = &self.config {
            let names = config.queues.iter().map(|queue| (queue.name.clone(), 0));
            counts.extend(names);
        }
        let open = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        for job in open.filter(|job| !job.phase.has_ended() && !job.has_begun) {
            *counts.entry(job.spec.queue.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the highest demand of any pool so far, in millicores; `None` until a demand peak
    /// has ended.
    pub fn peak_pool_demand(&self) -> Option<u64> {
        self.forecast.max_peak_rate().map(|peak| peak as u64)
    }

    /// Returns how long the new jobs of each queue wait, for queues that have a backlog. `lag_ms` is
    /// how far the controller's own work is behind.
    ///
    /// Only queues with waiting jobs, and work that is still wanted, count. A pool's capacity is the
    /// largest that it had lately, since hosts may be on their way to it.
    pub fn queue_backlogs(&self, lag_ms: u64, now_ms: u64) -> QueueBacklogs {
        let mut backlogs = QueueBacklogs::new();
        let Some(config) = self.config.as_ref() else {
            return backlogs;
        };
        let mut work_by_service: BTreeMap<&ServiceId, u64> = BTreeMap::new();
        let mut capped_work = CappedWork::new();
        let mut waiting_queues: BTreeSet<&str> = BTreeSet::new();
        for id in &self.waiting_jobs {
            let Some(job) = self.jobs.get(id).filter(|job| !job.phase.has_ended()) else {
                continue;
            };
            let Some(queue) = config.queue(&job.spec.queue) else {
                continue;
            };
            if !JobUrgency::new(job, queue, &self.durations, now_ms).is_wanted() {
                continue;
            }
            let cap = self.cap_of(&job.spec);
            let (mut work, mut wanted) = (0, WorkerResources::default());
            for (step, tasks) in waiting_steps(job, cap.map(|(_, cap)| cap)) {
                let expected_ms = self.durations.expected_ms(&queue.name, step.estimate_ms);
                work = step_work(step, tasks, expected_ms).saturating_add(work);
                wanted.add(&step.demand.times(tasks));
            }
            match cap {
                Some((id, _)) => capped_work.add(id, &queue.service, work, &wanted),
                None => {
                    let sum = work_by_service.entry(&queue.service).or_default();
                    *sum = sum.saturating_add(work);
                }
            }
            waiting_queues.insert(&queue.name);
        }
        for (service, work) in capped_work.allowed(self) {
            let sum = work_by_service.entry(service).or_default();
            *sum = sum.saturating_add(work);
        }
        // A configuration may have thousands of queues, and all entry hosts read the result.
        let queues = config.queues.iter();
        let queues = queues.filter(|queue| waiting_queues.contains(queue.name.as_str()));
        for queue in queues.take(MAX_BACKLOGS) {
            let work = work_by_service.get(&queue.service).copied().unwrap_or(0);
            let capacity_millis = self.pool_capacities.get(&queue.service);
            let Some(&capacity_millis) = capacity_millis.filter(|&&millis| millis > 0) else {
                continue;
            };
            let wait_ms = (work / capacity_millis).saturating_add(lag_ms);
            if wait_ms >= MIN_BACKLOG_MS {
                let task_ms = self.durations.mean_ms(&queue.name).unwrap_or(0);
                backlogs.insert(queue.name.clone(), QueueBacklog { wait_ms, task_ms });
            }
        }
        backlogs
    }

    /// Returns the CPU demand of each pool, in millicores: the forecast or the CPU in use,
    /// whichever is higher, plus the CPU needed to work off the waiting tasks in time.
    pub fn pool_demands(&mut self, now_ms: u64) -> BTreeMap<ServiceId, u64> {
        let mut demands = BTreeMap::new();
        let Some(config) = self.config.clone() else {
            return demands;
        };
        for pool in config.pools.iter().filter(|pool| !pool.standby) {
            self.forecast.register_pool(&pool.service);
        }
        self.forecast.tick(now_ms);
        self.caps.refresh(&config, now_ms);
        let mut backlog_by_service: BTreeMap<&ServiceId, u64> = BTreeMap::new();
        let mut capped_work = CappedWork::new();
        for id in &self.waiting_jobs {
            let Some(job) = self.jobs.get(id).filter(|job| !job.phase.has_ended()) else {
                continue;
            };
            let Some(queue) = config.queue(&job.spec.queue) else {
                continue;
            };
            // Over-rate jobs use what capacity is left and request no hosts.
            if job.is_long_running() || job.is_over_rate {
                continue;
            }
            let backlog_ms = JobUrgency::new(job, queue, &self.durations, now_ms).backlog_ms();
            let cap = self.cap_of(&job.spec);
            for (number, step) in job.spec.steps.iter().enumerate() {
                if !job.is_step_ready(0, number as u32)
                    || cap.is_some_and(|(_, cap)| exceeds_cap(cap, step))
                {
                    continue;
                }
                let tasks = job.step_tasks(0, number as u32);
                let unstarted = tasks.waiting_count() as u64;
                let expected_ms = self.durations.expected_ms(&queue.name, step.estimate_ms);
                let millis = step_work(step, unstarted, expected_ms) / backlog_ms;
                if let Some((id, _)) = cap {
                    // The tasks that must run at a time to start all of them in time.
                    let wanted = step.demand.times(unstarted);
                    let wanted = wanted.scaled(expected_ms, backlog_ms);
                    capped_work.add(id, &queue.service, millis, &wanted);
                    continue;
                }
                let sum = backlog_by_service.entry(&queue.service).or_default();
                *sum = sum.saturating_add(millis);
            }
        }
        for (service, millis) in capped_work.allowed(self) {
            let sum = backlog_by_service.entry(service).or_default();
            *sum = sum.saturating_add(millis);
        }
        let mut used_by_service: BTreeMap<&ServiceId, u64> = BTreeMap::new();
        for worker in self.workers.values() {
            *used_by_service.entry(&worker.entry.service).or_default() += worker.used.cpu_millis;
        }
        for pool in &config.pools {
            let service = &pool.service;
            let forecast_millis = self.forecast.demand(service, now_ms) as u64;
            let used_millis = used_by_service.get(service).copied().unwrap_or(0);
            let backlog_millis = backlog_by_service.get(service).copied().unwrap_or(0);
            demands.insert(
                service.clone(),
                forecast_millis
                    .max(used_millis)
                    .saturating_add(backlog_millis)
                    .min(MAX_DEMAND_MILLIS),
            );
        }
        demands
    }
}

/// Returns the work of tasks of a step, in millicores times ms.
fn step_work(step: &StepSpec, tasks: u64, expected_ms: u64) -> u64 {
    let millis = step.reserved().times(tasks).cpu_millis;
    millis.saturating_mul(expected_ms)
}

/// Iterates over a job's steps with waiting tasks, each with their number, without steps that can
/// never run under the cap.
fn waiting_steps<'a>(
    job: &'a JobState,
    cap: Option<&'a ResourceCap>,
) -> impl Iterator<Item = (&'a StepSpec, u64)> {
    let steps = job.spec.steps.iter().enumerate();
    let steps = steps.filter(move |(_, step)| !cap.is_some_and(|cap| exceeds_cap(cap, step)));
    steps.map(|(number, step)| {
        let tasks = job.step_tasks(0, number as u32);
        (step, tasks.waiting_count() as u64)
    })
}
