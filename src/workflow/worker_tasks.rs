//! The tasks that speak to one worker: its lease and its orders.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::timeout;
use monoio::time::timeout_at;
use monoio::time::Instant;
use tokio::sync::Notify;

use crate::id::WorkerId;
use crate::process::boot_ms;
use crate::process::EntryMetrics;
use crate::workflow::CommandOutcome;
use crate::workflow::CommandRefusal;
use crate::workflow::ControllerTerm;
use crate::workflow::LeaseRenewal;
use crate::workflow::OrderPhase;
use crate::workflow::RenewalOutcome;
use crate::workflow::StartCommand;
use crate::workflow::StopRequest;
use crate::workflow::TaskName;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerGateway;

/// How long a renewal lasts, in ms: a change of the controller takes up to 2 s, one lost
/// call and its repetition 2 s more.
const WORKER_LEASE_MS: u64 = 4_800;

/// How long a worker may wait for an end before it answers a renewal.
const END_WAIT: Duration = Duration::from_millis(900);

/// The pause after an answer while tasks wait for room: ends within it share the next answer.
const GATHER_PAUSE: Duration = Duration::from_millis(20);

/// The pause after an answer while no task waits, so that ends free nothing that is needed.
const CALM_PAUSE: Duration = Duration::from_millis(70);

/// How long the next renewal waits for the commit of the ends in the last answer, since a
/// worker answers at once with ends that aren't acknowledged.
const COMMIT_WAIT: Duration = Duration::from_millis(250);

/// The pause after the first call without an answer; it doubles with each further one.
const SILENCE_PAUSE: Duration = Duration::from_millis(150);

/// The longest pause between calls to a worker that doesn't answer.
const SILENCE_PAUSE_MOST: Duration = Duration::from_millis(1_200);

/// How often a start is sent that gets no answer: where two of five orders get none, one of
/// forty starts has to be stopped and released, which takes seconds.
const START_TRIES: u32 = 4;

/// How often an idle worker's task looks whether there is something to do.
const IDLE_LOOK: Duration = Duration::from_millis(500);

/// Keeps the lease of a worker and takes note of what ends there, for as long as it is known.
pub async fn keep_worker<G: WorkerGateway>(gateway: Rc<G>, term: Rc<ControllerTerm>, id: WorkerId) {
    let wake = term.worker_notifier(&id);
    let mut acknowledged = 0;
    let mut silence_pause = SILENCE_PAUSE;
    while term.is_active() {
        let Some(next) = next_renewal(&term, &id, acknowledged) else {
            break;
        };
        let Some((entry, renewal)) = next else {
            // A missed wake only delays the next look.
            let _ = timeout(IDLE_LOOK, wake.notified()).await;
            continue;
        };
        let asked_ms = boot_ms();
        if let Some(lease_ms) = renewal.lease_ms {
            raise_lease(&term, &id, lease_ms);
        }
        let outcome = gateway.renew_lease(&entry, &renewal).await;
        let pause = if apply_renewal(&term, &id, &outcome, asked_ms) {
            acknowledged = acknowledged.max(renewal.acknowledged);
            silence_pause = SILENCE_PAUSE;
            wait_for_commit(&term, &id, &wake).await;
            if term.engine.borrow().has_waiting_tasks() {
                GATHER_PAUSE
            } else {
                CALM_PAUSE
            }
        } else {
            let pause = silence_pause;
            silence_pause = (pause * 2).min(SILENCE_PAUSE_MOST);
            pause
        };
        sleep(pause).await;
    }
    term.forget_worker(&id);
}

/// Waits until the ends that were applied are durable.
async fn wait_for_commit(term: &ControllerTerm, id: &WorkerId, wake: &Notify) {
    let deadline = Instant::now() + COMMIT_WAIT;
    while term.is_active() && Instant::now() < deadline {
        let settled = {
            let engine = term.engine.borrow();
            let worker = engine.workers.get(id);
            worker.is_none_or(|worker| worker.durable_end >= worker.applied_end)
        };
        if settled {
            return;
        }
        // Without a wake the deadline ends the wait.
        let _ = timeout_at(deadline, wake.notified()).await;
    }
}

