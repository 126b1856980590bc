//! Tells apart the incarnations of a worker, and settles what becomes of the runs of those that have ended.

mod engine_epochs;
mod engine_incarnations;
pub(crate) mod known_incarnations;
pub(crate) mod lost_runs;
pub(crate) mod worker_epochs;
