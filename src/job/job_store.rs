//! Submits, reads and cancels jobs in the platform's table.

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
use crate::job::JobRecord;
use crate::job::JobSpec;
use crate::job::StoredJob;
use crate::process::now_ms;
use crate::provider::TableRow;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;

/// How long a submission with an unknown outcome is repeated.
const RESOLVE_TIMEOUT: Duration = Duration::from_secs(2);
/// Delay before a submission is repeated after the platform did not respond.
const RETRY_DELAY: Duration = Duration::from_millis(100);
const CANCEL_BATCH_SIZE: usize = 128;
/// Attempts to commit a batch of cancellations when rows change concurrently.
const MAX_CANCEL_ATTEMPTS: usize = 8;

/// Access to the job rows on behalf of callers.
pub struct JobStore<P> {
    platform: Rc<P>,
}

impl<P: TableService> JobStore<P> {
    /// Creates a store on the platform's table.
    pub fn new(platform: Rc<P>) -> Self {
        Self { platform }
    }

    /// Records a job; repeating the same submission records it once.
    ///
    /// Returns `None` if the id was used for another job.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond, in spite of retries; the job may still
    /// have been recorded.
    pub async fn submit(&self, id: JobId, spec: JobSpec) -> Result<Option<JobRecord>> {
        let record = JobRecord::new(id.clone(), spec, now_ms());
        let value = serde_json::to_value(&record).unwrap_or_default();
        let open = open_key(&id);
        let absent = Revision::new(0);
        let transaction = Transaction::new()
            .with_check(open.as_str(), absent)
            .with_check(ended_key(&id), absent)
            .with_write(open.as_str(), value)
            .with_write(inbox_key(&id), serde_json::Value::Bool(true));
        let deadline = Instant::now() + RESOLVE_TIMEOUT;
        loop {
            match self.platform.transact(&transaction).await {
                Ok(TransactionOutcome::Committed(_)) => return Ok(Some(record)),
                Ok(TransactionOutcome::Conflict(_)) => break,
                Err(Error::PlatformSilent(_)) if Instant::now() < deadline => {
                    sleep(RETRY_DELAY).await;
                }
                Err(error) => return Err(error),
            }
        }
        // The row may come from an earlier attempt of this submission whose response was lost.
        let stored = self.show(&id).await?;
        Ok(stored.filter(|stored| stored.spec.is_same_job(&record.spec)))
    }

    /// Returns an open or ended job.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn show(&self, id: &JobId) -> Result<Option<JobRecord>> {
        let (open, ended) = (open_key(id), ended_key(id));
        let rows = self.platform.read(&[&open, &ended]).await?;
        Ok(rows.into_iter().next().and_then(decode))
    }

    /// Returns jobs whose keys start with `prefix` and follow `after`, in the order of their keys.
    ///
    /// Reads up to `limit` rows; those that do not parse are left out.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond.
    pub async fn list(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<JobRecord>> {
        let rows = self.platform.scan(prefix, after, limit).await?;
        Ok(rows.into_iter().filter_map(decode).collect())
    }

    /// Marks jobs as cancelled, in batches, and returns those that were still open.
    ///
    /// A marked job is never started again.
    ///
    /// # Errors
    ///
    /// Returns an error if the platform does not respond or rows keep changing concurrently. The
    /// call is idempotent.
    pub async fn cancel(&self, ids: &[JobId]) -> Result<Vec<JobId>> {
        let mut cancelled = Vec::new();
        for batch in ids.chunks(CANCEL_BATCH_SIZE) {
            cancelled.extend(self.cancel_batch(batch).await?);
        }
        Ok(cancelled)
    }

    async fn cancel_batch(&self, ids: &[JobId]) -> Result<Vec<JobId>> {
        for _ in 0..MAX_CANCEL_ATTEMPTS {
            let stored = self.read_open(ids).await?;
            let open = stored
                .iter()
                .map(|stored| stored.record.id.clone())
                .collect();
            let unmarked = stored.iter().filter(|stored| !stored.record.cancelled);
            let transaction = unmarked.fold(Transaction::new(), |transaction, stored| {
                let key = open_key(&stored.record.id);
                let marked = JobRecord {
                    cancelled: true,
                    ..stored.record.clone()
                };
                transaction
                    .with_check(key.as_str(), stored.revision)
                    .with_write(key, serde_json::to_value(marked).unwrap_or_default())
                    .with_write(inbox_key(&stored.record.id), serde_json::Value::Bool(true))
            });
            if transaction.writes.is_empty() {
                return Ok(open);
            }
            // Without a response, the next read shows whether the marks were written.
            match self.platform.transact(&transaction).await {
                Ok(TransactionOutcome::Committed(_)) => return Ok(open),
                Ok(TransactionOutcome::Conflict(_)) | Err(Error::PlatformSilent(_)) => {}
                Err(error) => return Err(error),
            }
        }
        Err(Error::PlatformSilent("others came first".to_owned()))
    }

    /// Reads the jobs among `ids` that have not ended.
    async fn read_open(&self, ids: &[JobId]) -> Result<Vec<StoredJob>> {
        let keys = ids.iter().map(open_key).collect::<Vec<_>>();
        let keys = keys.iter().map(String::as_str).collect::<Vec<_>>();
        let rows = self.platform.read(&keys).await?;
        Ok(rows.into_iter().filter_map(StoredJob::from_row).collect())
    }
}

fn decode(row: TableRow) -> Option<JobRecord> {
    serde_json::from_value(row.value).ok()
}
