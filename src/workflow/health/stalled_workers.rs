//! Detects workers whose tasks are stalled and moves these tasks to other workers.
//!
//! A worker may stop making progress for seconds, or become several times slower, while it still
//! answers and accepts tasks. Its tasks would then be late. Tasks that run far longer than usual
//! for their queue are therefore restarted elsewhere, unless a task has recently completed on their
//! worker.
//!
//! A task may also just take longer than estimated. Each time that it is stopped, its next run may take twice
//! as long, so that it ends in time that is in proportion to its own, and what becomes of that run tells
//! nothing about the worker. Members of gangs and long-running tasks have no expected duration and are never
//! stopped for it.

use crate::id::WorkerId;
use crate::workflow::health::running_time::RunningTime;
use crate::workflow::health::slow_runs::START_MS;
use crate::workflow::health::slow_runs::STOP_MS;
use crate::workflow::CommandOutcome;
use crate::workflow::CommandRefusal;
use crate::workflow::DistrustCause;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;
use crate::workflow::WorkerState;

/// The age at which a task is overdue, in percent of its expected duration.
const OVERDUE_PERCENT: u64 = 230;

/// The age at which a single task is enough to show a stall, in percent of its expected duration.
const SINGLE_STALL_PERCENT: u64 = 330;

/// The allowance for starting, resuming and reporting a task, added to both ages.
const OVERHEAD_MS: u64 = 600;

/// The number of overdue tasks that show a stalled worker while no task completes on it.
const MIN_OVERDUE_TASKS: usize = 2;

const STALL_CHECK_INTERVAL_MS: u64 = 250;

/// What the running tasks of a worker show.
#[derive(Debug, Default)]
pub(crate) struct FoundStalls {
    /// The tasks to be started elsewhere.
    pub(crate) overdue: Vec<TaskName>,
    /// The worker makes no progress. Otherwise, the tasks may just take long.
    pub(crate) is_worker_stalled: bool,
}

impl JobEngine {
    /// Checks all workers: learns their speeds, quarantines stalled and unstable ones, and stops overdue
    /// tasks, so that these are started elsewhere.
    pub fn release_stalled(&mut self, now_ms: u64) {
        if now_ms < self.fleet_health.checked_ms + STALL_CHECK_INTERVAL_MS {
            return;
        }
        self.fleet_health.checked_ms = now_ms;
        let stalled = self.review_workers(now_ms);
        self.record_long_runs(now_ms);
        self.distrust_unstable(now_ms);
        for (id, found) in stalled {
            if found.is_worker_stalled {
                self.distrust_worker(&id, DistrustCause::Stall, now_ms);
            }
            for name in &found.overdue {
                self.record_stall(name, &id);
                self.request_stop(name, "the task is stalled");
            }
        }
        self.move_slow_runs(now_ms);
        self.count_health(now_ms);
    }

    /// Returns a running task's age and expected duration in ms; `None` for long-running tasks,
    /// members of gangs and queues without enough history.
    pub(crate) fn age_and_expected_ms(&self, name: &TaskName, now_ms: u64) -> Option<(u64, u64)> {
        let job = self.jobs.get(&name.job)?;
        let time = job.running_time(name, &self.durations, now_ms)?;
        time.age_and_expected_ms()
    }

    /// Records that a task failed or stalled on a worker, so that its next run prefers others.
    pub(crate) fn record_failed_on(&mut self, name: &TaskName, worker: &WorkerId) {
        let job = self.jobs.get_mut(&name.job);
        let state = job.and_then(|job| job.task_mut(name));
        if let Some(state) = state.filter(|state| !state.failed_on.contains(worker)) {
            state.failed_on.push(worker.clone());
        }
    }

    /// Records that a run of a task is stopped as stalled.
    fn record_stall(&mut self, name: &TaskName, worker: &WorkerId) {
        self.record_failed_on(name, worker);
        let job = self.jobs.get_mut(&name.job);
        let Some(state) = job.and_then(|job| job.task_mut(name)) else {
            return;
        };
        state.stalls += 1;
        let (run, stalls) = (state.last_run, state.stalls);
        log::info!(
            "event=task_stalled job={} task={name} run={run} worker={worker} stalls={stalls}",
            name.job
        );
    }

    /// Makes a long-running task prefer other workers after its worker has refused it for want of room or as
    /// unhealthy. Reports need not show either, and equal workers are compared in a fixed order, so the next
    /// pass would choose the same one.
    pub(crate) fn avoid_refusing_worker(&mut self, name: &TaskName, outcome: &CommandOutcome) {
        let refusals = [CommandRefusal::NoRoom, CommandRefusal::Unhealthy];
        let is_own_reason =
            matches!(outcome, CommandOutcome::Refused(refusal) if refusals.contains(refusal));
        if !is_own_reason || !self.is_long_running(name) {
            return;
        }
        let state = self.task_state(name);
        if let Some(worker) = state.and_then(|state| state.worker()).cloned() {
            self.record_failed_on(name, &worker);
        }
    }
}

/// Returns what the running tasks of a worker show. `running` holds the times of its tasks, in their order, and
/// is empty if the worker does not answer.
pub(crate) fn find_stalls(
    worker: &WorkerState,
    running: &[Option<RunningTime>],
    now_ms: u64,
) -> FoundStalls {
    // Tasks that ended on a slow worker show that it makes progress.
    let slowdown = worker.health.pace.proven_slowdown();
    let mut overdue = Vec::new();
    let mut outlasting = Vec::new();
    let mut witnesses = 0;
    let mut proves_stall = false;
    for (name, time) in worker.tasks.iter().zip(running) {
        let Some(time) = time else {
            continue;
        };
        let Some((age_ms, expected_ms)) = time.age_and_expected_ms() else {
            continue;
        };
        // A shorter run ends sooner where it is, even if it needs as long again.
        if age_ms < expected_ms + STOP_MS + START_MS {
            continue;
        }
        let expected_ms = slowdown.stretch(expected_ms);
        // A success within the expected duration shows that the worker makes progress.
        if worker.last_success_ms + expected_ms + OVERHEAD_MS > now_ms {
            continue;
        }
        let limit_ms = |percent: u64| expected_ms * percent / 100 + OVERHEAD_MS;
        let is_witness = time.stalls == 0;
        if age_ms > limit_ms(OVERDUE_PERCENT) {
            overdue.push(name.clone());
            witnesses += usize::from(is_witness);
        }
        proves_stall |= is_witness && age_ms > limit_ms(SINGLE_STALL_PERCENT);
        if age_ms
            > time
                .patience()
                .saturating_mul(limit_ms(SINGLE_STALL_PERCENT))
        {
            outlasting.push(name.clone());
        }
    }
    let is_worker_stalled = witnesses >= MIN_OVERDUE_TASKS || proves_stall;
    FoundStalls {
        overdue: match is_worker_stalled {
            true => overdue,
            false => outlasting,
        },
        is_worker_stalled,
    }
}
