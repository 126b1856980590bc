//! State shared by the futures of one controller term, the time for which a controller holds its
//! lease.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::collections::HashSet;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::future::select;
use futures::future::Either;
use monoio::time::timeout;
use tokio::sync::oneshot;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::SemaphorePermit;

use crate::id::HostId;
use crate::id::WorkerId;
use crate::process::boot_ms;
use crate::process::EntryMetrics;
use crate::provider::RowWrite;
use crate::workflow::host_resources::MIN_START_BYTES;
use crate::workflow::ControlLag;
use crate::workflow::HealthState;
use crate::workflow::HostCommands;
use crate::workflow::JobEngine;
use crate::workflow::LeaseLost;
use crate::workflow::TaskName;

/// Time for which workers' leases are renewed without a confirmed controller lease. Table
/// outages up to about this long lose no running work.
const MAX_RENEW_UNCONFIRMED_MS: u64 = 12_000;

/// Time for which commands are sent to hosts without a confirmed controller lease. The limit
/// prevents a controller that was paused from sending commands after a successor has taken over.
const MAX_COMMAND_UNCONFIRMED_MS: u64 = 1_000;

/// Time within which a doubt about the lease must be settled: as long as commands to hosts are sent
/// without a confirmation.
const MAX_DOUBT_MS: u64 = MAX_COMMAND_UNCONFIRMED_MS;

/// Max bytes of start commands that are on their way together, on a link of unknown bandwidth: what
/// 10 Mbit/s carry in 0.1 s, so that renewals of the lease and of workers' leases find room.
pub(crate) const DEFAULT_START_BYTES: usize = 125_000;

/// Bytes of a start command besides its payload: headers, names and numbers.
const START_OVERHEAD_BYTES: usize = 400;

/// Max time that commands to hosts wait for the commit that announces them. A commit that takes
/// longer leaves the lease unconfirmed for too long to send them.
const ANNOUNCEMENT_TIMEOUT: Duration = Duration::from_millis(MAX_COMMAND_UNCONFIRMED_MS);

/// State of one term, which ends when the lease is lost or released.
pub struct ControllerTerm {
    /// Rises with each change of the lease holder.
    pub epoch: u64,
    /// Jobs and workers; never borrowed across an await.
    pub engine: RefCell<JobEngine>,
    /// The latest command to each host, from this controller and earlier ones.
    pub host_commands: RefCell<HostCommands>,
    /// Counters of the entry host, shared by all its terms.
    pub metrics: Rc<EntryMetrics>,
    /// How far the controller's work is behind.
    pub lag: ControlLag,
    /// Wakes the planner before its interval has passed.
    pub plan: Notify,
    /// Wakes the committer before its renewal interval has passed.
    pub commit: Notify,
    /// Bytes of start commands that may still be sent before earlier ones are answered.
    start_bytes: Semaphore,
    /// The number of permits of `start_bytes`.
    start_limit: usize,
    /// Permits for starts of long-running tasks beside the others, by bytes.
    long_start_bytes: Semaphore,
    ended: Cell<bool>,
    releasing: Cell<bool>,
    has_worker_list: Cell<bool>,
    /// When the lease was last confirmed, in ms.
    confirmed_ms: Cell<u64>,
    /// When it was last doubted that the lease is still held, in ms.
    doubted_ms: Cell<u64>,
    /// Workers that refused this epoch, with the time of the first refusal in ms.
    refusing_workers: RefCell<HashMap<WorkerId, u64>>,
    /// Time up to which all submissions are known, in ms.
    submissions_ms: Cell<u64>,
    /// Workers whose leases are maintained by a loop.
    maintained_workers: RefCell<HashSet<WorkerId>>,
    /// Notifiers of the loops that maintain the workers' leases.
    worker_notifiers: RefCell<HashMap<WorkerId, Rc<Notify>>>,
    queued_rows: RefCell<Vec<QueuedRow>>,
}

/// An entry for the next commit: a row to write, if any, and a channel to notify once the commit
/// succeeded.
pub(crate) struct QueuedRow {
    pub(crate) write: Option<RowWrite>,
    pub(crate) done: Option<oneshot::Sender<()>>,
}

impl ControllerTerm {
    /// Creates a term that starts with `engine` and the commands known from earlier holders.
    /// Its lease counts as confirmed now.
    pub fn new(
        epoch: u64,
        engine: JobEngine,
        host_commands: HostCommands,
        metrics: Rc<EntryMetrics>,
    ) -> Rc<Self> {
        Self::with_start_limit(epoch, engine, host_commands, metrics, DEFAULT_START_BYTES)
    }

