//! In-memory state of the job controller; plans jobs and derives task commands from it.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Instant;

use crate::id::HostId;
use crate::id::Revision;
use crate::id::TaskId;
use crate::job::job_registry::JobRegistry;
use crate::job::report_tracker::ReportTracker;
use crate::job::JobDecision;
use crate::job::JobFleet;
use crate::job::JobPlanner;
use crate::job::JobRecord;
use crate::job::JobState;
use crate::job::QuotaTracker;
use crate::job::TaskView;
use crate::job::WaitingJob;
use crate::job::WorkerView;
use crate::process::Placement;
use crate::provider::TaskAction;
use crate::provider::TaskCommand;
use crate::provider::TaskStart;
use crate::version::ServiceText;

/// Name of the lease under which all tasks run. The job controller renews it; tasks end when it
/// lapses.
pub(super) const TASK_LEASE: &str = "zincpier";
/// Estimated work lost when a job saves a checkpoint and stops.
const CHECKPOINT_LOSS_MS: u64 = 200;
/// A repeatable job without checkpoints may finish on a host that is to be stopped or moved if its
/// remaining run time is at most this.
const MAX_DRAIN_RUN_MS: u64 = 30_000;

/// In-memory state of the controller.
///
/// All but `tracker` is reset whenever the rows are reloaded.
#[derive(Default)]
pub(super) struct ControllerState {
    /// Epoch of the controller's lease in which the rows were loaded.
    pub(super) epoch: u64,
    pub(super) registry: JobRegistry,
    pub(super) tracker: ReportTracker,
    /// The platform's revision up to which task reports have been read.
    pub(super) reports_revision: Revision,
    /// The job state for which the platform has acknowledged a command, by task.
    pub(super) acknowledged: HashMap<TaskId, JobState>,
    pub(super) inbox_read_at: Option<Instant>,
    pub(super) task_lease_renewed_at: Option<Instant>,
    pub(super) waves_read_at: Option<Instant>,
    /// Revision of the host placement at which every job was placed and planning changed nothing.
    /// While every job stays placed, planning is skipped until the placement changes.
    pub(super) stable_placement: Option<Revision>,
    /// Hosts that running waves have yet to close.
    pub(super) closing_soon: BTreeSet<HostId>,
}

impl ControllerState {
    /// Returns whether every job is placed and none is to be cancelled.
    pub(super) fn is_stable(&self) -> bool {
        let mut records = self.registry.records();
        records.all(|record| matches!(record.state, JobState::Placed(_)) && !record.cancelled)
    }

    /// Returns whether any job is being stopped.
    pub(super) fn has_stopping(&self) -> bool {
        let mut records = self.registry.records();
        records.any(|record| matches!(record.state, JobState::Stopping(_)))
    }

    /// Plans all open jobs and returns the updated records of those that change.
    pub(super) fn plan(
        &self,
        text: &ServiceText,
        placement: &Placement,
        workers: Vec<WorkerView>,
        now_ms: u64,
    ) -> Vec<JobRecord> {
        let mut changed = Vec::new();
        let mut fleet = JobFleet::new(workers);
        let mut quotas = QuotaTracker::new(text);
        let mut waiting = Vec::new();
        for record in self.registry.records() {
            if let Some(ended) = cancel(record, now_ms) {
                changed.push(ended);
            } else if let Some(stopping) = drain(record, placement, &self.tracker, now_ms) {
                changed.push(stopping);
            } else if record.state == JobState::Waiting {
                waiting.push(self.waiting_job(record));
            } else if let Some(task) = self.task_view(record, now_ms) {
                if !task.stopping {
                    quotas.add(&task.team, &task.size);
                }
                fleet.add(task);
            }
        }
        let decisions = JobPlanner::new(fleet, quotas).plan(waiting);
        let decided = decisions.into_iter().filter_map(|decision| match decision {
            JobDecision::Place { job, host } => {
                Some(self.registry.get(&job)?.with_run_on(host, now_ms))
            }
            JobDecision::Stop { job, host, .. } => Some(
                self.registry
                    .get(&job)?
                    .with_state(JobState::Stopping(host)),
            ),
            JobDecision::Refuse { job, reason } => {
                let record = self.registry.get(&job)?;
                Some(record.with_end(JobState::Failed(reason), now_ms))
            }
        });
        changed.extend(decided);
        changed
    }

    /// Returns the commands that the platform has not acknowledged yet.
    pub(super) fn due_commands(&self) -> Vec<(TaskCommand, JobState)> {
        let due = self.registry.records().filter_map(|record| {
            let host = record.state.host()?.clone();
            if self.acknowledged.get(&record.task()) == Some(&record.state) {
                return None;
            }
            let action = match (&record.state, record.spec.checkpoints) {
                (JobState::Placed(_), _) => TaskAction::Start(TaskStart {
                    size: self.tracker.size(record),
                    work: record.spec.work.clone(),
                    resume_ms: record.saved_ms,
                    lease: TASK_LEASE.to_owned(),
                }),
                (_, true) if !record.cancelled => TaskAction::Checkpoint,
                _ => TaskAction::Stop,
            };
            let task = record.task();
            let command = TaskCommand { task, host, action };
            Some((command, record.state.clone()))
        });
        due.collect()
    }

    fn waiting_job(&self, record: &JobRecord) -> WaitingJob {
        let spec = &record.spec;
        WaitingJob {
            id: record.id.clone(),
            team: spec.team.clone(),
            service: spec.service.clone(),
            size: self.tracker.size(record),
            run_ms: self.tracker.run_ms(spec).saturating_sub(record.saved_ms),
            deadline_ms: spec.deadline_ms,
            urgent: spec.urgent,
            can_move: record.can_move(),
            avoided: record.failed_on.clone(),
        }
    }

    fn task_view(&self, record: &JobRecord, now_ms: u64) -> Option<TaskView> {
        let ran_ms = now_ms.saturating_sub(record.placed_ms);
        let spec = &record.spec;
        Some(TaskView {
            job: record.id.clone(),
            host: record.state.host()?.clone(),
            team: spec.team.clone(),
            size: self.tracker.size(record),
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

/// Returns the updated record of a job that a caller has asked to cancel, or `None` if nothing is
/// to be changed.
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

/// Returns the updated record of a job that must stop because its host is to be stopped or moved.
///
/// A job with checkpoints saves its progress and stops. A repeatable job without checkpoints is
/// stopped unless it is expected to end within [`MAX_DRAIN_RUN_MS`]. Any other job runs to its end.
fn drain(
    record: &JobRecord,
    placement: &Placement,
    tracker: &ReportTracker,
    now_ms: u64,
) -> Option<JobRecord> {
    let JobState::Placed(host) = &record.state else {
        return None;
    };
    if !placement.is_closed(host) {
        return None;
    }
    let progress_ms = now_ms.saturating_sub(record.placed_ms) + record.saved_ms;
    let left_ms = tracker.run_ms(&record.spec).saturating_sub(progress_ms);
    let runs_too_long = record.spec.repeatable && left_ms > MAX_DRAIN_RUN_MS;
    let must_stop = record.spec.checkpoints || runs_too_long;
    must_stop.then(|| record.with_state(JobState::Stopping(host.clone())))
}
