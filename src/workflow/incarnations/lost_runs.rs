//! Holds back tasks whose worker's lease has expired, until the worker reports how their runs
//! ended.
//!
//! Such a run may have ended as done while the worker could not be reached. Only the worker's list
//! of ends tells; without it, the task would be started again after it was done.

use std::collections::BTreeSet;

use crate::id::WorkerId;
use crate::workflow::CommandPhase;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::TaskState;
use crate::workflow::WorkerReport;

/// The limit on how long tasks are held back for a worker that stays silent: as long as the longest
/// lease that a worker grants.
pub(crate) const MAX_SILENCE_MS: u64 = 10_000;

/// The runs that were lost with one worker's lease.
#[derive(Default)]
pub(crate) struct LostRuns {
    since_ms: u64,
    tasks: BTreeSet<TaskName>,
}

impl JobEngine {
    /// Holds back the tasks of a worker whose lease has expired, once they are released, for
    /// [`MAX_SILENCE_MS`] from `since_ms`. Excepted are tasks whose start was not sent, long-running ones,
    /// which are restarted however they end, and those of ended jobs.
    pub(crate) fn hold_lost_runs(&mut self, id: &WorkerId, since_ms: u64) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let held = worker.tasks.iter().filter(|name| self.may_be_done(name));
        let held: Vec<_> = held.cloned().collect();
        for name in held {
            let job = self.jobs.get_mut(&name.job);
            let Some(state) = job.and_then(|job| job.task_mut(&name)) else {
                continue;
            };
            state.lost_on = Some(id.clone());
            let lost = self.lost_runs.entry(id.clone()).or_default();
            lost.since_ms = since_ms;
            lost.tasks.insert(name);
        }
    }

    /// Returns whether tasks are held back for a worker's report.
    pub(crate) fn has_lost_runs(&self, id: &WorkerId) -> bool {
        self.lost_runs.contains_key(id)
    }

    /// Returns the tasks that are held back for a worker's report.
    pub(crate) fn lost_tasks(&self, id: &WorkerId) -> impl Iterator<Item = &TaskName> {
        let lost = self.lost_runs.get(id).into_iter();
        lost.flat_map(|lost| &lost.tasks)
    }

    /// Lets a task be placed again if it is held back for this worker's report; returns whether it
    /// was.
    pub(crate) fn resolve_lost_run(&mut self, name: &TaskName, id: &WorkerId) -> bool {
        if let Some(lost) = self.lost_runs.get_mut(id) {
            lost.tasks.remove(name);
            if lost.tasks.is_empty() {
                self.lost_runs.remove(id);
            }
        }
        let is_held = |state: &&TaskState| state.lost_on.as_ref() == Some(id);
        if self.task_state(name).filter(is_held).is_none() {
            return false;
        }
        let job = self.jobs.get_mut(&name.job);
        let Some(state) = job.and_then(|job| job.task_mut(name)) else {
            return false;
        };
        state.lost_on = None;
        self.changed.insert(name.job.clone());
        state.phase == TaskPhase::Waiting
    }

    /// Lets the tasks be placed again whose runs a worker lists neither as running nor, any more,
    /// as ended. `sent_ms` is when its report was requested.
    pub(crate) fn resolve_listed_runs(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        sent_ms: u64,
    ) {
        // A missing run may be among the ends that the report leaves out.
        if report.has_more_ends {
            return;
        }
        let Some(lost) = self.lost_runs.get(id) else {
            return;
        };
        if sent_ms < lost.since_ms {
            return;
        }
        let runs = |name: &TaskName| {
            let mut running = report.running.iter().map(|running| &running.task);
            running.any(|task| task == name) || report.unreadable_tasks().any(|task| task == name)
        };
        let over: Vec<_> = lost
            .tasks
            .iter()
            .filter(|name| !runs(name))
            .cloned()
            .collect();
        for name in over {
            self.resolve_lost_run(&name, id);
        }
    }

    /// Lets all tasks be placed again that are held back for a worker's report.
    pub(crate) fn resolve_lost_runs(&mut self, id: &WorkerId) {
        let tasks = self.lost_runs.remove(id).unwrap_or_default().tasks;
        for name in tasks {
            self.resolve_lost_run(&name, id);
        }
    }

    /// Gives up the reports of workers that stay silent.
    pub(crate) fn expire_lost_runs(&mut self, now_ms: u64) {
        let silent = self
            .lost_runs
            .iter()
            .filter(|(_, lost)| now_ms > lost.since_ms + MAX_SILENCE_MS);
        let silent: Vec<_> = silent
            .map(|(id, lost)| (id.clone(), lost.tasks.len()))
            .collect();
        for (id, tasks) in silent {
            log::warn!(
                "event=lost_runs_repeated worker={id} tasks={tasks} reason=\"it stays silent\""
            );
            self.resolve_lost_runs(&id);
        }
    }

    fn may_be_done(&self, name: &TaskName) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return false;
        };
        let long_running = job.step(name.step).is_some_and(|step| step.long_running);
        let phase = job.task(name).and_then(|state| state.command_phase());
        let is_sent = phase.is_some_and(|phase| phase != CommandPhase::Committing);
        is_sent && !long_running && !job.phase.has_ended()
    }
}
