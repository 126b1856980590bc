//! Places jobs on workers while this process holds the controller's lease.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::id::Revision;
use crate::job::controller_state::ControllerState;
use crate::job::controller_state::TASK_LEASE;
use crate::job::job_registry::JobRegistry;
use crate::job::JobActivity;
use crate::job::JobRecord;
use crate::job::WorkerView;
use crate::job::HOST_JOBS_PREFIX;
use crate::job::INBOX_PREFIX;
use crate::job::OPEN_PREFIX;
use crate::process::now_ms;
use crate::process::PeerState;
use crate::process::Placement;
use crate::process::RoleLease;
use crate::provider::RowCheck;
use crate::provider::TableRow;
use crate::provider::TableService;
use crate::provider::TaskLease;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::provider::WorkerService;
use crate::version::Fact;
use crate::version::FactKind;
use crate::version::HostState;
use crate::version::PoolRole;
use crate::version::ServiceText;
use crate::wave::WaveRecord;
use crate::wave::WaveState;
use crate::wave::WAVE_PREFIX;

/// Page size of scans, in rows.
const ROW_LIMIT: usize = 1_000;
const TRANSACTION_JOB_LIMIT: usize = 64;
const COMMAND_BATCH_LIMIT: usize = 256;
/// How long tasks keep running without a renewal.
const TASK_LEASE_DURATION: Duration = Duration::from_secs(30);
const TASK_LEASE_RENEWAL_INTERVAL: Duration = Duration::from_secs(5);
/// Interval between reads of the hosts that waves will close.
const WAVE_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between reads of the inbox while no notification arrives.
const INBOX_POLL_INTERVAL: Duration = Duration::from_secs(5);

/// Places jobs on workers, tracks their tasks and preempts jobs where others need the capacity.
///
/// Each change of a job is a transaction under the lease. It checks the job's row, the job lists of
/// the workers concerned and, for planned changes, the host placement. Commands are sent only after
/// the rows are committed, and every command is idempotent, so that the next lease holder can
/// continue from the rows alone.
pub struct JobController<P> {
    platform: Rc<P>,
    peer_state: Arc<PeerState>,
    lease: Rc<RoleLease<P>>,
    state: RefCell<ControllerState>,
    /// Whether the next pass must reload all rows.
    reload: Cell<bool>,
    /// Duration of the last planning.
    plan_time: Cell<Duration>,
}

impl<P: TableService + WorkerService> JobController<P> {
    /// Creates a controller that acts while `lease` is held.
    pub fn new(platform: Rc<P>, peer_state: Arc<PeerState>, lease: Rc<RoleLease<P>>) -> Self {
        Self {
            platform,
            peer_state,
            lease,
            state: RefCell::default(),
            reload: Cell::new(true),
            plan_time: Cell::new(Duration::ZERO),
        }
    }

