//! Watches the platform's feeds of jobs and workers and applies their changes to the engine.

use std::collections::HashSet;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use serde_json::Value;

use crate::carrier::CarriedGateway;
use crate::error::Result;
use crate::id::JobId;
use crate::id::Revision;
use crate::process::boot_ms;
use crate::provider::TableRow;
use crate::workflow::engine_log::log_target;
use crate::workflow::intake::job_key::parse_job_key;
use crate::workflow::intake::job_key::JOB_TABLE;
use crate::workflow::intake::job_key::SUBMITTED_FIELD;
use crate::workflow::maintain_worker_lease;
use crate::workflow::ChangeSet;
use crate::workflow::ControllerTerm;
use crate::workflow::EarlyCancel;
use crate::workflow::FeedWait;
use crate::workflow::FleetPlatform;
use crate::workflow::JobEngine;
use crate::workflow::JobSpec;
use crate::workflow::StateReader;
use crate::workflow::TableChange;
use crate::workflow::WorkerChange;
use crate::workflow::WorkerGateway;

/// Delay after a failed poll of a feed: a few round trips to the table.
pub(crate) const FEED_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Delay before the submissions are read in full again because the feed still has no history: their
/// pages may take seconds, and the table's calls are limited.
const REREAD_DELAY: Duration = Duration::from_millis(1_000);

/// Max wait of a poll for submissions. Until it is answered, it is not known whether there are
/// more; the wait is part of the age of the counts of pending jobs. Two more calls a second than
/// with the wait of other feeds, by the controller alone and only while nothing is submitted.
const SUBMISSION_WAIT: Duration = Duration::from_millis(300);

/// Min time between polls of the list of workers, because each worker's heartbeat changes
/// it.
const WORKER_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// Applies the row of a submission, with the job's durable progress if any, or of a cancellation.
/// `table_ms` is the table's time, if known, from which ages follow.
pub(crate) fn apply_job_row(
    engine: &mut JobEngine,
    row: &TableRow,
    progress: Option<&Value>,
    table_ms: Option<u64>,
) {
    let spec = serde_json::from_value::<JobSpec>(row.value.clone());
    match (parse_job_key(&row.key), spec) {
        (Some((id, true)), _) => match EarlyCancel::from_row(&row.value) {
            Some(record) => {
                let age_ms = record.age_ms(table_ms).unwrap_or(0);
                let records = &mut engine.early_cancels;
                records.insert(id, row.revision, age_ms, boot_ms());
            }
            None => engine.cancel_job(&id, boot_ms()),
        },
        (Some((id, false)), Ok(spec)) if spec.is_plausible() => {
            log_job(engine, &id, &spec);
            engine.add_job(id.clone(), spec, progress, boot_ms());
            let submitted_ms = row.value.get(SUBMITTED_FIELD).and_then(Value::as_u64);
            if let (Some(table_ms), Some(submitted_ms)) = (table_ms, submitted_ms) {
                let age_ms = table_ms.saturating_sub(submitted_ms);
                engine.set_job_age(&id, age_ms, boot_ms());
            }
            log_over_rate(engine, &id);
            engine.set_submitted_revision(&id, row.revision);
        }
        _ => log::error!("event=job_unreadable key={}", row.key),
    }
}

/// Logs that a job is placed after others for its organisation's rate.
fn log_over_rate(engine: &JobEngine, id: &JobId) {
    let job = engine.jobs.get(id).filter(|job| job.is_over_rate);
    if let Some(organisation) = job.and_then(|job| job.spec.organisation.as_ref()) {
        log::info!("event=job_over_rate job={id} organisation={organisation}");
    }
}

/// Logs the properties of a job that later log lines refer to by its id.
fn log_job(engine: &JobEngine, id: &JobId, spec: &JobSpec) {
    let config = engine.config.as_ref();
    let queue = config.and_then(|config| config.queue(&spec.queue));
    let service = queue.map_or("unknown", |queue| queue.service.as_str());
    let tasks: u64 = spec.steps.iter().map(|step| u64::from(step.tasks)).sum();
    let long_running = spec.steps.iter().any(|step| step.long_running);
    log::info!(
        target: log_target(long_running),
        "event=job_seen job={id} queue={} service={service} tasks={tasks} occurrences={} long_running={long_running}",
        spec.queue,
        spec.occurrences()
    );
}

