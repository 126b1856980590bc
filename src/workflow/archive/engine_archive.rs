//! What the engine knows of submissions, and the archiving of ended jobs.

use crate::id::JobId;
use crate::id::Revision;
use crate::workflow::JobEngine;
use crate::workflow::JobState;
use crate::workflow::JobStatus;

/// How long ended jobs stay with the open ones. Most callers look up a job soon after its end,
/// and find it with one read until then.
const ARCHIVE_DELAY_MS: u64 = 10_000;

/// An ended job that can be archived.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EndedJob {
    /// The job.
    pub id: JobId,
    /// Its final phase and its owner.
    pub status: JobStatus,
    /// The revision of its submission's row.
    pub submitted_revision: Revision,
}

impl JobEngine {
    /// Sets the time since a known job's submission, in ms. Without it, the job counts as submitted
    /// when this controller first read it.
    pub fn set_job_age(&mut self, id: &JobId, age_ms: u64, now_ms: u64) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.first_read_ms = job.first_read_ms.min(now_ms.saturating_sub(age_ms));
        }
    }

    /// Returns the jobs without placed tasks that ended some time ago.
    pub fn archivable_jobs(&self, now_ms: u64) -> Vec<EndedJob> {
        let is_due = |job: &&JobState| {
            let closed = !self.open_jobs.contains(&job.id) && !self.is_unsaved(&job.id);
            closed && job.phase.has_ended() && now_ms > job.ended_ms + ARCHIVE_DELAY_MS
        };
        let ended = |job: &JobState| EndedJob {
            id: job.id.clone(),
            status: job.status(),
            submitted_revision: job.submitted_revision,
        };
        self.jobs.values().filter(is_due).map(ended).collect()
    }

    /// Removes a job whose submission was archived.
    pub fn archive_job(&mut self, id: &JobId, now_ms: u64) {
        if let Some(job) = self.jobs.remove(id) {
            self.usage.record_archived(id, &job.spec, now_ms);
        }
        self.oversized_jobs.remove(id);
        self.refused_jobs.remove(id);
        self.archived.insert(id.clone(), now_ms);
    }

    /// Sets the revision of a known job's submission.
    pub fn set_submitted_revision(&mut self, id: &JobId, revision: Revision) {
        if let Some(job) = self.jobs.get_mut(id) {
            job.submitted_revision = revision;
        }
    }

    /// Remembers the loaded progress rows `ids` that belong to no loaded job.
    pub(crate) fn set_leftover_progress<'a>(&mut self, ids: impl Iterator<Item = &'a String>) {
        let ids = ids.filter_map(|id| id.parse().ok());
        let leftover = ids.filter(|id| !self.jobs.contains_key(id));
        self.leftover_progress = leftover.collect();
    }

    /// Takes the jobs with loaded progress but without submissions.
    pub(crate) fn take_leftover_progress(&mut self) -> Vec<JobId> {
        std::mem::take(&mut self.leftover_progress)
    }
}
