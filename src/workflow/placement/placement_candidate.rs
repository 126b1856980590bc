//! A worker as a placement pass sees it.

use std::rc::Rc;

use crate::workflow::SlowdownFactor;
use crate::workflow::StepSpec;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerResources;

/// A worker that accepts tasks.
pub(crate) struct PlacementCandidate {
    pub(crate) entry: Rc<WorkerEntry>,
    pub(crate) free: WorkerResources,
    pub(crate) has_long_running: bool,
    pub(crate) upkeep_due: bool,
    /// How many more tasks may be placed.
    pub(crate) slots: u32,
    /// How many tasks were placed beyond `slots`.
    pub(crate) excess: u32,
    /// The worker is tried with few tasks, whatever it is thought of.
    pub(crate) is_probe: bool,
    /// The worker is in quarantine.
    pub(crate) is_quarantined: bool,
    pub(crate) slowdown: SlowdownFactor,
    /// It is kept for a task that may crash it.
    pub(crate) is_kept: bool,
}

impl PlacementCandidate {
    pub(crate) fn rack(&self) -> Option<&str> {
        self.entry.rack()
    }

    pub(crate) fn is_slow(&self) -> bool {
        self.slowdown > SlowdownFactor::NONE && !self.is_probe
    }

    /// Returns whether a task of the step fits and ends in time, apart from the step's limit for
    /// each worker.
    pub(crate) fn fits(&self, step: &StepSpec, reserved: &WorkerResources, due: &DueTime) -> bool {
        (self.slots > 0 || due.ignores_health)
            && !self.is_kept
            && reserved.fits(&self.free)
            && self.has_label(step)
            && (!self.is_slow() || self.slowdown.stretch(due.expected_ms) <= due.limit_ms)
    }

    /// Takes one of the slots.
    pub(crate) fn take_slot(&mut self) {
        match self.slots {
            0 => self.excess += 1,
            _ => self.slots -= 1,
        }
    }

    /// Returns what was taken last.
    pub(crate) fn return_slot(&mut self) {
        match self.excess {
            0 => self.slots = self.slots.saturating_add(1),
            _ => self.excess -= 1,
        }
    }

    /// Returns whether distrust limits the tasks that are placed on the worker.
    pub(crate) fn is_limited(&self) -> bool {
        self.is_probe || self.is_quarantined || self.is_slow()
    }

    pub(crate) fn has_label(&self, step: &StepSpec) -> bool {
        let label = step.required_label.as_ref();
        label.is_none_or(|label| self.entry.labels.contains(label))
    }

    /// Returns a number that orders workers by when a task ends there; 0 for a worker as fast as
    /// expected.
    pub(crate) fn rank(&self) -> u64 {
        match (self.is_probe, self.slowdown) {
            (true, _) => 1,
            (false, SlowdownFactor::NONE) => 0,
            (false, slowdown) => slowdown.per_mille(),
        }
    }
}

/// Until when the tasks of a step should end on a slow worker; later, they end sooner by waiting.
pub(crate) struct DueTime {
    pub(crate) expected_ms: u64,
    /// The time in ms, from now, in which a task ends that waits for another worker.
    pub(crate) limit_ms: u64,
    /// The task has waited for so long that distrust no longer keeps it from a worker.
    pub(crate) ignores_health: bool,
}
