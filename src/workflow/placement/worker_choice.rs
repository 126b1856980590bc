//! Chooses workers for waiting tasks, by what their job and its organisation allow.

use crate::id::WorkerId;
use crate::workflow::JobEngine;
use crate::workflow::PlacementPool;
use crate::workflow::StepSpec;
use crate::workflow::TaskName;
use crate::workflow::TaskState;
use crate::workflow::WorkerState;

/// The time for which a job has waited for room from which on distrust no longer keeps its tasks from workers of
/// a pool that is mostly idle, in ms.
const MAX_DISTRUST_WAIT_MS: u64 = 1_500;

impl JobEngine {
    /// Like [`Self::choose_workers`]; ends the quarantine of workers that tasks which have waited for long need.
    pub(crate) fn choose_for_step(
        &mut self,
        waiting: &[TaskName],
        pool: &mut PlacementPool,
        now_ms: u64,
    ) -> Vec<WorkerId> {
        let chosen = self.choose_workers(waiting, pool, now_ms);
        let first = waiting.first().filter(|_| chosen.len() < waiting.len());
        let job = first.and_then(|name| self.jobs.get(&name.job));
        let since_ms = job.and_then(|job| job.waiting_since_ms);
        let has_waited = since_ms.is_some_and(|at_ms| now_ms >= at_ms + MAX_DISTRUST_WAIT_MS);
        if !has_waited || !pool.may_ignore_health() {
            return chosen;
        }
        let Some((step, states, placed)) = self.placement_inputs(waiting) else {
            return chosen;
        };
        pool.release(step, &chosen);
        let chosen = pool.choose_despite_health(step, &states, &placed);
        let is_gang = step.gang;
        if !is_gang || chosen.len() == waiting.len() {
            self.end_quarantines(&chosen, now_ms);
        }
        chosen
    }

    /// Returns the step of waiting tasks, their states, and the workers of its placed tasks.
    fn placement_inputs(
        &self,
        waiting: &[TaskName],
    ) -> Option<(&StepSpec, Vec<&TaskState>, Vec<&WorkerState>)> {
        let name = waiting.first()?;
        let job = self.jobs.get(&name.job)?;
        let step = job.step(name.step)?;
        let states = waiting.iter().filter_map(|name| job.task(name)).collect();
        // Siblings matter only to few steps.
        let placed = match step.long_running || step.max_per_worker > 0 {
            true => {
                let siblings = job.step_tasks(name.occurrence, name.step).iter();
                let placed = siblings.filter_map(|state| self.workers.get(state.worker()?));
                placed.collect()
            }
            false => Vec::new(),
        };
        Some((step, states, placed))
    }

    /// Chooses workers for waiting tasks of one step, in order, until one fits nowhere.
    pub(crate) fn choose_workers(
        &self,
        waiting: &[TaskName],
        pool: &mut PlacementPool,
        now_ms: u64,
    ) -> Vec<WorkerId> {
        let inputs = self.placement_inputs(waiting);
        let job = waiting.first().and_then(|name| self.jobs.get(&name.job));
        let (Some((step, states, placed)), Some(job)) = (inputs, job) else {
            return Vec::new();
        };
        // Times matter to slow workers only.
        let times = match pool.has_slow_workers() {
            true => self.expected_and_waited_ms(job, step, now_ms),
            false => (0, 0),
        };
        pool.choose_workers(step, &states, &placed, times)
    }
}