/// Returns the next renewal, an inner nothing if none is due, or nothing for an unknown worker.
fn next_renewal(
    term: &ControllerTerm,
    id: &WorkerId,
    acknowledged: u64,
) -> Option<Option<(WorkerEntry, LeaseRenewal)>> {
    let engine = term.engine.borrow();
    let worker = engine.workers.get(id)?;
    let busy = !worker.tasks.is_empty();
    let due = busy || !worker.fenced || worker.durable_end > acknowledged;
    if !due || !term.may_renew() {
        return Some(None);
    }
    let renewal = LeaseRenewal {
        epoch: term.epoch,
        lease_ms: worker.next_lease_ms(WORKER_LEASE_MS, boot_ms()),
        acknowledged: worker.durable_end,
        wait: if busy && worker.fenced && worker.silent_since_ms == 0 {
            END_WAIT
        } else {
            Duration::ZERO
        },
    };
    Some(Some((worker.entry.clone(), renewal)))
}

/// Applies a renewal's outcome; returns whether the worker answered.
fn apply_renewal(
    term: &ControllerTerm,
    id: &WorkerId,
    outcome: &RenewalOutcome,
    asked_ms: u64,
) -> bool {
    let now_ms = boot_ms();
    term.metrics.count("renewal", outcome.name());
    let mut engine = term.engine.borrow_mut();
    let answered = match outcome {
        RenewalOutcome::Report(report) => {
            engine.apply_report(id, report, asked_ms, now_ms);
            true
        }
        RenewalOutcome::Refused(CommandRefusal::Fenced) => {
            term.end("a worker has seen a higher epoch");
            false
        }
        RenewalOutcome::Refused(CommandRefusal::OtherIncarnation) => {
            engine.end_incarnation(id, "another incarnation answers", now_ms);
            false
        }
        RenewalOutcome::Refused(_) | RenewalOutcome::Unknown(_) => {
            if let Some(worker) = engine.workers.get_mut(id) {
                worker.note_silence(now_ms);
            }
            log::warn!("event=worker_silent worker={id} outcome={outcome:?}");
            false
        }
    };
    term.plan.notify_one();
    answered
}

fn raise_lease(term: &ControllerTerm, id: &WorkerId, lease_ms: u64) {
    if let Some(worker) = term.engine.borrow_mut().workers.get_mut(id) {
        worker.lease_ms = worker.lease_ms.max(lease_ms);
    }
}

/// Sends a task's start, unless it is not wanted any more.
pub async fn send_start<G: WorkerGateway>(
    gateway: Rc<G>,
    term: Rc<ControllerTerm>,
    task: TaskName,
) {
    let Some((entry, order)) = prepare_start(&term, &task) else {
        return;
    };
    let (run, worker, epoch) = (order.run, &entry.id, order.epoch);
    let mut tries = 0;
    let outcome = loop {
        let outcome = gateway.start_task(&entry, &order).await;
        tries += 1;
        log::info!(
            "event=task_start task={task} run={run} worker={worker} epoch={epoch} try={tries} outcome={outcome:?}"
        );
        let unknown = matches!(outcome, CommandOutcome::Unknown(_));
        if !unknown || tries == START_TRIES || !is_wanted(&term, &task, run) {
            break settle_tries(outcome, tries);
        }
    };
    if outcome == CommandOutcome::Refused(CommandRefusal::Fenced) {
        term.end("a worker has seen a higher epoch");
        return;
    }
    count_start(&term, &task, run, &outcome);
    let mut engine = term.engine.borrow_mut();
    engine.apply_start(&task, run, &outcome, boot_ms());
    drop(engine);
    term.worker_notifier(worker).notify_one();
    term.plan.notify_one();
}

