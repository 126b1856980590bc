//! Where the other tasks of a step run.

use std::collections::HashMap;

use crate::id::WorkerId;
use crate::workflow::StepSpec;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerState;

/// The placed tasks of one step, by worker and rack.
pub(crate) struct StepSiblings {
    by_worker: HashMap<WorkerId, u32>,
    by_rack: HashMap<String, u64>,
}

impl StepSiblings {
    pub(crate) fn new(step: &StepSpec, placed: &[&WorkerState]) -> Self {
        let mut siblings = Self {
            by_worker: HashMap::new(),
            by_rack: HashMap::new(),
        };
        for worker in placed {
            siblings.add(step, &worker.entry);
        }
        siblings
    }

    /// Counts a task on a worker, as far as the step depends on it.
    pub(crate) fn add(&mut self, step: &StepSpec, entry: &WorkerEntry) {
        if step.max_per_worker > 0 {
            *self.by_worker.entry(entry.id.clone()).or_default() += 1;
        }
        if step.long_running {
            let rack = entry.rack().unwrap_or_default().to_owned();
            *self.by_rack.entry(rack).or_default() += 1;
        }
    }

    /// Returns whether a worker holds fewer tasks of the step than `max_per_worker`.
    pub(crate) fn permit(&self, step: &StepSpec, id: &WorkerId) -> bool {
        step.max_per_worker == 0
            || self.by_worker.get(id).copied().unwrap_or(0) < step.max_per_worker
    }

    pub(crate) fn on_rack(&self, rack: Option<&str>) -> u64 {
        let count = self.by_rack.get(rack.unwrap_or_default());
        count.copied().unwrap_or(0)
    }
}
