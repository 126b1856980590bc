//! The controller's lease and the commits that only its holder can make.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use serde_json::Value;

use crate::error::Error;
use crate::id::Revision;
use crate::process::boot_ms;
use crate::provider::RowWrite;
use crate::provider::TableRow;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::workflow::call_series::CallSeries;
use crate::workflow::commit::refused_row::lasting_refusal;
use crate::workflow::commit::refused_writes::RefusedWrites;
use crate::workflow::lease::leader_record::read_record;
use crate::workflow::lease::leader_record::unknown_record;
use crate::workflow::lease::lost_leader::find_lost_record;
use crate::workflow::ControllerTerm;
use crate::workflow::CountStamp;
use crate::workflow::LeaderRecord;
use crate::workflow::LeaseLost;
use crate::workflow::OrganisationLimits;
use crate::workflow::QueueBacklogs;
use crate::workflow::RefusedRow;
use crate::workflow::SilentWorkers;

/// Key of the leader row, which names the holder of the controller's lease.
pub const LEADER_KEY: &str = "control/leader";

/// Delay before a commit is retried: a few round trips to the table. It doubles with each retry.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Max delay before a commit is retried: half of a lease's remaining time.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time after which a commit without an answer is sent again beside it: longer than a slow table takes
/// (420 ms), and short enough that the lease is renewed after an outage before others claim it.
const RESEND_DELAY: Duration = Duration::from_millis(600);

/// Time for which an unanswered claim is sent again and looked for, in ms: the table may commit it
/// seconds after it was sent.
const MAX_CLAIM_MS: u64 = 10_000;

/// Pause before each commit of the search for refused rows. The search takes at most 100 of the calls
/// a second that all entry hosts share.
const SEARCH_PAUSE: Duration = Duration::from_millis(10);

/// Time for which the leader row is written without its optional parts once they were refused, in ms.
const REDUCED_TIME_MS: u64 = 5_000;

/// The lease of the only active controller. Each commit renews it.
///
/// A commit checks the leader row's revision and rewrites the row. A commit of an earlier holder
/// therefore has no effect, nor has one that the table executes late.
pub struct LeaderLease {
    record: LeaderRecord,
    revision: Revision,
    /// The revision of the claim.
    claimed: Revision,
    confirmed_ms: u64,
    /// The highest epoch that is known to be stored.
    stored_epoch: u64,
    /// Time up to which the published counts contain all submissions, in ms, as of the last commit
    /// of which no row was refused.
    counted_ms: Option<u64>,
    /// Time until which the optional parts of the row are left out, in ms.
    reduced_until_ms: u64,
    /// The workers that didn't answer the last holder when it released the lease.
    silent_workers: SilentWorkers,
    /// The term that is told when the lease was confirmed.
    term: Option<Rc<ControllerTerm>>,
}

impl LeaderLease {
    /// Tries to take over the lease from the holder in `current`. Returns `None` if another
    /// process was faster, or if the table refused. A claim that got no answer may have been
    /// committed, or be committed later, so it is looked for before it counts as failed: on a table
    /// that is slower than the time limit of calls, the next claim would meet the same.
    pub async fn claim<T: TableService>(
        table: &T,
        current: Option<&TableRow>,
        holder: &str,
    ) -> Option<Self> {
        Self::claim_with_carriers(table, current, holder, None).await
    }

