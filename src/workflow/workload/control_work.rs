//! Counts what a controller does, so that its log tells what a late one spends its time on.

use std::cell::Cell;

use crate::process::boot_ms;
use crate::process::processor_time;
use crate::workflow::WorkKind;
use crate::workflow::WorkSummary;

/// The work of one term since it was last taken.
#[derive(Debug, Default)]
pub struct ControlWork {
    counts: [Cell<u64>; WorkKind::ALL.len()],
    carriers: Cell<u64>,
    max_lag_ms: Cell<u64>,
    taken_ms: Cell<u64>,
    /// The processor time of the process when the counts were last taken, in us.
    processor_us: Cell<u64>,
}

impl ControlWork {
    /// Creates counts of zero, as of now.
    pub fn new() -> Self {
        let work = Self::default();
        work.taken_ms.set(boot_ms());
        work.processor_us.set(processor_us());
        work
    }

    /// Adds to the count of a kind.
    pub fn add(&self, kind: WorkKind, count: u64) {
        let cell = &self.counts[kind as usize];
        cell.set(cell.get() + count);
    }

    /// Sets the number of carriers in use, which is no count and stays.
    pub fn set_carriers(&self, count: usize) {
        self.carriers.set(count as u64);
    }

    /// Returns the number of carriers in use.
    pub fn carriers(&self) -> u64 {
        self.carriers.get()
    }

    /// Records the present lag, in ms.
    pub fn record_lag(&self, lag_ms: u64) {
        self.max_lag_ms.set(self.max_lag_ms.get().max(lag_ms));
    }

    /// Takes what was counted since the last time, if that was at least `min_ms` ago.
    pub fn take(&self, min_ms: u64) -> Option<WorkSummary> {
        let covered_ms = boot_ms().saturating_sub(self.taken_ms.get());
        if covered_ms < min_ms {
            return None;
        }
        self.taken_ms.set(boot_ms());
        let used_us = processor_us();
        let earlier_us = self.processor_us.replace(used_us);
        self.add(WorkKind::ProcessorTime, used_us.saturating_sub(earlier_us));
        Some(WorkSummary {
            counts: WorkKind::ALL.map(|kind| (kind, self.counts[kind as usize].take())),
            max_lag_ms: self.max_lag_ms.take(),
            covered_ms,
        })
    }
}

fn processor_us() -> u64 {
    processor_time().as_micros() as u64
}
