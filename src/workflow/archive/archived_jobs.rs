//! The ended jobs whose submissions were replaced by rows of the ended jobs' table.

use std::collections::BTreeMap;

use crate::id::JobId;

/// How long the rows of ended jobs are kept; callers may look them up for 120 s.
const RETENTION_MS: u64 = 150_000;

/// The archived jobs that a controller knows of. They are never added to the engine again, and
/// their rows are deleted after their retention period.
#[derive(Debug, Default)]
pub struct ArchivedJobs {
    /// When this controller first knew that each job was archived, in ms.
    since_ms: BTreeMap<JobId, u64>,
}

impl ArchivedJobs {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a job; no effect if it is known.
    pub fn insert(&mut self, id: JobId, now_ms: u64) {
        self.since_ms.entry(id).or_insert(now_ms);
    }

    /// Returns whether the job is known to be archived.
    pub fn contains(&self, id: &JobId) -> bool {
        self.since_ms.contains_key(id)
    }

    /// Returns the jobs whose retention period is over.
    pub fn expired(&self, now_ms: u64) -> Vec<JobId> {
        let expired = self
            .since_ms
            .iter()
            .filter(|(_, &since_ms)| now_ms > since_ms + RETENTION_MS);
        expired.map(|(id, _)| id.clone()).collect()
    }

    /// Removes a job whose row was deleted.
    pub fn remove(&mut self, id: &JobId) {
        self.since_ms.remove(id);
    }
}
