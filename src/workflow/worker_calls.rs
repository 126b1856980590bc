//! Calls to one worker: lease renewals, starts and stops.

use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::future::select;
use futures::future::Either;
use monoio::time::sleep;
use monoio::time::timeout_at;
use monoio::time::Instant;
use tokio::sync::Notify;

use crate::id::IncarnationStart;
use crate::id::WorkerId;
use crate::process::boot_ms;
use crate::process::EntryMetrics;
use crate::workflow::worker_state::WORKER_LEASE_MS;
use crate::workflow::CommandOutcome;
use crate::workflow::CommandPhase;
use crate::workflow::CommandRefusal;
use crate::workflow::ControllerTerm;
use crate::workflow::CrashEvidence;
use crate::workflow::JobEngine;
use crate::workflow::LeaseRenewal;
use crate::workflow::RenewalOutcome;
use crate::workflow::StartCommand;
use crate::workflow::StopRequest;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::WorkKind;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerGateway;

/// How long a worker may wait for a task end before it answers a renewal.
const LONG_POLL_WAIT: Duration = Duration::from_millis(900);

/// The pause after an answer while tasks wait for capacity. Task ends within it share the next
/// answer.
const BATCH_PAUSE: Duration = Duration::from_millis(20);

/// The pause after an answer while no task waits for capacity. It is longer than [`BATCH_PAUSE`],
/// because freed capacity is not needed at once.
const IDLE_PAUSE: Duration = Duration::from_millis(70);

/// How long the next renewal waits for the commit of the ends in the last answer, because a
/// worker answers at once while it has unacknowledged ends.
const COMMIT_WAIT: Duration = Duration::from_millis(250);

/// The pause after the first unanswered call; it doubles with each further one.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// The limit on the pause between calls to an unresponsive worker.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(1_200);

/// The limit on the pause between calls to a worker that refuses the epoch of a confirmed lease. It
/// mostly goes on until the worker's host is restarted.
const MAX_FENCED_PAUSE: Duration = Duration::from_secs(5);

/// The limit on attempts of a start command. If 40% of the calls get no answer, 1 in 40 starts is
/// still unanswered after these attempts. Such a run must be stopped and released, which takes
/// seconds.
const MAX_START_ATTEMPTS: u32 = 4;

/// Renews a worker's lease and applies its reports until the worker is removed or the term ends.
pub async fn maintain_worker_lease<G: WorkerGateway>(
    gateway: Rc<G>,
    term: Rc<ControllerTerm>,
    id: WorkerId,
) {
    let wake = term.worker_notifier(&id);
    let mut retry_pause = RETRY_PAUSE;
    while term.is_active() {
        let Some(next) = next_renewal(&term, &id) else {
            break;
        };
        let Some((entry, renewal)) = next else {
            term.engine.borrow_mut().record_next_renewal(&id, None);
            // The planner looks for workers that have become due.
            wake.notified().await;
            continue;
        };
        let sent_ms = boot_ms();
        let start = term.engine.borrow().incarnation_start(&id);
        if let Some(lease_end_ms) = renewal.lease_end_ms {
            extend_lease(&term, &id, lease_end_ms);
        }
        term.engine.borrow_mut().record_next_renewal(&id, None);
        term.work.add(WorkKind::Renewals, 1);
        let call = gateway.renew_lease(&entry, &renewal);
        let raised = wait_for_epoch(&term, &id, renewal.epoch);
        let outcome = match select(pin!(call), pin!(raised)).await {
            Either::Left((outcome, _)) => outcome,
            // The next incarnation is called without waiting for an answer of the last one.
            Either::Right(_) => continue,
        };
        let pause = if apply_renewal(&term, &id, &outcome, (renewal.epoch, sent_ms)) {
            record_acknowledged(&term, &id, start, renewal.acknowledged);
            retry_pause = RETRY_PAUSE;
            wait_for_commit(&term, &id, &wake).await;
            report_pause(&term, &id)
        } else {
            let max_pause = match outcome {
                RenewalOutcome::Refused(CommandRefusal::Fenced) => MAX_FENCED_PAUSE,
                _ => MAX_RETRY_PAUSE,
            };
            let pause = retry_pause.min(max_pause);
            retry_pause = pause * 2;
            pause
        };
        let pause = term.lag.lengthen(pause);
        let due_ms = boot_ms() + pause.as_millis() as u64;
        term.engine
            .borrow_mut()
            .record_next_renewal(&id, Some(due_ms));
        let raised = wait_for_epoch(&term, &id, renewal.epoch);
        select(pin!(sleep(pause)), pin!(raised)).await;
    }
    term.end_maintenance(&id);
}

