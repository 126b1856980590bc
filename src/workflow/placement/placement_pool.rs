//! Chooses workers for the tasks of a step.
//!
//! At a demand peak a pool of hundreds of workers receives hundreds of wide steps a second while
//! it is nearly full. The tasks of a step are alike, so the workers are compared once for several
//! of them, from a copy of what the choice depends on, instead of once for each task.
//!
//! A best-fit choice keeps the larger gaps for larger tasks. Tasks of long-running steps are
//! spread over racks, so that the loss of one rack affects few of them.

use std::rc::Rc;

use crate::id::WorkerId;
use crate::workflow::placement::placement_candidate::DueTime;
use crate::workflow::placement::placement_candidate::PlacementCandidate;
use crate::workflow::placement::step_siblings::StepSiblings;
use crate::workflow::SlowdownFactor;
use crate::workflow::StepSpec;
use crate::workflow::TaskState;
use crate::workflow::WorkerResources;
use crate::workflow::WorkerState;

/// The workers of one service that accept tasks, for the length of a placement pass.
#[derive(Default)]
pub struct PlacementPool {
    candidates: Vec<PlacementCandidate>,
    /// A slow worker's CPU counts by the work that it does.
    capacity: WorkerResources,
    used: WorkerResources,
    /// The largest capacity of a worker, and an upper bound of what is free on one, each resource by itself.
    largest_capacity: WorkerResources,
    largest_free: WorkerResources,
    /// The CPU capacity of workers that are as fast as expected, in millicores.
    fast_millis: u64,
    /// The smallest slowdown of a slow worker.
    min_slowdown: Option<SlowdownFactor>,
    /// The work that waits for workers as fast as expected, in millicores times ms.
    waiting_work: u64,
    /// The CPU capacity of all workers, those in quarantine included, and what tasks reserve of it, in millicores.
    listed_millis: u64,
    reserved_millis: u64,
}

impl PlacementPool {
    /// Adds a worker that accepts tasks. Of workers that suit a task equally, the first one added is
    /// chosen.
    pub fn add_worker(&mut self, worker: &WorkerState, now_ms: u64) {
        let candidate = self.new_candidate(worker, now_ms);
        let slowdown = candidate.slowdown;
        let cpu_millis = worker.entry.capacity.cpu_millis;
        self.capacity.add(&WorkerResources {
            cpu_millis: slowdown.shrink(cpu_millis),
            ..worker.entry.capacity
        });
        self.used.add(&worker.used);
        self.largest_capacity.extend_to(&worker.entry.capacity);
        self.largest_free.extend_to(&candidate.free);
        if candidate.is_slow() {
            let smallest = self.min_slowdown.unwrap_or(slowdown);
            self.min_slowdown = Some(smallest.min(slowdown));
        } else if !candidate.is_probe {
            self.fast_millis += cpu_millis;
        }
        self.candidates.push(candidate);
    }

    /// Adds a worker in quarantine, which gets no tasks but those that [`Self::choose_despite_health`] places.
    pub(crate) fn add_quarantined(&mut self, worker: &WorkerState, now_ms: u64) {
        let mut candidate = self.new_candidate(worker, now_ms);
        candidate.slots = 0;
        candidate.is_quarantined = true;
        self.candidates.push(candidate);
    }

    fn new_candidate(&mut self, worker: &WorkerState, now_ms: u64) -> PlacementCandidate {
        self.listed_millis += worker.entry.capacity.cpu_millis;
        self.reserved_millis += worker.used.cpu_millis;
        let limit = worker.health.task_limit(now_ms);
        let slots = limit.map(|limit| limit.saturating_sub(worker.tasks.len() as u32));
        PlacementCandidate {
            entry: Rc::clone(&worker.entry),
            free: worker.free_capacity(),
            has_long_running: worker.has_long_running(),
            upkeep_due: worker.upkeep_due,
            slots: slots.unwrap_or(u32::MAX),
            excess: 0,
            is_probe: worker.health.is_probe(now_ms),
            is_quarantined: false,
            slowdown: worker.health.slowdown(),
            is_kept: false,
        }
    }

