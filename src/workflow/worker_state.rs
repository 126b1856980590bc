//! The controller's view of one worker: its tasks, lease, clock and health.

use std::collections::BTreeSet;
use std::rc::Rc;

use crate::workflow::HealthState;
use crate::workflow::StepSpec;
use crate::workflow::TaskName;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerHealth;
use crate::workflow::WorkerResources;

/// The limit on how much slower a worker's clock may run than this host's, per mille: half a
/// percentage point more than the 2% that the platform states.
const CLOCK_DRIFT_PER_MILLE: u64 = 25;

/// A limit on the time without an answer, which covers more than one long poll. A worker gets no
/// new tasks once a quarter of this limit has passed since its first unanswered call.
const UNRESPONSIVE_LIMIT_MS: u64 = 1_600;

/// The length of the leases that a controller requests, in ms. A lease must outlast a change of the
/// controller, which takes up to 2 s, and a lost call and its retry, which take another 2 s.
pub(crate) const WORKER_LEASE_MS: u64 = 4_800;

/// The longest lease that a worker grants; set by the platform.
const MAX_LEASE_MS: u64 = 10_000;

/// How far the lease that an earlier controller requested may go beyond [`WORKER_LEASE_MS`]: builds that
/// didn't allow for a slow clock took it for up to 2% of the time since its last answer ahead.
const INHERITED_LEASE_EXCESS_MS: u64 = 700;

/// The age of a worker's clock from which an idle worker is asked for it, in ms. The lease of the next
/// start is shorter by what a slow clock may have lost meanwhile.
const MAX_CLOCK_AGE_MS: u64 = 30_000;

/// How long after the end of an incarnation a run of its tasks may continue in the next one: a start
/// may be executed 12 s after it was sent, whatever its lease on the old clock, and then holds the
/// longest lease of 10 s, on a clock that runs up to 2.5% slow. A carrier may send it 0.6 s late.
const CARRIED_RUN_MS: u64 = 23_000;

/// How long after a worker's first answer a run may be listed that an earlier controller has
/// stopped: the platform allows a stop 400 ms, and the answer may be on its way for as long as a
/// short call, 250 ms, and a message of a carrier, 550 ms.
const INHERITED_STOP_MS: u64 = 1_200;

/// The limit on ends that a worker lists again and again. The platform lists 500 at a time, and the ends
/// of runs that the worker has by then must find room.
const MAX_HELD_ENDS: usize = 250;

/// Why a worker is cordoned.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CordonReason {
    /// The worker's host is due for upkeep.
    Upkeep,
    /// The worker's host is to move to the named pool.
    Move(String),
    /// No list has shown the worker's host yet, which may be wanted for a command.
    Arrival,
}

