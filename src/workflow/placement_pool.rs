//! Chooses workers for the tasks of a step.
//!
//! At a demand peak a pool of hundreds of workers receives hundreds of wide steps a second while
//! it is nearly full. The tasks of a step are alike, so the workers are compared once for several
//! of them, from a copy of what the choice depends on, instead of once for each task.
//!
//! A best-fit choice keeps the larger gaps for larger tasks. Tasks of long-running steps are
//! spread over racks, so that the loss of one rack affects few of them.

use std::collections::HashMap;
use std::rc::Rc;

use crate::id::WorkerId;
use crate::workflow::StepSpec;
use crate::workflow::TaskState;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerResources;
use crate::workflow::WorkerState;

/// A worker that accepts tasks.
struct Candidate {
    entry: Rc<WorkerEntry>,
    free: WorkerResources,
    has_long_running: bool,
    upkeep_due: bool,
}

impl Candidate {
    fn rack(&self) -> Option<&str> {
        self.entry.rack()
    }

    /// Returns whether a task of the step fits, apart from the step's limit for each worker.
    fn fits(&self, step: &StepSpec, reserved: &WorkerResources) -> bool {
        let label = step.required_label.as_ref();
        reserved.fits(&self.free) && label.is_none_or(|label| self.entry.labels.contains(label))
    }
}

/// The workers of one service that accept tasks, for the length of a placement pass.
#[derive(Default)]
pub struct PlacementPool {
    candidates: Vec<Candidate>,
    capacity: WorkerResources,
    used: WorkerResources,
}

/// The placed tasks of one step, by worker and rack.
struct StepSiblings {
    by_worker: HashMap<WorkerId, u32>,
    by_rack: HashMap<String, u64>,
}

impl PlacementPool {
    /// Adds a worker that accepts tasks. Of workers that suit a task equally, the first one added is
    /// chosen.
    pub fn add_worker(&mut self, worker: &WorkerState) {
        self.capacity.add(&worker.entry.capacity);
        self.used.add(&worker.used);
        self.candidates.push(Candidate {
            entry: Rc::clone(&worker.entry),
            free: worker.free_capacity(),
            has_long_running: worker.has_long_running(),
            upkeep_due: worker.upkeep_due,
        });
    }

    /// Returns the CPU capacity of all workers, used or not, in millicores.
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

    /// Chooses a worker for each of the `waiting` tasks of a step and reserves its resources.
    /// `placed` are the workers of the step's other tasks. Ends with the first task that fits on
    /// no worker.
    pub fn choose_workers(
        &mut self,
        step: &StepSpec,
        waiting: &[&TaskState],
        placed: &[&WorkerState],
    ) -> Vec<WorkerId> {
        let reserved = step.reserved();
        let mut siblings = StepSiblings::new(step, placed);
        let mut chosen: Vec<WorkerId> = Vec::with_capacity(waiting.len());
        let mut last: Option<usize> = None;
        for task in waiting {
            // Best fit chooses the worker that the last task was placed on until it is full.
            let again = last.filter(|&position| {
                is_ordinary(step, task) && self.candidates[position].fits(step, &reserved)
            });
            let best = again.or_else(|| self.best_fit(step, task, &siblings));
            let Some(position) = best else {
                return chosen;
            };
            last = is_ordinary(step, task).then_some(position);
            self.reserve(position, step, &mut siblings);
            chosen.push(self.candidates[position].entry.id.clone());
        }
        chosen
    }

    /// Returns the resources of tasks of a step that were chosen but are not placed.
    pub fn release(&mut self, step: &StepSpec, chosen: &[WorkerId]) {
        for id in chosen {
            let candidate = self.candidates.iter_mut().find(|one| one.entry.id == *id);
            if let Some(candidate) = candidate {
                candidate.free.add(&step.reserved());
            }
        }
    }

    fn best_fit(
        &self,
        step: &StepSpec,
        task: &TaskState,
        siblings: &StepSiblings,
    ) -> Option<usize> {
        let reserved = step.reserved();
        let fitting = self.candidates.iter().enumerate().filter(|(_, candidate)| {
            candidate.fits(step, &reserved) && siblings.permit(step, &candidate.entry.id)
        });
        let best = fitting.min_by_key(|(_, candidate)| cost(candidate, step, task, siblings));
        best.map(|(position, _)| position)
    }

    fn reserve(&mut self, position: usize, step: &StepSpec, siblings: &mut StepSiblings) {
        let candidate = &mut self.candidates[position];
        candidate.free = candidate.free.saturating_sub(&step.reserved());
        candidate.has_long_running |= step.long_running;
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
/// also for one whose host is due for upkeep.
fn cost(
    candidate: &Candidate,
    step: &StepSpec,
    task: &TaskState,
    siblings: &StepSiblings,
) -> [u64; 4] {
    let free_millis = candidate.free.cpu_millis;
    let failed = task.failed_on.contains(&candidate.entry.id);
    if step.backfill {
        return [u64::from(failed), 0, 0, u64::MAX - free_millis];
    }
    if step.long_running {
        // Long-running tasks are packed on few hosts, so that the others can move to another
        // pool; tasks of one step are spread over racks.
        return [
            u64::from(candidate.upkeep_due || failed),
            siblings.on_rack(candidate.rack()),
            u64::from(!candidate.has_long_running),
            u64::MAX - free_millis,
        ];
    }
    let off_rack = step.data_rack.is_some() && step.data_rack.as_deref() != candidate.rack();
    [u64::from(failed), u64::from(off_rack), 0, free_millis]
}

impl StepSiblings {
    fn new(step: &StepSpec, placed: &[&WorkerState]) -> Self {
        let mut siblings = Self {
            by_worker: HashMap::new(),
            by_rack: HashMap::new(),
        };
        for worker in placed {
            siblings.add(step, &worker.entry);
        }
        siblings
    }

    /// Counts a task on a worker, as far as the step depends on it.
    fn add(&mut self, step: &StepSpec, entry: &WorkerEntry) {
        if step.max_per_worker > 0 {
            *self.by_worker.entry(entry.id.clone()).or_default() += 1;
        }
        if step.long_running {
            let rack = entry.rack().unwrap_or_default().to_owned();
            *self.by_rack.entry(rack).or_default() += 1;
        }
    }

    /// Returns whether a worker holds fewer tasks of the step than `max_per_worker`.
    fn permit(&self, step: &StepSpec, id: &WorkerId) -> bool {
        step.max_per_worker == 0
            || self.by_worker.get(id).copied().unwrap_or(0) < step.max_per_worker
    }

    fn on_rack(&self, rack: Option<&str>) -> u64 {
        let count = self.by_rack.get(rack.unwrap_or_default());
        count.copied().unwrap_or(0)
    }
}
