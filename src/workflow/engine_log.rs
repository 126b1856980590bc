//! What the engine tells logs and metrics about the controller's work.

use crate::id::WorkerId;
use crate::process::LONG_RUNNING_TARGET;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;

/// The target of lines about tasks that end.
const TASK_TARGET: &str = "zincpier::workflow";

/// Returns the target of log lines about a job or task.
pub(crate) fn log_target(long_running: bool) -> &'static str {
    match long_running {
        true => LONG_RUNNING_TARGET,
        false => TASK_TARGET,
    }
}

impl JobEngine {
    /// Returns the target of log lines about a task.
    pub(crate) fn log_target(&self, task: &TaskName) -> &'static str {
        let step = self.jobs.get(&task.job).and_then(|job| job.step(task.step));
        log_target(step.is_some_and(|step| step.long_running))
    }

    /// Returns the number of tasks that wait for a worker, their step or capacity.
    pub(crate) fn waiting_task_count(&self) -> u64 {
        let jobs = self.waiting_jobs.iter().filter_map(|id| self.jobs.get(id));
        jobs.map(|job| job.waiting_task_count() as u64).sum()
    }

    /// Records when a worker's next renewal is due, in ms; `None` while one is on its way.
    pub(crate) fn record_next_renewal(&mut self, id: &WorkerId, due_ms: Option<u64>) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.next_renewal_ms = due_ms;
        }
    }

    /// Returns the longest time for which a renewal has been due and not sent, in ms.
    pub(crate) fn renewal_overdue_ms(&self, now_ms: u64) -> u64 {
        let workers = self.workers.values();
        let overdue = workers.map(|worker| worker.renewal_overdue_ms(now_ms));
        overdue.max().unwrap_or(0)
    }
}
