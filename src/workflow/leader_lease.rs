//! The controller's lease, and commits that only its holder can make.

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
use crate::workflow::INHERITED_RUN_MS;
use crate::workflow::RELEASED_RUN_MS;

/// The row that names the controller.
pub const LEADER_KEY: &str = "control/leader";

/// The pause before a commit is tried again: a few round trips of the table. It doubles
/// with each further try.
const RETRY_PAUSE: Duration = Duration::from_millis(60);

/// The longest pause before a commit is tried again: half of a lease's rest.
const RETRY_PAUSE_MOST: Duration = Duration::from_millis(400);

/// Who controls, as the table shows it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub struct LeaderRecord {
    /// Rises with each change of the holder; workers take it as fencing token.
    pub epoch: u64,
    /// The entry host that holds the lease.
    pub holder: String,
    /// Counts the holder's commits.
    pub commit: u64,
    /// The holder has given the lease up.
    pub released: bool,
    /// How long runs of the holder's predecessors may still go on unseen, in ms.
    #[serde(default)]
    pub inherited_ms: u64,
}

impl LeaderRecord {
    /// Returns how long runs of this holder and those before may go on unseen after it, in ms.
    fn unseen_ms(&self) -> u64 {
        match (self.epoch, self.released) {
            (0, _) => 0,
            (_, true) => self.inherited_ms.max(RELEASED_RUN_MS),
            (_, false) => INHERITED_RUN_MS,
        }
    }
}

/// The lease of the one controller; each commit renews it.
///
/// A commit checks the leader row's revision and rewrites the row. So a commit of an
/// earlier holder has no effect, nor has one that the table carries out late.
pub struct LeaderLease {
    record: LeaderRecord,
    revision: Revision,
    confirmed_ms: u64,
}

/// The lease has passed to another holder.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct LeaseLost;

impl LeaderLease {
    /// Tries to take the lease over from what `current` shows; nothing if another was faster.
    pub async fn claim<T: TableService>(
        table: &T,
        current: Option<&TableRow>,
        holder: &str,
    ) -> Option<Self> {
        let before = current.and_then(read_record).unwrap_or_default();
        let record = LeaderRecord {
            epoch: before.epoch + 1,
            holder: holder.to_owned(),
            commit: 0,
            released: false,
            inherited_ms: before.unseen_ms(),
        };
        let revision = current.map_or(Revision::new(0), |row| row.revision);
        let mut lease = Self {
            record,
            revision,
            confirmed_ms: boot_ms(),
        };
        let asked_ms = boot_ms();
        let transaction = lease.transaction(Vec::new());
        match table.transact(&transaction).await {
            Ok(TransactionOutcome::Committed(revision)) => {
                lease.revision = revision;
                lease.confirmed_ms = asked_ms;
                Some(lease)
            }
            Ok(TransactionOutcome::Conflict(_)) => None,
            Err(error) => {
                log::warn!(
                    "event=claim_failed epoch={} reason={error:?}",
                    lease.record.epoch
                );
                None
            }
        }
    }

    /// Returns the holder's epoch.
    pub fn epoch(&self) -> u64 {
        self.record.epoch
    }

    /// Returns how long runs of earlier holders may go on unseen, in ms.
    pub fn inherited_ms(&self) -> u64 {
        self.record.inherited_ms
    }

    /// Sets how long runs of earlier holders may go on unseen, in ms.
    pub fn set_inherited_ms(&mut self, inherited_ms: u64) {
        self.record.inherited_ms = inherited_ms;
    }

    /// Returns when the holder last knew that the lease was its own, in ms.
    pub fn confirmed_ms(&self) -> u64 {
        self.confirmed_ms
    }

    /// Commits rows, and tries again until that is done or the lease is lost.
    ///
    /// # Errors
    ///
    /// Returns [`LeaseLost`] when another holder has taken over.
    pub async fn commit<T: TableService>(
        &mut self,
        table: &T,
        writes: Vec<RowWrite>,
    ) -> Result<(), LeaseLost> {
        self.record.commit += 1;
        let transaction = self.transaction(writes);
        let mut pause = RETRY_PAUSE;
        loop {
            let asked_ms = boot_ms();
            match table.transact(&transaction).await {
                Ok(TransactionOutcome::Committed(revision)) => {
                    self.record_confirmed(revision, asked_ms);
                    return Ok(());
                }
                Ok(TransactionOutcome::Conflict(_)) => {
                    if let Some(settled) = self.resolve(table).await {
                        return settled;
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
            sleep(pause).await;
            pause = (pause * 2).min(RETRY_PAUSE_MOST);
        }
    }

    /// Gives the lease up with the last rows, so that another holder needn't wait for its end.
    pub async fn release<T: TableService>(&mut self, table: &T, writes: Vec<RowWrite>) {
        self.record.released = true;
        let released = self.commit(table, writes).await;
        log::info!(
            "event=lease_released epoch={} done={}",
            self.record.epoch,
            released.is_ok()
        );
    }

    /// Finds out whether a commit without an answer took effect before.
    async fn resolve<T: TableService>(&mut self, table: &T) -> Option<Result<(), LeaseLost>> {
        let asked_ms = boot_ms();
        let rows = match table.read(&[LEADER_KEY]).await {
            Ok(rows) => rows,
            Err(error) => {
                log::warn!("event=commit_unsettled reason=\"{error}\"");
                return None;
            }
        };
        let row = rows.first()?;
        if read_record(row).as_ref() == Some(&self.record) {
            self.record_confirmed(row.revision, asked_ms);
            return Some(Ok(()));
        }
        log::warn!("event=lease_lost epoch={} now={}", self.epoch(), row.value);
        Some(Err(LeaseLost))
    }

    fn record_confirmed(&mut self, revision: Revision, asked_ms: u64) {
        self.revision = revision;
        self.confirmed_ms = asked_ms;
    }

    fn transaction(&self, writes: Vec<RowWrite>) -> Transaction {
        let value = serde_json::to_value(&self.record).unwrap_or(Value::Null);
        let mut transaction = Transaction::new()
            .with_check(LEADER_KEY, self.revision)
            .with_write(LEADER_KEY, value);
        transaction.writes.extend(writes);
        transaction
    }
}

/// Reads the leader row; one that cannot be read gives nothing.
pub(crate) fn read_record(row: &TableRow) -> Option<LeaderRecord> {
    serde_json::from_value(row.value.clone()).ok()
}
