//! Emptying a worker before an order ends all that runs there.

use crate::id::WorkerId;
use crate::workflow::CommandPhase;
use crate::workflow::CordonReason;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;
use crate::workflow::TaskState;

impl JobEngine {
    /// Keeps new tasks off a worker for a reason, or lets them come again.
    pub fn set_cordon(&mut self, id: &WorkerId, cordon: Option<CordonReason>) {
        if let Some(worker) = self.workers.get_mut(id) {
            if worker.cordon != cordon {
                log::info!("event=worker_cordoned worker={id} reason={cordon:?}");
                worker.cordon = cordon;
            }
        }
    }

    /// Tells whether long-running tasks are on a worker.
    pub fn has_long_running(&self, id: &WorkerId) -> bool {
        let worker = self.workers.get(id);
        worker.is_some_and(|worker| worker.tasks.iter().any(|task| self.is_long_running(task)))
    }

    /// Moves long-running tasks off a worker as far as their steps can spare them, and with
    /// `force` stops the others too; returns whether the worker is empty.
    pub fn drain_worker(&mut self, id: &WorkerId, force: bool) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return true;
        };
        let tasks: Vec<_> = worker.tasks.iter().cloned().collect();
        for name in &tasks {
            let long_running = self.is_long_running(name);
            if long_running && self.can_spare(name) {
                self.request_stop(name, "its worker is emptied");
            } else if !long_running && force {
                self.request_stop(name, "its worker is emptied, late");
            }
        }
        tasks.is_empty()
    }

    fn is_long_running(&self, name: &TaskName) -> bool {
        let job = self.jobs.get(&name.job);
        job.and_then(|job| job.step(name.step))
            .is_some_and(|step| step.long_running)
    }

    /// Stops the tasks of a worker that resume elsewhere from their checkpoints.
    pub fn stop_resumable(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks = worker.tasks.iter().filter(|name| self.is_resumable(name));
        let tasks: Vec<_> = tasks.cloned().collect();
        for name in &tasks {
            self.request_stop(name, "it resumes elsewhere");
        }
    }

    /// Tells whether a task runs and has a checkpoint to resume from.
    fn is_resumable(&self, name: &TaskName) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return false;
        };
        let step = job.step(name.step);
        let kind = step.is_some_and(|step| step.checkpointable && !step.gang && !step.long_running);
        let state = job.task(name);
        kind && state.is_some_and(|state| {
            state.command_phase() == Some(CommandPhase::Running) && !state.checkpoint.is_empty()
        })
    }

    /// Tells whether an order may end a task as far as its step's bound goes.
    pub fn can_spare(&self, name: &TaskName) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return true;
        };
        let Some(limit) = job.step(name.step).and_then(|step| step.max_unavailable) else {
            return true;
        };
        let at_work =
            |state: &TaskState| state.is_at_full_rate() && self.is_responsive(state.worker());
        let tasks = job.step_tasks(name.occurrence, name.step).iter();
        let away = tasks.filter(|state| !at_work(state)).count();
        job.task(name).is_some_and(at_work) && (away as u32) < limit
    }

    /// Tells whether a worker answers; what runs on one that doesn't may be lost.
    fn is_responsive(&self, worker: Option<&WorkerId>) -> bool {
        let worker = worker.and_then(|id| self.workers.get(id));
        worker.is_some_and(|worker| worker.unresponsive_since_ms == 0)
    }
}