    /// Like [`ControllerTerm::new`], with the max bytes of start commands that are on their way
    /// together.
    pub fn with_start_limit(
        epoch: u64,
        engine: JobEngine,
        host_commands: HostCommands,
        metrics: Rc<EntryMetrics>,
        start_limit: usize,
    ) -> Rc<Self> {
        metrics.lease_epoch.set(epoch as i64);
        Rc::new(Self {
            epoch,
            metrics,
            engine: RefCell::new(engine),
            host_commands: RefCell::new(host_commands),
            lag: ControlLag::new(),
            plan: Notify::new(),
            commit: Notify::new(),
            start_bytes: Semaphore::new(start_limit),
            start_limit,
            long_start_bytes: Semaphore::new(MIN_START_BYTES),
            ended: Cell::new(false),
            releasing: Cell::new(false),
            has_worker_list: Cell::new(false),
            confirmed_ms: Cell::new(boot_ms()),
            doubted_ms: Cell::new(0),
            refusing_workers: RefCell::default(),
            submissions_ms: Cell::new(0),
            maintained_workers: RefCell::default(),
            worker_notifiers: RefCell::default(),
            queued_rows: RefCell::default(),
        })
    }

    /// Returns whether the term has not ended. It ends if a doubt about the lease isn't settled.
    pub fn is_active(&self) -> bool {
        if self.is_doubted() && boot_ms() > self.doubted_ms.get() + MAX_DOUBT_MS {
            self.end("a worker has accepted a higher epoch, and the lease is not confirmed");
        }
        !self.ended.get()
    }

    /// Ends the term and wakes its tasks. Only the first call logs `reason`.
    pub fn end(&self, reason: &str) {
        if !self.ended.replace(true) {
            self.metrics.lease_epoch.set(0);
            self.metrics.open_jobs.set(0);
            self.metrics.slow_workers.set(0);
            self.metrics.long_task_wait_ms.set(0);
            for state in HealthState::ALL {
                self.metrics.set_worker_count(state.as_str(), 0);
            }
            log::warn!("event=term_ended epoch={} reason={reason:?}", self.epoch);
        }
        self.plan.notify_one();
        self.commit.notify_one();
    }

    /// Records that the lease was held at `confirmed_ms`.
    pub fn record_confirmed(&self, confirmed_ms: u64) {
        let was_doubted = self.is_doubted();
        self.confirmed_ms.set(confirmed_ms);
        if was_doubted && !self.is_doubted() {
            let notifiers = self.worker_notifiers.borrow();
            notifiers.values().for_each(|wake| wake.notify_one());
        }
    }

    /// Doubts that the lease is still held, because `worker` has accepted a higher epoch. Nothing is renewed
    /// or commanded until a commit that is sent from now on confirms the lease. No effect if the lease was
    /// confirmed since the first refusal of this worker: it knows of an epoch that no holder has.
    pub fn doubt_lease(&self, worker: &WorkerId) {
        let now_ms = boot_ms();
        let mut refusing = self.refusing_workers.borrow_mut();
        let first_ms = *refusing.entry(worker.clone()).or_insert(now_ms);
        if first_ms < now_ms && self.confirmed_ms.get() >= first_ms {
            return;
        }
        let epoch = self.epoch;
        log::warn!("event=lease_doubted epoch={epoch} worker={worker} reason=\"it has accepted a higher epoch\"");
        self.doubted_ms.set(now_ms);
        self.commit.notify_one();
    }

    /// Returns whether it is doubted that the lease is still held.
    pub fn is_doubted(&self) -> bool {
        self.confirmed_ms.get() < self.doubted_ms.get()
    }

    /// Records that all submissions stored at `time_ms` are known.
    pub fn record_submissions(&self, time_ms: u64) {
        self.submissions_ms.set(time_ms);
    }

    /// Returns the time up to which all submissions are known, in ms.
    pub fn submissions_ms(&self) -> u64 {
        self.submissions_ms.get()
    }

    /// Records that the list of workers has been read.
    pub fn record_worker_list(&self) {
        self.has_worker_list.set(true);
    }

    /// Returns whether the list of workers has been read in this term.
    pub fn has_worker_list(&self) -> bool {
        self.has_worker_list.get()
    }

    /// Ends the term after a failed commit.
    pub fn record_lease_loss(&self, _: LeaseLost) {
        self.end("the controller's lease is lost");
    }

