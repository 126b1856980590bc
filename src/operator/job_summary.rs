//! What callers and operators see of a job.

use serde::Deserialize;
use serde::Serialize;

use crate::id::JobId;
use crate::id::TeamId;
use crate::job::JobRecord;

/// What callers and operators see of a job.
#[derive(Clone, Debug, Deserialize, Serialize)]
pub struct JobSummary {
    /// Its name.
    pub id: JobId,
    /// The team on whose quota it runs.
    pub team: TeamId,
    /// The kind of job.
    pub kind: String,
    /// Whether it goes before all others.
    pub urgent: bool,
    /// How far it has come.
    pub state: String,
    /// Whether it has ended.
    pub over: bool,
    /// The number of its runs so far.
    pub runs: u32,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// When its last run was placed, in milliseconds since the Unix epoch.
    pub placed_ms: u64,
    /// When it ended, in milliseconds since the Unix epoch.
    pub ended_ms: Option<u64>,
    /// When it must be done, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
}

impl JobSummary {
    /// Sums up a job's row.
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
