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

impl WorkSummary {
    /// Returns the count of a kind.
    pub fn count(&self, kind: WorkKind) -> u64 {
        self.counts[kind as usize].1
    }

    /// Returns for how long a start waited between its placement and its command on average, in ms.
    pub fn mean_start_wait_ms(&self) -> u64 {
        let waited_ms = self.count(WorkKind::StartWait);
        waited_ms
            .checked_div(self.count(WorkKind::Starts))
            .unwrap_or(0)
    }
}
