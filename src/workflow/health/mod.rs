//! Learns how fast and how reliable workers are from how their tasks and calls go, and decides how far
//! each is trusted with new tasks.

pub(crate) mod distrust_cause;
pub(crate) mod duration_tracker;
pub(crate) mod engine_health;
pub(crate) mod engine_trust;
pub(crate) mod fleet_health;
pub(crate) mod health_state;
pub(crate) mod running_time;
pub(crate) mod slow_runs;
pub(crate) mod slowdown_factor;
pub(crate) mod stalled_workers;
pub(crate) mod worker_health;
pub(crate) mod worker_pace;