/// Tells whether a start that got no answer may be sent again as it was: the same run starts
/// once on its worker, however often it is ordered. A later end of the lease would keep the
/// tasks of a lost worker longer.
fn is_wanted(term: &ControllerTerm, task: &TaskName, run: u64) -> bool {
    let engine = term.engine.borrow();
    let job = engine.jobs.get(&task.job);
    let state = job.and_then(|job| job.task(task));
    let Some(state) = state.filter(|state| state.last_run == run) else {
        return false;
    };
    let worker = state.worker().and_then(|id| engine.workers.get(id));
    let stays = worker.is_some_and(|worker| !worker.is_leaving());
    state.order() == Some(OrderPhase::Sent) && stays && term.may_renew()
}

/// Returns what is known of a start after its last try: an earlier try without an answer may
/// have been carried out or may yet be, so that only an acceptance tells more.
fn settle_tries(last: CommandOutcome, tries: u32) -> CommandOutcome {
    match last {
        CommandOutcome::Accepted(_) => last,
        CommandOutcome::Refused(CommandRefusal::Fenced) => last,
        _ if tries == 1 => last,
        other => CommandOutcome::Unknown(format!("{} after earlier tries", other.name())),
    }
}

fn count_start(term: &ControllerTerm, task: &TaskName, run: u64, outcome: &CommandOutcome) {
    term.metrics.count("start", outcome.name());
    let engine = term.engine.borrow();
    let job = engine.jobs.get(&task.job);
    if let (1, Some(job)) = (run, job) {
        let waited_ms = boot_ms().saturating_sub(job.seen_ms);
        let time = Duration::from_millis(waited_ms);
        EntryMetrics::observe(&term.metrics.start_seconds, time);
    }
}

fn prepare_start(term: &ControllerTerm, task: &TaskName) -> Option<(WorkerEntry, StartCommand)> {
    if !term.is_active() {
        return None;
    }
    let now_ms = boot_ms();
    let mut engine = term.engine.borrow_mut();
    let engine = &mut *engine;
    let job = engine.jobs.get_mut(&task.job)?;
    let spec = Rc::clone(&job.spec);
    let state = job.task_mut(task)?;
    if state.order() != Some(OrderPhase::Committing) {
        return None;
    }
    let worker = state
        .worker()
        .and_then(|worker| engine.workers.get_mut(worker));
    let ready = worker.filter(|worker| worker.takes_tasks(now_ms));
    let clocked = ready.and_then(|worker| Some((worker.clock_ms(now_ms)?, worker)));
    let Some((clock_ms, worker)) = clocked else {
        log::info!("event=start_withdrawn task={task} reason=\"the worker is not ready\"");
        engine.release_task(task);
        return None;
    };
    let lease_ms = clock_ms + WORKER_LEASE_MS;
    worker.lease_ms = worker.lease_ms.max(lease_ms);
    let entry = worker.entry.clone();
    let order = StartCommand {
        task: task.clone(),
        run: state.last_run,
        payload: spec.payload.clone(),
        lease_ms,
        epoch: term.epoch,
        checkpoint: state.checkpoint.clone(),
    };
    state.set_order(OrderPhase::Sent);
    Some((entry, order))
}

/// Sends a stop.
pub async fn send_stop<G: WorkerGateway>(
    gateway: Rc<G>,
    term: Rc<ControllerTerm>,
    request: StopRequest,
) {
    let entry = {
        let engine = term.engine.borrow();
        engine
            .workers
            .get(&request.worker)
            .map(|worker| worker.entry.clone())
    };
    let Some(entry) = entry else {
        return;
    };
    let StopRequest {
        worker,
        task,
        run,
        reason,
    } = &request;
    let outcome = gateway.stop_task(&entry, task, *run, term.epoch).await;
    log::info!(
        "event=task_stop task={task} run={run} worker={worker} reason={reason:?} outcome={outcome:?}"
    );
    term.metrics.count("stop", outcome.name());
    if !matches!(outcome, CommandOutcome::Accepted(_)) {
        sleep(SILENCE_PAUSE).await;
    }
    let mut engine = term.engine.borrow_mut();
    engine.apply_stop(&request, &outcome, boot_ms());
    drop(engine);
    term.worker_notifier(worker).notify_one();
    term.plan.notify_one();
}
