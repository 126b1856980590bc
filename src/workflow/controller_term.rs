//! State shared by the futures of one controller term, the time for which a controller holds its
//! lease.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashSet;
use std::future::Future;
use std::iter::once;
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
use crate::workflow::commit::commit_notice::CommitNotice;
use crate::workflow::host_resources::MIN_START_BYTES;
use crate::workflow::worker_loops::WorkerLoops;
use crate::workflow::ControlLag;
use crate::workflow::ControlWork;
use crate::workflow::HealthState;
use crate::workflow::HostCommands;
use crate::workflow::JobEngine;
use crate::workflow::LeaseLost;
use crate::workflow::StopRequest;
use crate::workflow::TaskName;
use crate::workflow::COMMANDS_KEY;

/// Time for which workers' leases are renewed without a confirmed controller lease. Table
/// outages up to about this long lose no running work.
const MAX_RENEW_UNCONFIRMED_MS: u64 = 12_000;

/// Time for which commands are sent to hosts without a confirmed controller lease. The limit
/// prevents a controller that was paused from sending commands after a successor has taken over.
const MAX_COMMAND_UNCONFIRMED_MS: u64 = 1_000;

/// Age of the list of workers up to which the capacities that it states are relied on. The platform
/// allows 3 s and a heartbeat until a smaller one counts; the feed answers at least each 1.3 s.
const MAX_WORKER_LIST_AGE_MS: u64 = 3_000;

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
    /// Rises with each change of the lease holder. Calls to workers that have restarted in this term bear
    /// a higher one.
    pub epoch: u64,
    /// Jobs and workers; never borrowed across an await.
    pub engine: RefCell<JobEngine>,
    /// The latest command to each host, from this controller and earlier ones.
    pub host_commands: RefCell<HostCommands>,
    /// Counters of the entry host, shared by all its terms.
    pub metrics: Rc<EntryMetrics>,
    /// How far the controller's work is behind.
    pub lag: ControlLag,
    /// What the controller has done lately.
    pub work: ControlWork,
    /// Wakes the planner before its interval has passed.
    pub plan: Notify,
    /// Wakes the committer before its renewal interval has passed.
    pub commit: Notify,
    /// Wakes the loops of workers that wait for an answer when a higher epoch is in use.
    pub(crate) epoch_raised: Notify,
    /// Wakes the starts and stops that wait for a confirmation of the lease.
    confirmation: Notify,
    /// Bytes of start commands that may still be sent before earlier ones are answered.
    start_bytes: Semaphore,
    /// The number of permits of `start_bytes`.
    start_limit: usize,
    /// Permits for starts of long-running tasks beside the others, by bytes.
    long_start_bytes: Semaphore,
    ended: Cell<bool>,
    releasing: Cell<bool>,
    /// When the list of workers was last known to be current, in ms.
    worker_list_ms: Cell<Option<u64>>,
    /// When the lease was last confirmed, in ms.
    confirmed_ms: Cell<u64>,
    /// When it was last doubted that the lease is still held, in ms.
    doubted_ms: Cell<u64>,
    /// Stops that wait until this controller may decide about runs.
    waiting_stops: RefCell<HashSet<StopRequest>>,
    /// Workers that refused this epoch.
    refusing_workers: RefCell<HashSet<WorkerId>>,
    /// Time up to which all submissions are known, in ms.
    submissions_ms: Cell<u64>,
    worker_loops: WorkerLoops,
    queued_rows: RefCell<Vec<QueuedRow>>,
}

