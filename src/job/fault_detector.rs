//! Decides whether failed runs are the fault of the job or of the worker.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::HostId;
use crate::id::JobId;
use crate::job::JobRecord;

/// Distinct jobs that must fail on a worker, without a success in between, to quarantine it.
const MIN_FAILED_JOBS: usize = 3;
/// Trusted workers on which a job must fail to be considered at fault itself.
const MIN_FAILED_WORKERS: usize = 3;
/// Length of the first quarantine; each further one is twice as long.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// Limits the longest quarantine to 64 times the first.
const MAX_DOUBLINGS: u32 = 6;

/// Whether a worker may receive jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerTrust {
    /// The worker receives jobs.
    Trusted,
    /// The quarantine is over; as a test, the worker receives one job at a time, which must have
    /// checkpoints or be repeatable.
    OnProbation,
    /// The worker receives no jobs.
    Quarantined,
}

#[derive(Clone, Debug, Default)]
struct WorkerFaults {
    /// Jobs that have failed on the worker since the last success.
    failed_jobs: BTreeSet<JobId>,
    /// Quarantines since the last success.
    quarantines: u32,
    /// End of the last quarantine; kept until a success, and in the past during probation.
    quarantined_until: Option<Instant>,
}

/// Tracks failed runs and attributes them to workers or jobs.
#[derive(Clone, Debug, Default)]
pub struct FaultDetector {
    workers: HashMap<HostId, WorkerFaults>,
}

impl FaultDetector {
    /// Creates a detector that trusts every worker.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records that a job finished on a worker, and clears the worker's failures and quarantines.
    pub fn record_success(&mut self, host: &HostId) {
        self.workers.remove(host);
    }

    /// Records that a job failed on a worker and returns whether the worker is now quarantined.
    ///
    /// Until a job has finished on the worker, a single failure after a quarantine is enough for
    /// another one.
    pub fn record_failure(&mut self, host: &HostId, job: &JobId, now: Instant) -> bool {
        let faults = self.workers.entry(host.clone()).or_default();
        faults.failed_jobs.insert(job.clone());
        let was_quarantined = faults.quarantined_until.is_some();
        if !was_quarantined && faults.failed_jobs.len() < MIN_FAILED_JOBS {
            return false;
        }
        let doublings = faults.quarantines.min(MAX_DOUBLINGS);
        faults.quarantined_until = Some(now + FIRST_QUARANTINE * 2_u32.pow(doublings));
        faults.quarantines += 1;
        true
    }

    /// Returns whether a worker may receive jobs at `now`.
    pub fn trust(&self, host: &HostId, now: Instant) -> WorkerTrust {
        let until = self
            .workers
            .get(host)
            .and_then(|faults| faults.quarantined_until);
        match until {
            None => WorkerTrust::Trusted,
            Some(until) if until <= now => WorkerTrust::OnProbation,
            Some(_) => WorkerTrust::Quarantined,
        }
    }

    /// Returns whether a job has failed on enough trusted workers to be at fault itself.
    pub fn is_at_fault(&self, job: &JobRecord, now: Instant) -> bool {
        let trusted = job
            .failed_on
            .iter()
            .filter(|host| self.trust(host, now) == WorkerTrust::Trusted);
        trusted.count() >= MIN_FAILED_WORKERS
    }
}
