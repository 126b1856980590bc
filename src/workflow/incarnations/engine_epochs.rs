//! The engine's part in the epochs of workers' incarnations; see docs/design/worker-restarts.md.

use crate::id::WorkerId;
use crate::workflow::JobEngine;
use crate::workflow::WorkerReport;

impl JobEngine {
    /// Sets the epoch of the term, which calls to all workers bear that have not restarted in it.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.worker_epochs.set_term(epoch);
    }

    /// Returns the epoch that calls to a worker bear now.
    pub fn worker_epoch(&self, id: &WorkerId) -> u64 {
        self.worker_epochs.get(id)
    }

    /// Returns whether a higher epoch has to be stored for workers that have restarted.
    pub fn is_epoch_due(&self) -> bool {
        self.worker_epochs.is_raise_due()
    }

    /// Records that `epoch` is stored, and calls the workers with it that have restarted since the last
    /// such; returns them. Each gets tasks once it has accepted it.
    pub fn raise_epoch(&mut self, epoch: u64, now_ms: u64) -> Vec<WorkerId> {
        let raised = self.worker_epochs.raise(epoch);
        for (id, since_ms) in &raised {
            let waited_ms = now_ms.saturating_sub(*since_ms);
            log::info!("event=worker_epoch_raised worker={id} epoch={epoch} waited_ms={waited_ms}");
            if let Some(worker) = self.workers.get_mut(id) {
                worker.has_accepted_epoch = false;
            }
        }
        raised.into_keys().collect()
    }

    /// Returns whether a call to a worker with `epoch` shows that orders to its earlier incarnations
    /// have no effect any more, if it is accepted.
    fn excludes_earlier(&self, id: &WorkerId, epoch: u64) -> bool {
        !self.worker_epochs.is_waiting(id) && epoch >= self.worker_epoch(id)
    }

    /// Records that a worker has accepted `epoch`, with a report that states its clock. From then on,
    /// orders of earlier controllers and to earlier incarnations have no effect on it.
    pub(crate) fn record_accepted_epoch(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        (epoch, now_ms): (u64, u64),
    ) {
        if !self.excludes_earlier(id, epoch) {
            return;
        }
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        if worker.has_accepted_epoch {
            return;
        }
        worker.has_accepted_epoch = true;
        let Some(restarted_ms) = self.worker_epochs.restarted_ms(id) else {
            return;
        };
        worker.allow_longest_lease(report.clock_ms);
        let after_ms = now_ms.saturating_sub(restarted_ms);
        log::info!("event=worker_epoch_accepted worker={id} epoch={epoch} after_ms={after_ms}");
    }
}