    /// Returns whether tasks that have waited for long may be placed whatever is thought of the workers: some
    /// are limited by it, and less than half of the CPU of all is in use, so that others are not kept from
    /// better ones.
    pub(crate) fn may_ignore_health(&self) -> bool {
        2 * self.reserved_millis < self.listed_millis
            && self.candidates.iter().any(PlacementCandidate::is_limited)
    }

    /// Returns the number of workers that distrust limits.
    pub(crate) fn limited_count(&self) -> usize {
        let limited = self.candidates.iter().filter(|one| one.is_limited());
        limited.count()
    }

    /// Returns the CPU capacity of all workers, used or not, in millicores. A slow worker counts by
    /// the work that it does.
    pub fn capacity_millis(&self) -> u64 {
        self.capacity.cpu_millis
    }

    /// Returns the capacity of all workers, used or not.
    pub fn capacity(&self) -> &WorkerResources {
        &self.capacity
    }

    /// Returns the resources that tasks reserved on the workers when these were added.
    pub fn used(&self) -> &WorkerResources {
        &self.used
    }

    /// Returns whether tasks reserved more than three quarters of the CPU when the workers were added.
    pub(crate) fn is_busy(&self) -> bool {
        4 * self.used.cpu_millis > 3 * self.capacity.cpu_millis
    }

    /// Adds work of more urgent jobs that waits for workers, in millicores times ms.
    pub fn add_waiting_work(&mut self, work: u64) {
        self.waiting_work = self.waiting_work.saturating_add(work);
    }

    /// Returns whether the pool has slow workers, on which tasks are placed only if they would wait
    /// for longer.
    pub fn has_slow_workers(&self) -> bool {
        self.min_slowdown.is_some()
    }

    /// Returns whether a task may end sooner on a slow worker than by waiting for another one.
    /// `expected_ms` is its expected duration, and `waited_ms` how long it has waited.
    pub fn may_use_slow_worker(&self, expected_ms: u64, waited_ms: u64) -> bool {
        let due = self.due_time(expected_ms, waited_ms);
        let smallest = self.min_slowdown;
        smallest.is_some_and(|slowdown| slowdown.stretch(expected_ms) <= due.limit_ms)
    }

    fn due_time(&self, expected_ms: u64, waited_ms: u64) -> DueTime {
        let wait_ms = self.waiting_work.checked_div(self.fast_millis);
        let wait_ms = wait_ms.unwrap_or(u64::MAX).max(waited_ms);
        DueTime {
            expected_ms,
            limit_ms: wait_ms.saturating_add(expected_ms),
            ignores_health: false,
        }
    }

    /// Chooses a worker for each of the `waiting` tasks of a step and reserves its resources.
    /// `placed` are the workers of the step's other tasks, `expected_ms` is the expected duration of
    /// a task and `waited_ms` how long the tasks have waited. Ends with the first task that fits on
    /// no worker or ends sooner by waiting.
    pub fn choose_workers(
        &mut self,
        step: &StepSpec,
        waiting: &[&TaskState],
        placed: &[&WorkerState],
        (expected_ms, waited_ms): (u64, u64),
    ) -> Vec<WorkerId> {
        let reserved = step.reserved();
        if !self.may_fit(&reserved) {
            return Vec::new();
        }
        let mut due = self.due_time(expected_ms, waited_ms);
        if step.long_running || !self.has_fast_worker(step, &reserved) {
            due.limit_ms = u64::MAX;
        }
        self.choose_within(step, waiting, placed, &due)
    }

    /// Like [`Self::choose_workers`], for tasks that have waited for so long that distrust no longer keeps them
    /// from any worker. Trusted ones are still preferred.
    pub(crate) fn choose_despite_health(
        &mut self,
        step: &StepSpec,
        waiting: &[&TaskState],
        placed: &[&WorkerState],
    ) -> Vec<WorkerId> {
        let due = DueTime {
            expected_ms: 0,
            limit_ms: u64::MAX,
            ignores_health: true,
        };
        self.choose_within(step, waiting, placed, &due)
    }

