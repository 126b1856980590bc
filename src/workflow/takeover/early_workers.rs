//! The workers whose leases are kept while the state is loaded.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::rc::Rc;

use crate::id::WorkerId;
use crate::workflow::takeover::early_worker::EarlyWorker;
use crate::workflow::JobEngine;
use crate::workflow::LeaseRenewal;
use crate::workflow::WorkerChange;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerReport;
use crate::workflow::WorkerState;

/// All workers that were listed since the beginning of a term, until the state is loaded.
#[derive(Default)]
pub struct EarlyWorkers {
    workers: BTreeMap<WorkerId, EarlyWorker>,
}

impl EarlyWorkers {
    /// Creates the workers of a term that begins.
    pub fn new() -> Self {
        Self::default()
    }

    /// Applies changes to the list of workers. A full list also unlists the workers that it omits.
    pub fn apply_list(&mut self, changes: Vec<WorkerChange>, is_full_list: bool) {
        if is_full_list {
            let present = changes.iter().filter_map(|change| match change {
                WorkerChange::Present(entry) => Some(&entry.id),
                _ => None,
            });
            let present: HashSet<_> = present.collect();
            let known = self.workers.iter_mut();
            let omitted = known.filter(|(id, _)| !present.contains(id));
            omitted.for_each(|(_, worker)| worker.unlist());
        }
        for change in changes {
            match change {
                WorkerChange::Present(entry) => self.set_entry(entry),
                WorkerChange::Gone(id) | WorkerChange::Unreadable(id) => {
                    if let Some(worker) = self.workers.get_mut(&id) {
                        worker.unlist();
                    }
                }
            }
        }
    }

    fn set_entry(&mut self, entry: WorkerEntry) {
        match self.workers.get_mut(&entry.id) {
            Some(worker) => worker.set_entry(entry),
            None => {
                let id = entry.id.clone();
                self.workers.insert(id, EarlyWorker::new(entry));
            }
        }
    }

    /// Returns the workers that are to be called.
    pub(crate) fn due_ids(&self) -> impl Iterator<Item = &WorkerId> {
        let due = self.workers.iter().filter(|(_, worker)| worker.is_due());
        due.map(|(id, _)| id)
    }

    /// Returns the states of all workers, without tasks.
    pub(crate) fn states(&self) -> impl Iterator<Item = &WorkerState> {
        self.workers.values().map(EarlyWorker::state)
    }

    /// Returns the entry of a worker and the next call to it, which requests a lease if the worker has
    /// listed runs; `None` if it need not be called.
    pub fn next_renewal(
        &mut self,
        id: &WorkerId,
        epoch: u64,
        now_ms: u64,
    ) -> Option<(Rc<WorkerEntry>, LeaseRenewal)> {
        let worker = self.workers.get_mut(id)?;
        let renewal = worker.next_renewal(epoch, now_ms)?;
        Some((Rc::clone(&worker.state().entry), renewal))
    }

    /// Records a worker's report: its clock, and whether it has runs.
    pub fn record_report(&mut self, id: &WorkerId, report: &WorkerReport, now_ms: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_report(report, now_ms);
        }
    }

    /// Records a call that was not answered with a report.
    pub fn record_silence(&mut self, id: &WorkerId, now_ms: u64) {
        if let Some(worker) = self.workers.get_mut(id) {
            worker.record_silence(now_ms);
        }
    }

    /// Adds the workers and the leases requested from them to an engine that knows all jobs.
    pub fn hand_over(self, engine: &mut JobEngine, now_ms: u64) {
        for worker in self.workers.into_values() {
            worker.hand_over(engine, now_ms);
        }
    }
}
