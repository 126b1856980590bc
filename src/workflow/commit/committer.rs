//! Commits the engine's decisions to the table, then applies their effects.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::timeout;
use monoio::time::Instant;
use serde_json::json;
use serde_json::Value;

use crate::id::JobId;
use crate::process::boot_ms;
use crate::process::now_ms;
use crate::process::ShutdownSignal;
use crate::provider::RowWrite;
use crate::workflow::admission_window::hash_text;
use crate::workflow::commit::commit_notice::CommitNotice;
use crate::workflow::commit::effect_order::EffectOrder;
use crate::workflow::send_start;
use crate::workflow::BacklogView;
use crate::workflow::CommitEffect;
use crate::workflow::ControllerTerm;
use crate::workflow::CountFreshness;
use crate::workflow::FleetPlatform;
use crate::workflow::HostResources;
use crate::workflow::LeaderLease;
use crate::workflow::LeaseLost;
use crate::workflow::OrganisationMonitor;
use crate::workflow::PublishedCounts;
use crate::workflow::RefusedRow;
use crate::workflow::RefusedRows;
use crate::workflow::SilentWorkers;
use crate::workflow::WorkKind;
use crate::workflow::WorkerGateway;
use crate::workflow::COMMANDS_KEY;

/// Key prefix of the progress rows, one for each job.
pub(crate) const PROGRESS_PREFIX: &str = "progress/";

/// Key prefix of the rows with the number of pending jobs, one for each queue.
const QUEUE_PREFIX: &str = "queues/";

/// The platform's limit on the bytes of a row's key.
const MAX_KEY_BYTES: usize = 200;

/// Max rows of one transaction besides the leader row. The platform accepts 100.
const MAX_COMMIT_ROWS: usize = 90;

/// Min time between commits. Changes within it share one commit.
const MIN_COMMIT_INTERVAL: Duration = Duration::from_millis(15);

/// Time since the last commit after which the lease is renewed even if nothing has changed.
const RENEWAL_INTERVAL: Duration = Duration::from_millis(300);

/// Min time between counts of the pending jobs, a part of [`crate::workflow::MAX_COUNT_AGE_MS`].
/// It is below the renewal interval, so that each renewal without changes states new counts.
const COUNT_INTERVAL_MS: u64 = 250;

/// Min time between measurements of the memory that jobs take, in ms.
const MEMORY_INTERVAL_MS: u64 = 500;

/// Commits the changes of one term of the controller.
pub(crate) struct Committer<P, G> {
    platform: Rc<P>,
    gateway: Rc<G>,
    term: Rc<ControllerTerm>,
    freshness: Rc<CountFreshness>,
    backlogs: Rc<BacklogView>,
    organisations: OrganisationMonitor,
    /// The limit on the bytes of rows in one commit.
    commit_bytes: usize,
    /// Pending jobs per queue, as last written.
    published_counts: BTreeMap<String, u64>,
    /// When the pending jobs were last counted, in ms.
    count_ms: u64,
    /// When the memory of jobs was last measured, in ms.
    memory_ms: u64,
    /// Time up to which the published counts contain all submissions, in ms, once there are any.
    counted_ms: Option<u64>,
    /// The last written row of command ages was empty, so it need not be written again.
    published_no_commands: bool,
    refused_rows: RefusedRows,
}

