//! Whether a failed run is the job's fault or its worker's.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::HostId;
use crate::id::JobId;
use crate::job::JobRecord;

/// The different jobs that fail on a worker, with none done between, before it is left alone.
const QUARANTINE_FAILED_JOBS: usize = 3;
/// The workers on which a job fails before it counts as failed.
const MAX_FAILED_WORKERS: usize = 3;
/// How long a worker is left alone at first; each further time takes twice as long.
const FIRST_QUARANTINE: Duration = Duration::from_secs(30);
/// The greatest number of doublings of that time.
const MAX_DOUBLINGS: u32 = 6;

/// Whether a worker gets jobs.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WorkerTrust {
    /// It gets jobs.
    Trusted,
    /// It gets one job that may run again, to see whether it works.
    OnProbation,
    /// It gets none.
    Quarantined,
}

#[derive(Clone, Debug, Default)]
struct WorkerFaults {
    failed_jobs: BTreeSet<JobId>,
    quarantines: u32,
    until: Option<Instant>,
}

/// Judges workers by the jobs that fail on them, and jobs by the workers.
#[derive(Clone, Debug, Default)]
pub struct FaultDetector {
    workers: HashMap<HostId, WorkerFaults>,
}

impl FaultDetector {
    /// Creates a judge that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes that a job was done on a worker.
    pub fn record_success(&mut self, host: &HostId) {
        self.workers.remove(host);
    }

    /// Notes that a job failed on a worker, and returns whether the worker is now left alone.
    pub fn record_failure(&mut self, host: &HostId, job: &JobId, now: Instant) -> bool {
        let faults = self.workers.entry(host.clone()).or_default();
        faults.failed_jobs.insert(job.clone());
        let on_probation = faults.until.is_some();
        if !on_probation && faults.failed_jobs.len() < QUARANTINE_FAILED_JOBS {
            return false;
        }
        let doublings = faults.quarantines.min(MAX_DOUBLINGS);
        faults.until = Some(now + FIRST_QUARANTINE * 2_u32.pow(doublings));
        faults.quarantines += 1;
        true
    }

    /// Returns whether a worker gets jobs now.
    pub fn trust(&self, host: &HostId, now: Instant) -> WorkerTrust {
        let until = self.workers.get(host).and_then(|faults| faults.until);
        match until {
            None => WorkerTrust::Trusted,
            Some(until) if until <= now => WorkerTrust::OnProbation,
            Some(_) => WorkerTrust::Quarantined,
        }
    }

    /// Tells whether a job has failed on so many workers in good standing that it is at fault.
    pub fn is_at_fault(&self, job: &JobRecord, now: Instant) -> bool {
        let trusted = job
            .failed_on
            .iter()
            .filter(|host| self.trust(host, now) == WorkerTrust::Trusted);
        trusted.count() >= MAX_FAILED_WORKERS
    }
}
