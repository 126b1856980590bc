//! Where jobs lie in the table.

use crate::id::JobId;

/// The table of submitted jobs and their cancellations, in parts.
pub(crate) const JOB_TABLE: &str = "jobs@";

/// What follows a job's id in the key of its cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// The digits of an id that choose the part: a part takes one transaction after the other,
/// so that one part for all would limit submissions while the table is slow.
const PARTITION_DIGITS: usize = 1;

/// Returns the key of a job's submission.
pub fn job_key(id: &JobId) -> String {
    let digits = id.as_str();
    let part = &digits[digits.len().saturating_sub(PARTITION_DIGITS)..];
    format!("{JOB_TABLE}{part}/{id}")
}

/// Returns the key of a job's cancellation.
pub fn cancel_key(id: &JobId) -> String {
    format!("{}{CANCEL_SUFFIX}", job_key(id))
}

/// Returns the job that a key is about, and whether it is that of its cancellation.
pub(crate) fn parse_job_key(key: &str) -> Option<(JobId, bool)> {
    let name = key.rsplit('/').next()?;
    match name.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => Some((id.parse().ok()?, true)),
        None => Some((name.parse().ok()?, false)),
    }
}
