//! Maintenance waves: their stored records, the planners that choose hosts and the controller that
//! drives waves and host moves.

mod budget_tracker;
mod control_view;
mod drain_query;
mod fleet_view;
mod host_mover;
mod host_restarter;
mod loss_charger;
mod name_list;
mod spare_planner;
mod step_writer;
mod stored_wave;
mod wave_controller;
mod wave_planner;
mod wave_preview;
mod wave_record;
mod wave_scope;

pub use budget_tracker::BudgetTracker;
pub use budget_tracker::ServiceBudget;
pub use budget_tracker::BUDGET_PREFIX;
pub use fleet_view::FleetView;
pub use fleet_view::HostCondition;
pub use fleet_view::HostView;
pub use spare_planner::dedicated_spares;
pub use spare_planner::shared_spares;
pub use spare_planner::DonorFloor;
pub use spare_planner::FailureRates;
pub use spare_planner::HostMove;
pub use spare_planner::SparePlanner;
pub use wave_controller::WaveController;
pub use wave_planner::StepDecision;
pub use wave_planner::WavePlanner;
pub use wave_preview::preview_wave;
pub(crate) use wave_preview::scope_hosts;
pub use wave_preview::PreviewStep;
pub use wave_preview::WavePreview;
pub use wave_record::wave_key;
pub use wave_record::WaveRecord;
pub use wave_record::WaveState;
pub use wave_record::WAVE_PREFIX;
pub use wave_scope::WaveScope;