/// A worker and the tasks that are placed on it. Times are in ms on the controller's clock
/// unless stated otherwise.
#[derive(Clone, Debug)]
pub struct WorkerState {
    /// The worker's last entry in the platform's list.
    pub entry: Rc<WorkerEntry>,
    /// Whether the platform's list still contains the worker.
    pub listed: bool,
    /// Whether the worker has accepted the epoch of its incarnation, which excludes orders of earlier
    /// controllers and to earlier incarnations.
    pub has_accepted_epoch: bool,
    /// The resources that the placed tasks reserve.
    pub used: WorkerResources,
    /// The resources of listed runs that no task is placed for; all of the capacity if one of them is of
    /// an unknown job.
    pub unplaced: WorkerResources,
    /// The tasks placed on the worker, whether they run yet or not.
    pub tasks: BTreeSet<TaskName>,
    /// The sequence number of the last task end that was applied.
    pub applied_end: u64,
    /// The sequence number of the last task end that is durable and may be acknowledged.
    pub durable_end: u64,
    /// The sequence number of the last task end whose acknowledgement was answered.
    pub acknowledged_end: u64,
    /// The number of ends that the last report listed and that can't be acknowledged.
    pub held_ends: usize,
    /// The end of the worker's lease, on the worker's clock.
    pub lease_end_ms: u64,
    /// The time of the first unanswered call since the last answer; 0 while the worker answers.
    pub unresponsive_since_ms: u64,
    /// The time of the last answer.
    pub answered_ms: u64,
    /// When the next renewal is due, in ms; `None` while one is on its way, and before the first.
    pub(crate) next_renewal_ms: Option<u64>,
    /// The time of the last answer to a call of any kind.
    pub alive_ms: u64,
    /// Why the worker gets no new tasks, if it is drained for a command to its host.
    pub cordon: Option<CordonReason>,
    /// When a run last completed successfully on the worker.
    pub last_success_ms: u64,
    /// Whether the host is due for upkeep, so that the worker will soon be drained.
    pub upkeep_due: bool,
    /// Those of `tasks` that were placed on an earlier incarnation. Their starts may still reach
    /// this one.
    carried_tasks: BTreeSet<TaskName>,
    /// The time after which no run of `carried_tasks` continues.
    carried_until_ms: u64,
    /// What was learnt from the worker's tasks and calls.
    pub health: WorkerHealth,
    /// When one of `tasks` may first have run for so long that it tells the worker's speed, in ms.
    pub(crate) review_ms: u64,
    /// How many of `tasks` are long-running.
    long_running_tasks: u32,
    /// The worker's clock and the time at which it was reported.
    clock: Option<(u64, u64)>,
    /// Time up to which a run that an earlier controller has stopped may still be listed, in ms.
    unsettled_until_ms: u64,
}

impl WorkerState {
    /// Creates the state of a listed worker without known tasks.
    pub fn new(entry: WorkerEntry) -> Self {
        Self {
            entry: Rc::new(entry),
            listed: true,
            has_accepted_epoch: false,
            used: WorkerResources::default(),
            unplaced: WorkerResources::default(),
            tasks: BTreeSet::new(),
            long_running_tasks: 0,
            applied_end: 0,
            durable_end: 0,
            acknowledged_end: 0,
            held_ends: 0,
            carried_tasks: BTreeSet::new(),
            carried_until_ms: 0,
            lease_end_ms: 0,
            unresponsive_since_ms: 0,
            answered_ms: 0,
            alive_ms: 0,
            next_renewal_ms: None,
            cordon: None,
            last_success_ms: 0,
            upkeep_due: false,
            health: WorkerHealth::new(),
            review_ms: 0,
            clock: None,
            unsettled_until_ms: 0,
        }
    }

    /// Returns the capacity that no placed task reserves and no other run takes.
    pub fn free_capacity(&self) -> WorkerResources {
        let free = self.entry.capacity.saturating_sub(&self.used);
        free.saturating_sub(&self.unplaced)
    }

    /// Logs the capacity that the worker states from now on, if it differs.
    pub(crate) fn log_capacity_change(&self, next: &WorkerResources) {
        if *next == self.entry.capacity {
            return;
        }
        let (id, [cpu, memory, gpus]) = (&self.entry.id, next.amounts());
        let used = self.used.cpu_millis;
        log::info!("event=worker_capacity_changed worker={id} cpu_millis={cpu} memory_mb={memory} gpus={gpus} used_millis={used}");
    }

    /// Returns whether the capacity that the worker states holds all that is placed on it or runs there.
    pub fn is_within_capacity(&self) -> bool {
        let mut taken = self.used;
        taken.add(&self.unplaced);
        taken.fits(&self.entry.capacity)
    }

    /// Adds a task and reserves its resources; no effect if it is already placed. The worker's tasks
    /// are reviewed with the next check.
    pub fn add_task(&mut self, task: TaskName, step: &StepSpec) {
        self.add_new_task(task, step, 0);
    }

