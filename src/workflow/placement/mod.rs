//! Decides in which order waiting tasks are tried, and on which workers they run.

mod engine_shares;
mod pass_plan;
mod placement_candidate;
mod placement_pool;
pub(crate) mod planned_job;
pub(crate) mod step_siblings;
mod task_placer;
mod unplaced_steps;
pub(crate) mod waiting_turns;
mod worker_choice;

pub use placement_pool::PlacementPool;
