//! Handles workers whose incarnation or lease has ended, and releases their tasks.

use std::collections::BTreeSet;

use crate::id::WorkerId;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;
use crate::workflow::TaskState;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerState;

impl JobEngine {
    /// Records that a worker's incarnation has ended for good and releases its tasks; the
    /// worker is not added again under this id.
    pub fn end_incarnation(&mut self, id: &WorkerId, reason: &str, now_ms: u64) {
        if !self.ended_incarnations.insert(id.clone()) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
        }
        self.resolve_lost_runs(id);
        self.end_worker(id, reason, now_ms);
    }

    /// Releases a worker's tasks; the worker stays known if the platform still lists it or it is to
    /// report lost runs.
    fn end_worker(&mut self, id: &WorkerId, reason: &str, now_ms: u64) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        // All runs of the worker are over.
        self.usage.retain_unplaced_runs(id, |_, _| false);
        let tasks = worker.tasks.len();
        log::warn!("event=worker_lost worker={id} tasks={tasks} reason={reason:?}");
        for task in &worker.tasks {
            self.release_task(task);
        }
        if worker.listed || self.has_lost_runs(id) {
            let mut fresh = WorkerState::new(WorkerEntry::clone(&worker.entry));
            fresh.listed = worker.listed;
            fresh.record_unresponsive(now_ms);
            self.workers.insert(id.clone(), fresh);
        }
    }

    /// Releases the tasks of workers whose leases are certain to have expired, and removes
    /// unlisted workers without tasks. Tasks that may be done are held back until their worker
    /// reports. A worker that has never answered this controller holds no
    /// lease once the inherited runs have ended.
    pub fn expire_workers(&mut self, now_ms: u64) {
        let inherited_runs_ended = now_ms > self.inherited_until_ms;
        let usage = &self.usage;
        let has_expired = |id: &WorkerId, worker: &WorkerState| {
            let unresponsive = worker.unresponsive_since_ms > 0;
            let never_answered = inherited_runs_ended && !worker.has_accepted_epoch;
            unresponsive
                && (!worker.tasks.is_empty() || usage.has_unplaced_runs(id))
                && (worker.is_lease_expired(now_ms) || never_answered)
        };
        let workers = self
            .workers
            .iter()
            .filter(|(id, worker)| has_expired(id, worker));
        let expired: Vec<_> = workers.map(|(id, _)| id.clone()).collect();
        for id in expired {
            // The runs of a worker that never answered were waited for all the while.
            let worker = self.workers.get(&id);
            if worker.is_some_and(|worker| worker.has_accepted_epoch) {
                self.hold_lost_runs(&id, now_ms);
            }
            self.end_worker(&id, "its lease has expired", now_ms);
        }
        self.expire_lost_runs(now_ms);
        let (lost_runs, usage) = (&self.lost_runs, &self.usage);
        self.workers.retain(|id, worker| {
            let has_runs = !worker.tasks.is_empty() || usage.has_unplaced_runs(id);
            worker.listed || has_runs || lost_runs.contains_key(id)
        });
        if inherited_runs_ended {
            self.release_orphans();
        }
    }

    /// Releases inherited tasks whose worker no host lists, because such a worker has ended. Only
    /// workers that are unknown or have not answered this controller are checked.
    pub fn reconcile_hosted_workers(&mut self, hosted: &BTreeSet<WorkerId>, now_ms: u64) {
        let unhosted = self.workers.iter().filter(|(id, worker)| {
            let has_runs = !worker.tasks.is_empty() || self.has_lost_runs(id);
            !worker.has_accepted_epoch && has_runs && !hosted.contains(id)
        });
        let unhosted: Vec<_> = unhosted.map(|(id, _)| id.clone()).collect();
        for id in unhosted {
            self.end_incarnation(&id, "no host lists it", now_ms);
        }
        for name in self.orphans() {
            let job = self.jobs.get(&name.job);
            let worker = job.and_then(|job| job.task(&name)?.worker());
            if worker.is_some_and(|worker| !hosted.contains(worker)) {
                log::warn!("event=task_orphaned task={name} reason=\"no host lists its worker\"");
                self.release_task(&name);
            }
        }
    }

    /// Returns the placed tasks whose workers are unknown: only restored ones, since all others are
    /// placed on known workers.
    fn orphans(&self) -> Vec<TaskName> {
        let is_placed_on = |name: &TaskName, worker: &WorkerId| {
            let job = self.jobs.get(&name.job);
            job.and_then(|job| job.task(name)?.worker()) == Some(worker)
        };
        let restored = self.restored_placements.iter();
        let orphans = restored.flat_map(|(worker, names)| {
            let placed = names.iter().filter(move |name| is_placed_on(name, worker));
            placed.cloned()
        });
        orphans.collect()
    }

    /// Adds the tasks that were restored as placed on a new worker and have not been released
    /// since. All other tasks are placed on known workers.
    pub(crate) fn add_restored_tasks(&mut self, worker: &mut WorkerState) {
        let placements = self.restored_placements.remove(&worker.entry.id);
        for name in placements.unwrap_or_default() {
            let Some(job) = self.jobs.get(&name.job) else {
                continue;
            };
            let state = job.task(&name);
            if state.and_then(TaskState::worker) == Some(&worker.entry.id) {
                let step = &job.spec.steps[name.step as usize];
                worker.add_task(name, step);
            }
        }
    }

    fn release_orphans(&mut self) {
        for name in self.orphans() {
            log::warn!("event=task_orphaned task={name}");
            self.release_task(&name);
        }
    }
}