/// An entry for the next commit: a row to write, if any, and a channel to notify once the commit
/// succeeded.
pub(crate) struct QueuedRow {
    pub(crate) write: Option<RowWrite>,
    pub(crate) done: Option<CommitNotice>,
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
        mut engine: JobEngine,
        host_commands: HostCommands,
        metrics: Rc<EntryMetrics>,
        start_limit: usize,
    ) -> Rc<Self> {
        metrics.lease_epoch.set(epoch as i64);
        engine.set_epoch(epoch);
        Rc::new(Self {
            epoch,
            metrics,
            engine: RefCell::new(engine),
            host_commands: RefCell::new(host_commands),
            lag: ControlLag::new(),
            work: ControlWork::new(),
            plan: Notify::new(),
            commit: Notify::new(),
            epoch_raised: Notify::new(),
            confirmation: Notify::new(),
            start_bytes: Semaphore::new(start_limit),
            start_limit,
            long_start_bytes: Semaphore::new(MIN_START_BYTES),
            ended: Cell::new(false),
            releasing: Cell::new(false),
            worker_list_ms: Cell::new(None),
            confirmed_ms: Cell::new(boot_ms()),
            doubted_ms: Cell::new(0),
            waiting_stops: RefCell::default(),
            refusing_workers: RefCell::default(),
            submissions_ms: Cell::new(0),
            worker_loops: WorkerLoops::default(),
            queued_rows: RefCell::default(),
        })
    }

    /// Returns whether the term has not ended.
    pub fn is_active(&self) -> bool {
        !self.ended.get()
    }

    /// Ends the term and wakes its tasks. Only the first call logs `reason`.
    pub fn end(&self, reason: &str) {
        if !self.ended.replace(true) {
            self.metrics.lease_epoch.set(0);
            self.metrics.open_jobs.set(0);
            self.metrics.early_cancels.set(0);
            self.metrics.left_out_jobs.set(0);
            self.metrics.slow_workers.set(0);
            self.metrics.long_task_wait_ms.set(0);
            self.metrics.full_row_jobs.set(0);
            self.metrics.clear_suspects();
            self.metrics.clear_control_work();
            for state in HealthState::ALL {
                self.metrics.set_worker_count(state.as_str(), 0);
            }
            log::warn!("event=term_ended epoch={} reason={reason:?}", self.epoch);
        }
        self.plan.notify_one();
        self.commit.notify_one();
        self.confirmation.notify_waiters();
        self.worker_loops.wake_all();
    }

    /// Records that the lease was held at `confirmed_ms`.
    pub fn record_confirmed(&self, confirmed_ms: u64) {
        self.confirmed_ms.set(confirmed_ms);
        self.confirmation.notify_waiters();
    }

    /// Calls the workers that have restarted with `epoch`, which is stored, at once.
    pub(crate) fn raise_worker_epochs(&self, epoch: u64) {
        let raised = self.engine.borrow_mut().raise_epoch(epoch, boot_ms());
        for id in &raised {
            self.metrics.count("worker_epoch", "raised");
            self.worker_notifier(id).notify_one();
        }
        if !raised.is_empty() {
            self.epoch_raised.notify_waiters();
        }
    }

    /// Waits for the end of a doubt about the lease, or of the term. A start that was withdrawn instead
    /// would leave the other members of its gang alone, and an unanswered one would have to be stopped.
    pub(crate) async fn wait_for_doubt(&self) {
        while self.is_active() && self.is_doubted() {
            self.confirmation.notified().await;
        }
    }

    /// Waits until this controller may decide about runs. Returns whether it may: not once its term has
    /// ended, since another holder may then keep what this one would have stopped.
    async fn wait_for_permission(&self) -> bool {
        while self.is_active() && !self.may_direct_runs() {
            self.confirmation.notified().await;
        }
        self.is_active()
    }

    /// Like [`ControllerTerm::wait_for_permission`], for a stop. Returns false as well if an equal one waits
    /// already: a run that no job has is stopped anew with each report.
    pub(crate) async fn wait_to_stop(&self, request: &StopRequest) -> bool {
        if self.may_direct_runs() {
            return true;
        }
        if !self.waiting_stops.borrow_mut().insert(request.clone()) {
            return false;
        }
        let may_stop = self.wait_for_permission().await;
        self.waiting_stops.borrow_mut().remove(request);
        may_stop
    }

    /// Doubts that the lease is still held, because `worker` has accepted a higher epoch. Nothing is
    /// commanded until a commit that is sent from now on confirms the lease or finds it lost, however
    /// long that takes. No effect if this worker has refused the epoch before: either that doubt lasts,
    /// or a commit has shown that the worker knows of an epoch that no holder has.
    pub fn doubt_lease(&self, worker: &WorkerId) {
        if !self.refusing_workers.borrow_mut().insert(worker.clone()) {
            return;
        }
        let epoch = self.epoch;
        log::warn!("event=lease_doubted epoch={epoch} worker={worker} reason=\"it has accepted a higher epoch\"");
        self.doubted_ms.set(boot_ms());
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

    /// Records that the list of workers has been read, or its feed has answered, just now.
    pub fn record_worker_list(&self) {
        self.worker_list_ms.set(Some(boot_ms()));
    }

    /// Returns whether the list of workers is recent enough to rely on the capacities that it states.
    pub fn has_recent_worker_list(&self) -> bool {
        let listed_ms = self.worker_list_ms.get();
        listed_ms.is_some_and(|listed_ms| boot_ms() < listed_ms + MAX_WORKER_LIST_AGE_MS)
    }

    /// Returns whether the list of workers has been read in this term.
    pub fn has_worker_list(&self) -> bool {
        self.worker_list_ms.get().is_some()
    }

    /// Ends the term after a failed commit.
    pub fn record_lease_loss(&self, _: LeaseLost) {
        self.end("the controller's lease is lost");
    }

    /// Returns the time since the lease was last confirmed, in ms.
    pub fn unconfirmed_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.confirmed_ms.get())
    }

    /// Returns whether workers' leases may be renewed. A successor allows for this time, so a doubt
    /// about the lease takes nothing from the runs of workers that accept this epoch.
    pub fn may_renew(&self) -> bool {
        self.is_active() && self.unconfirmed_ms() < MAX_RENEW_UNCONFIRMED_MS
    }

    /// Returns whether runs may be started and stopped.
    pub fn may_direct_runs(&self) -> bool {
        self.may_renew() && !self.is_doubted()
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
        self.worker_loops.notifier(worker)
    }

    /// Records that a worker's lease is maintained; returns whether it was not before.
    pub fn begin_maintenance(&self, worker: &WorkerId) -> bool {
        self.worker_loops.begin(worker)
    }

    /// Records that a worker's lease is no longer maintained, until the worker is listed again.
    pub fn end_maintenance(&self, worker: &WorkerId) {
        self.worker_loops.end(worker);
    }

    /// Wakes the loops of workers that have become due without a notification.
    pub(crate) fn wake_due_workers(&self) {
        let engine = self.engine.borrow();
        self.worker_loops.wake_due(&engine.workers, boot_ms());
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
    /// may have been commanded; the commit also writes `write`. The returned future tells whether it
    /// succeeded in time and the commands may be sent.
    pub(crate) fn announce_commands(
        self: &Rc<Self>,
        hosts: Vec<HostId>,
        write: Option<RowWrite>,
    ) -> impl Future<Output = bool> + use<> {
        for host in &hosts {
            self.host_commands.borrow_mut().record_pending(host);
        }
        let (sender, waiting) = oneshot::channel();
        let own_key = write.as_ref().map(|write| write.key.clone());
        let keys = once(COMMANDS_KEY.to_owned()).chain(own_key).collect();
        // Rows are queued in the order of the decisions, since a later one replaces an earlier one.
        self.enqueue(write, Some(CommitNotice { sender, keys }));
        let term = Rc::clone(self);
        async move {
            let announced = timeout(ANNOUNCEMENT_TIMEOUT, waiting).await;
            if matches!(announced, Ok(Ok(()))) && term.may_command() {
                return true;
            }
            log::warn!("event=host_orders_postponed reason=\"lease not confirmed\"");
            let now_ms = boot_ms();
            for host in &hosts {
                let mut commands = term.host_commands.borrow_mut();
                commands.record_resolved(host, now_ms);
            }
            false
        }
    }

    /// Returns those of `hosts` to which this controller may send commands.
    pub(crate) fn permitted_hosts(&self, hosts: impl Iterator<Item = HostId>) -> Vec<HostId> {
        self.host_commands.borrow().permitted(hosts, boot_ms())
    }

    /// Waits until all that the engine has decided by now is durable, besides rows that the table
    /// refuses. Returns whether it was within `limit`.
    pub(crate) async fn wait_until_durable(&self, limit: Duration) -> bool {
        let (sender, waiting) = oneshot::channel();
        let keys = Vec::new();
        self.enqueue(None, Some(CommitNotice { sender, keys }));
        matches!(timeout(limit, waiting).await, Ok(Ok(())))
    }

    /// Takes all entries queued for the next commit.
    pub(crate) fn take_rows(&self) -> Vec<QueuedRow> {
        self.queued_rows.take()
    }

    fn enqueue(&self, write: Option<RowWrite>, done: Option<CommitNotice>) {
        let row = QueuedRow { write, done };
        self.queued_rows.borrow_mut().push(row);
        self.commit.notify_one();
    }
}
