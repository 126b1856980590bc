//! Stores and looks up jobs for callers. Runs on any entry host.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::timeout_at;
use monoio::time::Instant;
use serde_json::Value;

use crate::error::Error;
use crate::error::Result;
use crate::id::JobId;
use crate::id::Revision;
use crate::process::boot_ms;
use crate::provider::TableRow;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::workflow::cancel_key;
use crate::workflow::commit::committer::count_key;
use crate::workflow::commit::committer::PROGRESS_PREFIX;
use crate::workflow::ended_key;
use crate::workflow::intake::insert_outcome::InsertOutcome;
use crate::workflow::intake::job_key::SUBMITTED_FIELD;
use crate::workflow::intake::job_status::is_row_visible;
use crate::workflow::intake::status_outcome::StatusOutcome;
use crate::workflow::intake::stored_job::StoredJob;
use crate::workflow::job_key;
use crate::workflow::CallerScope;
use crate::workflow::CancelOutcome;
use crate::workflow::CountFreshness;
use crate::workflow::EarlyCancel;
use crate::workflow::JobSpec;
use crate::workflow::JobStatus;
use crate::workflow::LookupOutcome;
use crate::workflow::PendingOutcome;
use crate::workflow::RecordLimiter;
use crate::workflow::SubmitOutcome;

/// Delay before a call that was refused or not answered is retried: a few round trips to the
/// table.
const RETRY_DELAY: Duration = Duration::from_millis(80);

/// Refused attempts of a call after which the caller is refused, unless an attempt without an
/// answer may have had an effect.
const MAX_REFUSED_ATTEMPTS: u32 = 2;

/// The limit on how often a call begins anew because the rows of its job have changed meanwhile.
const MAX_ROUNDS: u32 = 8;

/// Stores jobs and cancellations in the table and looks up their phase.
pub struct JobIntake<T> {
    table: Rc<T>,
    counts: Rc<CountFreshness>,
    limiter: RecordLimiter,
}

impl<T: TableService> JobIntake<T> {
    /// Creates an intake that stores jobs in `table` and gives counts that are fresh by `counts`.
    pub fn new(table: Rc<T>, counts: Rc<CountFreshness>) -> Self {
        Self {
            table,
            counts,
            limiter: RecordLimiter::new(),
        }
    }

    /// Stores a job of a caller with `scope` unless it is already stored. Retries until `deadline`.
    pub async fn submit(
        &self,
        id: &JobId,
        spec: &JobSpec,
        scope: &CallerScope,
        deadline: Instant,
    ) -> SubmitOutcome {
        let Ok(mut value) = serde_json::to_value(spec) else {
            return SubmitOutcome::NotStored;
        };
        if let (Some(row), Some(now_ms)) = (value.as_object_mut(), self.table.clock_ms()) {
            row.insert(SUBMITTED_FIELD.to_owned(), now_ms.into());
        }
        let key = job_key(id);
        let mut insert = Transaction::new()
            .with_check(key.as_str(), Revision::new(0))
            .with_check(ended_key(id), Revision::new(0))
            .with_write(key.as_str(), value.clone());
        for _ in 0..MAX_ROUNDS {
            let conflicts = match self.insert(&insert, deadline).await {
                InsertOutcome::Inserted => return SubmitOutcome::Accepted,
                InsertOutcome::Exists(conflicts) => conflicts,
                InsertOutcome::Refused => return SubmitOutcome::NotStored,
                InsertOutcome::Unknown => return SubmitOutcome::Unknown,
            };
            // Without organisations every job is visible to the caller, and nothing is read.
            let is_stored = conflicts.iter().any(|check| check.key == key);
            if is_stored && *scope == CallerScope::Everything {
                return SubmitOutcome::Known;
            }
            let stored = match timeout_at(deadline, self.read_stored(id)).await {
                Ok(Ok(stored)) => stored,
                Ok(Err(error)) => {
                    log::warn!("event=lookup_failed job={id} reason=\"{error}\"");
                    return SubmitOutcome::Unknown;
                }
                Err(_) => return SubmitOutcome::Unknown,
            };
            let (row, record) = match stored {
                Some(StoredJob::Cancelled(row, record)) => (row, record),
                Some(stored) => return stored.submit_outcome(scope),
                None => return SubmitOutcome::Unknown,
            };
            if record.covers(spec.organisation.as_ref()) {
                return self
                    .accept_cancelled(id, spec, &record, row, deadline)
                    .await;
            }
            // Only callers of other organisations have cancelled the id, so the record gives way.
            insert = EarlyCancel::delete(Transaction::new(), id)
                .with_check(key.as_str(), Revision::new(0))
                .with_check(row.key, row.revision)
                .with_write(key.as_str(), value.clone());
        }
        SubmitOutcome::Unknown
    }

