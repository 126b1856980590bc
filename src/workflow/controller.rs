//! The controller: elected through the table, it places tasks and keeps workers' leases.

use std::collections::BTreeMap;
use std::collections::HashSet;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::timeout;
use serde_json::json;
use serde_json::Value;

use crate::error::Result;
use crate::id::Revision;
use crate::platform::RowWrite;
use crate::platform::TableRow;
use crate::platform::TableService;
use crate::platform::Transaction;
use crate::process::boot_ms;
use crate::process::now_ms;
use crate::process::ShutdownSignal;
use crate::workflow::cancel_key;
use crate::workflow::job_key;
use crate::workflow::job_key::parse_job_key;
use crate::workflow::job_key::JOB_TABLE;
use crate::workflow::keep_worker;
use crate::workflow::send_start;
use crate::workflow::send_stop;
use crate::workflow::ChangeFeed;
use crate::workflow::ChangeSet;
use crate::workflow::ControllerTerm;
use crate::workflow::Effect;
use crate::workflow::FleetView;
use crate::workflow::HostGateway;
use crate::workflow::JobEngine;
use crate::workflow::JobSpec;
use crate::workflow::LeaderSeat;
use crate::workflow::LeaderWatch;
use crate::workflow::TableChange;
use crate::workflow::WorkerFact;
use crate::workflow::WorkerGateway;
use crate::workflow::LEADER_KEY;

/// Where jobs' progress lies.
pub const PROGRESS_PREFIX: &str = "progress/";

/// Where the counts of waiting jobs lie.
pub const QUEUE_PREFIX: &str = "queues/";

/// How often an entry host without the lease looks at the leader row.
const WATCH_PAUSE: Duration = Duration::from_millis(350);

/// The most rows of one transaction beside the leader row: the platform takes 100.
const COMMIT_ROWS: usize = 90;

/// The bytes of rows after which a transaction is full: half of what the platform takes,
/// since its encoding adds a third.
const COMMIT_BYTES: usize = 400_000;

/// The least time between two commits: what changes within it shares one.
const COMMIT_PAUSE: Duration = Duration::from_millis(15);

/// The time after which the lease is renewed without any change.
const RENEWAL_PAUSE: Duration = Duration::from_millis(400);

/// The time between two looks of the planner when nothing wakes it.
const PLAN_PAUSE: Duration = Duration::from_millis(100);

/// The least time between two looks of the planner: ends within it share one.
const PLAN_GATHER: Duration = Duration::from_millis(8);

/// How long a feed waits for changes before it is asked again.
const FEED_WAIT: Duration = Duration::from_millis(1_000);

/// The pause after a failed call of a feed.
const FEED_PAUSE: Duration = Duration::from_millis(200);

/// The least time between two looks at the list of workers: each beat changes it.
const WORKER_LOOK: Duration = Duration::from_millis(250);

/// The time between two looks for jobs that ended long ago.
const SWEEP_PAUSE: Duration = Duration::from_secs(5);

/// The most jobs removed in one look: more than come in the time between two.
const SWEEP_JOBS: usize = 400;

/// How old the published counts of waiting jobs may get, in ms; callers accept 2 s.
const PENDING_MS: u64 = 800;

/// All that the controller asks of the platform.
pub trait FleetPlatform: ChangeFeed + HostGateway + TableService + WorkerGateway + 'static {}

impl<P: ChangeFeed + HostGateway + TableService + WorkerGateway + 'static> FleetPlatform for P {}

/// Takes part in the election and controls while it holds the lease.
pub struct Controller<P> {
    platform: Rc<P>,
    view: Rc<FleetView>,
    name: String,
    shutdown: ShutdownSignal,
}

impl<P: FleetPlatform> Controller<P> {
    /// Creates the controller of the entry host `name`.
    pub fn new(
        platform: Rc<P>,
        view: Rc<FleetView>,
        name: String,
        shutdown: ShutdownSignal,
    ) -> Self {
        Self {
            platform,
            view,
            name,
            shutdown,
        }
    }

    /// Watches the lease, and controls whenever it is won, until shutdown begins.
    pub async fn run(&self) {
        let mut watch = LeaderWatch::new();
        while self.shutdown.is_running() {
            match self.platform.read(&[LEADER_KEY]).await {
                Ok(rows) => self.consider(&mut watch, rows.first()).await,
                Err(error) => {
                    log::warn!("event=leader_unknown reason=\"{error}\"");
                    watch.reset();
                }
            }
            sleep(WATCH_PAUSE).await;
        }
    }

