//! Stores, looks up and cancels jobs for callers, on any entry host.

mod caller_scope;
mod early_cancel;
pub(crate) mod insert_outcome;
mod intake_outcome;
mod job_intake;
pub(crate) mod job_key;
pub(crate) mod job_status;
mod record_limiter;
pub(crate) mod status_outcome;
pub(crate) mod stored_job;

pub use caller_scope::CallerScope;
pub use early_cancel::EarlyCancel;
pub use intake_outcome::CancelOutcome;
pub use intake_outcome::LookupOutcome;
pub use intake_outcome::PendingOutcome;
pub use intake_outcome::SubmitOutcome;
pub use job_intake::JobIntake;
pub use job_key::cancel_key;
pub use job_key::ended_key;
pub use job_key::job_key;
pub use job_status::JobStatus;
pub use record_limiter::RecordLimiter;
