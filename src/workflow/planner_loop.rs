//! Runs placement passes after changes and at regular intervals.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::timeout;
use monoio::time::Instant;

use crate::process::boot_ms;
use crate::process::now_ms;
use crate::workflow::send_stop;
use crate::workflow::ControllerTerm;
use crate::workflow::CrashCounts;
use crate::workflow::FleetView;
use crate::workflow::JobEngine;
use crate::workflow::StopRequest;
use crate::workflow::WorkKind;
use crate::workflow::WorkerGateway;

/// Time after which a pass runs without a notification.
const MAX_PLAN_INTERVAL: Duration = Duration::from_millis(100);

/// Min time between passes. Task ends within it share one pass.
const MIN_PLAN_INTERVAL: Duration = Duration::from_millis(8);

/// Multiple of a pass's duration that is left to other work before the next pass. With many open
/// jobs or workers, passes would otherwise take the processor time that commits and starts need.
const PAUSE_FACTOR: u32 = 16;

/// Lag, or time that starts wait on average, that is logged, in ms: a tenth of a usual task's duration.
const MIN_LOGGED_LAG_MS: u64 = 80;

/// Min time between log lines about the lag, and between values of the work's metrics.
const LAG_LOG_INTERVAL_MS: u64 = 1_000;

/// Min time between looks for expired leases, which compare all workers. Leases last seconds.
const EXPIRY_INTERVAL_MS: u64 = 50;

/// The limit on tasks that are listed by name in the metrics.
const MAX_LISTED_SUSPECTS: usize = 50;

/// Runs placement passes until the term ends.
pub(crate) async fn run_planner<G: WorkerGateway + 'static>(
    gateway: Rc<G>,
    term: Rc<ControllerTerm>,
    view: Rc<FleetView>,
) {
    let mut expired_ms = 0;
    while term.is_active() {
        // A pass after a timeout handles expired leases, stalled tasks and due occurrences.
        let _ = timeout(MAX_PLAN_INTERVAL, term.plan.notified()).await;
        // The end of the term wakes the planner.
        if !term.is_active() {
            return;
        }
        let started = Instant::now();
        term.work.add(WorkKind::Passes, 1);
        for stop in run_pass(&term, &view, &mut expired_ms) {
            monoio::spawn(send_stop(Rc::clone(&gateway), Rc::clone(&term), stop));
        }
        term.wake_due_workers();
        let took = started.elapsed();
        term.work.add(WorkKind::PassTime, took.as_micros() as u64);
        let pause = took * PAUSE_FACTOR;
        let pause = term.lag.lengthen(pause.max(MIN_PLAN_INTERVAL));
        let pause = pause.min(MAX_PLAN_INTERVAL);
        let slept = Instant::now();
        sleep(pause).await;
        term.lag.record(pause, slept.elapsed());
        publish_lag(&term);
        publish_work(&term);
    }
}

/// Publishes how far the controller is behind.
fn publish_lag(term: &ControllerTerm) {
    let lag_ms = term.lag.average().as_millis() as u64;
    term.work.record_lag(lag_ms);
    term.metrics.control_lag_ms.set(lag_ms as i64);
}

