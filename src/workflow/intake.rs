//! Submissions, cancellations and look-ups of callers, on any entry host.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::timeout_at;
use monoio::time::Instant;
use serde_json::Value;

use crate::error::Error;
use crate::id::JobId;
use crate::id::Revision;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::workflow::cancel_key;
use crate::workflow::committer::PROGRESS_PREFIX;
use crate::workflow::committer::QUEUE_PREFIX;
use crate::workflow::job_key;
use crate::workflow::JobPhase;
use crate::workflow::JobSpec;

/// The pause before a call that the platform refused or lost is tried again: some round
/// trips of the table.
const RETRY_PAUSE: Duration = Duration::from_millis(80);

/// How often a call that surely had no effect is tried before the caller is refused.
const REFUSED_TRIES: u32 = 2;

/// What became of a submission.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum SubmitOutcome {
    /// The job is stored.
    Accepted,
    /// The job was stored before.
    Known,
    /// The job is not stored and never will be by this call.
    NotStored,
    /// The job may be stored.
    Unknown,
}

/// What became of a cancellation.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CancelOutcome {
    /// The job is cancelled, or has ended.
    Accepted,
    /// There is no such job.
    NoJob,
    /// The platform did not answer.
    Unknown,
}

/// What a look-up found.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LookupOutcome {
    /// The job has come this far.
    Found(JobPhase),
    /// There is no such job.
    NoJob,
    /// The platform did not answer.
    Unknown,
}

/// Stores what callers submit and tells them what became of it.
pub struct JobIntake<T> {
    table: Rc<T>,
}

impl<T: TableService> JobIntake<T> {
    /// Creates the intake of jobs into `table`.
    pub fn new(table: Rc<T>) -> Self {
        Self { table }
    }

    /// Stores a job unless it is stored already.
    pub async fn submit(&self, id: &JobId, spec: &JobSpec, deadline: Instant) -> SubmitOutcome {
        let Ok(value) = serde_json::to_value(spec) else {
            return SubmitOutcome::NotStored;
        };
        let key = job_key(id);
        let insert = Transaction::new()
            .with_check(key.as_str(), Revision::new(0))
            .with_write(key.as_str(), value);
        match self.insert(&insert, deadline).await {
            InsertOutcome::Inserted => SubmitOutcome::Accepted,
            InsertOutcome::Exists => SubmitOutcome::Known,
            InsertOutcome::Refused => SubmitOutcome::NotStored,
            InsertOutcome::Unknown => SubmitOutcome::Unknown,
        }
    }

    /// Cancels a job.
    pub async fn cancel(&self, id: &JobId, deadline: Instant) -> CancelOutcome {
        match self.is_stored(id).await {
            Some(true) => {}
            Some(false) => return CancelOutcome::NoJob,
            None => return CancelOutcome::Unknown,
        }
        let key = cancel_key(id);
        let insert = Transaction::new()
            .with_check(key.as_str(), Revision::new(0))
            .with_write(key.as_str(), Value::Bool(true));
        match self.insert(&insert, deadline).await {
            InsertOutcome::Inserted | InsertOutcome::Exists => CancelOutcome::Accepted,
            InsertOutcome::Refused | InsertOutcome::Unknown => CancelOutcome::Unknown,
        }
    }

    /// Tells how far a job has come.
    pub async fn look_up(&self, id: &JobId) -> LookupOutcome {
        let key = format!("{PROGRESS_PREFIX}{id}");
        match self.table.read(&[&key]).await {
            Ok(rows) => {
                let phase = rows
                    .first()
                    .and_then(|row| row.value.get("phase")?.as_str());
                if let Some(phase) = phase.and_then(JobPhase::from_name) {
                    return LookupOutcome::Found(phase);
                }
            }
            Err(error) => {
                log::warn!("event=lookup_failed job={id} reason=\"{error}\"");
                return LookupOutcome::Unknown;
            }
        }
        match self.is_stored(id).await {
            Some(true) => LookupOutcome::Found(JobPhase::Queued),
            Some(false) => LookupOutcome::NoJob,
            None => LookupOutcome::Unknown,
        }
    }

    /// Returns the number of a queue's jobs none of whose tasks has started, if it is known.
    pub async fn pending(&self, queue: &str) -> Option<u64> {
        let key = format!("{QUEUE_PREFIX}{queue}");
        match self.table.read(&[&key]).await {
            Ok(rows) => Some(rows.first().and_then(|row| row.value.as_u64()).unwrap_or(0)),
            Err(error) => {
                log::warn!("event=pending_unknown queue={queue} reason=\"{error}\"");
                None
            }
        }
    }

    async fn is_stored(&self, id: &JobId) -> Option<bool> {
        let key = job_key(id);
        match self.table.read(&[&key]).await {
            Ok(rows) => Some(!rows.is_empty()),
            Err(error) => {
                log::warn!("event=lookup_failed job={id} reason=\"{error}\"");
                None
            }
        }
    }

    /// Inserts a row; once an answer was lost the row may be there, so nothing is refused then.
    async fn insert(&self, insert: &Transaction, deadline: Instant) -> InsertOutcome {
        let mut refusals = 0;
        let mut silent = false;
        loop {
            let answer = match timeout_at(deadline, self.table.transact(insert)).await {
                Ok(answer) => answer,
                Err(_) => return InsertOutcome::Unknown,
            };
            match answer {
                Ok(TransactionOutcome::Committed(_)) => return InsertOutcome::Inserted,
                Ok(TransactionOutcome::Conflict(_)) => return InsertOutcome::Exists,
                Err(Error::PlatformRefused { status, reason }) => {
                    refusals += 1;
                    if !silent && refusals >= REFUSED_TRIES {
                        log::warn!("event=insert_refused status={status} reason={reason:?}");
                        return InsertOutcome::Refused;
                    }
                }
                Err(error) => {
                    silent = true;
                    log::warn!("event=insert_unanswered reason=\"{error}\"");
                }
            }
            if Instant::now() + RETRY_PAUSE >= deadline {
                return if silent {
                    InsertOutcome::Unknown
                } else {
                    InsertOutcome::Refused
                };
            }
            sleep(RETRY_PAUSE).await;
        }
    }
}

/// What became of the insertion of a row.
enum InsertOutcome {
    Inserted,
    Exists,
    Refused,
    Unknown,
}
