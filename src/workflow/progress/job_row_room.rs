//! The room that a job's durable row has for runs and checkpoints.

use crate::id::WorkerId;
use crate::workflow::job_spec::MAX_OCCURRENCE_TASKS;
use crate::workflow::progress::row_bytes::RowBytes;
use crate::workflow::progress::row_room::RowRoom;
use crate::workflow::progress::row_totals::StepKey;
use crate::workflow::progress::step_progress::StepProgress;
use crate::workflow::progress::task_state::exact_run_bytes;
use crate::workflow::progress::task_state::run_row_bytes;
use crate::workflow::progress::task_state::RUN_ROW_BYTES;
use crate::workflow::JobState;
use crate::workflow::StepSpec;
use crate::workflow::StepTasks;
use crate::workflow::TaskName;
use crate::workflow::TaskState;

/// The bytes of a job's durable row besides its tasks and its owner's name.
const ROW_OVERHEAD_BYTES: usize = 100;

impl JobState {
    /// Returns the bytes that the durable row has left. Tasks that have started and are not done
    /// reserve those of a usual run, and so do long-running ones from the beginning. In a job that is
    /// small enough, all do.
    pub(crate) fn row_room(&self) -> usize {
        self.counted_room().bytes
    }

    fn counted_room(&self) -> RowRoom {
        let owner = self.spec.organisation.as_ref();
        let overhead = ROW_OVERHEAD_BYTES + owner.map_or(0, |owner| owner.as_str().len());
        let mut totals = self.row_totals.borrow_mut();
        let mut tasks = totals.count(|step| self.begun_bytes(step));
        let occurrences = self.spec.occurrences() as usize;
        for step in &self.spec.steps {
            tasks += self
                .idle_bytes(step)
                .times(occurrences * step.tasks as usize);
        }
        RowRoom::new(self.row_limit, overhead, tasks)
    }

    /// Returns the bytes that a step takes of the durable row beyond those of one that has not begun.
    fn begun_bytes(&self, (occurrence, number): StepKey) -> RowBytes {
        let progress = self.begun.get(&occurrence);
        let progress = progress.and_then(|steps| steps.get(number as usize));
        let (Some(StepProgress::Begun(begun)), Some(step)) = (progress, self.step(number)) else {
            return RowBytes::default();
        };
        let bytes = |index: usize| self.task_bytes(&begun.tasks[index], step);
        let mut total = begun
            .row_budget
            .borrow_mut()
            .count(begun.tasks.len(), bytes);
        total -= self.idle_bytes(step).times(begun.tasks.len());
        total
    }

    fn idle_bytes(&self, step: &StepSpec) -> RowBytes {
        let idle = StepTasks::idle(1).get(0);
        idle.map_or(RowBytes::default(), |state| self.task_bytes(state, step))
    }

    fn task_bytes(&self, state: &TaskState, step: &StepSpec) -> RowBytes {
        RowBytes {
            reserved: self.reserved_bytes(state, step),
            taken: state.exact_row_bytes(),
        }
    }

    /// Returns the bytes that a run of a task on `worker` takes of the durable row beyond what the task
    /// has reserved.
    pub(crate) fn added_row_bytes(
        &self,
        name: &TaskName,
        worker: Option<&WorkerId>,
        checkpoint: &str,
    ) -> usize {
        let state = self.task(name);
        let extra_bytes = state.map_or(0, TaskState::extra_row_bytes);
        if self.counted_room().is_exact {
            let taken = state.map_or(0, TaskState::exact_row_bytes);
            let needed = exact_run_bytes(worker, checkpoint) + extra_bytes;
            return needed.saturating_sub(taken);
        }
        let reserved = match (state, self.step(name.step)) {
            (Some(state), Some(step)) => self.reserved_bytes(state, step),
            _ => 0,
        };
        (run_row_bytes(worker, checkpoint) + extra_bytes).saturating_sub(reserved)
    }

    /// Sets the checkpoint of a task unless it is empty, or too long for the durable row; the task
    /// then keeps its last one.
    pub(crate) fn set_checkpoint(&mut self, name: &TaskName, checkpoint: &str) {
        let Some(state) = self.task(name) else {
            return;
        };
        if checkpoint.is_empty() || state.checkpoint == checkpoint {
            return;
        }
        let worker = state.worker().or(state.lost_on.as_ref());
        let added = self.added_row_bytes(name, worker, checkpoint);
        // All members of a gang resume from one checkpoint.
        let step = self.step(name.step).filter(|step| step.gang);
        let copies = step.map_or(1, |step| step.tasks as usize);
        if added > 0 && added * copies > self.counted_room().checkpoint_bytes() {
            let bytes = checkpoint.len();
            log::warn!("event=checkpoint_dropped task={name} bytes={bytes}");
            return;
        }
        if let Some(state) = self.task_mut(name) {
            checkpoint.clone_into(&mut state.checkpoint);
        }
    }

    fn reserved_bytes(&self, state: &TaskState, step: &StepSpec) -> usize {
        let is_small = self.task_count() as u64 <= MAX_OCCURRENCE_TASKS;
        let least = match is_small || step.long_running {
            true => RUN_ROW_BYTES,
            false => 0,
        };
        state.row_bytes().max(least)
    }
}