/// Waits until calls to a worker bear another epoch than `epoch`, because it has started again.
async fn wait_for_epoch(term: &ControllerTerm, id: &WorkerId, epoch: u64) {
    while term.engine.borrow().worker_epoch(id) == epoch {
        term.epoch_raised.notified().await;
    }
}

/// Returns the pause after a report. A worker with ends that can't be acknowledged answers at once, with
/// all of them.
fn report_pause(term: &ControllerTerm, id: &WorkerId) -> Duration {
    let engine = term.engine.borrow();
    let worker = engine.workers.get(id);
    if worker.is_some_and(|worker| worker.held_ends > 0) {
        return RETRY_PAUSE;
    }
    match engine.has_waiting_tasks() {
        true => BATCH_PAUSE,
        false => IDLE_PAUSE,
    }
}

/// Records the last task end that a worker has discarded. A worker that has started again since
/// the renewal was sent counts its ends anew.
fn record_acknowledged(
    term: &ControllerTerm,
    id: &WorkerId,
    start: Option<IncarnationStart>,
    acknowledged: u64,
) {
    let mut engine = term.engine.borrow_mut();
    if engine.incarnation_start(id) != start {
        return;
    }
    if let Some(worker) = engine.workers.get_mut(id) {
        worker.acknowledged_end = worker.acknowledged_end.max(acknowledged);
    }
}

/// Waits until the applied task ends are durable, for `COMMIT_WAIT` at most.
async fn wait_for_commit(term: &ControllerTerm, id: &WorkerId, wake: &Notify) {
    let deadline = Instant::now() + COMMIT_WAIT;
    while term.is_active() && Instant::now() < deadline {
        let durable = {
            let engine = term.engine.borrow();
            let worker = engine.workers.get(id);
            worker.is_none_or(|worker| worker.durable_end >= worker.applied_end)
        };
        if durable {
            return;
        }
        // Without a notification the deadline ends the wait.
        let _ = timeout_at(deadline, wake.notified()).await;
    }
}

/// Returns the next renewal, `Some(None)` if none is due, or `None` for an unknown worker.
fn next_renewal(
    term: &ControllerTerm,
    id: &WorkerId,
) -> Option<Option<(Rc<WorkerEntry>, LeaseRenewal)>> {
    let engine = term.engine.borrow();
    let worker = engine.workers.get(id)?;
    let busy = !worker.tasks.is_empty();
    if !worker.is_renewal_due(boot_ms()) || !term.may_renew() {
        return Some(None);
    }
    // Tasks of an earlier incarnation, those on trial and long-running ones whose start may not have come
    // wait for the next report, not for an end.
    let may_wait = busy
        && worker.has_accepted_epoch
        && worker.unresponsive_since_ms == 0
        && !worker.has_carried_tasks()
        && !engine.has_unsettled_long_tasks(worker)
        && !engine.is_trial_worker(id);
    let renewal = LeaseRenewal {
        epoch: engine.worker_epoch(id),
        lease_end_ms: match engine.has_given_up(id) {
            true => None,
            false => worker.next_lease_end_ms(WORKER_LEASE_MS, boot_ms()),
        },
        acknowledged: worker.durable_end,
        wait: if may_wait {
            LONG_POLL_WAIT
        } else {
            Duration::ZERO
        },
    };
    Some(Some((Rc::clone(&worker.entry), renewal)))
}

/// Applies the outcome of a renewal that bore `epoch` and was sent at `sent_ms`; returns whether the worker
/// sent a report.
fn apply_renewal(
    term: &ControllerTerm,
    id: &WorkerId,
    outcome: &RenewalOutcome,
    (epoch, sent_ms): (u64, u64),
) -> bool {
    let now_ms = boot_ms();
    term.metrics.count("renewal", outcome.name());
    let mut engine = term.engine.borrow_mut();
    let answered = match outcome {
        RenewalOutcome::Report(report) => {
            let applied_end =
                |engine: &JobEngine| engine.workers.get(id).map(|one| one.applied_end);
            let before = applied_end(&engine);
            let applied = engine.apply_report_to(id, report, epoch, sent_ms, now_ms);
            if let (Some(before), Some(after)) = (before, applied_end(&engine)) {
                term.work.add(WorkKind::Ends, after.saturating_sub(before));
            }
            if !applied {
                log::info!("event=report_ignored worker={id}");
            }
            applied
        }
        RenewalOutcome::Refused(CommandRefusal::Fenced) => {
            if engine.worker_epoch(id) == epoch {
                term.doubt_lease(id);
            }
            if let Some(worker) = engine.workers.get_mut(id) {
                worker.record_unresponsive(now_ms);
            }
            false
        }
        RenewalOutcome::Refused(CommandRefusal::OtherIncarnation) => {
            engine.crash_worker(id, CrashEvidence::OtherIncarnation, sent_ms, now_ms);
            false
        }
        RenewalOutcome::Refused(_) | RenewalOutcome::Unknown(_) => {
            if let Some(worker) = engine.workers.get_mut(id) {
                worker.record_unresponsive(now_ms);
            }
            if matches!(outcome, RenewalOutcome::Unknown(_)) {
                term.work.add(WorkKind::UnansweredRenewals, 1);
            }
            log::warn!("event=worker_silent worker={id} outcome={outcome:?}");
            false
        }
    };
    if engine.is_epoch_due() {
        term.commit.notify_one();
    }
    term.plan.notify_one();
    answered
}

