//! One term of a controller: what its tasks share.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::timeout;
use tokio::sync::oneshot;
use tokio::sync::Notify;

use crate::id::HostId;
use crate::id::WorkerId;
use crate::process::boot_ms;
use crate::process::EntryMetrics;
use crate::provider::RowWrite;
use crate::workflow::HostCommands;
use crate::workflow::JobEngine;
use crate::workflow::LeaseLost;

/// How long leases of workers are renewed without a confirmed lease of the controller, in
/// ms: outages of the table up to about this long cost no running work.
const MAX_RENEW_UNCONFIRMED_MS: u64 = 12_000;

/// How long after the lease was last confirmed orders for hosts are sent, in ms; it keeps
/// the orders of a paused controller apart from its successor's.
const MAX_COMMAND_UNCONFIRMED_MS: u64 = 1_000;

/// How long orders for hosts wait for the commit that shows them: as long as the lease may
/// stay unconfirmed for them.
const ANNOUNCEMENT_WAIT: Duration = Duration::from_millis(MAX_COMMAND_UNCONFIRMED_MS);

/// What the tasks of one term share; it ends when the lease is lost.
pub struct ControllerTerm {
    /// The term's epoch.
    pub epoch: u64,
    /// The state of jobs and workers.
    pub engine: RefCell<JobEngine>,
    /// The latest orders for hosts.
    pub host_commands: RefCell<HostCommands>,
    /// The entry host's counters.
    pub metrics: Rc<EntryMetrics>,
    /// Wakes the planner.
    pub plan: Notify,
    /// Wakes the committer.
    pub commit: Notify,
    ended: Cell<bool>,
    has_worker_list: Cell<bool>,
    confirmed_ms: Cell<u64>,
    worker_notifiers: RefCell<HashMap<WorkerId, Rc<Notify>>>,
    queued_rows: RefCell<Vec<QueuedRow>>,
}

/// A row that waits for the next commit, or none, and who waits for it.
pub(crate) struct QueuedRow {
    pub(crate) write: Option<RowWrite>,
    pub(crate) done: Option<oneshot::Sender<()>>,
}

impl ControllerTerm {
    /// Creates a term that begins with `engine` and the latest orders of earlier holders.
    pub fn new(
        epoch: u64,
        engine: JobEngine,
        host_commands: HostCommands,
        metrics: Rc<EntryMetrics>,
    ) -> Rc<Self> {
        metrics.lease_epoch.set(epoch as i64);
        Rc::new(Self {
            epoch,
            metrics,
            engine: RefCell::new(engine),
            host_commands: RefCell::new(host_commands),
            plan: Notify::new(),
            commit: Notify::new(),
            ended: Cell::new(false),
            has_worker_list: Cell::new(false),
            confirmed_ms: Cell::new(boot_ms()),
            worker_notifiers: RefCell::default(),
            queued_rows: RefCell::default(),
        })
    }

    /// Tells whether the term goes on.
    pub fn is_active(&self) -> bool {
        !self.ended.get()
    }

    /// Ends the term.
    pub fn end(&self, reason: &str) {
        if !self.ended.replace(true) {
            self.metrics.lease_epoch.set(0);
            log::warn!("event=term_ended epoch={} reason={reason:?}", self.epoch);
        }
        self.plan.notify_one();
        self.commit.notify_one();
    }

    /// Notes that the lease was the controller's own at `confirmed_ms`.
    pub fn record_confirmed(&self, confirmed_ms: u64) {
        self.confirmed_ms.set(confirmed_ms);
    }

    /// Notes that the workers' list has been read.
    pub fn record_worker_list(&self) {
        self.has_worker_list.set(true);
    }

    /// Tells whether the workers' list has been read in this term.
    pub fn has_worker_list(&self) -> bool {
        self.has_worker_list.get()
    }

    /// Notes the loss of the lease.
    pub fn record_lease_loss(&self, _: LeaseLost) {
        self.end("another holder has the lease");
    }

    /// Returns for how long the lease has not been confirmed, in ms.
    pub fn unconfirmed_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.confirmed_ms.get())
    }

    /// Tells whether workers' leases may be renewed.
    pub fn may_renew(&self) -> bool {
        self.is_active() && self.unconfirmed_ms() < MAX_RENEW_UNCONFIRMED_MS
    }

    /// Tells whether orders for hosts may be sent: a successor waits for longer than the
    /// lease may stay unconfirmed here.
    pub fn may_command(&self) -> bool {
        self.is_active() && self.unconfirmed_ms() < MAX_COMMAND_UNCONFIRMED_MS
    }

    /// Returns what wakes a worker's lease task.
    pub fn worker_notifier(&self, worker: &WorkerId) -> Rc<Notify> {
        let mut notifiers = self.worker_notifiers.borrow_mut();
        Rc::clone(notifiers.entry(worker.clone()).or_default())
    }

    /// Forgets what wakes a worker's tasks.
    pub fn forget_worker(&self, worker: &WorkerId) {
        self.worker_notifiers.borrow_mut().remove(worker);
    }

    /// Lets a row be written with the next commit.
    pub fn queue_row(&self, write: RowWrite) {
        self.enqueue(Some(write), None);
    }

    /// Lets the next commit show that orders for `hosts` are about to be sent, and write a
    /// row; tells whether it did and they may be.
    pub async fn announce_commands(&self, hosts: &[HostId], write: Option<RowWrite>) -> bool {
        hosts
            .iter()
            .for_each(|host| self.host_commands.borrow_mut().record_pending(host));
        let (done, waiting) = oneshot::channel();
        self.enqueue(write, Some(done));
        let shown = timeout(ANNOUNCEMENT_WAIT, waiting).await;
        if matches!(shown, Ok(Ok(()))) && self.may_command() {
            return true;
        }
        log::warn!("event=host_orders_postponed reason=\"the lease is not confirmed\"");
        let now_ms = boot_ms();
        hosts.iter().for_each(|host| {
            self.host_commands
                .borrow_mut()
                .record_resolved(host, now_ms)
        });
        false
    }

    /// Takes the rows that wait for a commit.
    pub(crate) fn take_rows(&self) -> Vec<QueuedRow> {
        self.queued_rows.take()
    }

    fn enqueue(&self, write: Option<RowWrite>, done: Option<oneshot::Sender<()>>) {
        let row = QueuedRow { write, done };
        self.queued_rows.borrow_mut().push(row);
        self.commit.notify_one();
    }
}
