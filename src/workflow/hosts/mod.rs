//! Commands hosts for upkeep and for moves between pools, and keeps those empty that a command is about to end.

mod engine_orders;
mod held_hosts;
mod host_commands;
mod host_dispatcher;
mod host_listing;
mod host_manager;
mod host_mover;
mod host_order;
pub(crate) mod host_orders;
pub(crate) mod new_arrivals;
mod order_sender;
mod upkeep_commands;
mod upkeep_decisions;
mod upkeep_plan;
mod upkeep_refusals;
mod wave_progress;
mod wave_records;

pub use host_commands::CommandAges;
pub use host_commands::HostCommands;
pub use host_commands::COMMANDS_KEY;
pub use host_manager::manage_hosts;
pub(crate) use host_mover::HostMover;
pub use upkeep_plan::choose_upkeep;
pub use upkeep_plan::UpkeepChoice;
pub use upkeep_plan::WaveHost;
pub use wave_progress::WaveProgress;
