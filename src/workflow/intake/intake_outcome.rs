//! What callers' requests came to.

use crate::workflow::JobPhase;

/// Outcome of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// The job was stored by this call.
    Accepted,
    /// The job was already stored, perhaps by an attempt of this call whose answer was lost.
    Known,
    /// The job is not stored and this call will not store it later.
    NotStored,
    /// Another organisation's job has this id. The job is not stored.
    Taken,
    /// The job may be stored.
    Unknown,
}

/// Outcome of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// The cancellation is stored. It has no effect on a job that has ended.
    Accepted,
    /// No job with this id that the caller may see is stored, and a submission under way won't store one.
    NoJob,
    /// The table refused or did not answer; the cancellation may be stored.
    Unknown,
}

/// Outcome of a look-up.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LookupOutcome {
    /// The job is in this phase.
    Found(JobPhase),
    /// No job with this id is stored, or the caller may not see it.
    NoJob,
    /// The table refused or did not answer.
    Unknown,
}

/// Outcome of a request for the number of a queue's pending jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PendingOutcome {
    /// So many jobs wait, as of at most [`crate::workflow::MAX_COUNT_AGE_MS`] ago.
    Known(u64),
    /// Nobody has counted lately, or the count could not be read.
    Unknown,
}
