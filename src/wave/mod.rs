//! What lives as long as a maintenance wave, beyond every process.

mod budget_book;
mod control_view;
mod drain_watch;
mod fleet_view;
mod loss_charger;
mod spare_planner;
mod wave_controller;
mod wave_planner;
mod wave_preview;
mod wave_record;
mod wave_scope;

pub use budget_book::BudgetBook;
pub use budget_book::ServiceBudget;
pub use budget_book::BUDGET_PREFIX;
pub use fleet_view::FleetView;
pub use fleet_view::HostCondition;
pub use fleet_view::HostView;
pub use spare_planner::own_spares;
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
