//! The placement of jobs, driven by the holder of the controller's lease.

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
use crate::job::job_book::JobBook;
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

/// The most rows that are read at a time.
const ROW_LIMIT: usize = 1_000;
/// The most jobs that one transaction changes.
const GROUP_LIMIT: usize = 64;
/// The most orders that one call carries.
const ORDER_LIMIT: usize = 256;
/// How long tasks run without a renewal.
const LEASE_TIME: Duration = Duration::from_secs(30);
/// The time between two renewals.
const LEASE_RENEWAL: Duration = Duration::from_secs(5);
/// The time between two looks at which hosts waves will close.
const WAVE_LOOK: Duration = Duration::from_secs(5);

/// How long the inbox is left unread when nobody says that there is something.
const INBOX_LOOK: Duration = Duration::from_secs(5);

/// Places jobs on workers, follows their tasks and stops those that must make room.
///
/// Each change of a job is a transaction under the lease that checks the job's
/// row, the rows of the workers concerned and, for a placement, the placement
/// of hosts. Tasks are ordered only after their rows are committed, and every
/// order may be repeated, so that the next holder goes on from the rows alone.
pub struct JobController<P> {
    platform: Rc<P>,
    shared: Arc<PeerState>,
    lease: Rc<RoleLease<P>>,
    state: RefCell<ControllerState>,
    reload: Cell<bool>,
    plan_time: Cell<Duration>,
}

impl<P: TableService + WorkerService> JobController<P> {
    /// Creates a controller that acts while `lease` is held.
    pub fn new(platform: Rc<P>, shared: Arc<PeerState>, lease: Rc<RoleLease<P>>) -> Self {
        Self {
            platform,
            shared,
            lease,
            state: RefCell::default(),
            reload: Cell::new(true),
            plan_time: Cell::new(Duration::ZERO),
        }
    }

