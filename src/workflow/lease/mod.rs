//! Holds, confirms and passes on the lease that makes one entry host the controller.

mod leader_lease;
pub(crate) mod leader_record;
mod lease_lost;
mod lease_monitor;
mod lost_leader;
mod silent_workers;

pub use leader_lease::LeaderLease;
pub use leader_lease::LEADER_KEY;
pub use leader_record::LeaderRecord;
pub use lease_lost::LeaseLost;
pub use lease_monitor::LeaseMonitor;
pub use silent_workers::SilentWorkers;
