//! The part of a job's durable row about tasks that may have crashed their workers.

use serde_json::json;
use serde_json::Value;

use crate::workflow::JobState;

/// The field of a job's durable row with its suspects: a list of pairs of a task's position and the number
/// of crashes that count against it.
pub(crate) const CRASHES_FIELD: &str = "crashes";

/// Encodes the suspects among a job's tasks; `None` if there are none.
pub(crate) fn encode_crashes(job: &JobState) -> Option<Value> {
    let suspects = job.begun_tasks().filter(|(_, task)| task.is_suspect);
    let pairs: Vec<_> = suspects
        .map(|(name, task)| (job.position(&name), task.crashes))
        .collect();
    (!pairs.is_empty()).then(|| json!(pairs))
}

/// Restores the suspects among a job's tasks. Pairs that can't be decoded, or are of no task, are left out:
/// the other progress still holds.
pub(crate) fn restore_crashes(job: &mut JobState, field: Option<&Value>) {
    let pairs = field.and_then(Value::as_array);
    for pair in pairs.into_iter().flatten() {
        let position = pair.get(0).and_then(Value::as_u64);
        let name = position.and_then(|position| job.name_at(position));
        let count = pair.get(1).and_then(Value::as_u64);
        let task = name.and_then(|name| job.task_mut(&name));
        if let (Some(task), Some(count)) = (task, count) {
            task.is_suspect = true;
            task.crashes = u32::try_from(count).unwrap_or(u32::MAX);
        }
    }
}
