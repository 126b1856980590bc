//! Moves ended jobs out of the rows that a takeover loads, and deletes them after their retention
//! period.
//!
//! A move replaces a job's submission and cancellation with a short row in the same partition, in
//! one transaction. The job's progress row is deleted afterwards, with a commit of the lease
//! holder. Therefore:
//!
//! - A successor never reads a submission without its progress, which would run the job again: no
//!   progress row is deleted once the successor holds the lease, and before, the submission is
//!   gone first.
//! - Only a job's durable end is archived, and an end is final. A move is right whoever makes it,
//!   so it need not check the lease, which lies in another partition. It checks the submission's
//!   revision, since the table may carry it out late.
//! - A job has its progress row, its submission or its ended row at any time.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::rc::Rc;
use std::slice::from_ref;
use std::time::Duration;

use monoio::time::sleep;

use crate::error::Result;
use crate::id::JobId;
use crate::id::Revision;
use crate::process::boot_ms;
use crate::provider::RowCheck;
use crate::provider::TableRow;
use crate::provider::TableService;
use crate::provider::Transaction;
use crate::provider::TransactionOutcome;
use crate::workflow::archive::engine_archive::EndedJob;
use crate::workflow::cancel_key;
use crate::workflow::commit::committer::PROGRESS_PREFIX;
use crate::workflow::commit::refused_row::lasting_refusal;
use crate::workflow::ended_key;
use crate::workflow::intake::job_key::job_partition;
use crate::workflow::intake::job_key::parse_job_key;
use crate::workflow::intake::job_key::ENDED_TABLE;
use crate::workflow::intake::job_key::PARTITIONS;
use crate::workflow::job_key;
use crate::workflow::ControllerTerm;
use crate::workflow::EarlyCancel;

/// Time between passes: short against the time that a job stays loaded after its end, yet long
/// enough for one move to take several jobs.
const PASS_INTERVAL: Duration = Duration::from_secs(5);

/// Time between batches. It leaves the table to starts, and lets the deleted progress rows of each
/// batch join a commit that is made anyway.
const BATCH_INTERVAL: Duration = Duration::from_millis(60);

/// Max jobs of one move, which takes four entries each; the platform accepts 100.
const MAX_MOVED_JOBS: usize = 24;

/// Max rows deleted in one transaction; the platform accepts 100.
const MAX_DELETED_ROWS: usize = 90;

/// Max records of early cancellations deleted in one transaction, which takes three entries each.
const MAX_DELETED_RECORDS: usize = 30;

/// Rows of a page of ended jobs: less than 30 KB by their format, which a link of 10 Mbit/s carries
/// in a tenth of a renewal interval of the lease.
const PAGE_ROWS: usize = 200;

/// Max time that a pass waits until the ends of its jobs are durable.
const DURABLE_TIMEOUT: Duration = Duration::from_secs(5);

/// Time after which the move of a job is tried again if the table refused it, in ms. The job stays
/// loaded meanwhile, which costs a takeover few rows.
const REFUSED_PAUSE_MS: u64 = 60_000;

/// Archives the ended jobs of one term of the controller.
pub(crate) struct JobArchiver<T> {
    table: Rc<T>,
    term: Rc<ControllerTerm>,
    /// Partitions whose rows of earlier controllers have yet to be read.
    unread_partitions: VecDeque<char>,
    /// The last key read in the first of them; empty before its first page.
    last_read_key: String,
    /// Jobs with progress rows but without submissions when the term started.
    leftover_progress: VecDeque<JobId>,
    /// When the moves that the table refused may be tried again, in ms.
    refused_until_ms: RefCell<BTreeMap<JobId, u64>>,
}

impl<T: TableService> JobArchiver<T> {
    pub(crate) fn new(table: Rc<T>, term: Rc<ControllerTerm>) -> Self {
        let leftover_progress = term.engine.borrow_mut().take_leftover_progress();
        Self {
            table,
            term,
            unread_partitions: PARTITIONS.chars().collect(),
            last_read_key: String::new(),
            leftover_progress: leftover_progress.into(),
            refused_until_ms: RefCell::default(),
        }
    }

    /// Runs passes until the term ends.
    pub(crate) async fn run(mut self) {
        while self.term.is_active() {
            sleep(PASS_INTERVAL).await;
            if let Err(error) = self.run_pass().await {
                log::warn!("event=archive_postponed reason=\"{error}\"");
            }
        }
    }

    async fn run_pass(&mut self) -> Result<()> {
        self.archive_ended_jobs().await;
        self.delete_expired_rows().await?;
        self.delete_early_cancels().await?;
        self.read_ended_rows().await?;
        self.delete_leftover_progress().await;
        Ok(())
    }

