//! Drains workers before a command to their host ends all of their tasks.

use crate::id::WorkerId;
use crate::workflow::CommandPhase;
use crate::workflow::CordonReason;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;
use crate::workflow::TaskState;

impl JobEngine {
    /// Cordons a worker, so that it gets no new tasks, or removes its cordon if `cordon` is `None`. One
    /// that is not listed yet is cordoned from the start: its host may list it earlier.
    pub fn set_cordon(&mut self, id: &WorkerId, cordon: Option<CordonReason>) {
        let Some(worker) = self.workers.get_mut(id) else {
            match cordon {
                Some(reason) => self.early_cordons.insert(id.clone(), reason),
                None => self.early_cordons.remove(id),
            };
            return;
        };
        if worker.cordon != cordon {
            log::info!("event=worker_cordoned worker={id} reason={cordon:?}");
            worker.cordon = cordon;
        }
    }

    /// Returns whether no tasks are placed on a worker. Those of an earlier controller may be, although
    /// the worker is not listed.
    pub fn is_vacant(&self, id: &WorkerId) -> bool {
        match self.workers.get(id) {
            Some(worker) => worker.tasks.is_empty(),
            None => !self.has_orphans(id),
        }
    }

    /// Stops a worker's long-running tasks as far as their steps' `max_unavailable` allows, and
    /// with `force` the other tasks too; returns whether the worker is empty.
    pub fn drain_worker(&mut self, id: &WorkerId, force: bool) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return true;
        };
        let tasks: Vec<_> = worker.tasks.iter().cloned().collect();
        for name in &tasks {
            let long_running = self.is_long_running(name);
            if long_running && self.can_spare(name) {
                self.request_stop(name, "its worker is being drained");
            } else if !long_running && force {
                self.request_stop(name, "forced drain of its worker");
            }
        }
        tasks.is_empty()
    }

    /// Returns whether a worker runs long-running tasks and all of them may be stopped now.
    pub fn can_spare_long_running(&self, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id).filter(|one| one.has_long_running()) else {
            return false;
        };
        let mut long_running = worker
            .tasks
            .iter()
            .filter(|name| self.is_long_running(name));
        long_running.all(|name| self.can_spare(name))
    }

    pub(crate) fn is_long_running(&self, name: &TaskName) -> bool {
        let job = self.jobs.get(&name.job);
        job.and_then(|job| job.step(name.step))
            .is_some_and(|step| step.long_running)
    }

    /// Stops the tasks of a worker that can resume on another one from their checkpoints.
    pub fn stop_resumable(&mut self, id: &WorkerId) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks = worker.tasks.iter().filter(|name| self.is_resumable(name));
        let tasks: Vec<_> = tasks.cloned().collect();
        for name in &tasks {
            self.request_stop(name, "it resumes on another worker");
        }
    }

    /// Returns whether a task runs and has a checkpoint to resume from. Members of gangs and
    /// long-running tasks never count as resumable.
    pub(crate) fn is_resumable(&self, name: &TaskName) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return false;
        };
        let step = job.step(name.step);
        let supports_resume =
            step.is_some_and(|step| step.checkpointable && !step.gang && !step.long_running);
        let state = job.task(name);
        supports_resume
            && state.is_some_and(|state| {
                state.command_phase() == Some(CommandPhase::Running) && !state.checkpoint.is_empty()
            })
    }

    /// Returns whether a command may end a running task without exceeding its step's
    /// `max_unavailable`; true for a step without this limit.
    pub fn can_spare(&self, name: &TaskName) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return true;
        };
        let Some(limit) = job.step(name.step).and_then(|step| step.max_unavailable) else {
            return true;
        };
        let is_available =
            |state: &TaskState| state.is_at_full_rate() && self.is_responsive(state.worker());
        let tasks = job.step_tasks(name.occurrence, name.step).iter();
        let unavailable = tasks.filter(|state| !is_available(state)).count();
        job.task(name).is_some_and(is_available) && (unavailable as u32) < limit
    }

    /// Returns whether a worker is known and answers, and what it lists is not about to be stopped.
    /// Tasks on an unresponsive worker may be lost.
    fn is_responsive(&self, worker: Option<&WorkerId>) -> bool {
        let worker = worker.and_then(|id| self.workers.get(id));
        worker.is_some_and(|worker| worker.unresponsive_since_ms == 0 && worker.has_settled())
    }
}
