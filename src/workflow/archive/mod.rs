//! Moves ended jobs out of the rows that a takeover loads, and deletes what is kept of them in time.

mod archived_jobs;
mod early_cancels;
pub(crate) mod engine_archive;
pub(crate) mod job_archiver;

pub use archived_jobs::ArchivedJobs;
pub use early_cancels::EarlyCancels;