/// Records the end of a lease before it is requested, because the worker may grant it even if its
/// answer is lost.
fn extend_lease(term: &ControllerTerm, id: &WorkerId, lease_end_ms: u64) {
    if let Some(worker) = term.engine.borrow_mut().workers.get_mut(id) {
        worker.lease_end_ms = worker.lease_end_ms.max(lease_end_ms);
    }
}

/// Sends the start command of a task's run and applies its outcome. No effect if the task is no
/// longer placed for this run; releases the task if its worker does not accept tasks.
pub async fn send_start<G: WorkerGateway>(
    gateway: Rc<G>,
    term: Rc<ControllerTerm>,
    task: TaskName,
    run: u64,
) {
    let mut permit = term.start_permit(&task).await;
    term.wait_for_doubt().await;
    let Some((entry, command)) = prepare_start(&term, &task, run) else {
        return;
    };
    let (worker, epoch) = (&entry.id, command.epoch);
    let target = term.engine.borrow().log_target(&task);
    let mut attempts = 0;
    let outcome = loop {
        term.work.add(WorkKind::Starts, 1);
        let outcome = gateway.start_task(&entry, &command).await;
        attempts += 1;
        log::info!(
            target: target,
            "event=task_start task={task} run={run} worker={worker} epoch={epoch} try={attempts} outcome={outcome:?}"
        );
        drop(permit.take());
        let is_fenced = outcome == CommandOutcome::Refused(CommandRefusal::Fenced);
        // A worker that has started again refuses what was meant for its earlier incarnation.
        if is_fenced && term.engine.borrow().worker_epoch(worker) == epoch {
            term.doubt_lease(worker);
        }
        let unknown = matches!(outcome, CommandOutcome::Unknown(_));
        if !unknown || attempts == MAX_START_ATTEMPTS {
            break resolve_attempts(outcome, attempts);
        }
        permit = term.start_permit(&task).await;
        term.wait_for_doubt().await;
        if !may_resend_start(&term, &task, run) {
            break resolve_attempts(outcome, attempts);
        }
    };
    record_start(&term, &task, run, &outcome);
    let mut engine = term.engine.borrow_mut();
    engine.apply_start(&task, run, &outcome, boot_ms());
    drop(engine);
    term.worker_notifier(worker).notify_one();
    term.plan.notify_one();
}

/// Returns whether an unanswered start may be sent again unchanged. A worker starts a run only
/// once, however often it receives the command. The command's lease is not extended, because the
/// tasks of a lost worker can be released only after its lease has expired.
fn may_resend_start(term: &ControllerTerm, task: &TaskName, run: u64) -> bool {
    let engine = term.engine.borrow();
    let job = engine.jobs.get(&task.job);
    let state = job.and_then(|job| job.task(task));
    let Some(state) = state.filter(|state| state.last_run == run) else {
        return false;
    };
    let worker = state.worker().and_then(|id| engine.workers.get(id));
    let stays = worker.is_some_and(|worker| !worker.is_leaving() && worker.is_within_capacity());
    state.command_phase() == Some(CommandPhase::Sent) && stays && term.may_direct_runs()
}

/// Combines the outcomes of all attempts of a start. An unanswered attempt may have taken
/// effect or may yet do so, so after several attempts only an acceptance is conclusive.
fn resolve_attempts(last: CommandOutcome, attempts: u32) -> CommandOutcome {
    match last {
        CommandOutcome::Accepted(_) => last,
        _ if attempts == 1 => last,
        other => CommandOutcome::Unknown(format!("{} after earlier attempts", other.name())),
    }
}

