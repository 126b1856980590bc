//! Public view of a job, returned by the job API.

use serde::Deserialize;
use serde::Serialize;

use crate::id::JobId;
use crate::id::TeamId;
use crate::job::JobRecord;

/// State of a job as callers and operators see it.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobSummary {
    /// Derived from team and idempotency key.
    pub id: JobId,
    /// The team whose quota it uses.
    pub team: TeamId,
    /// Submitter-defined kind; jobs of one team and kind are expected to use similar resources.
    pub kind: String,
    /// Whether it is scheduled before all non-urgent jobs.
    pub urgent: bool,
    /// `waiting`, `on HOST`, `stopping on HOST`, `finished`, `failed: REASON`, `cancelled` or
    /// `unknown: REASON`.
    pub state: String,
    /// Whether `state` is final.
    pub over: bool,
    /// Number of runs so far.
    pub runs: u32,
    /// Submission time, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Placement time of the latest run, in milliseconds since the Unix epoch; 0 before the first.
    pub placed_ms: u64,
    /// End time, in milliseconds since the Unix epoch; `None` while it is open.
    pub ended_ms: Option<u64>,
    /// Deadline for completion, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
}

impl JobSummary {
    /// Builds the view from the job's table row.
    pub fn new(record: &JobRecord) -> Self {
        Self {
            id: record.id.clone(),
            team: record.spec.team.clone(),
            kind: record.spec.kind.clone(),
            urgent: record.spec.urgent,
            state: record.state.to_string(),
            over: record.state.is_over(),
            runs: record.run,
            submitted_ms: record.submitted_ms,
            placed_ms: record.placed_ms,
            ended_ms: record.ended_ms,
            deadline_ms: record.spec.deadline_ms,
        }
    }
}
