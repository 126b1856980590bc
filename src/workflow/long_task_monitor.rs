//! Tells which long-running tasks are without a run, since when and why.
//!
//! Such a task serves its users only while it runs, and it is restarted however it ends. A task that
//! stays without a run is otherwise seen only as a start that is missing from the log.

use std::collections::BTreeMap;

use crate::id::WorkerId;
use crate::workflow::CommandPhase;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::TaskState;
use crate::workflow::WorkerState;

/// Min time between checks, which look at all long-running tasks.
const CHECK_INTERVAL_MS: u64 = 500;

/// The time without a run from which a task is logged: longer than it takes to stop a task, to read
/// of its end and to start it elsewhere.
const LOGGED_WAIT_MS: u64 = 3_000;

/// Min time between log lines.
const LOG_INTERVAL_MS: u64 = 1_000;

/// A long-running task that is not known to run.
#[derive(Clone, Debug, PartialEq)]
pub struct LongTaskWait {
    /// The task that has waited longest.
    pub task: TaskName,
    /// For how long this controller has known of no run, in ms.
    pub waited_ms: u64,
    /// The worker that the task is placed on, if any.
    pub worker: Option<WorkerId>,
    /// What the task waits for.
    pub reason: &'static str,
    /// The number of long-running tasks that are not known to run.
    pub tasks: usize,
}

/// What the regular check of long-running tasks keeps.
#[derive(Clone, Debug, Default)]
pub(crate) struct LongTaskMonitor {
    /// When the tasks were last checked, in ms.
    checked_ms: u64,
    /// When a wait was last logged, in ms.
    logged_ms: u64,
    /// Since when each task is not known to run, in ms.
    since_ms: BTreeMap<TaskName, u64>,
    longest: Option<LongTaskWait>,
}

impl JobEngine {
    /// Returns the long-running task that has been without a run for the longest time, as of the last
    /// check, and logs it if that is long. Tasks that may not start yet don't count.
    pub fn check_long_tasks(&mut self, now_ms: u64) -> Option<&LongTaskWait> {
        if now_ms >= self.long_tasks.checked_ms + CHECK_INTERVAL_MS {
            self.long_tasks.checked_ms = now_ms;
            self.update_long_tasks(now_ms);
            self.log_long_wait(now_ms);
        }
        self.long_tasks.longest.as_ref()
    }

    fn update_long_tasks(&mut self, now_ms: u64) {
        let mut waiting = BTreeMap::new();
        let mut longest: Option<LongTaskWait> = None;
        for (task, worker, reason) in self.waiting_long_tasks() {
            let since_ms = self.long_tasks.since_ms.get(&task);
            let since_ms = since_ms.copied().unwrap_or(now_ms);
            let waited_ms = now_ms.saturating_sub(since_ms);
            let is_longest = longest.as_ref().is_none_or(|one| waited_ms > one.waited_ms);
            if is_longest {
                longest = Some(LongTaskWait {
                    task: task.clone(),
                    waited_ms,
                    worker,
                    reason,
                    tasks: 0,
                });
            }
            waiting.insert(task, since_ms);
        }
        if let Some(longest) = &mut longest {
            longest.tasks = waiting.len();
        }
        self.long_tasks.since_ms = waiting;
        self.long_tasks.longest = longest;
    }

    /// Iterates over the long-running tasks that should run and are not known to, each with its worker
    /// and what it waits for.
    fn waiting_long_tasks(
        &self,
    ) -> impl Iterator<Item = (TaskName, Option<WorkerId>, &'static str)> + '_ {
        let jobs = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        let jobs = jobs.filter(|job| !job.phase.has_ended() && job.is_long_running());
        // The times of a scheduled job are not all due.
        let jobs = jobs.filter(|job| job.spec.schedule.is_none());
        jobs.flat_map(move |job| {
            let names = job.task_names().filter_map(move |name| {
                let is_long_running = job.step(name.step)?.long_running;
                let state = job.task(&name)?;
                let is_due = is_long_running && job.is_step_ready(name.occurrence, name.step);
                let reason = self.wait_reason(&name, state).filter(|_| is_due)?;
                Some((name, state.worker().cloned(), reason))
            });
            names
        })
    }

    /// Returns whether a report of a worker that doesn't list one of its long-running tasks decides what
    /// becomes of it: its start has no answer, or its stop was accepted before it was known to have begun.
    pub(crate) fn has_unsettled_long_tasks(&self, worker: &WorkerState) -> bool {
        let is_unsettled = |name: &TaskName| {
            let state = self.task_state(name);
            state.is_some_and(|state| match state.command_phase() {
                Some(CommandPhase::Unknown(_)) => true,
                Some(CommandPhase::Stopped(_)) => state.started_ms.is_none(),
                _ => false,
            })
        };
        let mut tasks = worker.tasks.iter();
        worker.has_long_running()
            && tasks.any(|name| self.is_long_running(name) && is_unsettled(name))
    }

    /// Returns what a task waits for, or `None` if it is known to run or is done.
    fn wait_reason(&self, name: &TaskName, state: &TaskState) -> Option<&'static str> {
        let command = match &state.phase {
            TaskPhase::Done => return None,
            TaskPhase::Waiting if self.cap_room(&name.job, name.step) == 0 => {
                return Some("its organisation is at its cap");
            }
            TaskPhase::Waiting => return Some("no worker has room for it"),
            TaskPhase::Placed { command, .. } => command,
        };
        let is_silent = |id: &WorkerId| {
            let worker = self.workers.get(id);
            worker.is_none_or(|worker| worker.unresponsive_since_ms > 0)
        };
        match command {
            CommandPhase::Accepted(_) | CommandPhase::Running
                if state.worker().is_some_and(is_silent) =>
            {
                Some("its worker does not answer")
            }
            CommandPhase::Accepted(_) | CommandPhase::Running => None,
            CommandPhase::Committing => Some("its placement is not committed"),
            CommandPhase::Sent => Some("its start is not answered"),
            CommandPhase::Unknown(_) => Some("its start may have been lost"),
            CommandPhase::Inherited(_) => Some("its worker has not reported to this controller"),
            CommandPhase::Stopping => Some("its stop is not answered"),
            CommandPhase::Stopped(_) => Some("its worker has not reported its end"),
        }
    }

    fn log_long_wait(&mut self, now_ms: u64) {
        let Some(wait) = &self.long_tasks.longest else {
            return;
        };
        if wait.waited_ms < LOGGED_WAIT_MS || now_ms < self.long_tasks.logged_ms + LOG_INTERVAL_MS {
            return;
        }
        self.long_tasks.logged_ms = now_ms;
        let (job, task, waited_ms, tasks) =
            (&wait.task.job, &wait.task, wait.waited_ms, wait.tasks);
        let worker = wait.worker.as_ref().map_or("none", WorkerId::as_str);
        log::warn!(
            "event=long_task_waiting job={job} task={task} waited_ms={waited_ms} worker={worker} tasks={tasks} reason=\"{}\"",
            wait.reason
        );
    }
}
