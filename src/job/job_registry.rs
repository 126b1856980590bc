//! The job controller's in-memory copy of the rows of open jobs and of the workers' job lists.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::HostId;
use crate::id::JobId;
use crate::id::Revision;
use crate::job::ended_key;
use crate::job::host_jobs_key;
use crate::job::open_key;
use crate::job::JobRecord;
use crate::job::StoredJob;
use crate::job::HOST_JOBS_PREFIX;
use crate::job::OPEN_PREFIX;
use crate::provider::TableRow;
use crate::provider::Transaction;

/// The row that lists the jobs on one worker.
#[derive(Clone, Debug, Default)]
struct HostJobsRow {
    revision: Revision,
    jobs: BTreeSet<JobId>,
}

/// Rows of open jobs and job lists of the workers that they are on, each with its revision.
#[derive(Clone, Debug, Default)]
pub(super) struct JobRegistry {
    jobs: BTreeMap<JobId, StoredJob>,
    hosts: BTreeMap<HostId, HostJobsRow>,
}

impl JobRegistry {
    /// Stores the current content of a row. Rows that do not parse are ignored.
    pub(super) fn apply_row(&mut self, row: TableRow) {
        if let Some(host) = row.key.strip_prefix(HOST_JOBS_PREFIX) {
            let (Ok(host), Ok(jobs)) = (host.parse(), serde_json::from_value(row.value)) else {
                return;
            };
            let revision = row.revision;
            self.hosts.insert(host, HostJobsRow { revision, jobs });
            return;
        }
        if let Some(stored) = StoredJob::from_row(row) {
            self.jobs.insert(stored.record.id.clone(), stored);
        }
    }

    /// Removes the copy of the row at `key`, if there is one.
    pub(super) fn remove_row(&mut self, key: &str) {
        let host = key.strip_prefix(HOST_JOBS_PREFIX);
        if let Some(Ok(host)) = host.map(str::parse::<HostId>) {
            self.hosts.remove(&host);
        }
        let job = key.strip_prefix(OPEN_PREFIX);
        if let Some(Ok(job)) = job.map(str::parse::<JobId>) {
            self.jobs.remove(&job);
        }
    }

    pub(super) fn get(&self, job: &JobId) -> Option<&JobRecord> {
        self.jobs.get(job).map(|stored| &stored.record)
    }

    pub(super) fn records(&self) -> impl Iterator<Item = &JobRecord> {
        self.jobs.values().map(|stored| &stored.record)
    }

    pub(super) fn is_empty(&self) -> bool {
        self.jobs.is_empty()
    }

    /// Adds job changes to a transaction, with checks that fail it if any row touched has changed.
    pub(super) fn add_changes(
        &self,
        mut transaction: Transaction,
        changed: &[JobRecord],
    ) -> Transaction {
        for record in changed {
            let key = open_key(&record.id);
            let stored = self.jobs.get(&record.id);
            let revision = stored.map_or(Revision::new(0), |stored| stored.revision);
            let value = serde_json::to_value(record).unwrap_or_default();
            transaction = transaction.with_check(key.as_str(), revision);
            transaction = match record.state.is_over() {
                true => transaction
                    .with_delete(key)
                    .with_write(ended_key(&record.id), value),
                false => transaction.with_write(key, value),
            };
        }
        for (host, jobs) in self.changed_hosts(changed) {
            let key = host_jobs_key(&host);
            let stored = self.hosts.get(&host);
            let revision = stored.map_or(Revision::new(0), |stored| stored.revision);
            transaction = transaction.with_check(key.as_str(), revision);
            transaction = match jobs.is_empty() {
                true => transaction.with_delete(key),
                false => {
                    let value = serde_json::to_value(jobs).unwrap_or_default();
                    transaction.with_write(key, value)
                }
            };
        }
        transaction
    }

    /// Applies changes that were committed at `revision`.
    pub(super) fn apply_commit(&mut self, changed: Vec<JobRecord>, revision: Revision) {
        for (host, jobs) in self.changed_hosts(&changed) {
            match jobs.is_empty() {
                true => self.hosts.remove(&host),
                false => self.hosts.insert(host, HostJobsRow { revision, jobs }),
            };
        }
        for record in changed {
            let id = record.id.clone();
            match record.state.is_over() {
                true => self.jobs.remove(&id),
                false => self.jobs.insert(id, StoredJob { record, revision }),
            };
        }
    }

    /// Returns the new job list of each worker to which the changes add a job or from which they
    /// remove one.
    fn changed_hosts(&self, changed: &[JobRecord]) -> BTreeMap<HostId, BTreeSet<JobId>> {
        let mut hosts = BTreeMap::<HostId, BTreeSet<JobId>>::new();
        let listed = |host: &HostId| {
            let stored = self.hosts.get(host);
            stored.map_or_else(BTreeSet::new, |stored| stored.jobs.clone())
        };
        for record in changed {
            let before = self.get(&record.id).and_then(|stored| stored.state.host());
            let after = record.state.host();
            if before == after {
                continue;
            }
            if let Some(host) = before {
                let jobs = hosts.entry(host.clone()).or_insert_with(|| listed(host));
                jobs.remove(&record.id);
            }
            if let Some(host) = after {
                let jobs = hosts.entry(host.clone()).or_insert_with(|| listed(host));
                jobs.insert(record.id.clone());
            }
        }
        hosts
    }
}