    /// Accepts a job that was cancelled before it was stored, as a cancelled one. An earlier submission of it
    /// may have been answered, so that the caller must find it.
    async fn accept_cancelled(
        &self,
        id: &JobId,
        spec: &JobSpec,
        record: &EarlyCancel,
        row: TableRow,
        deadline: Instant,
    ) -> SubmitOutcome {
        let owner = spec.organisation.as_ref();
        let record = record.clone().with_submission(owner, self.table.clock_ms());
        let update = record.write(Transaction::new(), id, row.revision);
        log::info!("event=cancelled_job_submitted job={id}");
        match self.insert(&update, deadline).await {
            InsertOutcome::Inserted => SubmitOutcome::Known,
            // An attempt without an answer may have stored it; the caller asks again.
            _ => SubmitOutcome::Unknown,
        }
    }

    /// Cancels a job that a caller with `scope` may see. Retries until `deadline`. The cancellation of an
    /// archived job has no effect and isn't stored. That of an unknown job is recorded, so that a
    /// submission under way is not stored later.
    pub async fn cancel(
        &self,
        id: &JobId,
        scope: &CallerScope,
        deadline: Instant,
    ) -> CancelOutcome {
        for _ in 0..MAX_ROUNDS {
            let stored = match timeout_at(deadline, self.read_stored(id)).await {
                Ok(Ok(stored)) => stored,
                Ok(Err(error)) => return unknown_cancel(id, &error.to_string()),
                Err(_) => return unknown_cancel(id, "no answer in time"),
            };
            let now_ms = self.table.clock_ms();
            let (record, revision) = match stored {
                Some(StoredJob::Submitted(row)) => {
                    return self.cancel_stored(id, row, scope, deadline).await;
                }
                Some(StoredJob::Ended(row)) => return cancel_ended(id, &row, scope),
                Some(StoredJob::Cancelled(_, record)) if record.is_fresh(scope, now_ms) => {
                    return CancelOutcome::NoJob;
                }
                Some(StoredJob::Cancelled(row, record)) => (record, row.revision),
                None => (EarlyCancel::new(now_ms), Revision::new(0)),
            };
            if !self.limiter.admit(boot_ms()) {
                return unknown_cancel(id, "too many cancellations of unknown jobs");
            }
            let record = record.with_caller(scope, now_ms);
            let free = Transaction::new().with_check(job_key(id), Revision::new(0));
            match self
                .insert(&record.write(free, id, revision), deadline)
                .await
            {
                InsertOutcome::Inserted => {
                    log::info!("event=early_cancel_recorded job={id}");
                    return CancelOutcome::NoJob;
                }
                InsertOutcome::Exists(_) => {}
                InsertOutcome::Refused | InsertOutcome::Unknown => return CancelOutcome::Unknown,
            }
        }
        unknown_cancel(id, "the rows of the job keep changing")
    }

