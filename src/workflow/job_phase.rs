//! The phase of a job.

/// The phase of a job that callers see.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum JobPhase {
    /// No task has been placed yet.
    Queued,
    /// At least one task has been placed.
    Running,
    /// All tasks are done.
    Complete,
    /// A task reached its queue's limit of failed attempts.
    Failed,
    /// A caller cancelled it.
    Cancelled,
}

impl JobPhase {
    /// Returns whether the phase is final.
    pub fn has_ended(self) -> bool {
        matches!(self, Self::Complete | Self::Failed | Self::Cancelled)
    }

    /// Returns the phase's name in durable rows.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Queued => "queued",
            Self::Running => "running",
            Self::Complete => "complete",
            Self::Failed => "failed",
            Self::Cancelled => "cancelled",
        }
    }

    /// Parses the phase's name from a durable row.
    pub fn from_name(name: &str) -> Option<Self> {
        let phases = [
            Self::Queued,
            Self::Running,
            Self::Complete,
            Self::Failed,
            Self::Cancelled,
        ];
        phases.into_iter().find(|phase| phase.as_str() == name)
    }
}
