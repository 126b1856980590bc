//! The controller's lease and the commits that only its holder can make.

use std::time::Duration;

use monoio::time::sleep;
use serde::Deserialize;
use serde::Serialize;
use serde_json::Value;

use crate::error::Error;
use crate::id::Revision;
use crate::process::boot_ms;
use crate::provider::RowWrite;
use crate::provider::TableRow;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::workflow::CountStamp;
use crate::workflow::OrganisationLimits;
use crate::workflow::QueueBacklogs;
use crate::workflow::INHERITED_RUN_MS;
use crate::workflow::RELEASED_RUN_MS;

/// Key of the leader row, which names the holder of the controller's lease.
pub const LEADER_KEY: &str = "control/leader";

/// Delay before a commit is retried: a few round trips to the table. It doubles with each retry.
const RETRY_DELAY: Duration = Duration::from_millis(60);

/// Max delay before a commit is retried: half of a lease's remaining time.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(400);

/// Time for which an unanswered claim is sent again and looked for, in ms: the table may commit it
/// seconds after it was sent.
const MAX_CLAIM_MS: u64 = 10_000;

/// The lease holder as stored in the table.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// Rises with each change of the holder; the fencing token that workers check.
    pub epoch: u64,
    /// The entry host that holds the lease.
    pub holder: String,
    /// Number of the holder's commits.
    pub commit: u64,
    /// The holder has released the lease.
    pub released: bool,
    /// Time for which runs started by the holder's predecessors may continue unobserved, in ms.
    #[serde(default)]
    pub inherited_ms: u64,
    /// Describes the published counts of pending jobs; none before the holder has counted.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub counts: Option<CountStamp>,
    /// The processor time of the holder's entry host, in millicores; 0 if unknown.
    #[serde(default)]
    pub processor_millis: u64,
    /// The backlogs of queues, as of this commit.
    #[serde(default, skip_serializing_if = "QueueBacklogs::is_empty")]
    pub backlogs: QueueBacklogs,
    /// The limits on organisations, as of this commit; nothing is limited before the holder has
    /// measured.
    #[serde(default, skip_serializing_if = "OrganisationLimits::is_empty")]
    pub limits: OrganisationLimits,
}

impl LeaderRecord {
    /// Returns whether both records were written by the same commit. Its attempts differ in the
    /// age of the counts.
    fn is_same_commit(&self, other: &Self) -> bool {
        let key = |record: &Self| (record.epoch, record.holder.clone(), record.commit);
        key(self) == key(other)
    }

    /// Returns the time for which runs of this holder and earlier ones may continue unobserved
    /// after the end of this holder's term, in ms.
    fn unobserved_ms(&self) -> u64 {
        match (self.epoch, self.released) {
            (0, _) => 0,
            (_, true) => self.inherited_ms.max(RELEASED_RUN_MS),
            (_, false) => INHERITED_RUN_MS,
        }
    }
}

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
}

