//! Learns the speed of workers from their ended and running tasks.

use std::collections::BTreeMap;

use crate::id::JobId;
use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::CommandPhase;
use crate::workflow::JobEngine;
use crate::workflow::JobState;
use crate::workflow::PlacementPool;
use crate::workflow::StepSpec;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;

/// The natural logarithm of the median ratio of actual to expected durations from which the queues,
/// and not the workers, have become slower: 1.5. Below it, medians are noise.
const MIN_COMMON_LOG_RATIO: f64 = 0.405;

/// The number of jobs that are tried on slow workers in a pass and find no room, after which the
/// others wait for the next pass.
const MAX_SLOW_ATTEMPTS: u32 = 24;

impl JobEngine {
    /// Places jobs that are too far behind to get a worker as fast as expected soon, in order, on slow
    /// workers if they end sooner there.
    pub(crate) fn place_on_slow_workers(
        &mut self,
        jobs: impl Iterator<Item = JobId>,
        pool: &mut PlacementPool,
        now_ms: u64,
        wall_ms: u64,
    ) {
        if !pool.has_slow_workers() {
            return;
        }
        let mut attempts = 0;
        for id in jobs {
            let Some(job) = self.jobs.get(&id) else {
                continue;
            };
            let (expected_ms, waited_ms) = match job.spec.steps.first() {
                Some(step) => self.expected_and_waited_ms(job, step, now_ms),
                None => continue,
            };
            if !pool.may_use_slow_worker(expected_ms, waited_ms) {
                self.add_waiting_work(&id, pool);
                continue;
            }
            attempts += self.place_job(&id, pool, now_ms, wall_ms).min(1);
            if attempts >= MAX_SLOW_ATTEMPTS {
                return;
            }
        }
    }

    /// Counts a job's waiting work where it decides whether slow workers are used.
    pub(crate) fn add_waiting_work(&self, id: &JobId, pool: &mut PlacementPool) {
        if pool.has_slow_workers() {
            let job = self.jobs.get(id);
            let config = self.config.as_ref();
            let queue = job.and_then(|job| config?.queue(&job.spec.queue));
            if let (Some(job), Some(queue)) = (job, queue) {
                pool.add_waiting_work(self.waiting_work(job, queue));
            }
        }
    }

    /// Updates the speeds of all workers from their running tasks and from the other workers of
    /// their pools.
    pub(crate) fn update_paces(&mut self, now_ms: u64) {
        let common = self.common_log_ratios();
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for id in ids {
            let ages = self.running_ages(&id, now_ms);
            let Some(worker) = self.workers.get_mut(&id) else {
                continue;
            };
            let was_slow = worker.health.pace.is_slow();
            let common = common.get(&worker.entry.service).copied().unwrap_or(0.0);
            worker.health.pace.set_common(common);
            worker.health.pace.set_running(ages.into_iter(), now_ms);
            let pace = &worker.health.pace;
            if pace.is_slow() != was_slow {
                let slowdown = pace.slowdown();
                log::info!("event=worker_pace_changed worker={id} slowdown={slowdown}");
            }
        }
    }

    /// Returns, for each pool whose tasks take longer than expected on most workers, the natural
    /// logarithm of the median ratio. It is due to the queues or to what the workers share.
    fn common_log_ratios(&self) -> BTreeMap<ServiceId, f64> {
        let mut ratios: BTreeMap<&ServiceId, Vec<f64>> = BTreeMap::new();
        for worker in self.workers.values().filter(|worker| worker.listed) {
            let ratios = ratios.entry(&worker.entry.service).or_default();
            ratios.push(worker.health.pace.log_ratio());
        }
        let median = |(service, mut ratios): (&ServiceId, Vec<f64>)| {
            ratios.sort_by(f64::total_cmp);
            let median = ratios[(ratios.len() - 1) / 2];
            (median >= MIN_COMMON_LOG_RATIO).then(|| (service.clone(), median))
        };
        ratios.into_iter().filter_map(median).collect()
    }

    /// Returns the ages and expected durations, in ms, of the running tasks of a worker that
    /// answers. Those of a silent worker may have ended.
    fn running_ages(&self, id: &WorkerId, now_ms: u64) -> Vec<(u64, u64)> {
        let worker = self.workers.get(id);
        let Some(worker) = worker.filter(|worker| worker.unresponsive_since_ms == 0) else {
            return Vec::new();
        };
        let tasks = worker.tasks.iter();
        tasks
            .filter_map(|name| self.age_and_expected_ms(name, now_ms))
            .collect()
    }

    /// Learns a worker's speed from a task that is done; its state is still that of the run. Runs
    /// that resumed from a checkpoint do only a part of the work and are not counted.
    pub(crate) fn record_pace(&mut self, id: &WorkerId, name: &TaskName, now_ms: u64) {
        let Some((took_ms, expected_ms)) = self.duration_and_expected_ms(name, now_ms) else {
            return;
        };
        if let Some(worker) = self.workers.get_mut(id) {
            let pace = &mut worker.health.pace;
            pace.record_end(took_ms, expected_ms, now_ms);
        }
    }

    fn duration_and_expected_ms(&self, name: &TaskName, now_ms: u64) -> Option<(u64, u64)> {
        let job = self.jobs.get(&name.job)?;
        let step = job.step(name.step)?;
        let state = job.task(name)?;
        let has_resumed = state.last_run > 1 && !state.checkpoint.is_empty();
        if step.long_running || step.gang || has_resumed {
            return None;
        }
        let TaskPhase::Placed {
            command, since_ms, ..
        } = &state.phase
        else {
            return None;
        };
        // The start of an inherited run is not known.
        if matches!(command, CommandPhase::Inherited(_)) {
            return None;
        }
        let history = &self.durations;
        let expected_ms = history.history_based_ms(&job.spec.queue, step.estimate_ms)?;
        Some((now_ms.saturating_sub(*since_ms), expected_ms))
    }

    /// Returns the expected duration of a step's tasks in ms, and the time in ms for which the job's
    /// waiting tasks have waited. Tasks that have waited for some time are taken to wait as long
    /// again, whatever the backlog says: the workers as fast as expected may all be taken for long.
    pub(crate) fn expected_and_waited_ms(
        &self,
        job: &JobState,
        step: &StepSpec,
        now_ms: u64,
    ) -> (u64, u64) {
        let queue = &job.spec.queue;
        let expected = |step: &StepSpec| self.durations.expected_ms(queue, step.estimate_ms);
        if job.spec.schedule.is_some() {
            return (expected(step), 0);
        }
        let done_ms = job.spec.critical_path_ms(|number, step| {
            if job.is_step_done(0, number as u32) {
                expected(step)
            } else {
                0
            }
        });
        let age_ms = now_ms.saturating_sub(job.first_read_ms);
        (expected(step), age_ms.saturating_sub(done_ms))
    }
}
