//! Tells which tasks crash their workers, and tries those that may on workers that are kept for them.

mod crash_evidence;
pub(crate) mod crash_rows;
mod engine_crashes;
mod suspect_placer;
pub(crate) mod suspect_tasks;
mod trial_workers;

pub use crash_evidence::CrashEvidence;
pub use suspect_tasks::CrashCounts;