    /// Like [`LeaderLease::claim`], and states where the holder takes carriers.
    pub async fn claim_with_carriers<T: TableService>(
        table: &T,
        current: Option<&TableRow>,
        holder: &str,
        carriers: Option<SocketAddr>,
    ) -> Option<Self> {
        let mut previous = match current {
            Some(row) => read_record(row).unwrap_or_else(|| unknown_record(row)),
            None => find_lost_record(table, holder).await?,
        };
        let record = LeaderRecord {
            epoch: previous.epoch + 1,
            holder: holder.to_owned(),
            inherited_ms: previous.unobserved_ms(),
            carriers,
            ..LeaderRecord::default()
        };
        let revision = current.map_or(Revision::new(0), |row| row.revision);
        let mut lease = Self {
            record,
            revision,
            claimed: Revision::new(0),
            confirmed_ms: boot_ms(),
            stored_epoch: 0,
            counted_ms: None,
            reduced_until_ms: 0,
            term: None,
            silent_workers: previous.take_silent_workers(),
        };
        let transaction = lease.transaction(Vec::new());
        let deadline_ms = boot_ms() + MAX_CLAIM_MS;
        let mut delay = RETRY_DELAY;
        let mut is_unsettled = false;
        loop {
            let sent_ms = boot_ms();
            let outcome = table.transact(&transaction).await;
            let failure = match outcome {
                Ok(TransactionOutcome::Committed(revision)) => {
                    lease.claimed = revision;
                    lease.record_confirmed(revision, sent_ms);
                    return Some(lease);
                }
                Ok(TransactionOutcome::Conflict(_)) => "another claim was faster".to_owned(),
                Err(error) => {
                    is_unsettled |= !matches!(error, Error::PlatformRefused { .. });
                    error.to_string()
                }
            };
            let settled = match is_unsettled {
                true => lease.settle_claim(table).await,
                false => Some(false),
            };
            if settled == Some(true) {
                return Some(lease);
            }
            if settled == Some(false) || boot_ms() > deadline_ms {
                let epoch = lease.epoch();
                log::warn!("event=claim_failed epoch={epoch} reason={failure:?}");
                return None;
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Finds out whether a claim whose answer was lost has been committed. Returns `None` if that is
    /// still unknown, and false if another process was faster.
    async fn settle_claim<T: TableService>(&mut self, table: &T) -> Option<bool> {
        let rows = table.read(&[LEADER_KEY]).await.ok()?;
        let row = rows.first();
        let revision = row.map_or(Revision::new(0), |row| row.revision);
        if revision == self.revision {
            return None;
        }
        let stored = row.and_then(read_record);
        let is_own = stored.is_some_and(|stored| stored.is_same_commit(&self.record));
        if is_own {
            self.claimed = revision;
            // Other hosts count from the claim, and not from this read.
            self.record_confirmed(revision, self.confirmed_ms);
        }
        Some(is_own)
    }

    /// Tells `term` when the lease was last confirmed, now and with each confirmation: a commit that
    /// searches for refused rows has many.
    pub(crate) fn inform(&mut self, term: Rc<ControllerTerm>) {
        term.record_confirmed(self.confirmed_ms);
        self.term = Some(term);
    }

    /// Returns the epoch of the claim, the lowest fencing token of the holder.
    pub fn epoch(&self) -> u64 {
        self.record.term_epoch()
    }

    /// Raises the epoch with the next commit if workers have restarted. One that is not stored yet serves
    /// for them, so that no more epochs are used than there were transactions.
    fn raise_epoch(&mut self) {
        let term = self.term.as_ref();
        let is_due = term.is_some_and(|term| term.engine.borrow().is_epoch_due());
        if is_due && !self.record.released && self.record.epoch == self.stored_epoch {
            self.record.raise_epoch();
        }
    }

    /// Returns the revision with which the lease was claimed.
    pub fn claimed(&self) -> Revision {
        self.claimed
    }

    /// Returns the time for which runs of earlier holders may continue unobserved, in ms.
    pub fn inherited_ms(&self) -> u64 {
        self.record.inherited_ms
    }

    /// Returns the workers that didn't answer the last holder when it released the lease.
    pub fn silent_workers(&self) -> &SilentWorkers {
        &self.silent_workers
    }

    /// Sets the time for which runs of earlier holders may continue unobserved, in ms. The next
    /// commit stores it.
    pub fn set_inherited_ms(&mut self, inherited_ms: u64) {
        self.record.inherited_ms = inherited_ms;
    }

    /// Sets the processor time of this entry host, in millicores. The next commit stores it.
    pub fn set_processor_millis(&mut self, processor_millis: u64) {
        self.record.processor_millis = processor_millis;
    }

    /// Sets the backlogs of queues. The next commit stores them, unless the table has refused them
    /// lately.
    pub fn set_backlogs(&mut self, backlogs: QueueBacklogs) {
        if boot_ms() >= self.reduced_until_ms {
            self.record.backlogs = backlogs;
        }
    }

    /// Sets whether the holder has no memory for further jobs. The next commit stores it.
    pub fn set_full(&mut self, is_full: bool) {
        self.record.is_full = is_full;
    }

    /// Sets the limits on organisations, like [`LeaderLease::set_backlogs`].
    pub fn set_limits(&mut self, limits: OrganisationLimits) {
        if boot_ms() >= self.reduced_until_ms {
            self.record.limits = limits;
        }
    }

    /// Returns the last time at which this process is known to have held the lease, in ms.
    pub fn confirmed_ms(&self) -> u64 {
        self.confirmed_ms
    }

    /// Commits rows and renews the lease. Retries until the commit succeeds or the lease is lost, and
    /// doesn't wait for answers to earlier attempts to send another: only one of them takes effect.
    /// Rows that the table refuses for good are left out and returned; the others are committed.
    /// Without refused rows, the published counts of pending jobs contain all submissions known at
    /// `counted_ms`, if any counts are published.
    ///
    /// # Errors
    ///
    /// Returns [`LeaseLost`] if another holder has taken over.
    pub async fn commit<T: TableService>(
        &mut self,
        table: &T,
        writes: Vec<RowWrite>,
        counted_ms: Option<u64>,
    ) -> Result<Vec<RefusedRow>, LeaseLost> {
        let Some(refused) = self.commit_once(table, writes, counted_ms).await? else {
            self.counted_ms = counted_ms;
            return Ok(Vec::new());
        };
        self.confirm_leader_row(table).await?;
        self.find_refused(table, refused.writes).await
    }

    /// Commits the leader row alone, without its optional parts if the table refuses them.
    async fn confirm_leader_row<T: TableService>(&mut self, table: &T) -> Result<(), LeaseLost> {
        let counted_ms = self.counted_ms;
        let Some(refused) = self.commit_once(table, Vec::new(), counted_ms).await? else {
            return Ok(());
        };
        let bytes = self.row_value().to_string().len();
        let RefusedWrites { status, reason, .. } = refused;
        log::error!(
            "event=row_refused key={LEADER_KEY} bytes={bytes} status={status} reason={reason:?} action=reduced"
        );
        self.record.drop_optional_parts();
        self.reduced_until_ms = boot_ms() + REDUCED_TIME_MS;
        // Without optional parts, this returns only once the row is accepted.
        self.commit_once(table, Vec::new(), counted_ms).await?;
        Ok(())
    }

    /// Commits all of `writes` but those that the table refuses, which it returns.
    async fn find_refused<T: TableService>(
        &mut self,
        table: &T,
        writes: Vec<RowWrite>,
    ) -> Result<Vec<RefusedRow>, LeaseLost> {
        let mut found = Vec::new();
        let mut parts = vec![writes];
        while let Some(writes) = parts.pop() {
            if writes.is_empty() {
                continue;
            }
            sleep(SEARCH_PAUSE).await;
            // A count among the rows may be refused, so no newer counts are stated.
            let counted_ms = self.counted_ms;
            let Some(refused) = self.commit_once(table, writes, counted_ms).await? else {
                continue;
            };
            let mut writes = refused.writes;
            if writes.len() > 1 {
                parts.push(writes.split_off(writes.len() / 2));
                parts.push(writes);
                continue;
            }
            found.extend(writes.into_iter().map(|write| RefusedRow {
                write,
                status: refused.status,
                reason: refused.reason.clone(),
            }));
        }
        Ok(found)
    }

    /// Commits all rows, or returns them if the table refuses one of them or an optional part of the
    /// leader row for good.
    async fn commit_once<T: TableService>(
        &mut self,
        table: &T,
        writes: Vec<RowWrite>,
        counted_ms: Option<u64>,
    ) -> Result<Option<RefusedWrites>, LeaseLost> {
        self.record.commit += 1;
        self.raise_epoch();
        let may_split = !writes.is_empty() || self.record.has_optional_parts();
        let mut transaction = Rc::new(self.transaction(writes));
        let mut attempts = CallSeries::new();
        let mut delay = RETRY_DELAY;
        let first_sent_ms = boot_ms();
        loop {
            let sent_ms = boot_ms();
            self.record.counts = counted_ms.map(|counted_ms| CountStamp {
                age_ms: sent_ms.saturating_sub(counted_ms),
                claimed: self.claimed,
            });
            if let Some(leader) = Rc::make_mut(&mut transaction).writes.first_mut() {
                leader.value = Some(self.row_value());
            }
            let attempt = Rc::clone(&transaction);
            let attempt = async move { (sent_ms, table.transact(&attempt).await) };
            attempts.send(attempt, RESEND_DELAY);
            while let Some((sent_ms, outcome)) = attempts.next().await {
                match outcome {
                    Ok(TransactionOutcome::Committed(revision)) => {
                        self.record_confirmed(revision, sent_ms);
                        return Ok(None);
                    }
                    Ok(TransactionOutcome::Conflict(_)) => {
                        if let Some(is_own) = self.resolve(table, first_sent_ms).await {
                            return is_own.then_some(None).ok_or(LeaseLost);
                        }
                    }
                    Err(error) => match lasting_refusal(error) {
                        Ok((status, reason)) if may_split => {
                            let writes = Rc::make_mut(&mut transaction).writes.split_off(1);
                            return Ok(Some(RefusedWrites {
                                writes,
                                status,
                                reason,
                            }));
                        }
                        // Nothing can be committed without the leader row.
                        Ok((status, reason)) => {
                            log::error!("event=commit_rejected status={status} reason={reason:?}");
                        }
                        Err(error) => log::warn!("event=commit_retried reason=\"{error}\""),
                    },
                }
                attempts.retry_after(delay);
                delay = (delay * 2).min(MAX_RETRY_DELAY);
            }
        }
    }

    /// Commits the last rows and releases the lease, so that another holder need not wait until
    /// it expires. No lease of `silent_workers` may be requested any more.
    pub async fn release<T: TableService>(
        &mut self,
        table: &T,
        writes: Vec<RowWrite>,
        counted_ms: Option<u64>,
        silent_workers: SilentWorkers,
    ) {
        self.record.silent_workers = silent_workers;
        self.record.released = true;
        let done = self.commit(table, writes, counted_ms).await.is_ok();
        log::info!("event=lease_released epoch={} done={done}", self.epoch());
    }

    /// Finds out whether an earlier attempt whose answer was lost has committed. Returns `None` if
    /// that is still unknown. Other hosts count from the commit, so the lease counts as confirmed at
    /// `sent_ms`, when the first attempt was sent; the next commit follows at once.
    async fn resolve<T: TableService>(&mut self, table: &T, sent_ms: u64) -> Option<bool> {
        let log_error = |error: &Error| log::warn!("event=commit_unsettled reason=\"{error}\"");
        let rows = table.read(&[LEADER_KEY]).await.inspect_err(log_error);
        let rows = rows.ok()?;
        let Some(row) = rows.first() else {
            log::error!("event=leader_row_lost epoch={}", self.epoch());
            return Some(false);
        };
        let is_own = read_record(row).is_some_and(|stored| stored.is_same_commit(&self.record));
        if is_own {
            self.record_confirmed(row.revision, sent_ms);
            self.term.iter().for_each(|term| term.commit.notify_one());
        } else {
            log::warn!("event=lease_lost epoch={} now={}", self.epoch(), row.value);
        }
        Some(is_own)
    }

    fn record_confirmed(&mut self, revision: Revision, sent_ms: u64) {
        self.revision = revision;
        self.confirmed_ms = sent_ms;
        self.stored_epoch = self.record.epoch;
        // Once it is released, the successor allows for no further command.
        if let Some(term) = self.term.as_ref().filter(|_| !self.record.released) {
            term.record_confirmed(sent_ms);
            term.raise_worker_epochs(self.stored_epoch);
        }
    }

    fn transaction(&self, writes: Vec<RowWrite>) -> Transaction {
        let mut transaction = Transaction::new()
            .with_check(LEADER_KEY, self.revision)
            .with_write(LEADER_KEY, self.row_value());
        transaction.writes.extend(writes);
        transaction
    }

    fn row_value(&self) -> Value {
        serde_json::to_value(&self.record).unwrap_or(Value::Null)
    }
}
