//! Sums over the open jobs: the CPU demand of each pool, the backlogs and the pending jobs of queues.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::ServiceId;
use crate::workflow::JobEngine;
use crate::workflow::JobSpec;
use crate::workflow::JobUrgency;
use crate::workflow::QueueBacklog;
use crate::workflow::QueueBacklogs;
use crate::workflow::TaskPhase;

/// The most queues whose backlogs are told: a few KB of the leader row, which holds 64 KB.
const MAX_BACKLOGS: usize = 64;

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
        self.forecast.record_arrival(&queue.service, work, now_ms);
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
    /// Only queues with waiting jobs, and work that is still wanted, count. A pool's capacity is the largest that it had lately,
    /// since hosts may be on their way to it.
    pub fn queue_backlogs(&self, lag_ms: u64, now_ms: u64) -> QueueBacklogs {
        let mut backlogs = QueueBacklogs::new();
        let Some(config) = self.config.as_ref() else {
            return backlogs;
        };
        let mut work_by_service: BTreeMap<&ServiceId, u64> = BTreeMap::new();
        let mut waiting_queues: BTreeSet<&str> = BTreeSet::new();
        for id in &self.waiting_jobs {
            let Some(job) = self.jobs.get(id).filter(|job| !job.phase.has_ended()) else {
                continue;
            };
            let Some(queue) = config.queue(&job.spec.queue) else {
                continue;
            };
            let is_wanted = JobUrgency::new(job, queue, &self.durations, now_ms).is_wanted();
            if let Some(work) = self.waiting_work(id).filter(|_| is_wanted) {
                let sum = work_by_service.entry(&queue.service).or_default();
                *sum = sum.saturating_add(work);
                waiting_queues.insert(&queue.name);
            }
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
        let mut backlog_by_service: BTreeMap<&ServiceId, u64> = BTreeMap::new();
        for id in &self.waiting_jobs {
            let Some(job) = self.jobs.get(id).filter(|job| !job.phase.has_ended()) else {
                continue;
            };
            let Some(queue) = config.queue(&job.spec.queue) else {
                continue;
            };
            if job.is_long_running() {
                continue;
            }
            let backlog_ms = JobUrgency::new(job, queue, &self.durations, now_ms).backlog_ms();
            for (number, step) in job.spec.steps.iter().enumerate() {
                if !job.is_step_ready(0, number as u32) {
                    continue;
                }
                let tasks = job.step_tasks(0, number as u32).iter();
                let unstarted = tasks.filter(|state| state.phase == TaskPhase::Waiting);
                let expected_ms = self.durations.expected_ms(&queue.name, step.estimate_ms);
                let work = unstarted.count() as u64 * step.reserved().cpu_millis * expected_ms;
                let sum = backlog_by_service.entry(&queue.service).or_default();
                *sum = sum.saturating_add(work / backlog_ms);
            }
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
                    .saturating_add(backlog_millis),
            );
        }
        demands
    }
}
