//! Adds to the engine what was learnt of workers while the state was loaded.

use crate::id::IncarnationStart;
use crate::id::WorkerId;
use crate::workflow::incarnations::known_incarnations::IncarnationOrder;
use crate::workflow::JobEngine;

impl JobEngine {
    /// Begins the incarnation of a worker that has answered, unless it is known.
    pub(super) fn adopt_incarnation(
        &mut self,
        id: &WorkerId,
        start: Option<IncarnationStart>,
        now_ms: u64,
    ) {
        if self.incarnations.observe(id, start, now_ms) == IncarnationOrder::New {
            self.begin_incarnation(id, now_ms);
        }
    }

    /// Adds the lease that was requested from a worker. It ends at `lease_end_ms` on the worker's clock,
    /// and at `until_ms` at the latest.
    pub(super) fn adopt_lease(&mut self, id: &WorkerId, lease_end_ms: u64, until_ms: u64) {
        if until_ms == 0 {
            return;
        }
        self.early_leases_ms.insert(id.clone(), until_ms);
        if let Some(worker) = self.workers.get_mut(id) {
            worker.lease_end_ms = worker.lease_end_ms.max(lease_end_ms);
        }
    }

    /// Returns the time up to which a lease that was requested during the load may last, in ms; 0 if none
    /// was.
    pub(crate) fn early_lease_until_ms(&self, id: &WorkerId) -> u64 {
        self.early_leases_ms.get(id).copied().unwrap_or_default()
    }
}
