//! Keeps the workers' leases from the beginning of a term until the state is loaded.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use crate::carrier::CarriedGateway;
use crate::id::Revision;
use crate::id::WorkerId;
use crate::process::boot_ms;
use crate::workflow::feed::feed_watcher::accept_changes;
use crate::workflow::feed::feed_watcher::FEED_RETRY_DELAY;
use crate::workflow::CommandRefusal;
use crate::workflow::ControllerTerm;
use crate::workflow::EarlyWorkers;
use crate::workflow::FeedWait;
use crate::workflow::FleetPlatform;
use crate::workflow::LeaseRenewal;
use crate::workflow::RenewalOutcome;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerGateway;

/// Min time between polls of the list of workers, whose transfers delay the load.
const LIST_INTERVAL: Duration = Duration::from_millis(1_000);

/// Time between renewals of a worker's lease: a quarter of its length.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(1_200);

/// The pause after the first unanswered call; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The workers of a term whose state is being loaded.
pub(crate) struct LeaseKeeper {
    term: Rc<ControllerTerm>,
    workers: RefCell<EarlyWorkers>,
    /// Workers that a loop calls.
    called: RefCell<HashSet<WorkerId>>,
    /// The revision of the list of workers.
    listed: Cell<Revision>,
    is_over: Cell<bool>,
}

impl LeaseKeeper {
    pub(crate) fn new(term: Rc<ControllerTerm>) -> Rc<Self> {
        Rc::new(Self {
            term,
            workers: RefCell::default(),
            called: RefCell::default(),
            listed: Cell::new(Revision::new(0)),
            is_over: Cell::new(false),
        })
    }

    /// Stops all calls and adds the workers to the engine. Returns the revision from which to watch the
    /// list of workers.
    pub(crate) fn hand_over(&self) -> Revision {
        self.is_over.set(true);
        let workers = self.workers.take();
        workers.hand_over(&mut self.term.engine.borrow_mut(), boot_ms());
        self.listed.get()
    }

    fn is_active(&self) -> bool {
        self.term.is_active() && !self.is_over.get()
    }

    /// Returns the workers that are to be called and that no loop calls, and records that one does.
    fn begin_calls(&self) -> Vec<WorkerId> {
        let workers = self.workers.borrow();
        let mut called = self.called.borrow_mut();
        let due = workers.due_ids();
        due.filter(|id| called.insert((*id).clone()))
            .cloned()
            .collect()
    }

    fn next_renewal(&self, id: &WorkerId) -> Option<(Rc<WorkerEntry>, LeaseRenewal)> {
        let mut workers = self.workers.borrow_mut();
        workers.next_renewal(id, self.term.epoch, boot_ms())
    }

    /// Records the outcome of a call. Returns whether it was a report.
    fn record_outcome(&self, id: &WorkerId, outcome: &RenewalOutcome) -> bool {
        self.term.metrics.count("renewal", outcome.name());
        let mut workers = self.workers.borrow_mut();
        if let RenewalOutcome::Report(report) = outcome {
            workers.record_report(id, report, boot_ms());
            return true;
        }
        workers.record_silence(id, boot_ms());
        if *outcome == RenewalOutcome::Refused(CommandRefusal::Fenced) {
            self.term.doubt_lease(id);
        }
        log::warn!("event=worker_silent worker={id} outcome={outcome:?}");
        false
    }
}

/// Lists the workers and keeps the leases of those with runs, until the keeper hands over or its term ends.
pub(crate) async fn keep_leases<P: FleetPlatform>(
    platform: Rc<P>,
    gateway: Rc<CarriedGateway<P>>,
    keeper: Rc<LeaseKeeper>,
) {
    let mut wait = FeedWait::new();
    while keeper.is_active() {
        let mut since = keeper.listed.get();
        let is_full_list = since == Revision::new(0);
        let changes = platform.worker_changes(since, wait.get()).await;
        if !keeper.is_active() {
            return;
        }
        wait.record_answer(changes.is_ok());
        let accepted = accept_changes("workers", changes, &mut since);
        let Some((changes, revision)) = accepted else {
            keeper.listed.set(since);
            sleep(FEED_RETRY_DELAY).await;
            continue;
        };
        keeper.listed.set(revision);
        keeper
            .workers
            .borrow_mut()
            .apply_list(changes, is_full_list);
        keeper.term.record_worker_list();
        let lag = keeper.term.lag.average();
        gateway.update(keeper.workers.borrow().states(), lag);
        for id in keeper.begin_calls() {
            let (gateway, keeper) = (Rc::clone(&gateway), Rc::clone(&keeper));
            monoio::spawn(keep_lease(gateway, keeper, id));
        }
        sleep(LIST_INTERVAL).await;
    }
}

/// Calls a worker until it has accepted the epoch and has no runs.
async fn keep_lease<G: WorkerGateway>(gateway: Rc<G>, keeper: Rc<LeaseKeeper>, id: WorkerId) {
    let mut retry_pause = RETRY_PAUSE;
    while keeper.is_active() {
        if !keeper.term.may_renew() {
            sleep(RETRY_PAUSE).await;
            continue;
        }
        let Some((entry, renewal)) = keeper.next_renewal(&id) else {
            break;
        };
        let outcome = gateway.renew_lease(&entry, &renewal).await;
        if !keeper.is_active() {
            break;
        }
        if !keeper.record_outcome(&id, &outcome) {
            sleep(retry_pause).await;
            retry_pause = (retry_pause * 2).min(RENEWAL_INTERVAL);
            continue;
        }
        retry_pause = RETRY_PAUSE;
        // Without the worker's clock, no lease could be requested.
        if renewal.lease_end_ms.is_some() {
            sleep(RENEWAL_INTERVAL).await;
        }
    }
    keeper.called.borrow_mut().remove(&id);
}
