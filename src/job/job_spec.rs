//! The request with which a team submits a job.

use serde::Deserialize;
use serde::Serialize;

use crate::id::ServiceId;
use crate::id::TeamId;
use crate::job::JobSize;

/// A submitted job; unknown fields are rejected.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team whose quota the job counts against.
    pub team: TeamId,
    /// The service whose workers run the job.
    pub service: ServiceId,
    /// Kind of job; jobs of one team and kind are expected to use similar resources.
    pub kind: String,
    /// Declared use; replaced by an estimate once a job of the same team and kind has finished.
    pub size: JobSize,
    /// Declared run time, in milliseconds; replaced by an estimate like `size`.
    pub run_ms: u64,
    /// Latest end, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Whether it has priority over all other jobs.
    #[serde(default)]
    pub urgent: bool,
    /// Whether it may run again from the start after a run that did not complete.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether it can save a checkpoint and resume from it.
    #[serde(default)]
    pub checkpoints: bool,
    /// Description of the work, passed to the worker as it is.
    #[serde(default)]
    pub work: String,
}

impl JobSpec {
    /// Returns whether another submission requests the same job. The deadline is not compared; that
    /// of the first submission applies.
    pub fn is_same_job(&self, other: &Self) -> bool {
        let deadline_ms = self.deadline_ms;
        *self
            == Self {
                deadline_ms,
                ..other.clone()
            }
    }
}
