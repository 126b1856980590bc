//! Makes what the engine decided durable, and then lets it take effect.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::timeout;
use serde_json::json;
use serde_json::Value;
use tokio::sync::oneshot::Sender;

use crate::process::boot_ms;
use crate::process::ShutdownSignal;
use crate::provider::RowWrite;
use crate::provider::Transaction;
use crate::workflow::cancel_key;
use crate::workflow::job_key;
use crate::workflow::send_start;
use crate::workflow::ControllerTerm;
use crate::workflow::Effect;
use crate::workflow::FleetPlatform;
use crate::workflow::LeaderLease;
use crate::workflow::LeaseLost;
use crate::workflow::COMMANDS_KEY;

/// Where jobs' progress lies.
pub(crate) const PROGRESS_PREFIX: &str = "progress/";

/// Where the counts of waiting jobs lie.
pub(crate) const QUEUE_PREFIX: &str = "queues/";

/// The most rows of one transaction beside the leader row: the platform takes 100.
const COMMIT_ROWS: usize = 90;

/// The bytes of rows after which a transaction is full: half of what the platform takes,
/// since its encoding adds a third.
const COMMIT_BYTES: usize = 400_000;

/// The least time between two commits: what changes within it shares one.
const COMMIT_PAUSE: Duration = Duration::from_millis(15);

/// The time after which the lease is renewed without any change.
const RENEWAL_PAUSE: Duration = Duration::from_millis(300);

/// The time between two looks for jobs that ended long ago.
const SWEEP_PAUSE: Duration = Duration::from_secs(5);

/// The most jobs removed in one look: more than come in the time between two.
const SWEEP_JOBS: usize = 400;

/// How old the published counts of waiting jobs may get, in ms; callers accept 2 s.
const PENDING_MS: u64 = 800;

/// Commits the changes of one term.
pub(crate) struct Committer<P> {
    platform: Rc<P>,
    term: Rc<ControllerTerm>,
    published: BTreeMap<String, u64>,
    published_ms: u64,
    published_no_commands: bool,
}

impl<P: FleetPlatform> Committer<P> {
    /// Creates the committer of `term`.
    pub(crate) fn new(platform: Rc<P>, term: Rc<ControllerTerm>) -> Self {
        Self {
            platform,
            term,
            published: BTreeMap::new(),
            published_ms: 0,
            published_no_commands: false,
        }
    }

    /// Commits until the term ends, or gives the lease up when connections close: in a
    /// rolling restart a later change of the holder skips those that are stopped next.
    pub(crate) async fn run(&mut self, lease: &mut LeaderLease, shutdown: &ShutdownSignal) {
        let _busy = shutdown.enter();
        while self.term.is_active() {
            if shutdown.is_closing() {
                self.release(lease).await;
                return;
            }
            // Without a wake the commit only renews the lease.
            let _ = timeout(RENEWAL_PAUSE, self.term.commit.notified()).await;
            if let Err(lost) = self.commit_once(lease).await {
                self.term.record_lease_loss(lost);
                return;
            }
            sleep(COMMIT_PAUSE).await;
        }
    }

    /// Gives the lease up with what is known of hosts, which the successor would have to
    /// find out; what the engine has decided and not committed has had no effect.
    async fn release(&mut self, lease: &mut LeaderLease) {
        let row = self.command_row();
        let (writes, _) = self.add_queued(row.into_iter().collect());
        let mut parts = split_writes(writes);
        let last = parts.pop().unwrap_or_default();
        for writes in parts {
            if let Err(lost) = lease.commit(self.platform.as_ref(), writes).await {
                self.term.record_lease_loss(lost);
                return;
            }
        }
        lease.release(self.platform.as_ref(), last).await;
    }

    /// Adds the rows that wait for a commit and returns who waits for it.
    fn add_queued(&self, mut writes: Vec<RowWrite>) -> (Vec<RowWrite>, Vec<Sender<()>>) {
        let mut waiting = Vec::new();
        for row in self.term.take_rows() {
            waiting.extend(row.done);
            let Some(row) = row.write else {
                continue;
            };
            // A later write of the same row replaces the earlier one.
            writes.retain(|write: &RowWrite| write.key != row.key);
            writes.push(row);
        }
        (writes, waiting)
    }

    async fn commit_once(&mut self, lease: &mut LeaderLease) -> Result<(), LeaseLost> {
        let (rows, effects) = self.term.engine.borrow_mut().take_changes();
        lease.set_inherited_ms(self.term.engine.borrow().inherited_ms(boot_ms()));
        let row = |(id, value)| row_write(format!("{PROGRESS_PREFIX}{id}"), value);
        let writes = rows.into_iter().map(row).chain(self.command_row());
        let (mut writes, waiting) = self.add_queued(writes.collect());
        writes.extend(self.changed_counts());
        for writes in split_writes(writes) {
            lease.commit(self.platform.as_ref(), writes).await?;
            self.term.record_confirmed(lease.confirmed_ms());
        }
        self.carry_out(effects);
        for done in waiting {
            // A waiter that has gone needs no answer.
            let _ = done.send(());
        }
        Ok(())
    }

    /// Returns the row with the ages of the latest orders for hosts, while there are any and
    /// once after.
    fn command_row(&mut self) -> Option<RowWrite> {
        let ages = self.term.host_commands.borrow_mut().ages(boot_ms())?;
        if ages.is_empty() && self.published_no_commands {
            return None;
        }
        self.published_no_commands = ages.is_empty();
        Some(row_write(COMMANDS_KEY.to_owned(), json!(ages)))
    }

    /// Returns the counts of waiting jobs that callers would find out of date.
    fn changed_counts(&mut self) -> Vec<RowWrite> {
        let now_ms = boot_ms();
        if now_ms <= self.published_ms + PENDING_MS {
            return Vec::new();
        }
        self.published_ms = now_ms;
        let counts = self.term.engine.borrow().pending_counts();
        let changed = counts
            .iter()
            .filter(|(queue, count)| self.published.get(*queue) != Some(count));
        let writes = changed
            .map(|(queue, count)| row_write(format!("{QUEUE_PREFIX}{queue}"), json!(count)))
            .collect();
        self.published = counts;
        writes
    }

    fn carry_out(&self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Start(task) => {
                    let platform = Rc::clone(&self.platform);
                    monoio::spawn(send_start(platform, Rc::clone(&self.term), task));
                }
                Effect::Acknowledge(worker, number) => {
                    let mut engine = self.term.engine.borrow_mut();
                    if let Some(state) = engine.workers.get_mut(&worker) {
                        state.durable_end = state.durable_end.max(number);
                    }
                    drop(engine);
                    self.term.worker_notifier(&worker).notify_one();
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

/// Removes jobs that ended long ago: first what was submitted, so that no controller takes
/// it for a new job, then the progress.
pub(crate) async fn sweep_jobs<P: FleetPlatform>(platform: Rc<P>, term: Rc<ControllerTerm>) {
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
            term.queue_row(RowWrite {
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
