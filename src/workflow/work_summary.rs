//! What a controller did in a time.

use crate::workflow::WorkKind;

/// The work of a controller in a time.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct WorkSummary {
    /// The count of each kind, in the order of [`WorkKind::ALL`].
    pub counts: [(WorkKind, u64); WorkKind::ALL.len()],
    /// The largest lag, in ms.
    pub max_lag_ms: u64,
    /// The length of the time, in ms.
    pub covered_ms: u64,
}
