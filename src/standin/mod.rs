//! Stand-ins that simulate the platform and backend servers.
//!
//! They are used by tests, the demonstration and benchmarks. Faults are injected
//! with `POST /faults` (platform) and `POST /-/faults` (backend server). The
//! platform reports its numbers of calls with `GET /counts` and the started tasks
//! with `GET /tasks/starts`; a backend server reports its statistics with
//! `GET /-/stats`.

mod backend;
mod backend_faults;
mod fleet_hosts;
mod local_fleet;
mod platform;
mod platform_faults;
mod platform_state;
mod task_simulator;

pub use backend::BackendStandin;
pub use backend::BackendStats;
pub use backend_faults::BackendFaults;
pub use fleet_hosts::executor_hosts;
pub use fleet_hosts::host_records;
pub use local_fleet::FleetSettings;
pub use local_fleet::LocalFleet;
pub use platform::PlatformStandin;
pub use platform_faults::PlatformFaults;
