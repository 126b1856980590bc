//! Decides in which order waiting tasks are tried, and on which workers they run.

mod engine_shares;
mod pass_plan;
mod placement_candidate;
mod placement_pool;
pub(crate) mod planned_job;
mod task_placer;
mod unplaced_steps;
pub(crate) mod waiting_turns;

pub use placement_pool::PlacementPool;
