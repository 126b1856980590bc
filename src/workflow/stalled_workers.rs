//! Workers whose tasks stand still or crawl.
//!
//! Load: some workers stop making progress for seconds, or take several times as long, while
//! they answer and accept tasks. What is placed there is late; tasks that are far over what
//! their queue's tasks take are started elsewhere when nothing ends on their worker.

use crate::id::WorkerId;
use crate::workflow::CommandPhase;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;

/// A task is overdue after this many times the expected duration, in percent.
const OVERDUE_PERCENT: u64 = 230;

/// A single task is taken for stuck after this many times the expected duration, in percent.
const STUCK_PERCENT: u64 = 330;

/// What is added to both, in ms: starting, resuming and reporting.
const OVERHEAD_MS: u64 = 600;

/// The overdue tasks without any end between that show a stalled worker.
const MIN_OVERDUE_TASKS: usize = 2;

/// The time between two looks, in ms.
const STALL_CHECK_INTERVAL_MS: u64 = 250;

impl JobEngine {
    /// Leaves stalled workers alone for a while and stops their overdue tasks, so that they
    /// are started elsewhere.
    pub fn release_stalled(&mut self, now_ms: u64) {
        if now_ms < self.last_stall_check_ms + STALL_CHECK_INTERVAL_MS {
            return;
        }
        self.last_stall_check_ms = now_ms;
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for id in ids {
            let overdue = self.overdue_tasks(&id, now_ms);
            if overdue.is_empty() {
                continue;
            }
            log::warn!(
                "event=worker_distrusted worker={id} reason=\"tasks stand still\" overdue={}",
                overdue.len()
            );
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.quarantine(now_ms);
            }
            for name in &overdue {
                self.record_failed_on(name, &id);
                self.request_stop(name, "it stands still");
            }
        }
    }

    /// Returns the tasks to be taken off a worker, none if the worker makes progress.
    fn overdue_tasks(&self, id: &WorkerId, now_ms: u64) -> Vec<TaskName> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        if worker.unresponsive_since_ms > 0 {
            return Vec::new();
        }
        let mut overdue = Vec::new();
        let mut stuck = false;
        for name in &worker.tasks {
            let Some((age_ms, expected_ms)) = self.age_and_expected_ms(name, now_ms) else {
                continue;
            };
            // An end since the task became due shows that the worker goes on.
            if worker.last_success_ms + expected_ms + OVERHEAD_MS > now_ms {
                continue;
            }
            if age_ms > expected_ms * OVERDUE_PERCENT / 100 + OVERHEAD_MS {
                overdue.push(name.clone());
            }
            stuck |= age_ms > expected_ms * STUCK_PERCENT / 100 + OVERHEAD_MS;
        }
        if overdue.len() >= MIN_OVERDUE_TASKS || stuck {
            overdue
        } else {
            Vec::new()
        }
    }

    /// Returns for how long a task with an end has run, and what is expected of it, in ms.
    fn age_and_expected_ms(&self, name: &TaskName, now_ms: u64) -> Option<(u64, u64)> {
        let job = self.jobs.get(&name.job)?;
        let step = job.step(name.step)?;
        if step.long_running || step.gang || job.phase.has_ended() {
            return None;
        }
        match &job.task(name)?.phase {
            TaskPhase::Placed {
                command: CommandPhase::Running,
                since_ms,
                ..
            } => {
                let expected = self
                    .durations
                    .history_based_ms(&job.spec.queue, step.estimate_ms)?;
                Some((now_ms.saturating_sub(*since_ms), expected))
            }
            _ => None,
        }
    }

    /// Notes that a task did badly on a worker, so that its next run prefers others.
    pub(crate) fn record_failed_on(&mut self, name: &TaskName, worker: &WorkerId) {
        let job = self.jobs.get_mut(&name.job);
        if let Some(state) = job.and_then(|job| job.task_mut(name)) {
            state.failed_on.push(worker.clone());
        }
    }
}