    fn choose_within(
        &mut self,
        step: &StepSpec,
        waiting: &[&TaskState],
        placed: &[&WorkerState],
        due: &DueTime,
    ) -> Vec<WorkerId> {
        let reserved = step.reserved();
        let mut siblings = StepSiblings::new(step, placed);
        let mut chosen: Vec<WorkerId> = Vec::with_capacity(waiting.len());
        let mut last: Option<usize> = None;
        for task in waiting {
            // Best fit chooses the worker that the last task was placed on until it is full.
            let again = last.filter(|&position| {
                is_ordinary(step, task) && self.candidates[position].fits(step, &reserved, due)
            });
            let best = again.or_else(|| self.best_fit(step, task, &siblings, due));
            let Some(position) = best else {
                self.update_largest_free();
                return chosen;
            };
            last = is_ordinary(step, task).then_some(position);
            self.reserve(position, step, &mut siblings);
            chosen.push(self.candidates[position].entry.id.clone());
        }
        chosen
    }

    /// Returns whether a worker may have `reserved` free: if not, none has.
    pub(crate) fn may_fit(&self, reserved: &WorkerResources) -> bool {
        reserved.fits(&self.largest_free)
    }

    /// Returns whether no worker has the capacity for `reserved`, used or not, although there are some.
    pub(crate) fn is_too_small(&self, reserved: &WorkerResources) -> bool {
        self.len() > 0 && !reserved.fits(&self.largest_capacity)
    }

    fn update_largest_free(&mut self) {
        let open = self.candidates.iter();
        let open = open.filter(|one| one.slots > 0 && !one.is_kept);
        self.largest_free = open.fold(WorkerResources::default(), |mut largest, one| {
            largest.extend_to(&one.free);
            largest
        });
    }

    /// Returns the number of workers that accept tasks.
    pub(crate) fn len(&self) -> usize {
        self.accepting().count()
    }

    /// Returns whether a worker accepts tasks.
    pub(crate) fn contains(&self, id: &WorkerId) -> bool {
        self.accepting().any(|one| one.entry.id == *id)
    }

    fn accepting(&self) -> impl Iterator<Item = &PlacementCandidate> {
        self.candidates.iter().filter(|one| !one.is_quarantined)
    }

    /// Keeps a worker for a task that may crash it: no other one is placed there.
    pub(crate) fn keep(&mut self, id: &WorkerId) {
        let candidate = self.candidates.iter_mut().find(|one| one.entry.id == *id);
        if let Some(candidate) = candidate {
            candidate.is_kept = true;
        }
    }

    /// Chooses workers for the `waiting` tasks of a step, which may crash them and start together: those
    /// whose crash would harm the fewest tasks, if possible ones that `was_kept` names, and only such as
    /// `may_keep` allows. `placed` are the workers of the step's other tasks. Returns none if one of the
    /// tasks has no room now. Reserves nothing.
    pub(crate) fn choose_for_trial(
        &self,
        step: &StepSpec,
        waiting: &[&TaskState],
        placed: &[&WorkerState],
        may_keep: impl Fn(&WorkerId) -> bool,
        was_kept: impl Fn(&WorkerId) -> bool,
    ) -> Vec<WorkerId> {
        let reserved = step.reserved();
        let mut siblings = StepSiblings::new(step, placed);
        let mut positions: Vec<usize> = Vec::with_capacity(waiting.len());
        for task in waiting {
            let fitting = self
                .candidates
                .iter()
                .enumerate()
                .filter(|(position, one)| {
                    let chosen = positions.iter().filter(|other| *other == position).count();
                    let count = chosen as u64 + 1;
                    let has_room = u64::from(one.slots) >= count
                        && reserved.times(count).fits(&one.free)
                        && one.has_label(step);
                    let id = &one.entry.id;
                    !one.is_kept && has_room && siblings.permit(step, id) && may_keep(id)
                });
            let best = fitting.min_by_key(|(position, one)| {
                let capacity = &one.entry.capacity;
                (
                    task.failed_on.contains(&one.entry.id),
                    !positions.contains(position),
                    !was_kept(&one.entry.id),
                    one.has_long_running,
                    one.rank(),
                    capacity.saturating_sub(&one.free).cpu_millis,
                    cost(one, step, task, &siblings),
                )
            });
            let Some((position, candidate)) = best else {
                return Vec::new();
            };
            siblings.add(step, &candidate.entry);
            positions.push(position);
        }
        self.ids(&positions)
    }

