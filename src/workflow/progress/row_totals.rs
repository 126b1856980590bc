//! The bytes that the begun steps of a job take of its durable row.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::workflow::progress::row_bytes::RowBytes;

/// The occurrence and number of a step.
pub(crate) type StepKey = (u32, u32);

/// Adds up the bytes of a job's begun steps beyond those of steps that have not begun. Only steps that may
/// have changed are counted again.
#[derive(Clone, Debug, Default)]
pub(crate) struct RowTotals {
    counted: BTreeMap<StepKey, RowBytes>,
    total: RowBytes,
    changed: BTreeSet<StepKey>,
}

impl RowTotals {
    /// Records that a step may change.
    pub(crate) fn record_change(&mut self, step: StepKey) {
        self.changed.insert(step);
    }

    /// Leaves out a step that is done.
    pub(crate) fn forget(&mut self, step: StepKey) {
        self.changed.remove(&step);
        self.total -= self.counted.remove(&step).unwrap_or_default();
    }

    /// Returns the bytes of all steps; `bytes` returns those of one.
    pub(crate) fn count(&mut self, bytes: impl Fn(StepKey) -> RowBytes) -> RowBytes {
        for step in std::mem::take(&mut self.changed) {
            let bytes = bytes(step);
            self.total += bytes;
            let before = match bytes.is_zero() {
                true => self.counted.remove(&step),
                false => self.counted.insert(step, bytes),
            };
            self.total -= before.unwrap_or_default();
        }
        self.total
    }
}
