//! Simulation of the tasks on the platform's workers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::Revision;
use crate::id::TaskId;
use crate::job::JobSize;
use crate::provider::TaskAction;
use crate::provider::TaskChanges;
use crate::provider::TaskCommand;
use crate::provider::TaskLease;
use crate::provider::TaskReport;
use crate::provider::TaskStart;
use crate::provider::TaskState;

/// The delay after a task's start before its resource usage is reported.
const USAGE_LAG: Duration = Duration::from_millis(200);
/// The time until a task fails on a worker that fails every task.
const FAILING_WORKER_RUN_TIME: Duration = Duration::from_millis(20);
/// The run time of a task whose work does not specify one.
const DEFAULT_RUN_MS: u64 = 100;

/// The simulated work of a task, decoded from [`TaskStart::work`].
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct TaskWork {
    /// The run time, in milliseconds.
    run_ms: Option<u64>,
    /// Whether the task ends with an error.
    fails: bool,
    /// The resources that the task uses, if different from those allotted.
    uses: Option<JobSize>,
}

/// A task with its simulated work and its current report.
#[derive(Clone, Debug)]
struct SimulatedTask {
    report: TaskReport,
    work: TaskWork,
    /// The resources of the start command, reported as usage unless the work specifies others.
    allotted: JobSize,
    lease_name: String,
    /// The progress of earlier runs, in milliseconds of work.
    resume_ms: u64,
    started: Instant,
    /// The revision of the task list at the last change of the report.
    changed_revision: u64,
}

/// Simulates tasks by elapsed time only; no work is done.
#[derive(Debug, Default)]
pub(super) struct TaskSimulator {
    revision: u64,
    tasks: BTreeMap<TaskId, SimulatedTask>,
    /// The end of each lease, by name.
    leases: BTreeMap<String, Instant>,
    /// The started tasks, in order of their start.
    starts: Vec<TaskId>,
}

impl TaskSimulator {
    /// Acquires or renews a lease.
    pub(super) fn renew_lease(&mut self, lease: TaskLease, now: Instant) {
        let lease_end = now + Duration::from_millis(lease.hold_ms);
        self.leases.insert(lease.lease, lease_end);
    }

    /// Expires every lease.
    pub(super) fn end_leases(&mut self) {
        self.leases.clear();
    }

    /// Applies a command for a task; a task starts only if `worker_up` is set and its lease is
    /// valid.
    pub(super) fn apply_command(&mut self, command: TaskCommand, worker_up: bool, now: Instant) {
        let exists = self.tasks.contains_key(&command.task);
        match command.action {
            TaskAction::Start(start) if !exists => {
                self.start(command.task, command.host, start, worker_up, now);
            }
            TaskAction::Start(_) => {}
            TaskAction::Checkpoint if exists => self.stop(&command.task, true, now),
            TaskAction::Stop if exists => self.stop(&command.task, false, now),
            TaskAction::Checkpoint | TaskAction::Stop => {
                // A start command that arrives after this one must have no effect.
                let work = TaskWork::default();
                let state = TaskState::NeverStarted;
                self.insert(command.task, command.host, state, work, None, now);
            }
        }
    }

    fn start(
        &mut self,
        task: TaskId,
        host: HostId,
        start: TaskStart,
        worker_up: bool,
        now: Instant,
    ) {
        let lease_valid = self
            .leases
            .get(&start.lease)
            .is_some_and(|lease_end| *lease_end > now);
        let state = match worker_up && lease_valid {
            true => TaskState::Running,
            false => TaskState::NeverStarted,
        };
        if state == TaskState::Running {
            self.starts.push(task.clone());
        }
        let work = serde_json::from_str(&start.work).unwrap_or_default();
        self.insert(task, host, state, work, Some(start), now);
    }

    fn insert(
        &mut self,
        task: TaskId,
        host: HostId,
        state: TaskState,
        work: TaskWork,
        start: Option<TaskStart>,
        now: Instant,
    ) {
        self.revision += 1;
        let resume_ms = start.as_ref().map_or(0, |start| start.resume_ms);
        let entry = SimulatedTask {
            report: TaskReport {
                task: task.clone(),
                host,
                state,
                saved_ms: resume_ms,
                ran_ms: 0,
                usage: None,
            },
            work,
            allotted: start
                .as_ref()
                .map_or_else(JobSize::default, |start| start.size),
            lease_name: start.map_or_else(String::new, |start| start.lease),
            resume_ms,
            started: now,
            changed_revision: self.revision,
        };
        self.tasks.insert(task, entry);
    }

    fn stop(&mut self, task: &TaskId, save: bool, now: Instant) {
        let Some(task) = self.tasks.get_mut(task) else {
            return;
        };
        if task.report.state != TaskState::Running {
            return;
        }
        self.revision += 1;
        task.end(TaskState::Stopped, now, self.revision);
        if save {
            task.report.saved_ms = task.resume_ms + task.report.ran_ms;
        }
    }

    /// Advances every running task to `now`; tasks lapse if their host is not up or their lease has
    /// expired.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        is_up: impl Fn(&HostId) -> bool,
        bad_workers: &BTreeSet<HostId>,
    ) {
        let running = self.tasks.values_mut();
        for task in running.filter(|task| task.report.state == TaskState::Running) {
            // A task without a known lease lapses, unless its work ended before `now`.
            let lease_end = self.leases.get(&task.lease_name).copied().unwrap_or(now);
            let failing = bad_workers.contains(&task.report.host);
            let end = task.natural_end(failing);
            // A lease that expired after the end of the work does not affect the task.
            let state = match () {
                () if !is_up(&task.report.host) || (lease_end <= now && lease_end <= end) => {
                    TaskState::Lapsed
                }
                () if end > now => {
                    if task.report.usage.is_none() && now - task.started >= USAGE_LAG {
                        self.revision += 1;
                        task.changed_revision = self.revision;
                        task.report.usage = Some(task.peak_usage());
                    }
                    continue;
                }
                () if failing => TaskState::Failed("the worker is broken".to_owned()),
                () if task.work.fails => TaskState::Failed("the work cannot be done".to_owned()),
                () => TaskState::Finished,
            };
            self.revision += 1;
            task.report.usage = Some(task.peak_usage());
            task.end(state, now.min(end), self.revision);
        }
    }

    /// Returns the tasks that changed after a revision.
    pub(super) fn changed_since(&self, since: Revision) -> TaskChanges {
        let tasks = self.tasks.values();
        TaskChanges {
            revision: Revision::new(self.revision),
            tasks: tasks
                .filter(|task| task.changed_revision > since.get())
                .map(|task| task.report.clone())
                .collect(),
        }
    }

    /// Returns the tasks that were started, in order of their start.
    pub(super) fn starts(&self) -> &[TaskId] {
        &self.starts
    }
}

impl SimulatedTask {
    /// Returns the time at which the task ends if it is not stopped.
    fn natural_end(&self, failing: bool) -> Instant {
        let run_ms = self.work.run_ms.unwrap_or(DEFAULT_RUN_MS);
        match failing {
            true => self.started + FAILING_WORKER_RUN_TIME,
            false => self.started + Duration::from_millis(run_ms.saturating_sub(self.resume_ms)),
        }
    }

    fn peak_usage(&self) -> JobSize {
        self.work.uses.unwrap_or(self.allotted)
    }

    fn end(&mut self, state: TaskState, ended: Instant, revision: u64) {
        self.report.state = state;
        self.report.ran_ms = ended.saturating_duration_since(self.started).as_millis() as u64;
        self.changed_revision = revision;
    }
}