/// Publishes what the controller did in the last [`LAG_LOG_INTERVAL_MS`], and logs it if jobs were delayed
/// meanwhile. Starts can wait without a lag, since a controller that is short of processor time pauses for longer.
fn publish_work(term: &ControllerTerm) {
    let Some(work) = term.work.take(LAG_LOG_INTERVAL_MS) else {
        return;
    };
    let (open_jobs, waiting_tasks, renewal_overdue_ms) = {
        let engine = term.engine.borrow();
        let overdue_ms = engine.renewal_overdue_ms(boot_ms());
        let open_jobs = engine.open_jobs.len() as u64;
        (open_jobs, engine.waiting_task_count(), overdue_ms)
    };
    let start_wait_ms = work.mean_start_wait_ms();
    let counts = work.counts.map(|(kind, count)| (kind.as_str(), count));
    let state = [
        ("open_jobs", open_jobs),
        ("waiting_tasks", waiting_tasks),
        ("renewal_overdue_ms", renewal_overdue_ms),
        ("carriers", term.work.carriers()),
    ];
    let mut text = String::new();
    for (name, value) in counts.into_iter().chain(state) {
        term.metrics.set_control_work(name, value);
        text.push_str(&format!(" {name}={value}"));
    }
    if work.max_lag_ms.max(start_wait_ms) >= MIN_LOGGED_LAG_MS {
        let (epoch, lag_ms, covered_ms) = (term.epoch, work.max_lag_ms, work.covered_ms);
        log::warn!("event=control_lag epoch={epoch} lag_ms={lag_ms} covered_ms={covered_ms}{text}");
    }
}

/// Publishes the tasks that may crash their workers, and counts what became of them.
fn publish_suspects(term: &ControllerTerm, engine: &mut JobEngine) {
    let metrics = &term.metrics;
    let CrashCounts {
        crashes,
        given_up,
        cleared,
    } = engine.take_crash_counts();
    for (outcome, times) in [
        ("counted", crashes),
        ("job-given-up", given_up),
        ("suspect-cleared", cleared),
    ] {
        if times > 0 {
            metrics.count_times("crash", outcome, times);
        }
    }
    let count = engine.suspect_count();
    if count == 0 && metrics.suspect_tasks.get() == 0 {
        return;
    }
    metrics.clear_suspects();
    metrics.suspect_tasks.set(count as i64);
    let trial_workers = engine.trial_worker_count() as i64;
    metrics.trial_workers.set(trial_workers);
    for (task, crashes, worker) in engine.suspect_tasks().into_iter().take(MAX_LISTED_SUSPECTS) {
        let worker = worker.map_or("none".to_owned(), |worker| worker.to_string());
        metrics.set_suspect(task.to_string(), worker, crashes);
    }
}

/// Releases lost and stalled tasks, places waiting ones and returns the stop requests to send.
/// `expired_ms` is when leases were last looked at, in ms.
fn run_pass(term: &ControllerTerm, view: &FleetView, expired_ms: &mut u64) -> Vec<StopRequest> {
    let mut engine = term.engine.borrow_mut();
    engine.config = view.config();
    // Until the table counts as unreachable, the configuration is at most two polls old, which is
    // within the 3 s after which a new version must be in force.
    engine.is_config_recent = !view.is_table_unreachable();
    if boot_ms() >= *expired_ms + EXPIRY_INTERVAL_MS {
        *expired_ms = boot_ms();
        engine.expire_workers(boot_ms());
    }
    engine.release_stalled(boot_ms());
    engine.place_tasks(boot_ms(), now_ms());
    term.metrics.open_jobs.set(engine.open_jobs.len() as i64);
    let left_out = engine.left_out_count() as i64;
    term.metrics.left_out_jobs.set(left_out);
    let early_cancels = engine.early_cancels.len() as i64;
    term.metrics.early_cancels.set(early_cancels);
    let health = &engine.fleet_health;
    for (state, count) in &health.counts {
        term.metrics.set_worker_count(state.as_str(), *count);
    }
    for (service, count) in &health.limited {
        term.metrics.set_limited_workers(service, *count);
    }
    term.metrics.slow_workers.set(health.slow_count as i64);
    let wait = engine.check_long_tasks(boot_ms());
    let waited_ms = wait.map_or(0, |wait| wait.waited_ms);
    term.metrics.long_task_wait_ms.set(waited_ms as i64);
    let full_rows = engine.check_full_rows(boot_ms());
    term.metrics.full_row_jobs.set(full_rows as i64);
    publish_suspects(term, &mut engine);
    if engine.has_changes() {
        term.commit.notify_one();
    }
    engine.take_stops()
}
