//! The ends of workers' incarnations, and what becomes of their tasks.

use std::collections::BTreeSet;

use crate::id::WorkerId;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;
use crate::workflow::WorkerState;

impl JobEngine {
    /// Takes note that a worker's incarnation is over for good.
    pub fn end_incarnation(&mut self, id: &WorkerId, reason: &str, now_ms: u64) {
        if !self.ended_incarnations.insert(id.clone()) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
        }
        self.end_worker(id, reason, now_ms);
    }

    /// Takes note that nothing runs on a worker any more, though it may come back.
    fn end_worker(&mut self, id: &WorkerId, reason: &str, now_ms: u64) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        let tasks = worker.tasks.len();
        log::warn!("event=worker_lost worker={id} tasks={tasks} reason={reason:?}");
        for task in &worker.tasks {
            self.release_task(task);
        }
        if worker.listed {
            let mut fresh = WorkerState::new(worker.entry);
            fresh.record_unresponsive(now_ms);
            self.workers.insert(id.clone(), fresh);
        }
    }

    /// Releases the tasks of workers whose leases are surely over.
    pub fn expire_workers(&mut self, now_ms: u64) {
        let waited = now_ms > self.inherited_until_ms;
        let over = |worker: &WorkerState| {
            let unresponsive = worker.unresponsive_since_ms > 0;
            let unseen = waited && !worker.fenced;
            unresponsive && !worker.tasks.is_empty() && (worker.is_lease_expired(now_ms) || unseen)
        };
        let workers = self.workers.iter().filter(|(_, worker)| over(worker));
        let expired: Vec<_> = workers.map(|(id, _)| id.clone()).collect();
        for id in expired {
            self.end_worker(&id, "its lease is over", now_ms);
        }
        let gone = |worker: &WorkerState| !worker.listed && worker.tasks.is_empty();
        self.workers.retain(|_, worker| !gone(worker));
        if waited {
            self.release_orphans();
        }
    }

    /// Notes the workers that hosts listed just now; what an earlier controller placed on
    /// workers of which neither hosts nor the list of workers know has ended.
    pub fn reconcile_hosted_workers(&mut self, hosted: &BTreeSet<WorkerId>, now_ms: u64) {
        let unseen = self.workers.iter().filter(|(id, worker)| {
            !worker.fenced && !worker.tasks.is_empty() && !hosted.contains(id)
        });
        let unseen: Vec<_> = unseen.map(|(id, _)| id.clone()).collect();
        for id in unseen {
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

    /// Returns the placed tasks whose workers aren't known.
    fn orphans(&self) -> Vec<TaskName> {
        let mut orphans = Vec::new();
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            let lost = job.placed_tasks().filter(|(_, state)| {
                state
                    .worker()
                    .is_some_and(|worker| !self.workers.contains_key(worker))
            });
            orphans.extend(lost.map(|(name, _)| name));
        }
        orphans
    }

    fn release_orphans(&mut self) {
        for name in self.orphans() {
            log::warn!("event=task_orphaned task={name}");
            self.release_task(&name);
        }
    }
}