    fn ids(&self, positions: &[usize]) -> Vec<WorkerId> {
        let ids = positions
            .iter()
            .map(|&position| &self.candidates[position].entry.id);
        ids.cloned().collect()
    }

    /// Returns the resources of tasks of a step that were chosen but are not placed.
    pub fn release(&mut self, step: &StepSpec, chosen: &[WorkerId]) {
        for id in chosen {
            let candidate = self.candidates.iter_mut().find(|one| one.entry.id == *id);
            if let Some(candidate) = candidate {
                candidate.free.add(&step.reserved());
                candidate.return_slot();
                self.largest_free.extend_to(&candidate.free);
            }
        }
    }

    /// Returns whether a worker as fast as expected has the capacity for a task of the step, used or
    /// not.
    fn has_fast_worker(&self, step: &StepSpec, reserved: &WorkerResources) -> bool {
        let suits = |candidate: &PlacementCandidate| {
            !candidate.is_slow()
                && !candidate.is_probe
                && candidate.has_label(step)
                && reserved.fits(&candidate.entry.capacity)
        };
        !self.has_slow_workers() || self.candidates.iter().any(suits)
    }

    fn best_fit(
        &self,
        step: &StepSpec,
        task: &TaskState,
        siblings: &StepSiblings,
        due: &DueTime,
    ) -> Option<usize> {
        let reserved = step.reserved();
        let fitting = self.candidates.iter().enumerate().filter(|(_, candidate)| {
            candidate.fits(step, &reserved, due) && siblings.permit(step, &candidate.entry.id)
        });
        let best = fitting.min_by_key(|(_, candidate)| cost(candidate, step, task, siblings));
        best.map(|(position, _)| position)
    }

    fn reserve(&mut self, position: usize, step: &StepSpec, siblings: &mut StepSiblings) {
        let candidate = &mut self.candidates[position];
        candidate.free = candidate.free.saturating_sub(&step.reserved());
        candidate.has_long_running |= step.long_running;
        candidate.take_slot();
        siblings.add(step, &candidate.entry);
    }
}

/// Returns whether the choice for a task depends on nothing but the free capacity.
fn is_ordinary(step: &StepSpec, task: &TaskState) -> bool {
    let constrained = step.backfill || step.long_running || step.max_per_worker > 0;
    !constrained && step.data_rack.is_none() && task.failed_on.is_empty()
}

/// Returns the sort key of a worker that a task fits on; the smallest is chosen. The first
/// element is 1 for a worker on which the task has failed and, if the task is long-running,
/// also for one that is slow or on probation or whose host is due for upkeep.
fn cost(
    candidate: &PlacementCandidate,
    step: &StepSpec,
    task: &TaskState,
    siblings: &StepSiblings,
) -> [u64; 4] {
    let free_millis = candidate.free.cpu_millis;
    let failed = task.failed_on.contains(&candidate.entry.id);
    if step.backfill {
        return [
            u64::from(failed),
            candidate.rank(),
            0,
            u64::MAX - free_millis,
        ];
    }
    if step.long_running {
        // Long-running tasks are packed on few hosts, so that the others can move to another
        // pool; tasks of one step are spread over racks.
        return [
            u64::from(candidate.upkeep_due || failed || candidate.rank() > 0),
            siblings.on_rack(candidate.rack()),
            u64::from(!candidate.has_long_running),
            u64::MAX - free_millis,
        ];
    }
    let off_rack = step.data_rack.is_some() && step.data_rack.as_deref() != candidate.rack();
    [
        u64::from(failed),
        candidate.rank(),
        u64::from(off_rack),
        free_millis,
    ]
}