impl<P: FleetPlatform, G: WorkerGateway + 'static> Committer<P, G> {
    pub(crate) fn new(
        (platform, gateway): (Rc<P>, Rc<G>),
        term: Rc<ControllerTerm>,
        freshness: Rc<CountFreshness>,
        backlogs: Rc<BacklogView>,
        resources: HostResources,
    ) -> Self {
        let organisations = OrganisationMonitor::new(Rc::clone(&term.metrics));
        Self {
            platform,
            gateway,
            term,
            freshness,
            backlogs,
            organisations,
            commit_bytes: resources.commit_bytes(),
            published_counts: BTreeMap::new(),
            count_ms: 0,
            memory_ms: 0,
            counted_ms: None,
            published_no_commands: false,
            refused_rows: RefusedRows::new(),
        }
    }

    /// Commits until the term ends, or until the entry host closes its connections at shutdown;
    /// then releases the lease. During a rolling restart, a released lease can pass to an entry
    /// host that has already been restarted instead of one that is stopped next.
    pub(crate) async fn run(&mut self, lease: &mut LeaderLease, shutdown: &ShutdownSignal) {
        let _busy = shutdown.enter();
        while self.term.is_active() {
            if shutdown.is_closing() {
                self.release(lease).await;
                return;
            }
            // A commit after a timeout only renews the lease.
            let _ = timeout(RENEWAL_INTERVAL, self.term.commit.notified()).await;
            if let Err(lost) = self.commit_once(lease).await {
                self.term.record_lease_loss(lost);
                return;
            }
            sleep(MIN_COMMIT_INTERVAL).await;
        }
    }

    /// Writes the ages of host commands and the queued rows, and releases the lease with the last
    /// commit. Without the ages, the successor would have to wait before it commands any host.
    /// Engine decisions that are not committed yet have had no effect and are dropped.
    async fn release(&mut self, lease: &mut LeaderLease) {
        self.term.begin_release();
        let row = self.command_row();
        let (writes, _) = self.merge_queued_rows(row.into_iter().collect());
        let (mut parts, _) = split_writes(writes, self.commit_bytes);
        let last = parts.pop().unwrap_or_default();
        for writes in parts {
            if let Err(lost) = self.commit_part(lease, writes).await {
                self.term.record_lease_loss(lost);
                return;
            }
        }
        let platform = self.platform.as_ref();
        let silent = self.give_up_silent_workers();
        lease.release(platform, last, self.counted_ms, silent).await;
    }

    fn give_up_silent_workers(&self) -> SilentWorkers {
        let mut engine = self.term.engine.borrow_mut();
        engine.give_up_silent_workers(boot_ms())
    }

    /// Merges the queued rows into `writes`. Also returns the channels to notify after the commit.
    fn merge_queued_rows(&self, mut writes: Vec<RowWrite>) -> (Vec<RowWrite>, Vec<CommitNotice>) {
        let mut notices = Vec::new();
        for row in self.term.take_rows() {
            notices.extend(row.done);
            let Some(row) = row.write else {
                continue;
            };
            // A later write of the same row replaces the earlier one.
            writes.retain(|write: &RowWrite| write.key != row.key);
            writes.push(row);
        }
        (writes, notices)
    }

    async fn commit_once(&mut self, lease: &mut LeaderLease) -> Result<(), LeaseLost> {
        let (rows, effects) = self.term.engine.borrow_mut().take_changes();
        lease.set_inherited_ms(self.term.engine.borrow().inherited_ms(boot_ms()));
        let row = |(id, value)| row_write(format!("{PROGRESS_PREFIX}{id}"), value);
        let writes = rows.into_iter().map(row).chain(self.command_row());
        let (mut writes, notices) = self.merge_queued_rows(writes.collect());
        if boot_ms() >= self.count_ms + COUNT_INTERVAL_MS {
            self.measure_backlogs(lease);
        }
        let (counts, counted_ms) = self.changed_counts();
        writes.extend(counts);
        let due = self.refused_rows.withhold(&mut writes, boot_ms());
        let (mut parts, bytes) = split_writes(writes, self.commit_bytes);
        self.term.work.add(WorkKind::CommitBytes, bytes as u64);
        let jobs: Vec<_> = parts.iter().map(|writes| jobs_of(writes)).collect();
        let mut effects = EffectOrder::new(effects, &jobs);
        let last_part = parts.len().saturating_sub(1);
        let last = parts.pop().unwrap_or_default();
        // A row that was refused before must not make the others part of a search again.
        if let Some(write) = due {
            self.commit_part(lease, vec![write]).await?;
        }
        for (part, writes) in parts.into_iter().enumerate() {
            self.commit_part(lease, writes).await?;
            self.apply_effects(effects.take(part));
        }
        // Only the last part completes the counts.
        let published_ms = self.counted_ms;
        if !self.refused_rows.contains_prefix(QUEUE_PREFIX) {
            self.counted_ms = counted_ms;
        }
        self.commit_part(lease, last).await?;
        if self.refused_rows.contains_prefix(QUEUE_PREFIX) {
            self.counted_ms = published_ms;
        }
        self.apply_effects(effects.take(last_part));
        if self.term.engine.borrow().has_untaken_rows() {
            self.term.commit.notify_one();
        }
        for CommitNotice { sender, keys } in notices {
            if !keys.iter().any(|key| self.refused_rows.contains(key)) {
                // The receiver may have timed out and been dropped.
                let _ = sender.send(());
            }
        }
        Ok(())
    }

    /// Commits rows together with the age of the published counts. Rows that the table refuses are
    /// set aside.
    async fn commit_part(
        &mut self,
        lease: &mut LeaderLease,
        writes: Vec<RowWrite>,
    ) -> Result<(), LeaseLost> {
        self.term.work.add(WorkKind::Commits, 1);
        let keys = self.keys_to_record(&writes);
        let platform = self.platform.as_ref();
        let started = Instant::now();
        let refused = lease.commit(platform, writes, self.counted_ms).await?;
        let took_us = started.elapsed().as_micros() as u64;
        self.term.work.add(WorkKind::CommitTime, took_us);
        let accepted = |key: &&String| refused.iter().all(|row| row.write.key != **key);
        keys.iter()
            .filter(accepted)
            .for_each(|key| self.record_accepted(key));
        refused.iter().for_each(|row| self.set_aside(row));
        if !refused.is_empty() {
            return Ok(());
        }
        if let Some(counted_ms) = self.counted_ms {
            self.freshness.record_commit(PublishedCounts {
                counted_ms,
                epoch: lease.epoch(),
                claimed: lease.claimed(),
            });
        }
        Ok(())
    }

    /// Returns the keys of rows whose acceptance matters: those refused before, which seldom are any.
    fn keys_to_record(&self, writes: &[RowWrite]) -> Vec<String> {
        if self.refused_rows.is_empty() && !self.term.engine.borrow().has_refused_jobs() {
            return Vec::new();
        }
        writes.iter().map(|write| write.key.clone()).collect()
    }

    fn record_accepted(&mut self, key: &str) {
        self.refused_rows.record_accepted(key);
        if let Some(id) = job_of_progress(key) {
            let mut engine = self.term.engine.borrow_mut();
            engine.record_saved_row(&id, boot_ms());
        }
    }

    /// Keeps a refused row out of the next commits.
    fn set_aside(&mut self, row: &RefusedRow) {
        let (key, now_ms) = (&row.write.key, boot_ms());
        let (bytes, status, reason) = (row.bytes(), row.status, &row.reason);
        log::error!(
            "event=row_refused key={key} bytes={bytes} status={status} reason={reason:?} action=set_aside"
        );
        self.term.metrics.count("commit_row", "Refused");
        self.refused_rows.record_refused(row, now_ms);
        let Some(id) = job_of_progress(key) else {
            return;
        };
        let mut engine = self.term.engine.borrow_mut();
        if engine.record_refused_row(&id, now_ms) {
            self.refused_rows.record_reduced(key, now_ms);
        }
    }

    /// Returns the row with the ages of the latest commands to hosts while there are any. An
    /// empty row is written once when the last one has expired.
    fn command_row(&mut self) -> Option<RowWrite> {
        let ages = self.term.host_commands.borrow_mut().ages(boot_ms())?;
        if ages.is_empty() && self.published_no_commands {
            return None;
        }
        self.published_no_commands = ages.is_empty();
        Some(row_write(COMMANDS_KEY.to_owned(), json!(ages)))
    }

    /// Tells the other entry hosts, with the next commit, and this one how long new jobs wait and
    /// which organisations are limited.
    fn measure_backlogs(&mut self, lease: &mut LeaderLease) {
        let is_full = self.measure_memory();
        let now_ms = boot_ms();
        let lag_ms = self.term.lag.average().as_millis() as u64;
        let mut engine = self.term.engine.borrow_mut();
        let backlogs = engine.queue_backlogs(lag_ms, now_ms);
        self.backlogs.record_own(&backlogs, now_ms);
        self.backlogs.record_own_memory(is_full);
        lease.set_backlogs(backlogs);
        lease.set_full(is_full);
        let limits = self.organisations.measure(&mut engine, lag_ms, now_ms);
        self.backlogs.limits.record(limits.clone(), now_ms);
        lease.set_limits(limits);
    }

    /// Returns whether there is no memory for further jobs, which is measured at most once per
    /// [`MEMORY_INTERVAL_MS`].
    fn measure_memory(&mut self) -> bool {
        let mut engine = self.term.engine.borrow_mut();
        if boot_ms() < self.memory_ms + MEMORY_INTERVAL_MS {
            return engine.job_memory().is_full();
        }
        self.memory_ms = boot_ms();
        let memory = engine.measure_job_memory(now_ms());
        self.term.metrics.job_bytes.set(memory.held_bytes as i64);
        let due_bytes = memory.due_bytes as i64;
        self.term.metrics.due_job_bytes.set(due_bytes);
        memory.is_full()
    }

    /// Counts the pending jobs, at most once per [`COUNT_INTERVAL_MS`]. Returns the rows of changed
    /// counts, and the time in ms up to which all counts contain all submissions.
    fn changed_counts(&mut self) -> (Vec<RowWrite>, Option<u64>) {
        let now_ms = boot_ms();
        if now_ms < self.count_ms + COUNT_INTERVAL_MS {
            return (Vec::new(), self.counted_ms);
        }
        self.count_ms = now_ms;
        let mut counts = self.term.engine.borrow().pending_counts();
        // A queue that is no longer counted keeps its row, which must not keep its last count.
        for queue in self.published_counts.keys() {
            counts.entry(queue.clone()).or_insert(0);
        }
        // A row from before this holder's claim counts as 0, so a first 0 need not be written.
        let published = |queue| self.published_counts.get(queue).copied().unwrap_or(0);
        let is_refused = |queue: &str| self.refused_rows.contains(&count_key(queue));
        let changed = counts
            .iter()
            .filter(|(queue, count)| published(*queue) != **count || is_refused(queue));
        let writes = changed
            .map(|(queue, count)| row_write(count_key(queue), json!(count)))
            .collect();
        self.published_counts = counts;
        (writes, Some(self.term.submissions_ms()))
    }

    /// Applies effects whose rows were committed, except for those of rows that the table refused.
    fn apply_effects(&self, effects: Vec<CommitEffect>) {
        let permitted = self.term.engine.borrow_mut().permitted_effects(effects);
        for effect in permitted {
            match effect {
                CommitEffect::Start(task, run) => {
                    let gateway = Rc::clone(&self.gateway);
                    monoio::spawn(send_start(gateway, Rc::clone(&self.term), task, run));
                }
                CommitEffect::Acknowledge(worker, start, last_end, _) => {
                    let mut engine = self.term.engine.borrow_mut();
                    engine.record_durable_end(&worker, start, last_end);
                    drop(engine);
                    self.term.worker_notifier(&worker).notify_one();
                }
            }
        }
    }
}

