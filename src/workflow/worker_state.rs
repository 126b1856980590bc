//! What the controller believes of one worker.

use std::collections::BTreeSet;

use crate::workflow::StepSpec;
use crate::workflow::TaskName;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerResources;

/// A worker's clock may be this much slower than ours, in thousandths; the platform states 2%.
const CLOCK_DRIFT_PER_MILLE: u64 = 25;

/// The failures in a row after which a worker is left alone: two may be one faulty job.
const QUARANTINE_FAILURES: u32 = 4;

/// How long a distrusted worker gets no new tasks, in ms: about twice a usual task.
const QUARANTINE_MS: u64 = 4_000;

/// A worker that has not answered for this long gets no new tasks, in ms: over one long poll.
const UNRESPONSIVE_LIMIT_MS: u64 = 1_600;

/// The longest lease that a worker grants, in ms; the platform's bound.
const MAX_LEASE_MS: u64 = 10_000;

/// Why a worker is emptied.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CordonReason {
    /// Its host is due for upkeep.
    Upkeep,
    /// Its host is to move to this pool.
    Move(String),
}

/// A worker with what runs on it.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// How the platform lists it.
    pub entry: WorkerEntry,
    /// The platform lists it.
    pub listed: bool,
    /// It has accepted the controller's epoch.
    pub fenced: bool,
    /// What its tasks take.
    pub used: WorkerResources,
    /// The tasks placed on it.
    pub tasks: BTreeSet<TaskName>,
    /// The last end that was applied.
    pub applied_end: u64,
    /// The last end that is recorded durably.
    pub durable_end: u64,
    /// The end of its lease, on its own clock in ms.
    pub lease_ms: u64,
    /// Since when it has not answered, in ms; 0 while it answers.
    pub unresponsive_since_ms: u64,
    /// When it last answered, in ms.
    pub answered_ms: u64,
    /// Why it gets no new tasks, if it is emptied for an order on its host.
    pub cordon: Option<CordonReason>,
    /// When a run last ended well there, in ms.
    pub last_success_ms: u64,
    /// Its host is due for upkeep, so that it will be emptied soon.
    pub upkeep_due: bool,
    clock: Option<(u64, u64)>,
    failures: u32,
    quarantined_until_ms: u64,
}

impl WorkerState {
    /// Creates the state of a worker that runs nothing, as far as is known.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            entry,
            listed: true,
            fenced: false,
            used: WorkerResources::default(),
            tasks: BTreeSet::new(),
            applied_end: 0,
            durable_end: 0,
            lease_ms: 0,
            unresponsive_since_ms: 0,
            answered_ms: 0,
            cordon: None,
            last_success_ms: 0,
            upkeep_due: false,
            clock: None,
            failures: 0,
            quarantined_until_ms: 0,
        }
    }

    /// Returns the room that is left.
    pub fn free_capacity(&self) -> WorkerResources {
        self.entry.capacity.saturating_sub(&self.used)
    }

    /// Places a task.
    pub fn add_task(&mut self, task: TaskName, step: &StepSpec) {
        if self.tasks.insert(task) {
            self.used.add(&step.reserved());
        }
    }

    /// Takes a task off.
    pub fn remove_task(&mut self, task: &TaskName, step: &StepSpec) {
        if self.tasks.remove(task) {
            self.used = self.used.saturating_sub(&step.reserved());
        }
    }

    /// Notes an answer that showed the worker's clock.
    pub fn record_answer(&mut self, clock_ms: u64, now_ms: u64) {
        if self.clock.is_none() && !self.tasks.is_empty() {
            // An earlier controller gave the lease, at an unknown time.
            self.lease_ms = self.lease_ms.max(clock_ms + MAX_LEASE_MS);
        }
        self.clock = Some((clock_ms, now_ms));
        self.unresponsive_since_ms = 0;
        self.answered_ms = now_ms;
    }

    /// Notes a call without an answer.
    pub fn record_unresponsive(&mut self, now_ms: u64) {
        if self.unresponsive_since_ms == 0 {
            self.unresponsive_since_ms = now_ms;
        }
    }

    /// Returns the end of the next lease to ask for, on the worker's clock in ms. A worker
    /// that doesn't answer is only looked at, since each lease delays the proof of its end.
    pub fn next_lease_ms(&self, length_ms: u64, now_ms: u64) -> Option<u64> {
        if self.tasks.is_empty() || self.unresponsive_since_ms > 0 {
            return None;
        }
        Some(self.clock_ms(now_ms)? + length_ms)
    }

    /// Returns the worker's clock, if it was ever seen.
    pub fn clock_ms(&self, now_ms: u64) -> Option<u64> {
        self.clock
            .map(|(clock, seen)| clock + now_ms.saturating_sub(seen))
    }

    /// Tells whether the lease of all that runs there has surely ended.
    pub fn is_lease_expired(&self, now_ms: u64) -> bool {
        let Some((clock, seen)) = self.clock else {
            return false;
        };
        let passed = now_ms.saturating_sub(seen);
        let sure = passed - passed * CLOCK_DRIFT_PER_MILLE / 1_000;
        clock + sure > self.lease_ms
    }

    /// Tells whether it is about to go, or gone: nothing may be started there any more.
    pub fn is_leaving(&self) -> bool {
        !self.listed || self.entry.draining || self.cordon.is_some()
    }

    /// Tells whether new tasks may be placed there.
    pub fn accepts_tasks(&self, now_ms: u64) -> bool {
        let responsive = self.unresponsive_since_ms == 0
            || now_ms < self.unresponsive_since_ms + UNRESPONSIVE_LIMIT_MS / 4;
        self.fenced && !self.is_leaving() && responsive && now_ms >= self.quarantined_until_ms
    }

    /// Notes that a run failed there; returns whether the worker is now left alone for a while.
    pub fn record_failure(&mut self, now_ms: u64) -> bool {
        self.failures += 1;
        if self.failures < QUARANTINE_FAILURES {
            return false;
        }
        self.failures = QUARANTINE_FAILURES - 1;
        self.quarantine(now_ms);
        true
    }

    /// Notes that a run ended well there.
    pub fn record_success(&mut self, now_ms: u64) {
        self.failures = 0;
        self.last_success_ms = now_ms;
    }

    /// Keeps new tasks off for a while.
    pub fn quarantine(&mut self, now_ms: u64) {
        self.quarantined_until_ms = now_ms + QUARANTINE_MS;
    }

    /// Returns the worker's rack, the label after its kind.
    pub fn rack(&self) -> Option<&str> {
        self.entry.labels.get(1).map(String::as_str)
    }
}