    async fn consider(&self, watch: &mut LeaderWatch, row: Option<&TableRow>) {
        if !watch.may_claim(row, &self.name, boot_ms()) {
            return;
        }
        let seat = LeaderSeat::claim(self.platform.as_ref(), row, &self.name).await;
        watch.reset();
        let Some(seat) = seat else {
            return;
        };
        log::info!("event=lease_gained epoch={}", seat.epoch());
        self.control(seat).await;
    }

    /// Runs one term to its end.
    async fn control(&self, mut seat: LeaderSeat) {
        let engine = JobEngine::new(boot_ms(), seat.inherited_ms());
        let term = ControllerTerm::new(seat.epoch(), engine);
        let loaded = self.while_renewing(&mut seat, self.load(&term)).await;
        let Some(job_revision) = loaded else {
            return;
        };
        monoio::spawn(follow_jobs(
            Rc::clone(&self.platform),
            Rc::clone(&term),
            job_revision,
        ));
        monoio::spawn(follow_workers(Rc::clone(&self.platform), Rc::clone(&term)));
        monoio::spawn(plan(
            Rc::clone(&self.platform),
            Rc::clone(&term),
            Rc::clone(&self.view),
        ));
        monoio::spawn(crate::workflow::keep_hosts(
            Rc::clone(&self.platform),
            Rc::clone(&term),
            Rc::clone(&self.view),
        ));
        monoio::spawn(sweep_jobs(Rc::clone(&self.platform), Rc::clone(&term)));
        self.commit_changes(&mut seat, &term).await;
        term.end("the commits ended");
    }

    /// Renews the lease while something long goes on.
    async fn while_renewing<F, T>(&self, seat: &mut LeaderSeat, work: F) -> Option<T>
    where
        F: Future<Output = T>,
    {
        let mut work = Box::pin(work);
        loop {
            if let Ok(done) = timeout(RENEWAL_PAUSE, &mut work).await {
                return Some(done);
            }
            if seat
                .commit(self.platform.as_ref(), Vec::new())
                .await
                .is_err()
            {
                return None;
            }
        }
    }

    /// Reads all jobs and their progress.
    async fn load(&self, term: &ControllerTerm) -> Revision {
        let (jobs, revision) = self.read_all(JOB_TABLE).await;
        let (progress, _) = self.read_all(PROGRESS_PREFIX).await;
        let progress: BTreeMap<String, Value> = progress
            .into_iter()
            .map(|row| (row.key[PROGRESS_PREFIX.len()..].to_owned(), row.value))
            .collect();
        let mut engine = term.engine.borrow_mut();
        // Submissions come before cancellations, which say nothing without them.
        let is_cancel = |row: &&TableRow| parse_job_key(&row.key).is_some_and(|(_, cancel)| cancel);
        let (cancels, jobs): (Vec<_>, Vec<_>) = jobs.iter().partition(is_cancel);
        for row in jobs.iter().chain(&cancels) {
            let id = row.key.rsplit('/').next().unwrap_or_default();
            apply_job_row(&mut engine, row, progress.get(id));
        }
        let (jobs, open) = (engine.jobs.len(), engine.open_jobs.len());
        log::info!(
            "event=jobs_loaded epoch={} jobs={jobs} open={open}",
            term.epoch
        );
        revision
    }

    async fn read_all(&self, prefix: &str) -> (Vec<TableRow>, Revision) {
        loop {
            let all = self
                .platform
                .row_changes(prefix, Revision::new(0), Duration::ZERO)
                .await;
            match all {
                Ok(ChangeSet::Changes(changes, revision)) => {
                    let rows = changes.into_iter().filter_map(|change| match change {
                        TableChange::Written(row) => Some(row),
                        TableChange::Deleted(_) => None,
                    });
                    return (rows.collect(), revision);
                }
                Ok(ChangeSet::HistoryLost) => {}
                Err(error) => log::warn!("event=load_retried prefix={prefix} reason=\"{error}\""),
            }
            sleep(FEED_PAUSE).await;
        }
    }

