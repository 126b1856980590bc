//! The stored record of a job.

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

/// Key prefix of jobs that have not ended.
pub const OPEN_PREFIX: &str = "job/open/";
/// Key prefix of jobs that have ended.
pub const ENDED_PREFIX: &str = "job/ended/";
/// Key prefix of the rows that notify the job controller of submitted and cancelled jobs.
pub const INBOX_PREFIX: &str = "job/inbox/";

/// The life-cycle state of a job.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum JobState {
    /// Not placed on a worker.
    Waiting,
    /// Assigned to a worker; its task may be running.
    Placed(HostId),
    /// The task on the worker is being stopped.
    Stopping(HostId),
    /// The work is complete.
    Finished,
    /// The job ended without completing its work. Holds the reason.
    Failed(String),
    /// Ended by a caller's request.
    Cancelled,
    /// The job may have run, partly or completely, and must not run again. Holds the reason why its
    /// outcome is unknown.
    Unknown(String),
}

impl JobState {
    /// Returns whether the state is final.
    pub fn is_over(&self) -> bool {
        match self {
            Self::Waiting | Self::Placed(_) | Self::Stopping(_) => false,
            Self::Cancelled | Self::Failed(_) | Self::Finished | Self::Unknown(_) => true,
        }
    }

    /// Returns the worker of a placed or stopping job.
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

/// The row of a job; its fields are stored under their own names.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct JobRecord {
    /// Unique among open and ended jobs.
    pub id: JobId,
    /// The submitted request.
    pub spec: JobSpec,
    /// `Waiting` at submission.
    pub state: JobState,
    /// Number of the latest run; 0 before the first.
    pub run: u32,
    /// Saved progress, in milliseconds of work.
    #[serde(default)]
    pub saved_ms: u64,
    /// Workers on which the job has failed.
    #[serde(default, skip_serializing_if = "BTreeSet::is_empty")]
    pub failed_on: BTreeSet<HostId>,
    /// Whether a caller has asked to cancel the job.
    #[serde(default)]
    pub cancelled: bool,
    /// Time of submission, in milliseconds since the Unix epoch.
    pub submitted_ms: u64,
    /// Time of the last placement, in milliseconds since the Unix epoch; 0 before the first.
    #[serde(default)]
    pub placed_ms: u64,
    /// Time of the final state, in milliseconds since the Unix epoch.
    #[serde(default)]
    pub ended_ms: Option<u64>,
}

impl JobRecord {
    /// Creates the record of a newly submitted job.
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

    /// Returns the id of the latest run's task.
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

    /// Returns the record in a final state, ended at `now_ms`.
    #[must_use]
    pub fn with_end(&self, state: JobState, now_ms: u64) -> Self {
        Self {
            ended_ms: Some(now_ms),
            ..self.with_state(state)
        }
    }

    /// Returns the record placed on a worker, with the next run number.
    #[must_use]
    pub fn with_run_on(&self, host: HostId, now_ms: u64) -> Self {
        Self {
            run: self.run + 1,
            placed_ms: now_ms,
            ..self.with_state(JobState::Placed(host))
        }
    }

    /// Returns whether a stopped run can resume from a checkpoint or be repeated.
    pub fn can_move(&self) -> bool {
        self.spec.checkpoints || self.spec.repeatable
    }
}

/// A job with the revision of its row.
#[derive(Clone, Debug)]
pub struct StoredJob {
    /// The decoded row.
    pub record: JobRecord,
    /// Revision at which the row was read or written.
    pub revision: Revision,
}

impl StoredJob {
    /// Decodes a row; returns `None` if it is not a job record.
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

/// Returns the key of the row that notifies the job controller of a caller's change.
pub fn inbox_key(job: &JobId) -> String {
    format!("{INBOX_PREFIX}{job}")
}
