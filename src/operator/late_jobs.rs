//! Finds the jobs that were refused, late or failed, from the entry hosts' log lines.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::operator::LogLine;

/// Returns the ids of submitted jobs that neither completed within `late_ms` nor were cancelled, with
/// those whose callers' keys were refused.
///
/// Long-running jobs are left out, since they end only when cancelled.
pub fn jobs_not_completed_in_time(lines: &[LogLine], late_ms: u64) -> Vec<String> {
    let submits = lines.iter().filter(|line| is_submission(line));
    let jobs: BTreeSet<_> = submits.map(|line| line.field("job")).collect();
    // The times of the first line and of the completion, and whether the job is left out.
    let mut spans: BTreeMap<&str, (u64, Option<u64>, bool)> = BTreeMap::new();
    for line in lines {
        let job = match line.field("job") {
            "" => line.field("task").split('.').next().unwrap_or_default(),
            job => job,
        };
        if !jobs.contains(job) {
            continue;
        }
        let (_, completed_ms, is_excluded) =
            spans.entry(job).or_insert((line.time_ms, None, false));
        match line.event.as_str() {
            "job_seen" if line.field("long_running") == "true" => *is_excluded = true,
            "job_complete" => *completed_ms = Some(line.time_ms),
            "job_cancelled" => *is_excluded = true,
            _ => {}
        }
    }
    let failed = spans
        .into_iter()
        .filter(|(_, (first_ms, completed_ms, is_excluded))| {
            !is_excluded
                && completed_ms.is_none_or(|completed_ms| completed_ms > first_ms + late_ms)
        });
    failed.map(|(job, _)| job.to_owned()).collect()
}

/// Returns whether the line is about an attempt to submit a job.
fn is_submission(line: &LogLine) -> bool {
    match line.event.as_str() {
        "submit" => true,
        "key_refused" => line.field("action") == "submit" && !line.field("job").is_empty(),
        _ => false,
    }
}