    /// Like [`Self::add_task`], for a task that has not started and need not be reviewed before
    /// `review_ms`.
    pub(crate) fn add_new_task(&mut self, task: TaskName, step: &StepSpec, review_ms: u64) {
        if self.tasks.insert(task) {
            self.review_ms = match self.tasks.len() {
                1 => review_ms,
                _ => self.review_ms.min(review_ms),
            };
            self.used.add(&step.reserved());
            self.long_running_tasks += u32::from(step.long_running);
        }
    }

    /// Adds a task that was placed on an earlier incarnation, of which this controller learnt the
    /// end at `now_ms`.
    pub fn carry_task(&mut self, task: TaskName, step: &StepSpec, now_ms: u64) {
        self.carried_tasks.insert(task.clone());
        self.carried_until_ms = now_ms + CARRIED_RUN_MS;
        self.add_task(task, step);
    }

    /// Returns whether tasks of an earlier incarnation are not released yet.
    pub fn has_carried_tasks(&self) -> bool {
        !self.carried_tasks.is_empty()
    }

    /// Returns whether a run of a carried task may continue although the worker is silent.
    pub fn may_run_carried_tasks(&self, now_ms: u64) -> bool {
        self.has_carried_tasks() && now_ms <= self.carried_until_ms
    }

    /// Removes a task and frees its resources; no effect if it is not placed.
    pub fn remove_task(&mut self, task: &TaskName, step: &StepSpec) {
        self.carried_tasks.remove(task);
        if self.tasks.remove(task) {
            self.used = self.used.saturating_sub(&step.reserved());
            self.long_running_tasks -= u32::from(step.long_running);
        }
    }

    /// Returns whether long-running tasks are placed on the worker.
    pub fn has_long_running(&self) -> bool {
        self.long_running_tasks > 0
    }

    /// Returns whether the running tasks must be looked at to know how fast the worker is.
    pub(crate) fn is_review_due(&self, common_log_ratio: f64, now_ms: u64) -> bool {
        let pace = &self.health.pace;
        pace.is_slow()
            || pace.common_log_ratio() != common_log_ratio
            || (!self.tasks.is_empty() && now_ms >= self.review_ms)
    }

    /// Records an answer that carries the worker's clock.
    pub fn record_answer(&mut self, clock_ms: u64, now_ms: u64) {
        if self.clock.is_none() && !self.tasks.is_empty() {
            // An earlier controller requested the lease, at the latest just before this answer. A start
            // for an earlier incarnation states its end on another clock.
            let length_ms = match self.has_carried_tasks() {
                true => MAX_LEASE_MS,
                false => WORKER_LEASE_MS + INHERITED_LEASE_EXCESS_MS,
            };
            self.lease_end_ms = self.lease_end_ms.max(clock_ms.saturating_add(length_ms));
            self.unsettled_until_ms = now_ms + INHERITED_STOP_MS;
        }
        self.clock = Some((clock_ms, now_ms));
        self.unresponsive_since_ms = 0;
        self.answered_ms = now_ms;
        self.alive_ms = now_ms;
    }

    /// Assumes the longest lease from `clock_ms` on the worker's clock. A call to an earlier incarnation
    /// that came late may have requested it: its end was stated on another clock.
    pub(crate) fn allow_longest_lease(&mut self, clock_ms: u64) {
        let end_ms = clock_ms.saturating_add(MAX_LEASE_MS);
        self.lease_end_ms = self.lease_end_ms.max(end_ms);
    }

    /// Returns whether the runs that the worker last listed will not be ended by a stop of an earlier
    /// controller. The worker ignores such stops once it has answered this controller, but one that
    /// came before may still be at work.
    pub fn has_settled(&self) -> bool {
        self.answered_ms >= self.unsettled_until_ms
    }

    /// Records a call without an answer.
    pub fn record_unresponsive(&mut self, now_ms: u64) {
        if self.unresponsive_since_ms == 0 {
            self.unresponsive_since_ms = now_ms;
            self.health.record_silence(now_ms);
        }
    }

