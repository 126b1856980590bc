//! The tasks that the platform stand-in's workers run.

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

/// How late usage is reported.
const USAGE_LAG: Duration = Duration::from_millis(200);
/// How long a task runs on a worker that fails everything.
const BAD_WORKER_TIME: Duration = Duration::from_millis(20);
/// How long a task runs whose work says nothing.
const DEFAULT_RUN_MS: u64 = 100;

/// What a task of the stand-in does.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default)]
struct TaskWork {
    /// How long it runs, in milliseconds.
    run_ms: Option<u64>,
    /// Whether it ends with an error.
    fails: bool,
    /// What it uses, if not what it was given.
    uses: Option<JobSize>,
}

#[derive(Clone, Debug)]
struct StandinTask {
    report: TaskReport,
    work: TaskWork,
    given: JobSize,
    lease: String,
    resume_ms: u64,
    started: Instant,
    changed: u64,
}

/// Runs tasks by the clock alone.
#[derive(Debug, Default)]
pub(super) struct TaskSimulator {
    revision: u64,
    tasks: BTreeMap<TaskId, StandinTask>,
    leases: BTreeMap<String, Instant>,
    starts: Vec<TaskId>,
}

impl TaskSimulator {
    /// Takes a lease or renews it.
    pub(super) fn renew(&mut self, lease: TaskLease, now: Instant) {
        let until = now + Duration::from_millis(lease.hold_ms);
        self.leases.insert(lease.lease, until);
    }

    /// Ends every lease.
    pub(super) fn end_leases(&mut self) {
        self.leases.clear();
    }

    /// Carries out an order on a worker, which is up or not.
    pub(super) fn order(&mut self, order: TaskCommand, up: bool, now: Instant) {
        let known = self.tasks.contains_key(&order.task);
        match order.action {
            TaskAction::Start(start) if !known => {
                self.start(order.task, order.host, start, up, now);
            }
            TaskAction::Start(_) => {}
            TaskAction::Checkpoint if known => self.stop(&order.task, true, now),
            TaskAction::Stop if known => self.stop(&order.task, false, now),
            TaskAction::Checkpoint | TaskAction::Stop => {
                let work = TaskWork::default();
                let state = TaskState::NeverStarted;
                self.insert(order.task, order.host, state, work, None, now);
            }
        }
    }

    fn start(&mut self, task: TaskId, host: HostId, start: TaskStart, up: bool, now: Instant) {
        let leased = self
            .leases
            .get(&start.lease)
            .is_some_and(|until| *until > now);
        let state = match up && leased {
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
        let entry = StandinTask {
            report: TaskReport {
                task: task.clone(),
                host,
                state,
                saved_ms: resume_ms,
                ran_ms: 0,
                usage: None,
            },
            work,
            given: start
                .as_ref()
                .map_or_else(JobSize::default, |start| start.size),
            lease: start.map_or_else(String::new, |start| start.lease),
            resume_ms,
            started: now,
            changed: self.revision,
        };
        self.tasks.insert(task, entry);
    }

    fn stop(&mut self, task: &TaskId, save: bool, now: Instant) {
        let Some(held) = self.tasks.get_mut(task) else {
            return;
        };
        if held.report.state != TaskState::Running {
            return;
        }
        self.revision += 1;
        held.end(TaskState::Stopped, now, self.revision);
        if save {
            held.report.saved_ms = held.resume_ms + held.report.ran_ms;
        }
    }

    /// Brings every task up to now; tasks on hosts that are not up lapse.
    pub(super) fn advance(
        &mut self,
        now: Instant,
        up: impl Fn(&HostId) -> bool,
        bad_workers: &BTreeSet<HostId>,
    ) {
        let running = self.tasks.values_mut();
        for task in running.filter(|task| task.report.state == TaskState::Running) {
            let until = self.leases.get(&task.lease).copied().unwrap_or(now);
            let bad = bad_workers.contains(&task.report.host);
            let end = task.end_at(bad);
            let state = match () {
                () if !up(&task.report.host) || (until <= now && until <= end) => TaskState::Lapsed,
                () if end > now => {
                    if task.report.usage.is_none() && now - task.started >= USAGE_LAG {
                        self.revision += 1;
                        task.changed = self.revision;
                        task.report.usage = Some(task.used());
                    }
                    continue;
                }
                () if bad => TaskState::Failed("the worker is broken".to_owned()),
                () if task.work.fails => TaskState::Failed("the work cannot be done".to_owned()),
                () => TaskState::Finished,
            };
            self.revision += 1;
            task.report.usage = Some(task.used());
            task.end(state, now.min(end), self.revision);
        }
    }

    /// Returns the tasks that changed after a revision.
    pub(super) fn changed(&self, since: Revision) -> TaskChanges {
        let changed = self.tasks.values();
        TaskChanges {
            revision: Revision::new(self.revision),
            tasks: changed
                .filter(|task| task.changed > since.get())
                .map(|task| task.report.clone())
                .collect(),
        }
    }

    /// Returns every task that was started, in the order of the starts.
    pub(super) fn starts(&self) -> &[TaskId] {
        &self.starts
    }
}

impl StandinTask {
    /// Returns when the task ends by itself.
    fn end_at(&self, bad: bool) -> Instant {
        let run_ms = self.work.run_ms.unwrap_or(DEFAULT_RUN_MS);
        match bad {
            true => self.started + BAD_WORKER_TIME,
            false => self.started + Duration::from_millis(run_ms.saturating_sub(self.resume_ms)),
        }
    }

    fn used(&self) -> JobSize {
        self.work.uses.unwrap_or(self.given)
    }

    fn end(&mut self, state: TaskState, at: Instant, revision: u64) {
        self.report.state = state;
        self.report.ran_ms = at.saturating_duration_since(self.started).as_millis() as u64;
        self.changed = revision;
    }
}
