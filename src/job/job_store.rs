//! Jobs as callers submit, see and cancel them.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;

use crate::error::Error;
use crate::error::Result;
use crate::id::JobId;
use crate::id::Revision;
use crate::job::ended_key;
use crate::job::inbox_key;
use crate::job::open_key;
use crate::job::HeldJob;
use crate::job::JobRecord;
use crate::job::JobSpec;
use crate::process::now_ms;
use crate::provider::TableRow;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;

/// How long a change may take to be settled with the platform.
const SETTLE_TIME: Duration = Duration::from_secs(2);
/// The pause before a submission is sent again to a silent platform.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// The most jobs that one transaction cancels.
const CANCEL_GROUP: usize = 128;
/// The times that a group of cancellations is tried when others come first.
const CANCEL_TRIES: usize = 8;

/// The rows of jobs in the platform's table.
pub struct JobStore<P> {
    platform: Rc<P>,
}

impl<P: TableService> JobStore<P> {
    /// Creates a store in the platform's table.
    pub fn new(platform: Rc<P>) -> Self {
        Self { platform }
    }

    /// Records a job, once for each name.
    ///
    /// Returns nothing if the name was used for another job.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform stays silent; the job may then be recorded.
    pub async fn submit(&self, id: JobId, spec: JobSpec) -> Result<Option<JobRecord>> {
        let record = JobRecord::new(id.clone(), spec, now_ms());
        let value = serde_json::to_value(&record).unwrap_or_default();
        let open = open_key(&id);
        let never = Revision::new(0);
        let transaction = Transaction::new()
            .with_check(open.as_str(), never)
            .with_check(ended_key(&id), never)
            .with_write(open.as_str(), value)
            .with_write(inbox_key(&id), serde_json::Value::Bool(true));
        let deadline = Instant::now() + SETTLE_TIME;
        loop {
            match self.platform.transact(&transaction).await {
                Ok(TransactionOutcome::Committed(_)) => return Ok(Some(record)),
                Ok(TransactionOutcome::Conflict(_)) => break,
                Err(Error::PlatformSilent(_)) if Instant::now() < deadline => {
                    sleep(RETRY_PAUSE).await;
                }
                Err(error) => return Err(error),
            }
        }
        // The row may be this submission's own, whose answer was lost.
        let held = self.show(&id).await?;
        Ok(held.filter(|held| held.spec.is_same(&record.spec)))
    }

    /// Returns a job, if it is known.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn show(&self, id: &JobId) -> Result<Option<JobRecord>> {
        let (open, ended) = (open_key(id), ended_key(id));
        let rows = self.platform.read(&[&open, &ended]).await?;
        Ok(rows.into_iter().next().and_then(decode))
    }

    /// Returns jobs whose rows have a prefix, in the order of their keys after `after`.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not answer.
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<JobRecord>> {
        let rows = self.platform.scan(prefix, after, limit).await?;
        Ok(rows.into_iter().filter_map(decode).collect())
    }

    /// Marks jobs as cancelled, in groups, and returns those that had not ended before.
    ///
    /// A marked job is never started again.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform stays silent; repeating the call has no further effect.
    pub async fn cancel(&self, ids: &[JobId]) -> Result<Vec<JobId>> {
        let mut cancelled = Vec::new();
        for group in ids.chunks(CANCEL_GROUP) {
            cancelled.extend(self.cancel_group(group).await?);
        }
        Ok(cancelled)
    }

    async fn cancel_group(&self, ids: &[JobId]) -> Result<Vec<JobId>> {
        for _ in 0..CANCEL_TRIES {
            let held = self.read_open(ids).await?;
            let open = held.iter().map(|held| held.record.id.clone()).collect();
            let unmarked = held.iter().filter(|held| !held.record.cancelled);
            let transaction = unmarked.fold(Transaction::new(), |transaction, held| {
                let key = open_key(&held.record.id);
                let marked = JobRecord {
                    cancelled: true,
                    ..held.record.clone()
                };
                transaction
                    .with_check(key.as_str(), held.revision)
                    .with_write(key, serde_json::to_value(marked).unwrap_or_default())
                    .with_write(inbox_key(&held.record.id), serde_json::Value::Bool(true))
            });
            if transaction.writes.is_empty() {
                return Ok(open);
            }
            // After a silence the rows show whether the marks were written.
            match self.platform.transact(&transaction).await {
                Ok(TransactionOutcome::Committed(_)) => return Ok(open),
                Ok(TransactionOutcome::Conflict(_)) | Err(Error::PlatformSilent(_)) => {}
                Err(error) => return Err(error),
            }
        }
        Err(Error::PlatformSilent("others came first".to_owned()))
    }

    /// Returns the jobs that have not ended among `ids`.
    async fn read_open(&self, ids: &[JobId]) -> Result<Vec<HeldJob>> {
        let keys = ids.iter().map(open_key).collect::<Vec<_>>();
        let keys = keys.iter().map(String::as_str).collect::<Vec<_>>();
        let rows = self.platform.read(&keys).await?;
        Ok(rows.into_iter().filter_map(HeldJob::from_row).collect())
    }
}

fn decode(row: TableRow) -> Option<JobRecord> {
    serde_json::from_value(row.value).ok()
}
