//! What the search for a job's status came to.

use crate::workflow::JobStatus;

/// Outcome of the search for a job's status.
pub(crate) enum StatusOutcome {
    /// The job is stored.
    Found(JobStatus),
    /// No row states a job with this id.
    NoJob,
    /// A row can't be decoded.
    Unreadable,
}
