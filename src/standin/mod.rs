//! Small stand-ins for the platform and for backend servers.
//!
//! They serve tests, the demonstration and measurements. Faults are switched
//! on by `POST /faults` on their own ports.

mod backend;
mod backend_faults;
mod fleet;
mod local_fleet;
mod platform;
mod platform_faults;
mod platform_state;
mod task_board;

pub use backend::BackendStandin;
pub use backend::BackendStats;
pub use backend_faults::BackendFaults;
pub use fleet::executor_hosts;
pub use fleet::host_records;
pub use local_fleet::FleetPlan;
pub use local_fleet::LocalFleet;
pub use platform::PlatformStandin;
pub use platform_faults::PlatformFaults;
