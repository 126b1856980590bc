//! A worker whose lease is kept while the state is loaded.

use std::rc::Rc;
use std::time::Duration;

use crate::id::IncarnationStart;
use crate::workflow::worker_state::WORKER_LEASE_MS;
use crate::workflow::JobEngine;
use crate::workflow::LeaseRenewal;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerReport;
use crate::workflow::WorkerState;

/// A listed worker and the leases requested from it. Times are in ms on the controller's clock.
pub(super) struct EarlyWorker {
    /// The entry that was listed first.
    first: Rc<WorkerEntry>,
    /// The newest known incarnation. No tasks are placed on it here.
    state: WorkerState,
    start: Option<IncarnationStart>,
    has_runs: bool,
    /// The time up to which a lease that was requested may last.
    lease_until_ms: u64,
}

impl EarlyWorker {
    pub(super) fn new(entry: WorkerEntry) -> Self {
        let start = entry.incarnation_start;
        let state = WorkerState::new(entry);
        Self {
            first: Rc::clone(&state.entry),
            state,
            start,
            has_runs: false,
            lease_until_ms: 0,
        }
    }

    pub(super) fn state(&self) -> &WorkerState {
        &self.state
    }

    /// Updates the entry. No effect for the entry of an earlier incarnation.
    pub(super) fn set_entry(&mut self, entry: WorkerEntry) {
        if self.accept(entry.incarnation_start) {
            self.state.entry = Rc::new(entry);
            self.state.listed = true;
        }
    }

    pub(super) fn unlist(&mut self) {
        self.state.listed = false;
    }

    /// Checks which incarnation a message is of, and begins a new one. Returns whether it is the newest.
    fn accept(&mut self, start: Option<IncarnationStart>) -> bool {
        let Some((known, next)) = self.start.zip(start) else {
            self.start = self.start.or(start);
            return true;
        };
        if next > known {
            let listed = self.state.listed;
            self.state = WorkerState::new(WorkerEntry::clone(&self.state.entry));
            self.state.listed = listed;
            self.has_runs = false;
            self.start = Some(next);
        }
        next >= known
    }

    /// Returns whether the worker is to be called: until it has accepted the epoch, and then while it has
    /// runs.
    pub(super) fn is_due(&self) -> bool {
        !self.state.has_accepted_epoch || self.has_runs
    }

    /// Returns the next call. The end of the lease is recorded before it is requested, because the worker
    /// may grant it even if its answer is lost.
    pub(super) fn next_renewal(&mut self, epoch: u64, now_ms: u64) -> Option<LeaseRenewal> {
        if !self.is_due() {
            return None;
        }
        let is_silent = self.state.unresponsive_since_ms > 0;
        let clock_ms = self.state.clock_ms(now_ms);
        let clock_ms = clock_ms.filter(|_| self.has_runs && !is_silent);
        let lease_end_ms = clock_ms.map(|clock_ms| clock_ms.saturating_add(WORKER_LEASE_MS));
        if let Some(lease_end_ms) = lease_end_ms {
            self.state.lease_end_ms = self.state.lease_end_ms.max(lease_end_ms);
            let left_ms = self.state.lease_left_ms(now_ms).unwrap_or_default();
            self.lease_until_ms = self.lease_until_ms.max(now_ms + left_ms);
        }
        Some(LeaseRenewal {
            epoch,
            lease_end_ms,
            acknowledged: 0,
            wait: Duration::ZERO,
        })
    }

    /// Records a report. No effect if it is of an earlier incarnation.
    pub(super) fn record_report(&mut self, report: &WorkerReport, now_ms: u64) {
        if !self.accept(report.incarnation_start) {
            return;
        }
        self.state.record_answer(report.clock_ms, now_ms);
        self.state.has_accepted_epoch = true;
        self.has_runs = !report.running.is_empty() || report.has_more_ends;
    }

    pub(super) fn record_silence(&mut self, now_ms: u64) {
        self.state.record_unresponsive(now_ms);
    }

    /// Adds the worker to the engine as if it had been listed from now on: with the tasks of its first
    /// entry if it has started again since, and without an entry if it has left the list.
    pub(super) fn hand_over(self, engine: &mut JobEngine, now_ms: u64) {
        let id = self.first.id.clone();
        let entry = self.state.entry;
        if self.first.incarnation_start != entry.incarnation_start {
            engine.set_worker(WorkerEntry::clone(&self.first), now_ms);
        }
        engine.set_worker(WorkerEntry::clone(&entry), now_ms);
        engine.adopt_incarnation(&id, self.start, now_ms);
        if !self.state.listed {
            engine.unlist_worker(&id);
        }
        engine.adopt_lease(&id, self.state.lease_end_ms, self.lease_until_ms);
    }
}
