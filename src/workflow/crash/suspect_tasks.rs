//! Tasks that may crash their workers, and the workers on which they are tried.

use std::collections::BTreeMap;

use crate::id::JobId;
use crate::id::WorkerId;
use crate::workflow::crash::trial_workers::TrialWorkers;
use crate::workflow::TaskName;

/// The time in ms within which the loss of another worker of a rack makes it likely that the rack was
/// lost: two intervals of the list of hosts.
const RACK_LOSS_MS: u64 = 400;

/// What is known of tasks that may crash their workers.
#[derive(Debug, Default)]
pub(crate) struct SuspectTasks {
    /// The suspects, with the time of the last crash that counted, in ms.
    since_ms: BTreeMap<TaskName, u64>,
    /// When workers were last kept in vain for a suspect, in ms.
    expired_ms: BTreeMap<TaskName, u64>,
    /// The workers on which suspects are tried, which get no other tasks.
    pub(crate) trial_workers: TrialWorkers,
    /// The last crashes, by rack.
    rack_crashes: BTreeMap<String, (WorkerId, u64)>,
    /// Crashes that counted, and jobs that were given up, since they were last taken.
    counts: CrashCounts,
}

/// Numbers of crashes and of what followed.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct CrashCounts {
    /// Crashes that count against tasks.
    pub crashes: u64,
    /// Jobs that failed because a task crashes its workers.
    pub given_up: u64,
    /// Suspects whose worker has survived their start.
    pub cleared: u64,
}

impl SuspectTasks {
    /// Returns whether no task is suspected, and none is tried.
    pub(crate) fn is_empty(&self) -> bool {
        self.since_ms.is_empty() && self.trial_workers.is_empty()
    }

    /// Returns the number of suspects.
    pub(crate) fn len(&self) -> usize {
        self.since_ms.len()
    }

    /// Records that a task may have crashed a worker at `now_ms`.
    pub(crate) fn insert(&mut self, name: TaskName, now_ms: u64) {
        self.since_ms.insert(name, now_ms);
    }

    /// Clears a suspect.
    pub(crate) fn remove(&mut self, name: &TaskName) {
        self.since_ms.remove(name);
        self.expired_ms.remove(name);
    }

    /// Opens the workers that were kept for too long, and lets the suspects that they were kept for wait for
    /// the others.
    pub(crate) fn open_expired(&mut self, now_ms: u64) {
        for name in self.trial_workers.open_expired(now_ms) {
            self.expired_ms.insert(name, now_ms);
        }
    }

    /// Returns when workers were last kept in vain for a suspect, in ms; 0 if they never were.
    pub(crate) fn expired_ms(&self, name: &TaskName) -> u64 {
        self.expired_ms.get(name).copied().unwrap_or(0)
    }

    /// Returns when a task last became a suspect, in ms; `None` if it is none.
    pub(crate) fn since_ms(&self, name: &TaskName) -> Option<u64> {
        self.since_ms.get(name).copied()
    }

    /// Iterates over the suspects.
    pub(crate) fn iter(&self) -> impl Iterator<Item = &TaskName> {
        self.since_ms.keys()
    }

    /// Iterates over the suspects of a job.
    pub(crate) fn of_job<'a>(&'a self, job: &'a JobId) -> impl Iterator<Item = &'a TaskName> {
        let first = TaskName {
            job: job.clone(),
            occurrence: 0,
            step: 0,
            index: 0,
        };
        let names = self.since_ms.range(first..).map(|(name, _)| name);
        names.take_while(move |name| name.job == *job)
    }

    /// Records the crash of a worker in a rack. Returns whether another one crashed there at about the
    /// same time.
    pub(crate) fn record_rack_crash(&mut self, rack: &str, id: &WorkerId, now_ms: u64) -> bool {
        let before = self
            .rack_crashes
            .insert(rack.to_owned(), (id.clone(), now_ms));
        before.is_some_and(|(other, at_ms)| other != *id && now_ms <= at_ms + RACK_LOSS_MS)
    }

    /// Counts a crash.
    pub(crate) fn count_crash(&mut self) {
        self.counts.crashes += 1;
    }

    /// Counts a job that is given up.
    pub(crate) fn count_given_up(&mut self) {
        self.counts.given_up += 1;
    }

    /// Counts a suspect that is cleared.
    pub(crate) fn count_cleared(&mut self) {
        self.counts.cleared += 1;
    }

    /// Takes the numbers since the last call.
    pub(crate) fn take_counts(&mut self) -> CrashCounts {
        std::mem::take(&mut self.counts)
    }
}