    async fn commit_changes(&self, seat: &mut LeaderSeat, term: &Rc<ControllerTerm>) {
        let mut pending_ms = 0;
        let mut published = BTreeMap::new();
        while term.is_active() {
            if !self.shutdown.is_running() {
                seat.release(self.platform.as_ref()).await;
                return;
            }
            // Without a wake the commit only renews the lease.
            let _ = timeout(RENEWAL_PAUSE, term.commit.notified()).await;
            let (rows, effects) = term.engine.borrow_mut().take_changes();
            seat.set_inherited_ms(term.engine.borrow().inherited_ms(boot_ms()));
            let mut writes: Vec<_> = rows
                .into_iter()
                .map(|(id, value)| row_write(format!("{PROGRESS_PREFIX}{id}"), value))
                .collect();
            let mut waiting = Vec::new();
            for row in term.take_rows() {
                // A later write of the same row replaces the earlier one.
                writes.retain(|write: &RowWrite| write.key != row.write.key);
                writes.push(row.write);
                waiting.extend(row.done);
            }
            let now_ms = boot_ms();
            if now_ms > pending_ms + PENDING_MS {
                pending_ms = now_ms;
                writes.extend(changed_counts(term, &mut published));
            }
            for writes in split_writes(writes) {
                if let Err(lost) = seat.commit(self.platform.as_ref(), writes).await {
                    term.lose(lost);
                    return;
                }
                term.confirm(seat.confirmed_ms());
            }
            self.carry_out(term, effects);
            for done in waiting {
                // A waiter that has gone needs no answer.
                let _ = done.send(());
            }
            sleep(COMMIT_PAUSE).await;
        }
    }

    fn carry_out(&self, term: &Rc<ControllerTerm>, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(task) => {
                    let platform = Rc::clone(&self.platform);
                    monoio::spawn(send_start(platform, Rc::clone(term), task));
                }
                Effect::Acknowledge(worker, number) => {
                    let mut engine = term.engine.borrow_mut();
                    if let Some(state) = engine.workers.get_mut(&worker) {
                        state.durable_end = state.durable_end.max(number);
                    }
                    drop(engine);
                    term.worker_wake(&worker).notify_one();
                }
            }
        }
    }
}

fn row_write(key: String, value: Value) -> RowWrite {
    RowWrite {
        key,
        value: Some(value),
    }
}

fn changed_counts(term: &ControllerTerm, published: &mut BTreeMap<String, u64>) -> Vec<RowWrite> {
    let counts = term.engine.borrow().pending_counts();
    let changed = counts
        .iter()
        .filter(|(queue, count)| published.get(*queue) != Some(count));
    let writes = changed
        .map(|(queue, count)| row_write(format!("{QUEUE_PREFIX}{queue}"), json!(count)))
        .collect();
    *published = counts;
    writes
}

/// Removes jobs that ended long ago: first what was submitted, so that no controller takes
/// it for a new job, then the progress.
async fn sweep_jobs<P: FleetPlatform>(platform: Rc<P>, term: Rc<ControllerTerm>) {
    while term.is_active() {
        sleep(SWEEP_PAUSE).await;
        let old = term.engine.borrow().forgettable_jobs(boot_ms());
        for id in old.into_iter().take(SWEEP_JOBS) {
            let removal = Transaction::new()
                .with_delete(job_key(&id))
                .with_delete(cancel_key(&id));
            if let Err(error) = platform.transact(&removal).await {
                log::warn!("event=sweep_postponed job={id} reason=\"{error}\"");
                break;
            }
            term.engine.borrow_mut().forget_job(&id);
            term.queue_rows(RowWrite {
                key: format!("{PROGRESS_PREFIX}{id}"),
                value: None,
            });
        }
    }
}

/// Splits writes into transactions that the platform takes; at least one, maybe empty.
fn split_writes(writes: Vec<RowWrite>) -> Vec<Vec<RowWrite>> {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    for write in writes {
        let size = write.value.as_ref().map_or(0, value_size) + write.key.len();
        let part = parts.last().map_or(0, Vec::len);
        if part >= COMMIT_ROWS || (part > 0 && bytes + size > COMMIT_BYTES) {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(write);
        }
    }
    parts
}

/// Estimates the encoded size of a value, in bytes.
fn value_size(value: &Value) -> usize {
    match value {
        Value::Array(parts) => parts.iter().map(|part| value_size(part) + 1).sum(),
        Value::Object(fields) => fields
            .iter()
            .map(|(key, value)| key.len() + 4 + value_size(value))
            .sum(),
        Value::String(text) => text.len() + 2,
        _ => 8,
    }
}

