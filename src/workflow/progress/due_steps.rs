//! The occurrences of a job that are due, and the steps that are ready in them.

use std::iter::successors;

use crate::workflow::job_spec::MAX_OCCURRENCE_TASKS;
use crate::workflow::JobState;

impl JobState {
    /// Returns the steps that are ready, with their occurrences: those of all occurrences that have begun, and of
    /// the first due ones that have not, as many as the durable row could hold runs of.
    pub(crate) fn ready_steps(&self, wall_ms: u64) -> Vec<(u32, u32)> {
        let mut tasks_left = MAX_OCCURRENCE_TASKS as usize;
        let due = self.due_occurrences(wall_ms);
        let untouched = due.filter(|occurrence| !self.begun.contains_key(occurrence));
        let untouched = untouched.take_while(|_| {
            let is_left = tasks_left > 0;
            tasks_left = tasks_left.saturating_sub(self.tasks_per_occurrence().max(1));
            is_left
        });
        let mut occurrences: Vec<_> = untouched.chain(self.begun.keys().copied()).collect();
        occurrences.sort_unstable();
        let steps = |occurrence| {
            let steps = 0..self.spec.steps.len() as u32;
            let ready = steps.filter(move |&step| self.is_step_ready(occurrence, step));
            ready.map(move |step| (occurrence, step))
        };
        occurrences.into_iter().flat_map(steps).collect()
    }

    /// Returns whether an occurrence is due and not done, or has begun.
    pub(crate) fn has_due_work(&self, wall_ms: u64) -> bool {
        !self.begun.is_empty() || self.due_occurrences(wall_ms).next().is_some()
    }

    /// Iterates over the occurrences that are due and not done.
    pub(crate) fn due_occurrences(&self, wall_ms: u64) -> impl Iterator<Item = u32> + '_ {
        let due = self.spec.due_occurrences(wall_ms);
        let first = self.done.next_absent(0);
        let next = |occurrence: &u32| Some(self.done.next_absent(occurrence + 1));
        let absent = successors(Some(first), next);
        absent.take_while(move |&occurrence| occurrence < due)
    }
}