/// Watches submissions and cancellations until the term ends.
pub(crate) async fn watch_jobs<P: FleetPlatform>(
    platform: Rc<P>,
    term: Rc<ControllerTerm>,
    mut since: Revision,
) {
    let mut wait = FeedWait::with_max(SUBMISSION_WAIT);
    let mut is_reread = false;
    while term.is_active() {
        if since == Revision::new(0) {
            let add_job = |row: TableRow| {
                let table_ms = platform.clock_ms();
                apply_job_row(&mut term.engine.borrow_mut(), &row, None, table_ms);
            };
            let read_ms = boot_ms();
            let mut reader = StateReader::new(platform.as_ref());
            since = reader.read_table(JOB_TABLE, add_job).await;
            term.record_submissions(read_ms);
            term.plan.notify_one();
        }
        let sent_ms = boot_ms();
        let poll_wait = wait.get();
        let changes = platform.row_changes(JOB_TABLE, since, poll_wait).await;
        wait.record_answer(changes.is_ok());
        let Some((changes, revision)) = accept_changes("jobs", changes, &mut since) else {
            let is_lost = since == Revision::new(0);
            sleep(match is_lost && is_reread {
                true => REREAD_DELAY,
                false => FEED_RETRY_DELAY,
            })
            .await;
            is_reread |= is_lost;
            continue;
        };
        is_reread = false;
        since = revision;
        let mut engine = term.engine.borrow_mut();
        for change in &changes {
            if let TableChange::Written(row) = change {
                apply_job_row(&mut engine, row, None, platform.clock_ms());
            }
        }
        let known_ms = known_until_ms(sent_ms, poll_wait, changes.is_empty());
        term.record_submissions(known_ms);
        if !changes.is_empty() {
            term.plan.notify_one();
        }
    }
}

/// Returns the time up to which all changes are known after the answer to a poll, in ms. The table
/// answers without changes once the wait has passed; otherwise it may have answered at once.
fn known_until_ms(sent_ms: u64, wait: Duration, is_empty: bool) -> u64 {
    let waited_ms = sent_ms + wait.as_millis() as u64;
    match is_empty && boot_ms() >= waited_ms {
        true => waited_ms,
        false => sent_ms,
    }
}

/// Watches the list of workers from `since` until the term ends, and starts to maintain the lease of each
/// worker that is known or new or listed again.
pub(crate) async fn watch_workers<P: FleetPlatform>(
    platform: Rc<P>,
    gateway: Rc<CarriedGateway<P>>,
    term: Rc<ControllerTerm>,
    mut since: Revision,
) {
    let mut wait = FeedWait::new();
    maintain_workers(&gateway, &term);
    while term.is_active() {
        let is_full_list = since == Revision::new(0);
        let changes = platform.worker_changes(since, wait.get()).await;
        wait.record_answer(changes.is_ok());
        let Some((changes, revision)) = accept_changes("workers", changes, &mut since) else {
            sleep(FEED_RETRY_DELAY).await;
            continue;
        };
        since = revision;
        apply_workers(&term, changes, is_full_list);
        term.record_worker_list();
        gateway.update(term.engine.borrow().workers.values(), term.lag.average());
        term.work.set_carriers(gateway.carrier_count());
        maintain_workers(&gateway, &term);
        if term.engine.borrow().is_epoch_due() {
            term.commit.notify_one();
        }
        term.plan.notify_one();
        sleep(WORKER_POLL_INTERVAL).await;
    }
}

/// Starts to maintain the leases of workers that are not maintained.
fn maintain_workers<G: WorkerGateway + 'static>(gateway: &Rc<G>, term: &Rc<ControllerTerm>) {
    for id in term.engine.borrow().workers.keys() {
        if term.begin_maintenance(id) {
            let (gateway, term) = (Rc::clone(gateway), Rc::clone(term));
            monoio::spawn(maintain_worker_lease(gateway, term, id.clone()));
        }
    }
}

/// Applies changes to the list of workers. A full list also unlists the workers that it omits.
fn apply_workers(term: &ControllerTerm, changes: Vec<WorkerChange>, is_full_list: bool) {
    let mut engine = term.engine.borrow_mut();
    if is_full_list {
        let present = changes.iter().filter_map(|change| match change {
            WorkerChange::Present(entry) => Some(&entry.id),
            _ => None,
        });
        let present: HashSet<_> = present.collect();
        let known = engine.workers.keys().filter(|id| !present.contains(id));
        let omitted: Vec<_> = known.cloned().collect();
        for id in omitted {
            engine.unlist_worker(&id);
        }
    }
    for change in changes {
        match change {
            WorkerChange::Present(entry) => engine.set_worker(entry, boot_ms()),
            WorkerChange::Gone(id) => engine.unlist_worker(&id),
            WorkerChange::Unreadable(id) => {
                log::warn!("event=worker_unreadable worker={id}");
                engine.unlist_worker(&id);
            }
        }
    }
}

/// Returns the changes of a feed's answer, and the revision to continue from. If the history is
/// lost, resets `since` so that all rows are read again.
pub(crate) fn accept_changes<T>(
    feed: &str,
    answer: Result<ChangeSet<T>>,
    since: &mut Revision,
) -> Option<(Vec<T>, Revision)> {
    match answer {
        Ok(ChangeSet::Changes(changes, revision)) => Some((changes, revision)),
        Ok(ChangeSet::HistoryLost) => {
            log::warn!("event=history_lost feed={feed} since={since}");
            *since = Revision::new(0);
            None
        }
        Err(error) => {
            log::warn!("event=feed_failed feed={feed} reason=\"{error}\"");
            None
        }
    }
}