    /// Runs one pass: reads changes, plans, commits and sends commands.
    ///
    /// If `notified` is true, the inbox is read at once, because callers may have submitted or
    /// cancelled jobs since the last pass.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn run_pass(&self, notified: bool) -> Result<JobActivity> {
        let (Some(epoch), Some(text)) = (self.lease.epoch(), self.peer_state.text()) else {
            self.reload.set(true);
            return Ok(JobActivity::Idle);
        };
        if self.reload.get() || self.state.borrow().epoch != epoch {
            self.load(epoch).await?;
        }
        self.read_inbox(notified).await?;
        if self.state.borrow().registry.is_empty() {
            return Ok(JobActivity::Idle);
        }
        self.renew_task_lease().await?;
        let ended = self.read_reports().await?;
        let any_ended = !ended.is_empty();
        self.commit(ended).await?;
        self.read_waves().await?;
        let placement = self.peer_state.facts.get(FactKind::Placement);
        let any_planned = self.plan_and_commit(&text, &placement).await?;
        let all_acknowledged = self.send_commands().await?;
        let stopping = self.state.borrow().has_stopping();
        Ok(
            match any_ended || any_planned || stopping || !all_acknowledged {
                true => JobActivity::Changing,
                false => JobActivity::Running,
            },
        )
    }

    /// Plans and commits job changes and returns whether there were any.
    ///
    /// Planning is skipped while every job runs and the host placement has not changed.
    async fn plan_and_commit(&self, text: &ServiceText, placement: &Fact) -> Result<bool> {
        let planned = {
            let mut state = self.state.borrow_mut();
            let stable = state.is_stable();
            if stable && state.stable_placement == Some(placement.revision) {
                return Ok(false);
            }
            let hosts = Placement::from_fact(placement);
            let workers = self.worker_views(text, &hosts, &state);
            let started = Instant::now();
            let planned = state.plan(text, &hosts, workers, now_ms());
            self.plan_time.set(started.elapsed());
            let unchanged = stable && planned.is_empty();
            state.stable_placement = unchanged.then_some(placement.revision);
            planned
        };
        let any_planned = !planned.is_empty();
        self.commit_planned(planned, placement.revision).await?;
        Ok(any_planned)
    }

    /// Returns the delay before the next pass. While jobs change, it grows with the last planning
    /// time, within fixed bounds, to limit planning to 1/100 of a core.
    pub fn next_pass_delay(&self, activity: JobActivity) -> Duration {
        activity.pass_delay(self.plan_time.get())
    }

    /// Reloads the rows of open jobs and the job lists of workers, because a new epoch started or
    /// the outcome of a change is unknown.
    async fn load(&self, epoch: u64) -> Result<()> {
        let mut registry = JobRegistry::default();
        for prefix in [OPEN_PREFIX, HOST_JOBS_PREFIX] {
            self.scan_rows(prefix, |row| registry.apply_row(row))
                .await?;
        }
        let mut state = self.state.borrow_mut();
        let tracker = std::mem::take(&mut state.tracker);
        *state = ControllerState {
            epoch,
            registry,
            tracker,
            ..ControllerState::default()
        };
        self.reload.set(false);
        Ok(())
    }

    async fn scan_rows(&self, prefix: &str, mut apply: impl FnMut(TableRow)) -> Result<()> {
        let mut after = String::new();
        loop {
            let rows = self.platform.scan(prefix, &after, ROW_LIMIT).await?;
            let Some(last) = rows.last() else {
                return Ok(());
            };
            after.clone_from(&last.key);
            let last_page = rows.len() < ROW_LIMIT;
            rows.into_iter().for_each(&mut apply);
            if last_page {
                return Ok(());
            }
        }
    }

    /// Reads the jobs that callers have submitted or cancelled, and deletes their inbox rows.
    async fn read_inbox(&self, notified: bool) -> Result<()> {
        let read_at = self.state.borrow().inbox_read_at;
        if !notified && read_at.is_some_and(|at| at.elapsed() < INBOX_POLL_INTERVAL) {
            return Ok(());
        }
        let sent_at = Instant::now();
        let inbox_rows = self.platform.scan(INBOX_PREFIX, "", ROW_LIMIT).await?;
        self.state.borrow_mut().inbox_read_at = Some(sent_at);
        if inbox_rows.is_empty() {
            return Ok(());
        }
        let keys = inbox_rows
            .iter()
            .filter_map(|inbox_row| inbox_row.key.strip_prefix(INBOX_PREFIX))
            .map(|job| format!("{OPEN_PREFIX}{job}"));
        self.refresh(&keys.collect::<Vec<_>>()).await?;
        let fenced = self.lease.fence(Transaction::new());
        let transaction = inbox_rows.iter().fold(fenced, |transaction, inbox_row| {
            transaction
                .with_check(inbox_row.key.as_str(), inbox_row.revision)
                .with_delete(inbox_row.key.as_str())
        });
        // If the transaction fails, the inbox rows stay and the next read finds them again.
        self.platform.transact(&transaction).await.map(drop)
    }

    /// Rereads rows and replaces their copies in the registry; copies of deleted rows are removed.
    async fn refresh(&self, keys: &[String]) -> Result<()> {
        let names = keys.iter().map(String::as_str).collect::<Vec<_>>();
        let rows = self.platform.read(&names).await?;
        let mut state = self.state.borrow_mut();
        keys.iter().for_each(|key| state.registry.remove_row(key));
        rows.into_iter()
            .for_each(|row| state.registry.apply_row(row));
        Ok(())
    }

    async fn renew_task_lease(&self) -> Result<()> {
        let task_lease_renewed_at = self.state.borrow().task_lease_renewed_at;
        if task_lease_renewed_at.is_some_and(|at| at.elapsed() < TASK_LEASE_RENEWAL_INTERVAL) {
            return Ok(());
        }
        let sent_at = Instant::now();
        let lease = TaskLease {
            lease: TASK_LEASE.to_owned(),
            hold_ms: TASK_LEASE_DURATION.as_millis() as u64,
        };
        self.platform.renew_task_lease(&lease).await?;
        self.state.borrow_mut().task_lease_renewed_at = Some(sent_at);
        Ok(())
    }

    /// Reads task reports and returns the updated records of the jobs that change.
    async fn read_reports(&self) -> Result<Vec<JobRecord>> {
        let since = self.state.borrow().reports_revision;
        let changes = self.platform.changed_tasks(since).await?;
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.reports_revision = changes.revision;
        let (now, now_ms) = (Instant::now(), now_ms());
        let changed = changes.tasks.iter().filter_map(|report| {
            let record = state.registry.get(&report.task.job)?;
            state.tracker.apply_report(record, report, now, now_ms)
        });
        Ok(changed.collect())
    }

    /// Reads which hosts the running waves have yet to close.
    async fn read_waves(&self) -> Result<()> {
        let read_at = self.state.borrow().waves_read_at;
        if read_at.is_some_and(|at| at.elapsed() < WAVE_POLL_INTERVAL) {
            return Ok(());
        }
        let mut pending = BTreeSet::new();
        self.scan_rows(WAVE_PREFIX, |row| {
            let record = serde_json::from_value::<WaveRecord>(row.value);
            let running = record.ok().filter(|wave| wave.state == WaveState::Running);
            pending.extend(running.into_iter().flat_map(|wave| wave.pending));
        })
        .await?;
        let mut state = self.state.borrow_mut();
        state.closing_soon = pending;
        state.waves_read_at = Some(Instant::now());
        Ok(())
    }

    fn worker_views(
        &self,
        text: &ServiceText,
        placement: &Placement,
        state: &ControllerState,
    ) -> Vec<WorkerView> {
        let now = Instant::now();
        let hosts = self.peer_state.hosts();
        let listed_pools = text.initial_pools_by_host();
        let workers = listed_pools.into_iter().filter_map(|(host, listed_pool)| {
            let current_pool = placement
                .pool_of(host)
                .and_then(|pool| text.pools.get(pool));
            let pool = current_pool.unwrap_or(listed_pool);
            if pool.role != PoolRole::Worker {
                return None;
            }
            let record = hosts.get(host);
            let live = record.is_some_and(|record| record.state == HostState::Live);
            Some(WorkerView {
                host: host.clone(),
                service: pool.service.clone(),
                size: listed_pool.worker_size(),
                open: live && !placement.is_closed(host),
                closes_soon: state.closing_soon.contains(host),
                trust: state.tracker.trust(host, now),
            })
        });
        workers.collect()
    }

    /// Commits changes of jobs in batches.
    async fn commit(&self, changed: Vec<JobRecord>) -> Result<()> {
        for batch in changed.chunks(TRANSACTION_JOB_LIMIT) {
            let fenced = self.lease.fence(Transaction::new());
            self.commit_batch(fenced, batch).await?;
        }
        Ok(())
    }

    /// Commits planned changes, provided that the host placement is still at `placement_revision`.
    async fn commit_planned(
        &self,
        changed: Vec<JobRecord>,
        placement_revision: Revision,
    ) -> Result<()> {
        let key = FactKind::Placement.row_key();
        for batch in changed.chunks(TRANSACTION_JOB_LIMIT) {
            let fenced = self.lease.fence(Transaction::new());
            let fenced = fenced.with_check(key, placement_revision);
            self.commit_batch(fenced, batch).await?;
        }
        Ok(())
    }

    async fn commit_batch(&self, fenced: Transaction, batch: &[JobRecord]) -> Result<()> {
        let transaction = self.state.borrow().registry.add_changes(fenced, batch);
        let outcome = self.platform.transact(&transaction).await;
        match outcome {
            Ok(TransactionOutcome::Committed(revision)) => {
                let mut state = self.state.borrow_mut();
                state.registry.apply_commit(batch.to_vec(), revision);
                for record in batch.iter().filter(|record| record.state.host().is_none()) {
                    state.tracker.forget(&record.task());
                    state.acknowledged.remove(&record.task());
                }
                Ok(())
            }
            Ok(TransactionOutcome::Conflict(conflicts)) => self.reread_conflicts(&conflicts).await,
            Err(error) => {
                // The outcome is unknown; the rows show whether the change was committed.
                self.reload.set(true);
                Err(error)
            }
        }
    }

    /// Rereads the rows whose checks failed, so that the next pass decides again.
    async fn reread_conflicts(&self, conflicts: &[RowCheck]) -> Result<()> {
        let keys = conflicts.iter().map(|conflict| conflict.key.clone());
        self.refresh(&keys.collect::<Vec<_>>()).await?;
        // Reports whose changes were not committed must be read again.
        self.state.borrow_mut().reports_revision = Revision::new(0);
        Ok(())
    }

    /// Sends one batch of the commands that the platform has not acknowledged yet.
    ///
    /// Returns whether all of them are acknowledged now.
    async fn send_commands(&self) -> Result<bool> {
        let mut due = self.state.borrow().due_commands();
        let fits_batch = due.len() <= COMMAND_BATCH_LIMIT;
        due.truncate(COMMAND_BATCH_LIMIT);
        if due.is_empty() {
            return Ok(true);
        }
        let commands = due.iter().map(|(command, _)| command.clone());
        let outcome = self
            .platform
            .send_task_commands(&commands.collect::<Vec<_>>())
            .await;
        match outcome {
            Ok(()) => {
                let acknowledged = due
                    .into_iter()
                    .map(|(command, state)| (command.task, state));
                self.state.borrow_mut().acknowledged.extend(acknowledged);
                Ok(fits_batch)
            }
            Err(Error::PlatformSilent(reason)) => {
                log::debug!(target: "zincpier::jobs", "task commands not acknowledged, sending them again in the next pass: {reason}");
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }
}
