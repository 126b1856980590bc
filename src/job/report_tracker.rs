//! Translates the platform's task reports into job changes.

use std::collections::HashMap;
use std::time::Instant;

use crate::id::HostId;
use crate::id::TaskId;
use crate::job::FaultDetector;
use crate::job::JobRecord;
use crate::job::JobSize;
use crate::job::JobSpec;
use crate::job::JobState;
use crate::job::SizeEstimator;
use crate::job::WorkerTrust;
use crate::provider::TaskReport;
use crate::provider::TaskState;

/// Applies task reports and collects worker faults and job sizes from them.
#[derive(Clone, Debug, Default)]
pub(super) struct ReportTracker {
    detector: FaultDetector,
    estimator: SizeEstimator,
    /// Last reported use of each running task.
    usage: HashMap<TaskId, JobSize>,
}

impl ReportTracker {
    /// Applies a report and returns the job's updated record if the report ends the job's current
    /// run.
    pub(super) fn apply_report(
        &mut self,
        record: &JobRecord,
        report: &TaskReport,
        now: Instant,
        now_ms: u64,
    ) -> Option<JobRecord> {
        let host = record.state.host()?;
        if report.task != record.task() {
            return None;
        }
        if report.state == TaskState::Running {
            if let Some(usage) = report.usage {
                self.usage.insert(report.task.clone(), usage);
            }
            return None;
        }
        self.usage.remove(&report.task);
        Some(match &report.state {
            TaskState::Running => return None,
            TaskState::Finished => {
                self.detector.record_success(host);
                self.record_usage(record, report);
                record.with_end(JobState::Finished, now_ms)
            }
            TaskState::Failed(reason) => self.apply_failure(record, host, reason, now, now_ms),
            TaskState::Stopped => self.apply_stop(record, report, now_ms),
            TaskState::Lapsed => end_or_requeue(record, report, now_ms),
            TaskState::NeverStarted => requeue(record, record.saved_ms, now_ms),
        })
    }

    /// Returns the capacity to reserve for a job: the larger of estimated and reported use.
    pub(super) fn size(&self, record: &JobRecord) -> JobSize {
        let expected = self.estimator.size(&record.spec);
        match self.usage.get(&record.task()) {
            Some(usage) => expected.max(usage),
            None => expected,
        }
    }

    /// Returns the expected total run time, in milliseconds.
    pub(super) fn run_ms(&self, spec: &JobSpec) -> u64 {
        self.estimator.run_ms(spec)
    }

    /// Returns whether a worker may receive jobs at `now`.
    pub(super) fn trust(&self, host: &HostId, now: Instant) -> WorkerTrust {
        self.detector.trust(host, now)
    }

    fn record_usage(&mut self, record: &JobRecord, report: &TaskReport) {
        if let Some(usage) = report.usage {
            let total_ms = record.saved_ms + report.ran_ms;
            self.estimator.record_run(&record.spec, usage, total_ms);
        }
    }

    /// Records a failed run and returns the job's updated record.
    fn apply_failure(
        &mut self,
        record: &JobRecord,
        host: &HostId,
        reason: &str,
        now: Instant,
        now_ms: u64,
    ) -> JobRecord {
        if self.detector.record_failure(host, &record.id, now) {
            log::warn!(target: "zincpier::jobs", "worker {host} quarantined after failed jobs");
        }
        let mut failed = record.clone();
        failed.failed_on.insert(host.clone());
        if !record.spec.repeatable {
            return failed.with_end(JobState::Failed(reason.to_owned()), now_ms);
        }
        if self.detector.is_at_fault(&failed, now) {
            let hosts = failed.failed_on.len();
            let reason = format!("{reason}, on {hosts} workers");
            return failed.with_end(JobState::Failed(reason), now_ms);
        }
        requeue(&failed, failed.saved_ms, now_ms)
    }

    /// Returns the updated record of a job whose run was stopped by a command.
    fn apply_stop(&self, record: &JobRecord, report: &TaskReport, now_ms: u64) -> JobRecord {
        if record.can_move() || record.cancelled {
            return requeue(record, report.saved_ms, now_ms);
        }
        let reason = "it was stopped in the middle".to_owned();
        record.with_end(JobState::Unknown(reason), now_ms)
    }

    /// Removes the reported use of a task whose run has ended.
    pub(super) fn forget(&mut self, task: &TaskId) {
        self.usage.remove(task);
    }
}

/// Returns the updated record of a job whose task lost its lease or worker while it ran.
fn end_or_requeue(record: &JobRecord, report: &TaskReport, now_ms: u64) -> JobRecord {
    if record.spec.repeatable {
        return requeue(record, report.saved_ms, now_ms);
    }
    let reason = "its lease or its worker was lost while it ran".to_owned();
    record.with_end(JobState::Unknown(reason), now_ms)
}

/// Returns the job waiting for another run, or cancelled if that was requested.
fn requeue(record: &JobRecord, saved_ms: u64, now_ms: u64) -> JobRecord {
    if record.cancelled {
        return record.with_end(JobState::Cancelled, now_ms);
    }
    JobRecord {
        saved_ms,
        ..record.with_state(JobState::Waiting)
    }
}
