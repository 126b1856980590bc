//! Moves long-running tasks off workers that are about to leave.
//!
//! A worker that says that it leaves goes on for seconds and then ends with all of its tasks, without a
//! report. A task that is stopped before is without a run for as long as a stop and a start take; one
//! that is not, for as long as it takes to know that its worker has ended.

use std::collections::BTreeMap;
use std::slice::from_ref;

use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::CommandPhase;
use crate::workflow::JobEngine;
use crate::workflow::PlacementPool;
use crate::workflow::TaskName;

/// How long the tasks of a step leave one after another, as far as their step's `max_unavailable`
/// allows, in ms. From then on all that have a place to go are stopped: a worker may leave 2 s after it
/// said so, and a task takes up to a second to move.
const ORDERLY_MOVE_MS: u64 = 600;

impl JobEngine {
    /// Records that a worker is about to leave.
    pub(crate) fn record_leaving(&mut self, id: &WorkerId, now_ms: u64) {
        self.leaving_workers.entry(id.clone()).or_insert(now_ms);
    }

    /// Stops the long-running tasks of workers that are about to leave, as far as other workers have room
    /// for them, and reserves that room for this pass.
    pub(crate) fn move_leaving_tasks(
        &mut self,
        pools: &mut BTreeMap<ServiceId, PlacementPool>,
        now_ms: u64,
    ) {
        let workers = &self.workers;
        self.leaving_workers.retain(|id, _| {
            let worker = workers.get(id);
            worker.is_some_and(|worker| worker.entry.draining && worker.has_long_running())
        });
        let leaving: Vec<_> = self
            .leaving_workers
            .iter()
            .map(|(id, &since_ms)| (id.clone(), now_ms >= since_ms + ORDERLY_MOVE_MS))
            .collect();
        for (id, is_urgent) in leaving {
            let Some(worker) = self.workers.get(&id) else {
                continue;
            };
            let Some(pool) = pools.get_mut(&worker.entry.service) else {
                continue;
            };
            let tasks = worker.tasks.iter();
            let long_running = tasks.filter(|name| self.is_long_running(name));
            let long_running: Vec<_> = long_running.cloned().collect();
            for name in &long_running {
                self.move_leaving_task(name, is_urgent, pool, now_ms);
            }
        }
    }

    fn move_leaving_task(
        &mut self,
        name: &TaskName,
        is_urgent: bool,
        pool: &mut PlacementPool,
        now_ms: u64,
    ) {
        let state = self.jobs.get(&name.job).and_then(|job| job.task(name));
        let Some(phase) = state.and_then(|state| state.command_phase()) else {
            return;
        };
        let is_running = matches!(phase, CommandPhase::Accepted(_) | CommandPhase::Running);
        let is_stopping = matches!(phase, CommandPhase::Stopping | CommandPhase::Stopped(_));
        if !is_running && !is_stopping {
            return;
        }
        let has_place = !self.choose_workers(from_ref(name), pool, now_ms).is_empty();
        if is_running && has_place && (is_urgent || self.can_spare(name)) {
            self.request_stop(name, "its worker is about to leave");
        }
    }
}