/// Returns the key of the row with the number of pending jobs of a queue. A name that is longer than
/// the platform allows for a key is shortened to its beginning and a hash.
pub(crate) fn count_key(queue: &str) -> String {
    if queue.len() <= MAX_KEY_BYTES {
        return format!("{QUEUE_PREFIX}{queue}");
    }
    let hash = format!("{:016x}", hash_text(queue));
    let mut end = MAX_KEY_BYTES - hash.len();
    while !queue.is_char_boundary(end) {
        end -= 1;
    }
    format!("{QUEUE_PREFIX}{}{hash}", &queue[..end])
}

/// Returns the jobs whose progress a transaction writes.
fn jobs_of(writes: &[RowWrite]) -> Vec<JobId> {
    let keys = writes.iter().map(|write| write.key.as_str());
    keys.filter_map(job_of_progress).collect()
}

/// Returns the job of a progress row's key.
fn job_of_progress(key: &str) -> Option<JobId> {
    key.strip_prefix(PROGRESS_PREFIX)?.parse().ok()
}

fn row_write(key: String, value: Value) -> RowWrite {
    RowWrite {
        key,
        value: Some(value),
    }
}

/// Splits writes into transactions within the platform's limits and of `max_bytes`, unless a single
/// row is larger. Returns at least one, which may be empty, and the bytes of all.
fn split_writes(writes: Vec<RowWrite>, max_bytes: usize) -> (Vec<Vec<RowWrite>>, usize) {
    let mut parts = vec![Vec::new()];
    let mut bytes = 0;
    let mut all_bytes = 0;
    for write in writes {
        let size = write.value.as_ref().map_or(0, value_size) + write.key.len();
        let row_count = parts.last().map_or(0, Vec::len);
        if row_count >= MAX_COMMIT_ROWS || (row_count > 0 && bytes + size > max_bytes) {
            parts.push(Vec::new());
            bytes = 0;
        }
        bytes += size;
        all_bytes += size;
        if let Some(part) = parts.last_mut() {
            part.push(write);
        }
    }
    (parts, all_bytes)
}

/// Estimates the encoded size of a value, in bytes; numbers, booleans and null count as 8.
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
