//! What a new holder does before it knows all jobs: it loads the state, and keeps the workers' leases
//! meanwhile, so that no run ends because the load takes long.
//!
//! Until the load is over, nothing is decided about runs. Workers are called without acknowledging ends,
//! their reports only tell their clock and whether they have runs, and the engine knows no worker. Then
//! the list of workers is handed over to the engine, with the leases that were requested, and the next
//! report of each worker is the first that is applied.

mod early_worker;
mod early_workers;
mod engine_handover;
mod lease_keeper;
mod packed_progress;
mod state_loader;

pub use early_workers::EarlyWorkers;
pub(crate) use lease_keeper::keep_leases;
pub(crate) use lease_keeper::LeaseKeeper;
pub use packed_progress::PackedProgress;
pub(crate) use state_loader::StateLoader;
