//! The row of a job.

use std::collections::BTreeSet;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::JobId;
use crate::id::Revision;
use crate::id::TaskId;
use crate::job::JobSpec;
use crate::provider::TableRow;

/// The prefix of the rows of jobs that have not ended.
pub const OPEN_PREFIX: &str = "job/open/";
/// The prefix of the rows of jobs that have ended.
pub const ENDED_PREFIX: &str = "job/ended/";
/// The prefix of the rows that name jobs which callers have submitted or cancelled.
pub const INBOX_PREFIX: &str = "job/inbox/";

/// How far a job has come.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// It waits for a worker.
    Waiting,
    /// It is a worker's; its task may run.
    Placed(HostId),
    /// Its task is being stopped.
    Stopping(HostId),
    /// It has done its work.
    Finished,
    /// It will not be done, for a reason.
    Failed(String),
    /// It was cancelled.
    Cancelled,
    /// It may have run, wholly or in part, and does not run again.
    Unknown(String),
}

impl JobState {
    /// Tells whether the job has ended.
    pub fn is_over(&self) -> bool {
        match self {
            Self::Waiting | Self::Placed(_) | Self::Stopping(_) => false,
            Self::Cancelled | Self::Failed(_) | Self::Finished | Self::Unknown(_) => true,
        }
    }

    /// Returns the worker that the job is on.
    pub fn host(&self) -> Option<&HostId> {
        match self {
            Self::Placed(host) | Self::Stopping(host) => Some(host),
            _ => None,
        }
    }
}

impl fmt::Display for JobState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Waiting => formatter.pad("waiting"),
            Self::Placed(host) => write!(formatter, "on {host}"),
            Self::Stopping(host) => write!(formatter, "stopping on {host}"),
            Self::Finished => formatter.pad("finished"),
            Self::Failed(reason) => write!(formatter, "failed: {reason}"),
            Self::Cancelled => formatter.pad("cancelled"),
            Self::Unknown(reason) => write!(formatter, "unknown: {reason}"),
        }
    }
}

/// The row of a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// Its name.
    pub id: JobId,
    /// What was asked for.
    pub spec: JobSpec,
    /// How far it has come.
    pub state: JobState,
    /// The number of the run that the state speaks of, 0 before the first.
    pub run: u32,
    /// The progress that was saved, in milliseconds of work.
    #[serde(default)]
    pub saved_ms: u64,
    /// The workers on which it has failed.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub failed_on: BTreeSet<HostId>,
    /// Whether it is to be cancelled.
    #[serde(default)]
    pub cancelled: bool,
    /// When it was submitted, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// When its last run was placed, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub placed_ms: u64,
    /// When it ended, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub ended_ms: Option<u64>,
}

impl JobRecord {
    /// Creates the row of a job that was just submitted.
    pub fn new(id: JobId, spec: JobSpec, submitted_ms: u64) -> Self {
        Self {
            id,
            spec,
            state: JobState::Waiting,
            run: 0,
            saved_ms: 0,
            failed_on: BTreeSet::new(),
            cancelled: false,
            submitted_ms,
            placed_ms: 0,
            ended_ms: None,
        }
    }

    /// Returns the name of the current run.
    pub fn task(&self) -> TaskId {
        TaskId::new(self.id.clone(), self.run)
    }

    /// Returns the record in another state.
    #[must_use]
    pub fn with_state(&self, state: JobState) -> Self {
        Self {
            state,
            ..self.clone()
        }
    }

    /// Returns the record as ended at `now_ms`.
    #[must_use]
    pub fn with_end(&self, state: JobState, now_ms: u64) -> Self {
        Self {
            ended_ms: Some(now_ms),
            ..self.with_state(state)
        }
    }

    /// Returns the record as placed on a worker for its next run.
    #[must_use]
    pub fn with_run_on(&self, host: HostId, now_ms: u64) -> Self {
        Self {
            run: self.run + 1,
            placed_ms: now_ms,
            ..self.with_state(JobState::Placed(host))
        }
    }

    /// Tells whether the run can be stopped without the job being lost.
    pub fn can_move(&self) -> bool {
        self.spec.checkpoints || self.spec.repeatable
    }
}

/// A job with the revision of its row.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// The row.
    pub record: JobRecord,
    /// The row's revision.
    pub revision: Revision,
}

impl StoredJob {
    /// Reads a job's row.
    pub(super) fn from_row(row: TableRow) -> Option<Self> {
        let record = serde_json::from_value(row.value).ok()?;
        let revision = row.revision;
        Some(Self { record, revision })
    }
}

/// Returns the key of the row of a job that has not ended.
pub fn open_key(job: &JobId) -> String {
    format!("{OPEN_PREFIX}{job}")
}

/// Returns the key of the row of a job that has ended.
pub fn ended_key(job: &JobId) -> String {
    format!("{ENDED_PREFIX}{job}")
}

/// Returns the key of the row that tells the job controller of a change by a caller.
pub fn inbox_key(job: &JobId) -> String {
    format!("{INBOX_PREFIX}{job}")
}