    async fn archive_ended_jobs(&self) {
        let mut due = self.term.engine.borrow().archivable_jobs(boot_ms());
        due.retain(|job| !self.is_set_aside(&job.id));
        if due.is_empty() || !self.term.wait_until_durable(DURABLE_TIMEOUT).await {
            return;
        }
        due.retain(|job| !self.term.engine.borrow().is_unsaved(&job.id));
        for (partition, jobs) in by_partition(due, |job| &job.id) {
            // The table may be out in part, so the other partitions go on.
            if let Err(error) = self.archive_partition(&jobs).await {
                log::warn!("event=archive_postponed partition={partition} reason=\"{error}\"");
            }
        }
    }

    async fn archive_partition(&self, jobs: &[EndedJob]) -> Result<()> {
        for batch in jobs.chunks(MAX_MOVED_JOBS) {
            if !self.term.is_active() {
                return Ok(());
            }
            self.archive_batch(batch).await?;
            sleep(BATCH_INTERVAL).await;
        }
        Ok(())
    }

    /// Moves jobs of one partition, and sets those aside whose moves the table refuses.
    async fn archive_batch(&self, batch: &[EndedJob]) -> Result<()> {
        let Err(error) = self.move_jobs(batch).await else {
            return Ok(());
        };
        let (status, reason) = lasting_refusal(error)?;
        if let [job] = batch {
            self.set_aside(&job.id, status, &reason);
            return Ok(());
        }
        for job in batch {
            sleep(BATCH_INTERVAL).await;
            if let Err(error) = self.move_jobs(from_ref(job)).await {
                let (status, reason) = lasting_refusal(error)?;
                self.set_aside(&job.id, status, &reason);
            }
        }
        Ok(())
    }

    fn set_aside(&self, id: &JobId, status: u16, reason: &str) {
        log::error!("event=archive_refused job={id} status={status} reason={reason:?}");
        let mut refused = self.refused_until_ms.borrow_mut();
        refused.insert(id.clone(), boot_ms() + REFUSED_PAUSE_MS);
    }

    fn is_set_aside(&self, id: &JobId) -> bool {
        let refused = self.refused_until_ms.borrow();
        let until_ms = refused.get(id);
        until_ms.is_some_and(|until_ms| boot_ms() < *until_ms)
    }

    /// Moves jobs of one partition in one transaction.
    async fn move_jobs(&self, batch: &[EndedJob]) -> Result<()> {
        let mut moves = Transaction::new();
        for job in batch {
            moves = moves
                .with_check(job_key(&job.id), job.submitted_revision)
                .with_delete(job_key(&job.id))
                .with_delete(cancel_key(&job.id))
                .with_write(ended_key(&job.id), job.status.to_ended());
        }
        match self.table.transact(&moves).await? {
            TransactionOutcome::Committed(_) => {
                batch.iter().for_each(|job| self.record_archived(&job.id));
            }
            TransactionOutcome::Conflict(_) => {
                for job in batch {
                    self.resolve_conflict(job).await?;
                }
            }
        }
        Ok(())
    }

    /// Finds out whether a job of a conflicting batch was moved before, by an attempt without an
    /// answer or by an earlier controller. The next pass moves it otherwise.
    async fn resolve_conflict(&self, job: &EndedJob) -> Result<()> {
        let rows = self.table.read(&[&job_key(&job.id)]).await?;
        match rows.first() {
            None => self.record_archived(&job.id),
            Some(row) if row.revision != job.submitted_revision => {
                log::error!(
                    "event=submission_rewritten job={} revision={}",
                    job.id,
                    row.revision
                );
                let mut engine = self.term.engine.borrow_mut();
                engine.set_submitted_revision(&job.id, row.revision);
            }
            Some(_) => {}
        }
        Ok(())
    }

    fn record_archived(&self, id: &JobId) {
        let now_ms = boot_ms();
        self.term.engine.borrow_mut().archive_job(id, now_ms);
        self.refused_until_ms.borrow_mut().remove(id);
        self.delete_progress(id);
    }

    fn delete_progress(&self, id: &JobId) {
        self.term.queue_deletion(format!("{PROGRESS_PREFIX}{id}"));
    }

