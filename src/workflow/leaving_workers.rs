//! Moves long-running tasks off workers that are about to leave.
//!
//! A worker that says that it leaves goes on for seconds and then ends with all of its tasks, without a
//! report. A task that is stopped before is without a run for as long as a stop and a start take; one
//! that is not, for as long as it takes to know that its worker has ended.

use std::collections::BTreeMap;

use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::CommandPhase;
use crate::workflow::FleetConfig;
use crate::workflow::JobEngine;
use crate::workflow::PlacementPool;
use crate::workflow::TaskName;
use crate::workflow::TaskState;

/// How long the tasks of a step leave one after another, as far as their step's `max_unavailable`
/// allows, in ms. From then on all that have a place to go are stopped: a worker may leave 2 s after it
/// said so, and a task takes up to a second to move.
const ORDERLY_MOVE_MS: u64 = 600;

/// A long-running task on a worker that is about to leave.
struct LeavingTask {
    name: TaskName,
    /// A stop of its run was requested.
    is_stopping: bool,
    /// The worker may leave before its tasks could move one after another.
    is_urgent: bool,
}

impl JobEngine {
    /// Records that a worker is about to leave.
    pub(crate) fn record_leaving(&mut self, id: &WorkerId, now_ms: u64) {
        self.leaving_workers.entry(id.clone()).or_insert(now_ms);
    }

    /// Stops the long-running tasks of workers that are about to leave, as far as other workers have room
    /// for them, and reserves that room for this pass.
    pub(crate) fn move_leaving_tasks(
        &mut self,
        config: &FleetConfig,
        pools: &mut BTreeMap<ServiceId, PlacementPool>,
        now_ms: u64,
    ) {
        let workers = &self.workers;
        self.leaving_workers.retain(|id, _| {
            let worker = workers.get(id);
            worker.is_some_and(|worker| worker.entry.draining && worker.has_long_running())
        });
        // Tasks of one step share the places that the step's limit on each worker leaves.
        let mut by_step: BTreeMap<_, Vec<LeavingTask>> = BTreeMap::new();
        for task in self.leaving_tasks(now_ms) {
            let key = (task.name.job.clone(), task.name.occurrence, task.name.step);
            by_step.entry(key).or_default().push(task);
        }
        for tasks in by_step.into_values() {
            let queue = self.jobs.get(&tasks[0].name.job);
            let queue = queue.and_then(|job| config.queue(&job.spec.queue));
            if let Some(pool) = queue.and_then(|queue| pools.get_mut(&queue.service)) {
                self.move_siblings(tasks, pool, now_ms);
            }
        }
    }

    fn leaving_tasks(&self, now_ms: u64) -> Vec<LeavingTask> {
        let mut leaving = Vec::new();
        for (id, &since_ms) in &self.leaving_workers {
            let tasks = self.workers.get(id).into_iter();
            let tasks = tasks.flat_map(|worker| &worker.tasks);
            for name in tasks.filter(|name| self.is_long_running(name)) {
                let state = self.jobs.get(&name.job).and_then(|job| job.task(name));
                let is_stopping = match state.and_then(TaskState::command_phase) {
                    Some(CommandPhase::Accepted(_) | CommandPhase::Running) => false,
                    Some(CommandPhase::Stopping | CommandPhase::Stopped(_)) => true,
                    _ => continue,
                };
                leaving.push(LeavingTask {
                    name: name.clone(),
                    is_stopping,
                    is_urgent: now_ms >= since_ms + ORDERLY_MOVE_MS,
                });
            }
        }
        leaving
    }

    /// Stops tasks of one step that have a place to go. Those that are being stopped keep theirs.
    fn move_siblings(
        &mut self,
        mut tasks: Vec<LeavingTask>,
        pool: &mut PlacementPool,
        now_ms: u64,
    ) {
        tasks.retain(|task| task.is_stopping || self.may_restart(&task.name, now_ms));
        tasks.sort_by_key(|task| !task.is_stopping);
        let names: Vec<_> = tasks.iter().map(|task| task.name.clone()).collect();
        let places = self.choose_workers(&names, pool, now_ms).len();
        let may_exceed = !names
            .first()
            .is_some_and(|name| self.is_sibling_stopping(name));
        for task in tasks.iter().take(places).filter(|task| !task.is_stopping) {
            if (task.is_urgent && may_exceed) || self.can_spare(&task.name) {
                self.request_stop(&task.name, "its worker is about to leave");
            }
        }
    }

    /// Returns whether a task of the same step is being stopped on a worker that stays. That stop must still
    /// be within the step's limit when it takes effect.
    fn is_sibling_stopping(&self, name: &TaskName) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return false;
        };
        let mut siblings = job.step_tasks(name.occurrence, name.step).iter();
        siblings.any(|state| {
            let is_stopping = matches!(
                state.command_phase(),
                Some(CommandPhase::Stopping | CommandPhase::Stopped(_))
            );
            let worker = state.worker();
            is_stopping && worker.is_some_and(|id| !self.leaving_workers.contains_key(id))
        })
    }

    /// Returns whether a running task may be started again once it is stopped, besides the room that it
    /// needs.
    fn may_restart(&self, name: &TaskName, now_ms: u64) -> bool {
        let Some(job) = self.jobs.get(&name.job) else {
            return false;
        };
        // Without the table no placement is durable.
        let is_startable = self.is_config_recent && !self.is_held(&name.job, now_ms);
        let is_trusted = job.task(name).is_some_and(|state| !state.is_suspect);
        let cap = self.cap_of(&job.spec);
        let is_within_cap = cap
            .is_none_or(|(organisation, cap)| cap.allows(&self.organisation_usage(organisation)));
        is_startable && is_trusted && is_within_cap
    }
}
