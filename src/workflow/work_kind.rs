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
}

impl WorkKind {
    /// All kinds, in the order of the log line.
    pub const ALL: [Self; 7] = [
        Self::Starts,
        Self::Ends,
        Self::Renewals,
        Self::UnansweredRenewals,
        Self::Commits,
        Self::CommitBytes,
        Self::Passes,
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
        }
    }
}