    /// Takes every job one step further, as far as possible now.
    ///
    /// `woken` says that callers may have submitted or cancelled jobs.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn look(&self, woken: bool) -> Result<JobActivity> {
        let (Some(epoch), Some(text)) = (self.lease.epoch(), self.shared.text()) else {
            self.reload.set(true);
            return Ok(JobActivity::Idle);
        };
        if self.reload.get() || self.state.borrow().epoch != epoch {
            self.load(epoch).await?;
        }
        self.read_inbox(woken).await?;
        if self.state.borrow().book.is_empty() {
            return Ok(JobActivity::Idle);
        }
        self.renew().await?;
        let ended = self.read_reports().await?;
        let some_ended = !ended.is_empty();
        self.commit(ended).await?;
        self.read_waves().await?;
        let placement = self.shared.facts.get(FactKind::Placement);
        let some_planned = self.decide(&text, &placement).await?;
        let all_ordered = self.order().await?;
        let stopping = self.state.borrow().has_stopping();
        Ok(
            match some_ended || some_planned || stopping || !all_ordered {
                true => JobActivity::Moving,
                false => JobActivity::Running,
            },
        )
    }

    /// Decides what becomes of the jobs and returns whether anything does.
    ///
    /// Nothing can while every job runs and the placement of hosts is the same.
    async fn decide(&self, text: &ServiceText, placement: &Fact) -> Result<bool> {
        let planned = {
            let mut state = self.state.borrow_mut();
            let settled = state.is_settled();
            if settled && state.settled_placement == Some(placement.revision) {
                return Ok(false);
            }
            let hosts = Placement::from_fact(placement);
            let workers = self.workers(text, &hosts, &state);
            let started = Instant::now();
            let planned = state.plan(text, &hosts, workers, now_ms());
            self.plan_time.set(started.elapsed());
            let undecided = settled && planned.is_empty();
            state.settled_placement = undecided.then_some(placement.revision);
            planned
        };
        let some = !planned.is_empty();
        self.commit_placed(planned, placement.revision).await?;
        Ok(some)
    }

    /// Returns the time to the next look that keeps planning to a small part of a core.
    pub fn pause_after(&self, activity: JobActivity) -> Duration {
        activity.pause(self.plan_time.get())
    }

    /// Reads every row, since a new epoch began or a change is not settled.
    async fn load(&self, epoch: u64) -> Result<()> {
        let mut book = JobBook::default();
        for prefix in [OPEN_PREFIX, HOST_JOBS_PREFIX] {
            self.read_all(prefix, |row| book.take(row)).await?;
        }
        let mut state = self.state.borrow_mut();
        let follower = std::mem::take(&mut state.follower);
        *state = ControllerState {
            epoch,
            book,
            follower,
            ..ControllerState::default()
        };
        self.reload.set(false);
        Ok(())
    }

    async fn read_all(&self, prefix: &str, mut take: impl FnMut(TableRow)) -> Result<()> {
        let mut after = String::new();
        loop {
            let rows = self.platform.scan(prefix, &after, ROW_LIMIT).await?;
            let Some(last) = rows.last() else {
                return Ok(());
            };
            after.clone_from(&last.key);
            let whole = rows.len() < ROW_LIMIT;
            rows.into_iter().for_each(&mut take);
            if whole {
                return Ok(());
            }
        }
    }

    /// Takes in the jobs that callers have submitted or cancelled.
    async fn read_inbox(&self, woken: bool) -> Result<()> {
        let read = self.state.borrow().inbox_read;
        if !woken && read.is_some_and(|at| at.elapsed() < INBOX_LOOK) {
            return Ok(());
        }
        let asked = Instant::now();
        let marks = self.platform.scan(INBOX_PREFIX, "", ROW_LIMIT).await?;
        self.state.borrow_mut().inbox_read = Some(asked);
        if marks.is_empty() {
            return Ok(());
        }
        let keys = marks
            .iter()
            .filter_map(|mark| mark.key.strip_prefix(INBOX_PREFIX))
            .map(|job| format!("{OPEN_PREFIX}{job}"));
        self.refresh(&keys.collect::<Vec<_>>()).await?;
        let fenced = self.lease.fence(Transaction::new());
        let transaction = marks.iter().fold(fenced, |transaction, mark| {
            transaction
                .with_check(mark.key.as_str(), mark.revision)
                .with_delete(mark.key.as_str())
        });
        // Marks that stay, or that were set again meanwhile, are read again.
        self.platform.transact(&transaction).await.map(drop)
    }

    /// Takes in rows as they are now.
    async fn refresh(&self, keys: &[String]) -> Result<()> {
        let names = keys.iter().map(String::as_str).collect::<Vec<_>>();
        let rows = self.platform.read(&names).await?;
        let mut state = self.state.borrow_mut();
        keys.iter().for_each(|key| state.book.forget(key));
        rows.into_iter().for_each(|row| state.book.take(row));
        Ok(())
    }

    async fn renew(&self) -> Result<()> {
        let renewed = self.state.borrow().renewed;
        if renewed.is_some_and(|at| at.elapsed() < LEASE_RENEWAL) {
            return Ok(());
        }
        let asked = Instant::now();
        let lease = TaskLease {
            lease: TASK_LEASE.to_owned(),
            hold_ms: LEASE_TIME.as_millis() as u64,
        };
        self.platform.renew_task_lease(&lease).await?;
        self.state.borrow_mut().renewed = Some(asked);
        Ok(())
    }

    /// Returns the jobs that change by what the platform says of their tasks.
    async fn read_reports(&self) -> Result<Vec<JobRecord>> {
        let since = self.state.borrow().tasks_seen;
        let changes = self.platform.changed_tasks(since).await?;
        let mut state = self.state.borrow_mut();
        let state = &mut *state;
        state.tasks_seen = changes.revision;
        let (now, now_ms) = (Instant::now(), now_ms());
        let changed = changes.tasks.iter().filter_map(|report| {
            let record = state.book.get(&report.task.job)?;
            state.follower.follow(record, report, now, now_ms)
        });
        Ok(changed.collect())
    }

    /// Reads which hosts running waves have yet to close.
    async fn read_waves(&self) -> Result<()> {
        let read = self.state.borrow().waves_read;
        if read.is_some_and(|at| at.elapsed() < WAVE_LOOK) {
            return Ok(());
        }
        let mut pending = BTreeSet::new();
        self.read_all(WAVE_PREFIX, |row| {
            let record = serde_json::from_value::<WaveRecord>(row.value);
            let running = record.ok().filter(|wave| wave.state == WaveState::Running);
            pending.extend(running.into_iter().flat_map(|wave| wave.pending));
        })
        .await?;
        let mut state = self.state.borrow_mut();
        state.leaving_soon = pending;
        state.waves_read = Some(Instant::now());
        Ok(())
    }

    fn workers(
        &self,
        text: &ServiceText,
        placement: &Placement,
        state: &ControllerState,
    ) -> Vec<WorkerView> {
        let now = Instant::now();
        let hosts = self.shared.hosts();
        let first_pools = text.initial_pools_by_host();
        let workers = first_pools.into_iter().filter_map(|(host, first)| {
            let moved = placement
                .pool_of(host)
                .and_then(|pool| text.pools.get(pool));
            let pool = moved.unwrap_or(first);
            if pool.role != PoolRole::Worker {
                return None;
            }
            let record = hosts.get(host);
            let live = record.is_some_and(|record| record.state == HostState::Live);
            Some(WorkerView {
                host: host.clone(),
                service: pool.service.clone(),
                size: first.worker_size(),
                open: live && !placement.is_closed(host),
                leaves_soon: state.leaving_soon.contains(host),
                trust: state.follower.trust(host, now),
            })
        });
        workers.collect()
    }

    /// Commits changes of jobs in groups.
    async fn commit(&self, changed: Vec<JobRecord>) -> Result<()> {
        for group in changed.chunks(GROUP_LIMIT) {
            let fenced = self.lease.fence(Transaction::new());
            self.commit_group(fenced, group).await?;
        }
        Ok(())
    }

    /// Commits changes that were decided by a placement of hosts, unless that has changed.
    async fn commit_placed(&self, changed: Vec<JobRecord>, placement: Revision) -> Result<()> {
        let key = FactKind::Placement.row_key();
        for group in changed.chunks(GROUP_LIMIT) {
            let fenced = self.lease.fence(Transaction::new());
            let fenced = fenced.with_check(key, placement);
            self.commit_group(fenced, group).await?;
        }
        Ok(())
    }

    async fn commit_group(&self, fenced: Transaction, group: &[JobRecord]) -> Result<()> {
        let transaction = self.state.borrow().book.write(fenced, group);
        let outcome = self.platform.transact(&transaction).await;
        match outcome {
            Ok(TransactionOutcome::Committed(revision)) => {
                let mut state = self.state.borrow_mut();
                state.book.commit(group.to_vec(), revision);
                for record in group.iter().filter(|record| record.state.host().is_none()) {
                    state.follower.forget(&record.task());
                    state.ordered.remove(&record.task());
                }
                Ok(())
            }
            Ok(TransactionOutcome::Conflict(conflicts)) => self.settle(&conflicts).await,
            Err(error) => {
                // Whether the change took effect shows in the rows.
                self.reload.set(true);
                Err(error)
            }
        }
    }

    /// Takes in the rows that have changed under a decision, which is then made again.
    async fn settle(&self, conflicts: &[RowCheck]) -> Result<()> {
        let keys = conflicts.iter().map(|conflict| conflict.key.clone());
        self.refresh(&keys.collect::<Vec<_>>()).await?;
        // Reports that were not acted on must be seen again.
        self.state.borrow_mut().tasks_seen = Revision::new(0);
        Ok(())
    }

    /// Orders what the committed rows say, until the platform has answered once.
    ///
    /// Returns whether it has answered all.
    async fn order(&self) -> Result<bool> {
        let mut due = self.state.borrow().due_orders();
        let all = due.len() <= ORDER_LIMIT;
        due.truncate(ORDER_LIMIT);
        if due.is_empty() {
            return Ok(true);
        }
        let orders = due.iter().map(|(order, _)| order.clone());
        let answered = self
            .platform
            .send_task_commands(&orders.collect::<Vec<_>>())
            .await;
        match answered {
            Ok(()) => {
                let ordered = due.into_iter().map(|(order, state)| (order.task, state));
                self.state.borrow_mut().ordered.extend(ordered);
                Ok(all)
            }
            Err(Error::PlatformSilent(reason)) => {
                log::debug!(target: "zincpier::jobs", "orders are repeated: {reason}");
                Ok(false)
            }
            Err(error) => Err(error),
        }
    }
}
