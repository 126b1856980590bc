//! The rows that list the jobs on each worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::error::Result;
use crate::id::HostId;
use crate::id::JobId;
use crate::provider::TableService;

/// The prefix of the rows that list a worker's jobs.
pub const HOST_JOBS_PREFIX: &str = "host-jobs/";

/// The jobs on each host that has any.
pub(crate) type HostJobs = BTreeMap<HostId, BTreeSet<JobId>>;

/// Returns the key of the row that lists a worker's jobs; it is absent when there are none.
pub fn host_jobs_key(host: &HostId) -> String {
    format!("{HOST_JOBS_PREFIX}{host}")
}

/// Returns the jobs on hosts, leaving out hosts that have none.
///
/// # Errors
///
/// Returns an error if the platform does not answer.
pub(crate) async fn read_host_jobs<P: TableService>(
    platform: &P,
    hosts: &[HostId],
) -> Result<HostJobs> {
    let keys = hosts.iter().map(host_jobs_key).collect::<Vec<_>>();
    let keys = keys.iter().map(String::as_str).collect::<Vec<_>>();
    let rows = platform.read(&keys).await?;
    let listed = rows.into_iter().filter_map(|row| {
        let host = row.key.strip_prefix(HOST_JOBS_PREFIX)?.parse().ok()?;
        Some((host, serde_json::from_value(row.value).ok()?))
    });
    Ok(listed.collect())
}
