//! Table rows that list the jobs on each worker.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::error::Result;
use crate::id::HostId;
use crate::id::JobId;
use crate::provider::TableService;

/// Key prefix of the rows that list a worker's jobs.
pub const HOST_JOBS_PREFIX: &str = "host-jobs/";

/// Jobs by host; hosts without jobs are absent.
pub(crate) type HostJobs = BTreeMap<HostId, BTreeSet<JobId>>;

/// Returns the key of the row that lists a worker's jobs. A worker without jobs has no row.
pub fn host_jobs_key(host: &HostId) -> String {
    format!("{HOST_JOBS_PREFIX}{host}")
}

/// Reads the jobs on `hosts`. Hosts without jobs, or whose row does not parse, are absent from the
/// result.
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
