//! Keeps the durable row of each job within what the platform's table stores.
//!
//! A commit with a larger row is refused as a whole, and each later controller would meet the row
//! again. Jobs with many overlapping occurrences therefore run only as many tasks at a time as their
//! row holds.

use crate::id::JobId;
use crate::id::WorkerId;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;

impl JobEngine {
    /// Removes those of a job's waiting tasks, from the last one, for which its row has no room.
    pub(crate) fn retain_storable(&self, id: &JobId, waiting: &mut Vec<TaskName>) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        let added_bytes = |name: &TaskName| match job.task(name) {
            Some(state) if state.is_idle() => job.added_row_bytes(name, None, ""),
            _ => 0,
        };
        if waiting.iter().all(|name| added_bytes(name) == 0) {
            return;
        }
        let mut room = job.row_room();
        waiting.retain(|name| {
            let bytes = added_bytes(name);
            let fits = bytes <= room;
            if fits {
                room -= bytes;
            }
            fits
        });
    }

    /// Returns whether the row of a job has room for runs of these tasks on these workers. They resume
    /// from `checkpoint`, or each from its own.
    pub(crate) fn has_row_room(
        &self,
        id: &JobId,
        tasks: &[TaskName],
        workers: &[WorkerId],
        checkpoint: Option<&str>,
    ) -> bool {
        let Some(job) = self.jobs.get(id) else {
            return false;
        };
        let runs = tasks.iter().zip(workers);
        let added = runs.filter_map(|(name, worker)| {
            let state = job.task(name)?;
            let checkpoint = checkpoint.unwrap_or(&state.checkpoint);
            Some(job.added_row_bytes(name, Some(worker), checkpoint))
        });
        let added: usize = added.sum();
        added == 0 || added <= job.row_room()
    }
}
