//! Keys of the table rows of submitted jobs and of their cancellations.

use crate::id::JobId;

/// The key prefix of submitted jobs and their cancellations; a partition number follows it.
pub(crate) const JOB_TABLE: &str = "jobs@";

/// The key prefix of ended jobs, in the same partitions; the rows hold the phases.
pub(crate) const ENDED_TABLE: &str = "ended@";

/// The field of a submission's row with the time of the submission on the table's clock, in ms.
pub(crate) const SUBMITTED_FIELD: &str = "submitted_ms";

/// The partitions: the hexadecimal digits, one of which ends the id of each caller's job.
pub(crate) const PARTITIONS: &str = "0123456789abcdefABCDEF";

/// The suffix that turns a submission's key into the key of the job's cancellation.
const CANCEL_SUFFIX: &str = ".cancel";

/// The number of trailing id digits that select the partition. The table runs one transaction at
/// a time in each partition, so a single one would limit submissions while the table is slow.
const PARTITION_DIGITS: usize = 1;

/// Returns the key of a job's submission: `jobs@<partition>/<id>`.
pub fn job_key(id: &JobId) -> String {
    format!("{JOB_TABLE}{}/{id}", job_partition(id))
}

/// Returns the key of a job's cancellation, in the same partition as its submission.
pub fn cancel_key(id: &JobId) -> String {
    format!("{}{CANCEL_SUFFIX}", job_key(id))
}

/// Returns the key of an ended job's row, in the same partition as its submission:
/// `ended@<partition>/<id>`.
pub fn ended_key(id: &JobId) -> String {
    format!("{ENDED_TABLE}{}/{id}", job_partition(id))
}

/// Returns the partition of a job's rows.
pub(crate) fn job_partition(id: &JobId) -> &str {
    let digits = id.as_str();
    &digits[digits.len().saturating_sub(PARTITION_DIGITS)..]
}

/// Parses a key into the job's id and whether the row is a cancellation.
pub(crate) fn parse_job_key(key: &str) -> Option<(JobId, bool)> {
    let name = key.rsplit('/').next()?;
    match name.strip_suffix(CANCEL_SUFFIX) {
        Some(id) => Some((id.parse().ok()?, true)),
        None => Some((name.parse().ok()?, false)),
    }
}