    /// Returns whether the worker has to be called: it holds tasks, does not know the controller's epoch,
    /// or lists ends that are durable.
    pub(crate) fn is_renewal_due(&self, now_ms: u64) -> bool {
        !self.tasks.is_empty()
            || !self.has_accepted_epoch
            || self.durable_end > self.acknowledged_end
            || self.is_clock_old(now_ms)
    }

    /// Returns for how long a renewal has been due and not sent, in ms.
    pub(crate) fn renewal_overdue_ms(&self, now_ms: u64) -> u64 {
        let due_ms = self.next_renewal_ms.filter(|_| self.is_renewal_due(now_ms));
        due_ms.map_or(0, |due_ms| now_ms.saturating_sub(due_ms))
    }

    /// Returns the end of the next lease to request, on the worker's clock in ms. No lease is
    /// requested from an unresponsive worker, because its tasks can be released only after its last
    /// lease has expired.
    pub fn next_lease_end_ms(&self, length_ms: u64, now_ms: u64) -> Option<u64> {
        if self.tasks.is_empty() || self.unresponsive_since_ms > 0 {
            return None;
        }
        Some(self.clock_ms(now_ms)?.saturating_add(length_ms))
    }

    /// Returns the least that the worker's clock shows by now; `None` before its first answer. A lease
    /// that is requested from it on never ends later than its length says.
    pub fn clock_ms(&self, now_ms: u64) -> Option<u64> {
        let (clock_ms, read_ms) = self.clock?;
        let elapsed_ms = now_ms.saturating_sub(read_ms);
        let drift_ms = elapsed_ms * CLOCK_DRIFT_PER_MILLE / 1_000;
        Some(clock_ms.saturating_add(elapsed_ms - drift_ms))
    }

    /// Returns whether the worker's clock was read so long ago that it has to be read again.
    fn is_clock_old(&self, now_ms: u64) -> bool {
        let read_ms = self.clock.map(|(_, read_ms)| read_ms);
        read_ms.is_some_and(|read_ms| now_ms > read_ms + MAX_CLOCK_AGE_MS)
    }

    /// Returns whether the worker's lease has certainly expired, even if its clock runs slow.
    pub fn is_lease_expired(&self, now_ms: u64) -> bool {
        let clock_ms = self.clock_ms(now_ms);
        clock_ms.is_some_and(|clock_ms| clock_ms > self.lease_end_ms)
    }

    /// Returns the time after which the worker's lease has certainly expired, in ms; `None` before its first
    /// answer.
    pub(crate) fn lease_left_ms(&self, now_ms: u64) -> Option<u64> {
        let left_ms = self.lease_end_ms.saturating_sub(self.clock_ms(now_ms)?);
        // The clock may run slow, and both times are rounded down.
        Some((left_ms + 1) * 1_000 / (1_000 - CLOCK_DRIFT_PER_MILLE) + 1)
    }

    /// Returns whether the worker is unlisted, draining or cordoned, so that nothing may be
    /// started there.
    pub fn is_leaving(&self) -> bool {
        !self.listed || self.entry.draining || self.cordon.is_some()
    }

    /// Returns whether new tasks may be placed on the worker.
    pub fn accepts_tasks(&self, now_ms: u64) -> bool {
        self.may_accept_tasks(now_ms) && self.health.state(now_ms) != HealthState::Quarantined
    }

    /// Returns whether new tasks may be placed on the worker once no quarantine keeps them off.
    pub(crate) fn may_accept_tasks(&self, now_ms: u64) -> bool {
        let responsive = self.unresponsive_since_ms == 0
            || now_ms < self.unresponsive_since_ms + UNRESPONSIVE_LIMIT_MS / 4;
        self.has_accepted_epoch
            && !self.is_leaving()
            && self.held_ends < MAX_HELD_ENDS
            && responsive
    }
}
