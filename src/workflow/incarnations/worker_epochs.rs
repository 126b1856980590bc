//! The epochs that calls to workers bear, by incarnation.
//!
//! A worker does nothing for an epoch lower than one that it has accepted. A call to an incarnation
//! that has ended may reach the next one seconds later, so each incarnation that follows an earlier
//! one is called with a higher epoch than all before it. The lease's holder takes it from the leader
//! row, and uses it only once the row is stored, so that its successor's is higher in any case.

use std::collections::BTreeMap;

use crate::id::WorkerId;

/// The epoch of an incarnation that follows an earlier one.
#[derive(Clone, Copy, Debug)]
struct RaisedEpoch {
    epoch: u64,
    /// When the controller learnt of the incarnation, in ms.
    since_ms: u64,
}

/// Restarted workers that wait for a higher epoch, and the epochs of those that have got one.
#[derive(Debug, Default)]
pub(crate) struct WorkerEpochs {
    /// The epoch of the term.
    term: u64,
    /// Those that are higher.
    raised: BTreeMap<WorkerId, RaisedEpoch>,
    /// The workers whose newest incarnation has no epoch of its own yet, and since when, in ms.
    waiting: BTreeMap<WorkerId, u64>,
}

impl WorkerEpochs {
    /// Sets the epoch of the term.
    pub(crate) fn set_term(&mut self, epoch: u64) {
        self.term = epoch;
    }

    /// Returns the epoch that calls to a worker bear now.
    pub(crate) fn get(&self, id: &WorkerId) -> u64 {
        self.raised.get(id).map_or(self.term, |raised| raised.epoch)
    }

    /// Records that a worker has started again.
    pub(crate) fn record_restart(&mut self, id: &WorkerId, now_ms: u64) {
        self.waiting.entry(id.clone()).or_insert(now_ms);
    }

    /// Returns whether a worker's newest incarnation has no epoch of its own yet, so that calls to earlier
    /// ones may take effect on it.
    pub(crate) fn is_waiting(&self, id: &WorkerId) -> bool {
        self.waiting.contains_key(id)
    }

    /// Returns when the controller learnt of a worker's newest incarnation, in ms; `None` if it follows no
    /// other one in this term.
    pub(crate) fn restarted_ms(&self, id: &WorkerId) -> Option<u64> {
        let raised = self.raised.get(id).map(|raised| raised.since_ms);
        self.waiting.get(id).copied().or(raised)
    }

    /// Returns whether a higher epoch has to be stored.
    pub(crate) fn is_raise_due(&self) -> bool {
        !self.waiting.is_empty()
    }

    /// Records that `epoch` is stored; returns the workers that are called with it from now on, and since
    /// when each has waited, in ms. One higher epoch serves all that wait, also those that have restarted
    /// since it was requested: none of them has been called with it.
    pub(crate) fn raise(&mut self, epoch: u64) -> BTreeMap<WorkerId, u64> {
        let waiting = std::mem::take(&mut self.waiting);
        let (served, waiting): (BTreeMap<_, _>, _) = waiting
            .into_iter()
            .partition(|(id, _)| epoch > self.get(id));
        self.waiting = waiting;
        for (id, since_ms) in &served {
            let since_ms = *since_ms;
            self.raised
                .insert(id.clone(), RaisedEpoch { epoch, since_ms });
        }
        served
    }
}