/// Counts the outcome of a start. For a first run, also observes the time since the job was read.
fn record_start(term: &ControllerTerm, task: &TaskName, run: u64, outcome: &CommandOutcome) {
    term.metrics.count("start", outcome.name());
    let engine = term.engine.borrow();
    let job = engine.jobs.get(&task.job);
    if let (1, Some(job)) = (run, job) {
        let waited_ms = boot_ms().saturating_sub(job.first_read_ms);
        let time = Duration::from_millis(waited_ms);
        EntryMetrics::observe(&term.metrics.start_seconds, time);
    }
}

/// Builds the start command of a newly placed task and marks it as sent. Releases the task and
/// returns `None` if its worker does not accept tasks.
fn prepare_start(
    term: &ControllerTerm,
    task: &TaskName,
    run: u64,
) -> Option<(Rc<WorkerEntry>, StartCommand)> {
    if !term.is_active() {
        return None;
    }
    let now_ms = boot_ms();
    let mut engine = term.engine.borrow_mut();
    let engine = &mut *engine;
    let job = engine.jobs.get_mut(&task.job)?;
    let spec = Rc::clone(&job.spec);
    let state = job.task_mut(task)?;
    if state.command_phase() != Some(CommandPhase::Committing) || state.last_run != run {
        return None;
    }
    // A successor may rely on no start being sent this long after the last confirmation.
    if !term.may_direct_runs() {
        log::info!("event=start_withdrawn task={task} reason=\"the lease is not confirmed\"");
        engine.withdraw_start(task);
        return None;
    }
    let is_list_recent = term.has_recent_worker_list();
    if let Some(reason) = engine.capacity_doubt(task, is_list_recent) {
        log::info!("event=start_withdrawn task={task} reason=\"{reason}\"");
        engine.withdraw_start(task);
        return None;
    }
    let state = engine.jobs.get_mut(&task.job)?.task_mut(task)?;
    let worker = state
        .worker()
        .filter(|worker| !engine.given_up_workers.contains(*worker))
        .and_then(|worker| engine.workers.get_mut(worker));
    let accepting = worker.filter(|worker| worker.accepts_tasks(now_ms));
    let with_clock = accepting.and_then(|worker| Some((worker.clock_ms(now_ms)?, worker)));
    let Some((clock_ms, worker)) = with_clock else {
        log::info!("event=start_withdrawn task={task} reason=\"the worker does not accept tasks\"");
        engine.withdraw_start(task);
        return None;
    };
    let lease_end_ms = clock_ms.saturating_add(WORKER_LEASE_MS);
    let epoch = engine.worker_epochs.get(&worker.entry.id);
    worker.lease_end_ms = worker.lease_end_ms.max(lease_end_ms);
    let entry = Rc::clone(&worker.entry);
    let command = StartCommand {
        task: task.clone(),
        run,
        payload: spec.payload.clone(),
        lease_end_ms,
        epoch,
        checkpoint: state.checkpoint.clone(),
    };
    if let TaskPhase::Placed { since_ms, .. } = &state.phase {
        let waited_ms = now_ms.saturating_sub(*since_ms);
        term.work.add(WorkKind::StartWait, waited_ms);
    }
    state.set_sent(now_ms);
    Some((entry, command))
}

/// Sends a stop command once the lease is confirmed, and applies its outcome. Until then the run
/// counts as one that is being stopped, and an equal request is dropped. Unless the command was
/// accepted, the outcome is applied after a pause, because the command is then sent again.
pub async fn send_stop<G: WorkerGateway>(
    gateway: Rc<G>,
    term: Rc<ControllerTerm>,
    request: StopRequest,
) {
    if !term.wait_to_stop(&request).await {
        return;
    }
    let target = {
        let engine = term.engine.borrow();
        let current = engine.is_current(&request).then_some(&request.worker);
        current.and_then(|id| engine.workers.get(id)).map(|worker| {
            (
                Rc::clone(&worker.entry),
                engine.worker_epoch(&request.worker),
            )
        })
    };
    let Some((entry, epoch)) = target else {
        return;
    };
    let StopRequest {
        worker,
        task,
        run,
        reason,
        ..
    } = &request;
    let outcome = gateway.stop_task(&entry, task, *run, epoch).await;
    let target = term.engine.borrow().log_target(task);
    log::info!(
        target: target,
        "event=task_stop task={task} run={run} worker={worker} reason={reason:?} outcome={outcome:?}"
    );
    term.metrics.count("stop", outcome.name());
    if !matches!(outcome, CommandOutcome::Accepted(_)) {
        sleep(RETRY_PAUSE).await;
    }
    let mut engine = term.engine.borrow_mut();
    engine.apply_stop(&request, &outcome, boot_ms());
    drop(engine);
    term.worker_notifier(worker).notify_one();
    term.plan.notify_one();
}
