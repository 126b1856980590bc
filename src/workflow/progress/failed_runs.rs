//! The part of a job's durable row about the failed runs of gangs.
//!
//! A failed run of a gang may end several members as failed, before and after a change of the controller.
//! The number of failed runs is that of the first member. The last run that it includes is stored beside
//! it, so that each run counts once.

use serde_json::json;
use serde_json::Value;

use crate::workflow::JobState;
use crate::workflow::TaskState;

/// The field of a job's durable row with the last failed runs of its gangs: a list of pairs of the position of
/// a gang's first member and the run.
pub(crate) const FAILED_RUNS_FIELD: &str = "failed-runs";

/// Encodes the last failed runs of a job's gangs; `None` if there are none.
pub(crate) fn encode_failed_runs(job: &JobState) -> Option<Value> {
    let failed = job.begun_tasks();
    let failed = failed.filter_map(|(name, task)| Some((job.position(&name), task.failed_run?)));
    let pairs: Vec<_> = failed.collect();
    (!pairs.is_empty()).then(|| json!(pairs))
}

/// Restores the last failed runs of a job's gangs. Pairs that can't be decoded, or are of no task, are left
/// out: the other progress still holds.
pub(crate) fn restore_failed_runs(job: &mut JobState, field: Option<&Value>) {
    let pairs = field.and_then(Value::as_array);
    for pair in pairs.into_iter().flatten() {
        let position = pair.get(0).and_then(Value::as_u64);
        let name = position.and_then(|position| job.name_at(position));
        let task = name.and_then(|name| job.task_mut(&name));
        if let Some(task) = task {
            task.failed_run = pair.get(1).and_then(Value::as_u64);
        }
    }
}

/// Completes the failures of a gang from a row of a build that counted them by member. What is certain of the
/// number of failed runs is the largest count of a member. The last run may be one of them, unless all
/// members are still placed for it.
pub(crate) fn merge_member_failures(members: &mut [TaskState]) {
    let failures = members.iter().map(|member| member.failures).max();
    let last_run = members.iter().map(|member| member.last_run).max();
    let is_under_way = members.iter().all(|member| member.worker().is_some());
    let Some(first) = members.first_mut() else {
        return;
    };
    let failures = failures.unwrap_or(0);
    if failures > first.failures || (failures > 0 && first.failed_run.is_none()) {
        first.failures = failures;
        first.failed_run = last_run.map(|run| run - u64::from(is_under_way && run > 0));
    }
}
