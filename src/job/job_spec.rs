//! What a team asks for with a job.

use serde::Deserialize;
use serde::Serialize;

use crate::id::ServiceId;
use crate::id::TeamId;
use crate::job::JobSize;

/// What a team asks for with a job.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(deny_unknown_fields)]
pub struct JobSpec {
    /// The team on whose quota it runs.
    pub team: TeamId,
    /// The service whose workers run it.
    pub service: ServiceId,
    /// The kind of job; jobs of a team and kind are expected to be alike.
    pub kind: String,
    /// What it is said to use.
    pub size: JobSize,
    /// How long it is said to run, in milliseconds.
    pub run_ms: u64,
    /// When it must be done, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Whether it goes before all others.
    #[serde(default)]
    pub urgent: bool,
    /// Whether it may run again from its start.
    #[serde(default)]
    pub repeatable: bool,
    /// Whether it can save its progress and go on from there.
    #[serde(default)]
    pub checkpoints: bool,
    /// The work, which the worker understands.
    #[serde(default)]
    pub work: String,
}

impl JobSpec {
    /// Tells whether another submission asks for the same job; the deadline of the first one stands.
    pub fn is_same_job(&self, other: &Self) -> bool {
        let deadline_ms = self.deadline_ms;
        *self
            == Self {
                deadline_ms,
                ..other.clone()
            }
    }
}
