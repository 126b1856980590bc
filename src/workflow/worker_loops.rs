//! The loops that maintain the workers' leases, one for each worker.
//!
//! Most workers of a large fleet are idle. Their loops wait without timers of their own and are woken
//! from a regular look at all workers.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::HashSet;
use std::rc::Rc;

use tokio::sync::Notify;

use crate::id::WorkerId;
use crate::workflow::WorkerState;

/// Min time between looks for idle workers with work, in ms.
const WAKE_INTERVAL_MS: u64 = 500;

/// The loops of one term.
#[derive(Default)]
pub(crate) struct WorkerLoops {
    /// Workers whose leases are maintained by a loop.
    maintained: RefCell<HashSet<WorkerId>>,
    /// Notifiers that wake the loops.
    notifiers: RefCell<HashMap<WorkerId, Rc<Notify>>>,
    /// When idle workers were last looked at, in ms.
    woken_ms: Cell<u64>,
}

impl WorkerLoops {
    /// Returns the notifier that wakes a worker's loop.
    pub(crate) fn notifier(&self, worker: &WorkerId) -> Rc<Notify> {
        if let Some(notifier) = self.notifiers.borrow().get(worker) {
            return Rc::clone(notifier);
        }
        let mut notifiers = self.notifiers.borrow_mut();
        Rc::clone(notifiers.entry(worker.clone()).or_default())
    }

    /// Records that a worker's loop begins; returns whether there was none.
    pub(crate) fn begin(&self, worker: &WorkerId) -> bool {
        let mut maintained = self.maintained.borrow_mut();
        !maintained.contains(worker) && maintained.insert(worker.clone())
    }

    /// Records that a worker's loop has ended.
    pub(crate) fn end(&self, worker: &WorkerId) {
        self.maintained.borrow_mut().remove(worker);
        self.notifiers.borrow_mut().remove(worker);
    }

    /// Wakes all loops.
    pub(crate) fn wake_all(&self) {
        let notifiers = self.notifiers.borrow();
        notifiers
            .values()
            .for_each(|notifier| notifier.notify_one());
    }

    /// Wakes the loops of workers that have become due without a notification, and of those that are
    /// no longer among `workers`, at most once per [`WAKE_INTERVAL_MS`].
    pub(crate) fn wake_due(&self, workers: &BTreeMap<WorkerId, WorkerState>, now_ms: u64) {
        if now_ms < self.woken_ms.get() + WAKE_INTERVAL_MS {
            return;
        }
        self.woken_ms.set(now_ms);
        let notifiers = self.notifiers.borrow();
        let due = workers
            .iter()
            .filter(|(_, worker)| worker.is_renewal_due(now_ms));
        for notifier in due.filter_map(|(id, _)| notifiers.get(id)) {
            notifier.notify_one();
        }
        if notifiers.len() <= workers.len() {
            return;
        }
        let removed = notifiers
            .iter()
            .filter(|(id, _)| !workers.contains_key(*id));
        removed.for_each(|(_, notifier)| notifier.notify_one());
    }
}
