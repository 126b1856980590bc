//! Stores, looks up and cancels jobs for callers, on any entry host.

mod caller_scope;
mod early_cancel;
mod job_intake;
pub(crate) mod job_key;
pub(crate) mod job_status;
mod record_limiter;

pub use caller_scope::CallerScope;
pub use early_cancel::EarlyCancel;
pub use job_intake::CancelOutcome;
pub use job_intake::JobIntake;
pub use job_intake::LookupOutcome;
pub use job_intake::PendingOutcome;
pub use job_intake::SubmitOutcome;
pub use job_key::cancel_key;
pub use job_key::ended_key;
pub use job_key::job_key;
pub use job_status::JobStatus;
pub use record_limiter::RecordLimiter;