/// Takes a submission or a cancellation in.
fn apply_job_row(engine: &mut JobEngine, row: &TableRow, progress: Option<&Value>) {
    let spec = serde_json::from_value::<JobSpec>(row.value.clone());
    match (parse_job_key(&row.key), spec) {
        (Some((id, true)), _) => engine.cancel_job(&id, boot_ms()),
        (Some((id, false)), Ok(spec)) => {
            log::info!("event=job_seen job={id} queue={}", spec.queue);
            engine.add_job(id, spec, progress, boot_ms());
        }
        _ => log::error!("event=job_unreadable key={}", row.key),
    }
}

/// Follows submissions and cancellations.
async fn follow_jobs<P: FleetPlatform>(
    platform: Rc<P>,
    term: Rc<ControllerTerm>,
    mut since: Revision,
) {
    while term.is_active() {
        let changes = platform.row_changes(JOB_TABLE, since, FEED_WAIT).await;
        let Some((changes, revision)) = accept_changes("jobs", changes, &mut since) else {
            sleep(FEED_PAUSE).await;
            continue;
        };
        since = revision;
        let mut engine = term.engine.borrow_mut();
        for change in &changes {
            if let TableChange::Written(row) = change {
                apply_job_row(&mut engine, row, None);
            }
        }
        if !changes.is_empty() {
            term.plan.notify_one();
        }
    }
}

/// Follows the list of workers.
async fn follow_workers<P: FleetPlatform>(platform: Rc<P>, term: Rc<ControllerTerm>) {
    let mut since = Revision::new(0);
    let mut tended = HashSet::new();
    while term.is_active() {
        let whole = since == Revision::new(0);
        let changes = platform.worker_changes(since, FEED_WAIT).await;
        let Some((changes, revision)) = accept_changes("workers", changes, &mut since) else {
            sleep(FEED_PAUSE).await;
            continue;
        };
        since = revision;
        apply_workers(&term, changes, whole);
        let listed: Vec<_> = term.engine.borrow().workers.keys().cloned().collect();
        for id in listed {
            if tended.insert(id.clone()) {
                let platform = Rc::clone(&platform);
                monoio::spawn(keep_worker(platform, Rc::clone(&term), id));
            }
        }
        term.plan.notify_one();
        sleep(WORKER_LOOK).await;
    }
}

fn apply_workers(term: &ControllerTerm, changes: Vec<WorkerFact>, whole: bool) {
    let mut engine = term.engine.borrow_mut();
    if whole {
        let present = |id| {
            let is_it =
                |fact: &WorkerFact| matches!(fact, WorkerFact::Present(entry) if entry.id == id);
            changes.iter().any(is_it)
        };
        let known: Vec<_> = engine.workers.keys().cloned().collect();
        for id in known.into_iter().filter(|id| !present(id.clone())) {
            engine.unlist_worker(&id);
        }
    }
    for change in changes {
        match change {
            WorkerFact::Present(entry) => engine.set_worker(entry),
            WorkerFact::Gone(id) => engine.unlist_worker(&id),
            WorkerFact::Unreadable(id) => {
                log::warn!("event=worker_unreadable worker={id}");
                engine.unlist_worker(&id);
            }
        }
    }
}

/// Returns the changes of a feed's answer; after lost history all is read anew.
fn accept_changes<T>(
    feed: &str,
    answer: Result<ChangeSet<T>>,
    since: &mut Revision,
) -> Option<(Vec<T>, Revision)> {
    match answer {
        Ok(ChangeSet::Changes(changes, revision)) => Some((changes, revision)),
        Ok(ChangeSet::HistoryLost) => {
            log::warn!("event=history_lost feed={feed} since={since}");
            *since = Revision::new(0);
            None
        }
        Err(error) => {
            log::warn!("event=feed_failed feed={feed} reason=\"{error}\"");
            None
        }
    }
}

/// Places tasks whenever something has changed.
async fn plan<P: FleetPlatform>(platform: Rc<P>, term: Rc<ControllerTerm>, view: Rc<FleetView>) {
    while term.is_active() {
        // Without a wake the planner looks for what has become due.
        let _ = timeout(PLAN_PAUSE, term.plan.notified()).await;
        let mut engine = term.engine.borrow_mut();
        engine.config = view.config();
        engine.expire_workers(boot_ms());
        engine.place_tasks(boot_ms(), now_ms());
        let stops = engine.take_stops();
        let changed = engine.has_changes();
        drop(engine);
        for stop in stops {
            monoio::spawn(send_stop(Rc::clone(&platform), Rc::clone(&term), stop));
        }
        if changed {
            term.commit.notify_one();
        }
        sleep(PLAN_GATHER).await;
    }
}