/// The lease was lost: another holder has taken it over, or the table rejected a commit as invalid.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseLost;

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
        let previous = current.map(|row| read_record(row).unwrap_or_else(|| unknown_record(row)));
        let previous = previous.unwrap_or_default();
        let record = LeaderRecord {
            epoch: previous.epoch + 1,
            holder: holder.to_owned(),
            commit: 0,
            released: false,
            inherited_ms: previous.unobserved_ms(),
            counts: None,
            processor_millis: 0,
            backlogs: QueueBacklogs::new(),
            limits: OrganisationLimits::default(),
        };
        let revision = current.map_or(Revision::new(0), |row| row.revision);
        let mut lease = Self {
            record,
            revision,
            claimed: Revision::new(0),
            confirmed_ms: boot_ms(),
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
        let sent_ms = boot_ms();
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
            self.record_confirmed(revision, sent_ms);
        }
        Some(is_own)
    }

    /// Returns the lease's epoch, the fencing token of its holder.
    pub fn epoch(&self) -> u64 {
        self.record.epoch
    }

    /// Returns the revision with which the lease was claimed.
    pub fn claimed(&self) -> Revision {
        self.claimed
    }

    /// Returns the time for which runs of earlier holders may continue unobserved, in ms.
    pub fn inherited_ms(&self) -> u64 {
        self.record.inherited_ms
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

    /// Sets the backlogs of queues. The next commit stores them.
    pub fn set_backlogs(&mut self, backlogs: QueueBacklogs) {
        self.record.backlogs = backlogs;
    }

    /// Sets the limits on organisations. The next commit stores them.
    pub fn set_limits(&mut self, limits: OrganisationLimits) {
        self.record.limits = limits;
    }

    /// Returns the last time at which this process is known to have held the lease, in ms.
    pub fn confirmed_ms(&self) -> u64 {
        self.confirmed_ms
    }

    /// Commits rows and renews the lease. Retries until the commit succeeds or the lease is lost.
    /// Once it succeeds, the published counts of pending jobs contain all submissions known at
    /// `counted_ms`, if any counts are published.
    ///
    /// # Errors
    ///
    /// Returns [`LeaseLost`] if another holder has taken over or the table rejects the commit as
    /// invalid.
    pub async fn commit<T: TableService>(
        &mut self,
        table: &T,
        writes: Vec<RowWrite>,
        counted_ms: Option<u64>,
    ) -> Result<(), LeaseLost> {
        self.record.commit += 1;
        let mut transaction = self.transaction(writes);
        let mut delay = RETRY_DELAY;
        loop {
            let sent_ms = boot_ms();
            self.record.counts = counted_ms.map(|counted_ms| CountStamp {
                age_ms: sent_ms.saturating_sub(counted_ms),
                claimed: self.claimed,
            });
            if let Some(leader) = transaction.writes.first_mut() {
                leader.value = Some(self.row_value());
            }
            match table.transact(&transaction).await {
                Ok(TransactionOutcome::Committed(revision)) => {
                    self.record_confirmed(revision, sent_ms);
                    return Ok(());
                }
                Ok(TransactionOutcome::Conflict(_)) => {
                    if let Some(outcome) = self.resolve(table).await {
                        return outcome;
                    }
                }
                Err(Error::PlatformRefused {
                    status: 400,
                    reason,
                }) => {
                    log::error!("event=commit_rejected reason={reason:?}");
                    return Err(LeaseLost);
                }
                Err(error) => log::warn!("event=commit_retried reason=\"{error}\""),
            }
            sleep(delay).await;
            delay = (delay * 2).min(MAX_RETRY_DELAY);
        }
    }

    /// Commits the last rows and releases the lease, so that another holder need not wait until
    /// it expires.
    pub async fn release<T: TableService>(
        &mut self,
        table: &T,
        writes: Vec<RowWrite>,
        counted_ms: Option<u64>,
    ) {
        self.record.released = true;
        let released = self.commit(table, writes, counted_ms).await;
        log::info!(
            "event=lease_released epoch={} done={}",
            self.record.epoch,
            released.is_ok()
        );
    }

    /// Finds out whether an earlier attempt whose answer was lost has committed. Returns `None` if
    /// that is still unknown.
    async fn resolve<T: TableService>(&mut self, table: &T) -> Option<Result<(), LeaseLost>> {
        let sent_ms = boot_ms();
        let rows = match table.read(&[LEADER_KEY]).await {
            Ok(rows) => rows,
            Err(error) => {
                log::warn!("event=commit_unsettled reason=\"{error}\"");
                return None;
            }
        };
        let row = rows.first()?;
        if read_record(row).is_some_and(|stored| stored.is_same_commit(&self.record)) {
            self.record_confirmed(row.revision, sent_ms);
            return Some(Ok(()));
        }
        log::warn!("event=lease_lost epoch={} now={}", self.epoch(), row.value);
        Some(Err(LeaseLost))
    }

    fn record_confirmed(&mut self, revision: Revision, sent_ms: u64) {
        self.revision = revision;
        self.confirmed_ms = sent_ms;
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

/// Returns a record that stands for a row that cannot be decoded. Its holder is unknown and may
/// still run tasks. No holder had a higher epoch than the row's revision, since each claim of the
/// lease is a transaction of its own.
fn unknown_record(row: &TableRow) -> LeaderRecord {
    log::error!("event=leader_unreadable value={}", row.value);
    LeaderRecord {
        epoch: row.revision.get(),
        ..LeaderRecord::default()
    }
}

/// Decodes the leader row. Returns `None` if it cannot be decoded.
pub(crate) fn read_record(row: &TableRow) -> Option<LeaderRecord> {
    serde_json::from_value(row.value.clone()).ok()
}
