//! Identifier of a job.

name_id!(
    /// Identifies a job; submissions with the same team and idempotency key get the same id.
    JobId
);
