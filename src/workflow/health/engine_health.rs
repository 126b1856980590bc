//! Learns the speed of workers from their ended and running tasks.

use std::collections::BTreeMap;

use crate::id::JobId;
use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::health::running_time::RunningTime;
use crate::workflow::health::running_time::MAX_REVIEW_MS;
use crate::workflow::health::stalled_workers::find_stalls;
use crate::workflow::health::stalled_workers::FoundStalls;
use crate::workflow::CommandPhase;
use crate::workflow::JobEngine;
use crate::workflow::JobState;
use crate::workflow::PlacementPool;
use crate::workflow::StepSpec;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::WorkerState;

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
            let unplaced = self.place_job(&id, pool, now_ms, wall_ms);
            attempts += unplaced.waiting.min(1);
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

    /// Updates the speeds of workers from their running tasks and from the other workers of their
    /// pools; returns the workers whose tasks show a stall, with their overdue tasks.
    ///
    /// Tasks younger than twice their expected duration tell nothing about a worker that is not slow,
    /// so only workers with older ones are looked at, and each worker with tasks once a second.
    pub(crate) fn review_workers(&mut self, now_ms: u64) -> Vec<(WorkerId, FoundStalls)> {
        let common = self.common_log_ratios();
        let (jobs, durations) = (&self.jobs, &self.durations);
        let times = |name: &TaskName| jobs.get(&name.job)?.running_time(name, durations, now_ms);
        let mut stalled = Vec::new();
        let mut running = Vec::new();
        self.fleet_health.reviewed_workers = 0;
        for (id, worker) in &mut self.workers {
            let common = common.get(&worker.entry.service).copied().unwrap_or(0.0);
            if !worker.is_review_due(common, now_ms) {
                continue;
            }
            self.fleet_health.reviewed_workers += 1;
            running.clear();
            // Tasks of a silent worker may have ended.
            if worker.unresponsive_since_ms == 0 {
                running.extend(worker.tasks.iter().map(times));
            }
            let due = running.iter().flatten().map(|time| time.review_in_ms());
            let next = due.min().unwrap_or(MAX_REVIEW_MS);
            worker.review_ms = match worker.unresponsive_since_ms {
                0 => now_ms + next,
                _ => now_ms,
            };
            let pace = &mut worker.health.pace;
            let was_slow = pace.is_slow();
            pace.set_common(common);
            let ages = running
                .iter()
                .flatten()
                .filter_map(RunningTime::age_and_expected_ms);
            pace.set_running(ages, now_ms);
            if pace.is_slow() != was_slow {
                let slowdown = pace.slowdown();
                log::info!("event=worker_pace_changed worker={id} slowdown={slowdown}");
            }
            let found = find_stalls(worker, &running, now_ms);
            if !found.overdue.is_empty() {
                stalled.push((id.clone(), found));
            }
        }
        stalled
    }

    /// Returns, for each pool whose tasks take longer than expected on most workers, the natural
    /// logarithm of the median ratio. It is due to the queues or to what the workers share.
    fn common_log_ratios(&self) -> BTreeMap<ServiceId, f64> {
        let listed = || self.workers.values().filter(|worker| worker.listed);
        let ratio = |worker: &WorkerState| worker.health.pace.log_ratio();
        let mut above: BTreeMap<&ServiceId, usize> = BTreeMap::new();
        for worker in listed().filter(|worker| ratio(worker) >= MIN_COMMON_LOG_RATIO) {
            *above.entry(&worker.entry.service).or_default() += 1;
        }
        let median = |(service, above): (&ServiceId, usize)| {
            let pool = || listed().filter(|worker| worker.entry.service == *service);
            if above <= pool().count() / 2 {
                return None;
            }
            let mut ratios: Vec<_> = pool().map(ratio).collect();
            let middle = (ratios.len() - 1) / 2;
            let (_, median, _) = ratios.select_nth_unstable_by(middle, f64::total_cmp);
            Some((service.clone(), *median))
        };
        above.into_iter().filter_map(median).collect()
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
