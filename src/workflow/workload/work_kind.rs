//! The kinds of a controller's work that are counted.

/// A kind of work that is counted.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum WorkKind {
    /// Start commands that were sent, repeated ones included.
    Starts,
    /// Ends of runs that workers reported and the controller applied.
    Ends,
    /// Renewals that were sent to workers.
    Renewals,
    /// Renewals that got no answer.
    UnansweredRenewals,
    /// Transactions that were sent to the table.
    Commits,
    /// Estimated bytes of the rows in these transactions.
    CommitBytes,
    /// Placement passes.
    Passes,
    /// The time that placement passes took, in us.
    PassTime,
    /// The time that transactions took until their answer, in us.
    CommitTime,
    /// The time from a placement until its start command was sent, in ms, summed over all starts.
    StartWait,
    /// The processor time of the process, in us.
    ProcessorTime,
}

impl WorkKind {
    /// All kinds, in the order of the log line.
    pub const ALL: [Self; 11] = [
        Self::Starts,
        Self::Ends,
        Self::Renewals,
        Self::UnansweredRenewals,
        Self::Commits,
        Self::CommitBytes,
        Self::Passes,
        Self::PassTime,
        Self::CommitTime,
        Self::StartWait,
        Self::ProcessorTime,
    ];

    /// Returns the kind's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Starts => "starts",
            Self::Ends => "ends",
            Self::Renewals => "renewals",
            Self::UnansweredRenewals => "unanswered_renewals",
            Self::Commits => "commits",
            Self::CommitBytes => "commit_bytes",
            Self::Passes => "passes",
            Self::PassTime => "pass_us",
            Self::CommitTime => "commit_us",
            Self::StartWait => "start_wait_ms",
            Self::ProcessorTime => "processor_us",
        }
    }
}
