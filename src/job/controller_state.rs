//! What the job controller holds in memory, and what it decides by it.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use crate::id::HostId;
use crate::id::Revision;
use crate::id::TaskId;
use crate::job::job_book::JobBook;
use crate::job::task_follower::TaskFollower;
use crate::job::JobDecision;
use crate::job::JobFleet;
use crate::job::JobPlanner;
use crate::job::JobRecord;
use crate::job::JobState;
use crate::job::TaskView;
use crate::job::TeamBook;
use crate::job::WaitingJob;
use crate::job::WorkerView;
use crate::process::Placement;
use crate::provider::TaskAction;
use crate::provider::TaskCommand;
use crate::provider::TaskStart;
use crate::version::ServiceText;

/// The lease under which tasks run.
pub(super) const TASK_LEASE: &str = "zincpier";
/// The work lost, in milliseconds, when a job saves its progress and stops.
const CHECKPOINT_LOSS_MS: u64 = 200;
/// How much longer a job that only can be repeated may run on a host that is to be stopped.
const DRAIN_PATIENCE_MS: u64 = 30_000;

/// What the controller holds in memory under one epoch of its lease.
#[derive(Default)]
pub(super) struct ControllerState {
    pub(super) epoch: u64,
    pub(super) book: JobBook,
    pub(super) follower: TaskFollower,
    pub(super) tasks_seen: Revision,
    pub(super) ordered: HashMap<TaskId, JobState>,
    pub(super) inbox_read: Option<Instant>,
    pub(super) renewed: Option<Instant>,
    pub(super) waves_read: Option<Instant>,
    /// The placement of hosts by which nothing was left to decide while every job ran.
    pub(super) settled_placement: Option<Revision>,
    pub(super) leaving_soon: BTreeSet<HostId>,
}

impl ControllerState {
    /// Tells whether every job runs and none is to be cancelled.
    pub(super) fn is_settled(&self) -> bool {
        let mut records = self.book.records();
        records.all(|record| matches!(record.state, JobState::Placed(_)) && !record.cancelled)
    }

    /// Tells whether any job is being stopped.
    pub(super) fn has_stopping(&self) -> bool {
        let mut records = self.book.records();
        records.any(|record| matches!(record.state, JobState::Stopping(_)))
    }

    /// Returns the jobs that change by decisions of this moment.
    pub(super) fn plan(
        &self,
        text: &ServiceText,
        placement: &Placement,
        workers: Vec<WorkerView>,
        now_ms: u64,
    ) -> Vec<JobRecord> {
        let mut changed = Vec::new();
        let mut fleet = JobFleet::new(workers);
        let mut book = TeamBook::new(text);
        let mut waiting = Vec::new();
        for record in self.book.records() {
            if let Some(ended) = cancel(record, now_ms) {
                changed.push(ended);
            } else if let Some(stopping) = drain(record, placement, &self.follower, now_ms) {
                changed.push(stopping);
            } else if record.state == JobState::Waiting {
                waiting.push(self.waiting(record));
            } else if let Some(task) = self.task(record, now_ms) {
                if !task.stopping {
                    book.add(&task.team, &task.size);
                }
                fleet.add(task);
            }
        }
        let decisions = JobPlanner::new(fleet, book).plan(waiting);
        let decided = decisions.into_iter().filter_map(|decision| match decision {
            JobDecision::Place { job, host } => {
                Some(self.book.get(&job)?.with_run_on(host, now_ms))
            }
            JobDecision::Stop { job, host, .. } => {
                Some(self.book.get(&job)?.with_state(JobState::Stopping(host)))
            }
            JobDecision::Refuse { job, reason } => {
                let record = self.book.get(&job)?;
                Some(record.with_end(JobState::Failed(reason), now_ms))
            }
        });
        changed.extend(decided);
        changed
    }

    /// Returns the orders that the platform has not answered yet.
    pub(super) fn due_orders(&self) -> Vec<(TaskCommand, JobState)> {
        let due = self.book.records().filter_map(|record| {
            let host = record.state.host()?.clone();
            if self.ordered.get(&record.task()) == Some(&record.state) {
                return None;
            }
            let action = match (&record.state, record.spec.checkpoints) {
                (JobState::Placed(_), _) => TaskAction::Start(TaskStart {
                    size: self.follower.size(record),
                    work: record.spec.work.clone(),
                    resume_ms: record.saved_ms,
                    lease: TASK_LEASE.to_owned(),
                }),
                (_, true) if !record.cancelled => TaskAction::Checkpoint,
                _ => TaskAction::Stop,
            };
            let task = record.task();
            let order = TaskCommand { task, host, action };
            Some((order, record.state.clone()))
        });
        due.collect()
    }

    fn waiting(&self, record: &JobRecord) -> WaitingJob {
        let spec = &record.spec;
        WaitingJob {
            id: record.id.clone(),
            team: spec.team.clone(),
            service: spec.service.clone(),
            size: self.follower.size(record),
            run_ms: self.follower.run_ms(spec).saturating_sub(record.saved_ms),
            deadline_ms: spec.deadline_ms,
            urgent: spec.urgent,
            can_move: record.can_move(),
            avoided: record.failed_on.clone(),
        }
    }

    fn task(&self, record: &JobRecord, now_ms: u64) -> Option<TaskView> {
        let ran_ms = now_ms.saturating_sub(record.placed_ms);
        let spec = &record.spec;
        Some(TaskView {
            job: record.id.clone(),
            host: record.state.host()?.clone(),
            team: spec.team.clone(),
            size: self.follower.size(record),
            urgent: spec.urgent,
            stopping: matches!(record.state, JobState::Stopping(_)),
            loss_ms: match (spec.checkpoints, spec.repeatable) {
                (true, _) => Some(CHECKPOINT_LOSS_MS),
                (false, true) => Some(ran_ms),
                (false, false) => None,
            },
        })
    }
}

/// Returns what becomes of a job that is to be cancelled.
fn cancel(record: &JobRecord, now_ms: u64) -> Option<JobRecord> {
    if !record.cancelled {
        return None;
    }
    match &record.state {
        JobState::Waiting => Some(record.with_end(JobState::Cancelled, now_ms)),
        JobState::Placed(host) => Some(record.with_state(JobState::Stopping(host.clone()))),
        _ => None,
    }
}

/// Returns what becomes of a job on a host that is to be stopped or moved.
///
/// A job that can save its progress does so. One that can only be repeated may
/// finish if that takes not long; one that can do neither always may.
fn drain(
    record: &JobRecord,
    placement: &Placement,
    follower: &TaskFollower,
    now_ms: u64,
) -> Option<JobRecord> {
    let JobState::Placed(host) = &record.state else {
        return None;
    };
    if !placement.is_closed(host) {
        return None;
    }
    let ran_ms = now_ms.saturating_sub(record.placed_ms) + record.saved_ms;
    let left_ms = follower.run_ms(&record.spec).saturating_sub(ran_ms);
    let long = record.spec.repeatable && left_ms > DRAIN_PATIENCE_MS;
    let stops = record.spec.checkpoints || long;
    stops.then(|| record.with_state(JobState::Stopping(host.clone())))
}