    async fn delete_expired_rows(&self) -> Result<()> {
        let expired = self.term.engine.borrow().archived.expired(boot_ms());
        for ids in by_partition(expired, |id| id).values() {
            for batch in ids.chunks(MAX_DELETED_ROWS) {
                if !self.term.is_active() {
                    return Ok(());
                }
                let delete = |deletions: Transaction, id| deletions.with_delete(ended_key(id));
                let deletions = batch.iter().fold(Transaction::new(), delete);
                if let Err(error) = self.table.transact(&deletions).await {
                    // A successor reads the rows and tries again.
                    let (status, reason) = lasting_refusal(error)?;
                    let rows = batch.len();
                    log::error!(
                        "event=archive_refused deletions={rows} status={status} reason={reason:?}"
                    );
                }
                self.record_deleted(batch);
                sleep(BATCH_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Deletes the records of early cancellations whose time is over.
    async fn delete_early_cancels(&self) -> Result<()> {
        let expired = self.term.engine.borrow().early_cancels.expired(boot_ms());
        for records in by_partition(expired, |(id, _)| id).values() {
            for batch in records.chunks(MAX_DELETED_RECORDS) {
                if !self.term.is_active() {
                    return Ok(());
                }
                self.delete_records(batch).await?;
                sleep(BATCH_INTERVAL).await;
            }
        }
        Ok(())
    }

    /// Deletes records that still have their revisions: a job of another organisation, or a newer record,
    /// may have replaced them.
    async fn delete_records(&self, batch: &[(JobId, Revision)]) -> Result<()> {
        let deletions = batch
            .iter()
            .fold(Transaction::new(), |rows, (id, revision)| {
                EarlyCancel::delete(rows, id).with_check(cancel_key(id), *revision)
            });
        let replaced = match self.table.transact(&deletions).await {
            Ok(TransactionOutcome::Committed(_)) => None,
            Ok(TransactionOutcome::Conflict(rows)) => Some(rows),
            Err(error) => {
                // A successor reads the rows and tries again.
                let (status, reason) = lasting_refusal(error)?;
                let rows = batch.len();
                log::error!(
                    "event=archive_refused deletions={rows} status={status} reason={reason:?}"
                );
                None
            }
        };
        let mut engine = self.term.engine.borrow_mut();
        let mut removed = 0;
        for (id, revision) in batch {
            let key = cancel_key(id);
            let is_gone = |rows: &Vec<RowCheck>| rows.iter().any(|row| row.key == key);
            if replaced.as_ref().is_none_or(is_gone) {
                engine.early_cancels.remove(id, *revision);
                removed += 1;
            }
        }
        let left = engine.early_cancels.len();
        log::info!("event=early_cancels_removed removed={removed} left={left}");
        Ok(())
    }

    /// Reads the rows that earlier controllers wrote, once, so that they are deleted in time.
    async fn read_ended_rows(&mut self) -> Result<()> {
        while let Some(partition) = self.unread_partitions.front() {
            if !self.term.is_active() {
                return Ok(());
            }
            let prefix = format!("{ENDED_TABLE}{partition}/");
            let page = self.table.scan(&prefix, &self.last_read_key, PAGE_ROWS);
            let rows = match page.await.map_err(lasting_refusal) {
                Ok(rows) => rows,
                Err(Ok((status, reason))) => {
                    log::error!(
                        "event=archive_refused prefix={prefix} status={status} reason={reason:?}"
                    );
                    self.unread_partitions.pop_front();
                    self.last_read_key.clear();
                    continue;
                }
                Err(Err(error)) => return Err(error),
            };
            match rows.last() {
                Some(last) => self.last_read_key.clone_from(&last.key),
                None => {
                    self.unread_partitions.pop_front();
                    self.last_read_key.clear();
                }
            }
            self.record_read(&rows);
            sleep(BATCH_INTERVAL).await;
        }
        Ok(())
    }

    /// Adds the jobs of rows that earlier controllers wrote.
    fn record_read(&self, rows: &[TableRow]) {
        let mut engine = self.term.engine.borrow_mut();
        for row in rows {
            match parse_job_key(&row.key) {
                // Its row beside the submissions tells of it.
                Some((_, false)) if EarlyCancel::from_row(&row.value).is_some() => {}
                Some((id, false)) => engine.archived.insert(id, boot_ms()),
                _ => log::warn!("event=ended_row_unreadable key={}", row.key),
            }
        }
    }

    fn record_deleted(&self, ids: &[JobId]) {
        let mut engine = self.term.engine.borrow_mut();
        ids.iter().for_each(|id| engine.archived.remove(id));
    }

    /// Deletes the progress rows of jobs that earlier controllers moved without coming to this
    /// step. A submission that exists but can't be read keeps its progress.
    async fn delete_leftover_progress(&mut self) {
        for _ in 0..self.leftover_progress.len() {
            let Some(id) = self.leftover_progress.pop_front() else {
                return;
            };
            match self.table.read(&[&job_key(&id)]).await {
                Ok(rows) if rows.is_empty() => self.delete_progress(&id),
                Ok(_) => log::error!("event=progress_of_unread_job job={id}"),
                Err(error) => {
                    log::warn!("event=leftover_progress_kept job={id} reason=\"{error}\"");
                    self.leftover_progress.push_back(id);
                }
            }
        }
    }
}

/// Groups items by the partition of their job's rows, since a transaction is limited to one.
fn by_partition<I>(items: Vec<I>, id: impl Fn(&I) -> &JobId) -> BTreeMap<String, Vec<I>> {
    let mut groups: BTreeMap<String, Vec<I>> = BTreeMap::new();
    for item in items {
        let partition = job_partition(id(&item)).to_owned();
        groups.entry(partition).or_default().push(item);
    }
    groups
}
