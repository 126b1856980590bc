//! Measures what the controller does, and how late it is.

mod control_lag;
mod control_work;
mod work_kind;
mod work_summary;

pub use control_lag::ControlLag;
pub use control_work::ControlWork;
pub use work_kind::WorkKind;
pub use work_summary::WorkSummary;
