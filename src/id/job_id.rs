//! The name of a job.

name_id!(
    /// Names a job; two submissions with the same team and idempotency key have the same name.
    JobId
);