    /// Stores the cancellation of a job with a submission.
    async fn cancel_stored(
        &self,
        id: &JobId,
        submission: TableRow,
        scope: &CallerScope,
        deadline: Instant,
    ) -> CancelOutcome {
        match is_row_visible(&submission.value, scope) {
            Some(true) => {}
            Some(false) => return CancelOutcome::NoJob,
            None => {
                log::error!("event=owner_unreadable job={id}");
                return CancelOutcome::Unknown;
            }
        }
        let key = cancel_key(id);
        // If the job is archived meanwhile, the check of its submission fails, and no row is left
        // behind for a job that has ended.
        let insert = Transaction::new()
            .with_check(submission.key, submission.revision)
            .with_check(key.as_str(), Revision::new(0))
            .with_write(key.as_str(), Value::Bool(true));
        match self.insert(&insert, deadline).await {
            InsertOutcome::Inserted | InsertOutcome::Exists(_) => CancelOutcome::Accepted,
            InsertOutcome::Refused | InsertOutcome::Unknown => CancelOutcome::Unknown,
        }
    }

    /// Returns the phase of a job that a caller with `scope` may see; a stored job without progress is
    /// queued. The phase is unknown if the progress cannot be decoded.
    pub async fn look_up(&self, id: &JobId, scope: &CallerScope) -> LookupOutcome {
        match self.find_status(id).await {
            Ok(StatusOutcome::Found(status)) if scope.includes(status.owner.as_ref()) => {
                LookupOutcome::Found(status.phase)
            }
            Ok(StatusOutcome::Found(_) | StatusOutcome::NoJob) => LookupOutcome::NoJob,
            Ok(StatusOutcome::Unreadable) => LookupOutcome::Unknown,
            Err(error) => {
                log::warn!("event=lookup_failed job={id} reason=\"{error}\"");
                LookupOutcome::Unknown
            }
        }
    }

    /// Reads the rows of which a job has at least one at any time: its progress row is deleted after
    /// its submission was replaced by the ended job's row.
    async fn find_status(&self, id: &JobId) -> Result<StatusOutcome> {
        if let Some(row) = self.read_row(&format!("{PROGRESS_PREFIX}{id}")).await? {
            let status = JobStatus::from_progress(&row.value);
            return Ok(status.map_or_else(
                || {
                    log::error!("event=progress_unreadable job={id}");
                    StatusOutcome::Unreadable
                },
                StatusOutcome::Found,
            ));
        }
        if let Some(outcome) = self.find_ended(id).await? {
            return Ok(outcome);
        }
        if let Some(row) = self.read_row(&job_key(id)).await? {
            let status = JobStatus::from_submission(&row.value);
            return Ok(status.map_or_else(
                || {
                    log::error!("event=owner_unreadable job={id}");
                    StatusOutcome::Unreadable
                },
                StatusOutcome::Found,
            ));
        }
        // The job may have been archived since its ended row was read.
        let ended = self.find_ended(id).await?;
        Ok(ended.unwrap_or(StatusOutcome::NoJob))
    }

    /// Reads the row of an ended job, if it is archived.
    async fn find_ended(&self, id: &JobId) -> Result<Option<StatusOutcome>> {
        let Some(ended) = self.read_row(&ended_key(id)).await? else {
            return Ok(None);
        };
        if EarlyCancel::from_row(&ended.value).is_some_and(|record| !record.is_submitted()) {
            return Ok(None);
        }
        let status = JobStatus::from_ended(&ended.value);
        if status.is_none() {
            log::error!("event=ended_row_unreadable key={}", ended.key);
        }
        Ok(Some(
            status.map_or(StatusOutcome::Unreadable, StatusOutcome::Found),
        ))
    }

    /// Reads a job's submission, or its ended row if it is archived or was cancelled early.
    async fn read_stored(&self, id: &JobId) -> Result<Option<StoredJob>> {
        if let Some(row) = self.read_row(&job_key(id)).await? {
            return Ok(Some(StoredJob::Submitted(row)));
        }
        let Some(row) = self.read_row(&ended_key(id)).await? else {
            return Ok(None);
        };
        let record = EarlyCancel::from_row(&row.value);
        Ok(Some(match record.filter(|record| !record.is_submitted()) {
            Some(record) => StoredJob::Cancelled(row, record),
            None => StoredJob::Ended(row),
        }))
    }

