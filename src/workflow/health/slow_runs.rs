//! Moves runs from slow workers to others if they end sooner there.

use std::collections::BTreeMap;

use crate::id::WorkerId;
use crate::workflow::HealthState;
use crate::workflow::JobEngine;
use crate::workflow::StepSpec;
use crate::workflow::TaskName;
use crate::workflow::WorkerResources;
use crate::workflow::WorkerState;

/// The longest time that a stop takes, in ms; the platform states 200 to 900.
pub(crate) const STOP_MS: u64 = 900;

/// The time in ms from the release of a task to its next start: a commit and a call.
pub(crate) const START_MS: u64 = 50;

/// The longest time in ms that a run needs to resume from a checkpoint; the platform states 100 to
/// 600.
const RESUME_MS: u64 = 600;

/// The multiple of its expected duration for which a run that tries whether a worker has recovered is
/// left there: as long as on a worker that just does not count as slow.
const PROBE_AGES: u64 = 2;

impl JobEngine {
    /// Stops runs on slow workers that end sooner elsewhere. Nothing is moved while tasks wait, since
    /// these need the room.
    pub(crate) fn move_slow_runs(&mut self, now_ms: u64) {
        if self.has_waiting {
            return;
        }
        let slow = self.workers.iter().filter(|(_, worker)| {
            worker.health.pace.is_slow()
                && worker.unresponsive_since_ms == 0
                && !worker.tasks.is_empty()
        });
        let slow: Vec<_> = slow.map(|(id, _)| id.clone()).collect();
        if slow.is_empty() {
            return;
        }
        let mut room = self.free_fast_workers(now_ms);
        for id in slow {
            for (name, step) in self.late_runs(&id, now_ms) {
                if take_room(&mut room, &self.workers, &id, &step) {
                    self.request_stop(&name, "it ends sooner on another worker");
                }
            }
        }
    }

    /// Returns the free resources of the trusted workers that are as fast as expected.
    fn free_fast_workers(&self, now_ms: u64) -> BTreeMap<WorkerId, WorkerResources> {
        let is_fast = |worker: &WorkerState| {
            worker.accepts_tasks(now_ms)
                && worker.health.state(now_ms) == HealthState::Trusted
                && !worker.health.pace.is_slow()
        };
        let fast = self.workers.iter().filter(|(_, worker)| is_fast(worker));
        fast.map(|(id, worker)| (id.clone(), worker.free_capacity()))
            .collect()
    }

    /// Returns a slow worker's runs that would end sooner on a worker as fast as expected, and their
    /// steps. Without a checkpoint, a run starts from its beginning there. Of a run that has resumed,
    /// the work that is left is not known.
    fn late_runs(&self, id: &WorkerId, now_ms: u64) -> Vec<(TaskName, StepSpec)> {
        let Some(worker) = self.workers.get(id) else {
            return Vec::new();
        };
        let slowdown = worker.health.pace.slowdown();
        let is_probe = worker.health.is_probe(now_ms);
        let ends_sooner = |name: &TaskName| {
            let (age_ms, expected_ms) = self.age_and_expected_ms(name, now_ms)?;
            if is_probe && age_ms < expected_ms * PROBE_AGES {
                return None;
            }
            let left_ms = slowdown.stretch(expected_ms).saturating_sub(age_ms);
            let job = self.jobs.get(&name.job)?;
            let state = job.task(name)?;
            if state.last_run > 1 && !state.checkpoint.is_empty() {
                return None;
            }
            let elsewhere_ms = match self.is_resumable(name) {
                true => STOP_MS + START_MS + RESUME_MS + slowdown.shrink(left_ms),
                false => STOP_MS + START_MS + expected_ms,
            };
            let step = job.step(name.step)?;
            (left_ms > elsewhere_ms).then(|| (name.clone(), step.clone()))
        };
        worker.tasks.iter().filter_map(ends_sooner).collect()
    }
}

/// Reserves room for a task of a step on a worker of the same service as `from`; returns whether
/// there was any.
fn take_room(
    room: &mut BTreeMap<WorkerId, WorkerResources>,
    workers: &BTreeMap<WorkerId, WorkerState>,
    from: &WorkerId,
    step: &StepSpec,
) -> bool {
    let reserved = step.reserved();
    let service = workers.get(from).map(|worker| &worker.entry.service);
    let suits = |id: &WorkerId| {
        let entry = workers.get(id).map(|worker| &worker.entry);
        let label = step.required_label.as_ref();
        entry.is_some_and(|entry| {
            Some(&entry.service) == service
                && label.is_none_or(|label| entry.labels.contains(label))
        })
    };
    let mut fitting = room
        .iter_mut()
        .filter(|(id, free)| reserved.fits(free) && suits(id));
    let Some((_, free)) = fitting.next() else {
        return false;
    };
    *free = free.saturating_sub(&reserved);
    true
}