    /// Returns the time since the lease was last confirmed, in ms.
    pub fn unconfirmed_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.confirmed_ms.get())
    }

    /// Returns whether workers' leases may be renewed.
    pub fn may_renew(&self) -> bool {
        self.is_active() && !self.is_doubted() && self.unconfirmed_ms() < MAX_RENEW_UNCONFIRMED_MS
    }

    /// Returns whether commands may be sent to hosts. A successor claims the lease only once
    /// it has not been renewed for longer than this limit.
    pub fn may_command(&self) -> bool {
        let may_end = self.releasing.get() || self.is_doubted();
        self.is_active() && !may_end && self.unconfirmed_ms() < MAX_COMMAND_UNCONFIRMED_MS
    }

    /// Records that the lease is about to be released: no command is sent to a host any more.
    pub(crate) fn begin_release(&self) {
        self.releasing.set(true);
    }

    /// Returns the notifier that wakes the loop that maintains a worker's lease.
    pub fn worker_notifier(&self, worker: &WorkerId) -> Rc<Notify> {
        let mut notifiers = self.worker_notifiers.borrow_mut();
        Rc::clone(notifiers.entry(worker.clone()).or_default())
    }

    /// Records that a worker's lease is maintained; returns whether it was not before.
    pub fn begin_maintenance(&self, worker: &WorkerId) -> bool {
        self.maintained_workers.borrow_mut().insert(worker.clone())
    }

    /// Records that a worker's lease is no longer maintained, until the worker is listed again.
    pub fn end_maintenance(&self, worker: &WorkerId) {
        self.maintained_workers.borrow_mut().remove(worker);
        self.worker_notifiers.borrow_mut().remove(worker);
    }

    /// Waits until a start command of the task fits among those that are on their way. The permit
    /// is dropped once the command is answered or given up. Starts of long-running tasks don't wait
    /// behind those of a demand peak: their users are without service meanwhile.
    pub async fn start_permit(&self, task: &TaskName) -> Option<SemaphorePermit<'_>> {
        let (bytes, long_running) = {
            let engine = self.engine.borrow();
            let job = engine.jobs.get(&task.job)?;
            let step = job.step(task.step);
            let bytes = job.spec.payload.len() + START_OVERHEAD_BYTES;
            (bytes, step.is_some_and(|step| step.long_running))
        };
        let shared = bytes.min(self.start_limit) as u32;
        let shared = self.start_bytes.acquire_many(shared);
        if !long_running {
            return shared.await.ok();
        }
        let reserved = bytes.min(MIN_START_BYTES) as u32;
        let reserved = self.long_start_bytes.acquire_many(reserved);
        match select(pin!(shared), pin!(reserved)).await {
            Either::Left((permit, _)) | Either::Right((permit, _)) => permit.ok(),
        }
    }

    /// Queues a row for the next commit.
    pub fn queue_row(&self, write: RowWrite) {
        self.enqueue(Some(write), None);
    }

    /// Queues the deletion of a row. It joins the next commit instead of causing one.
    pub(crate) fn queue_deletion(&self, key: String) {
        let write = Some(RowWrite { key, value: None });
        let row = QueuedRow { write, done: None };
        self.queued_rows.borrow_mut().push(row);
    }

    /// Announces commands to `hosts` with the next commit, so that a successor knows which hosts
    /// may have been commanded; the commit also writes `write`. Returns whether it succeeded in
    /// time and the commands may be sent.
    pub async fn announce_commands(&self, hosts: &[HostId], write: Option<RowWrite>) -> bool {
        hosts
            .iter()
            .for_each(|host| self.host_commands.borrow_mut().record_pending(host));
        let (done, waiting) = oneshot::channel();
        self.enqueue(write, Some(done));
        let announced = timeout(ANNOUNCEMENT_TIMEOUT, waiting).await;
        if matches!(announced, Ok(Ok(()))) && self.may_command() {
            return true;
        }
        log::warn!("event=host_orders_postponed reason=\"lease not confirmed\"");
        let now_ms = boot_ms();
        hosts.iter().for_each(|host| {
            self.host_commands
                .borrow_mut()
                .record_resolved(host, now_ms)
        });
        false
    }

    /// Returns those of `hosts` to which this controller may send commands.
    pub(crate) fn permitted_hosts(&self, hosts: impl Iterator<Item = HostId>) -> Vec<HostId> {
        let commands = self.host_commands.borrow();
        let now_ms = boot_ms();
        hosts
            .filter(|host| commands.may_command(host, now_ms))
            .collect()
    }

    /// Waits until all that the engine has decided by now is durable. Returns whether it was
    /// within `limit`.
    pub(crate) async fn wait_until_durable(&self, limit: Duration) -> bool {
        let (done, waiting) = oneshot::channel();
        self.enqueue(None, Some(done));
        matches!(timeout(limit, waiting).await, Ok(Ok(())))
    }

    /// Takes all entries queued for the next commit.
    pub(crate) fn take_rows(&self) -> Vec<QueuedRow> {
        self.queued_rows.take()
    }

    fn enqueue(&self, write: Option<RowWrite>, done: Option<oneshot::Sender<()>>) {
        let row = QueuedRow { write, done };
        self.queued_rows.borrow_mut().push(row);
        self.commit.notify_one();
    }
}