    /// Returns the number of a queue's jobs of which no task has started, unless the published
    /// counts are too old.
    pub async fn pending(&self, queue: &str) -> PendingOutcome {
        // Taken before the row is read: the row is then at least as recent as these counts.
        let Some(counts) = self.counts.published() else {
            log::warn!("event=pending queue={queue} outcome=Unknown reason=\"never counted\"");
            return PendingOutcome::Unknown;
        };
        let unknown = |reason: &str| {
            log::warn!(
                "event=pending queue={queue} outcome=Unknown age_ms={} epoch={} reason={reason:?}",
                counts.age_ms(boot_ms()),
                counts.epoch
            );
            PendingOutcome::Unknown
        };
        if !counts.is_fresh(boot_ms()) {
            return unknown("the counts are too old");
        }
        let key = count_key(queue);
        let rows = match self.table.read(&[&key]).await {
            Ok(rows) => rows,
            Err(error) => return unknown(&error.to_string()),
        };
        let now_ms = boot_ms();
        if !counts.is_fresh(now_ms) {
            return unknown("the counts became too old during the read");
        }
        let Some(count) = counts.count(rows.first()) else {
            return unknown("the count cannot be decoded");
        };
        let row_revision = rows.first().map_or(Revision::new(0), |row| row.revision);
        log::info!(
            "event=pending queue={queue} outcome=Known count={count} age_ms={} epoch={} row_revision={row_revision}",
            counts.age_ms(now_ms),
            counts.epoch
        );
        PendingOutcome::Known(count)
    }

    async fn read_row(&self, key: &str) -> Result<Option<TableRow>> {
        Ok(self.table.read(&[key]).await?.into_iter().next())
    }

    /// Inserts a row unless it exists. After an attempt without an answer the row may exist, so
    /// the outcome is `Unknown` instead of `Refused`.
    async fn insert(&self, insert: &Transaction, deadline: Instant) -> InsertOutcome {
        let mut refusals = 0;
        let mut answer_lost = false;
        loop {
            let answer = match timeout_at(deadline, self.table.transact(insert)).await {
                Ok(answer) => answer,
                Err(_) => return InsertOutcome::Unknown,
            };
            match answer {
                Ok(TransactionOutcome::Committed(_)) => return InsertOutcome::Inserted,
                Ok(TransactionOutcome::Conflict(rows)) => return InsertOutcome::Exists(rows),
                Err(Error::PlatformRefused { status, reason }) => {
                    refusals += 1;
                    if !answer_lost && refusals >= MAX_REFUSED_ATTEMPTS {
                        log::warn!("event=insert_refused status={status} reason={reason:?}");
                        return InsertOutcome::Refused;
                    }
                }
                Err(error) => {
                    answer_lost = true;
                    log::warn!("event=insert_unanswered reason=\"{error}\"");
                }
            }
            if Instant::now() + RETRY_DELAY >= deadline {
                return if answer_lost {
                    InsertOutcome::Unknown
                } else {
                    InsertOutcome::Refused
                };
            }
            sleep(RETRY_DELAY).await;
        }
    }
}

fn unknown_cancel(id: &JobId, reason: &str) -> CancelOutcome {
    log::warn!("event=cancel_unknown job={id} reason={reason:?}");
    CancelOutcome::Unknown
}

/// Returns the outcome of the cancellation of an archived job, which has no effect.
fn cancel_ended(id: &JobId, row: &TableRow, scope: &CallerScope) -> CancelOutcome {
    match is_row_visible(&row.value, scope) {
        Some(true) => CancelOutcome::Accepted,
        Some(false) => CancelOutcome::NoJob,
        None => {
            log::error!("event=owner_unreadable job={id}");
            CancelOutcome::Unknown
        }
    }
}
