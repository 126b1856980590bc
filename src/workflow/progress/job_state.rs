//! The state of a job and of all its tasks.

use std::cell::RefCell;
use std::rc::Rc;

use serde_json::json;
use serde_json::Value;

use crate::id::JobId;
use crate::id::Revision;
use crate::id::WorkerId;
use crate::workflow::crash::crash_rows::encode_crashes;
use crate::workflow::crash::crash_rows::restore_crashes;
use crate::workflow::crash::crash_rows::CRASHES_FIELD;
use crate::workflow::health::running_time::RunningTime;
use crate::workflow::intake::job_status::OWNER_FIELD;
use crate::workflow::job_spec::MAX_OCCURRENCE_TASKS;
use crate::workflow::progress::failed_runs::encode_failed_runs;
use crate::workflow::progress::failed_runs::merge_member_failures;
use crate::workflow::progress::failed_runs::restore_failed_runs;
use crate::workflow::progress::failed_runs::FAILED_RUNS_FIELD;
use crate::workflow::progress::row_budget::RowBudget;
use crate::workflow::progress::row_bytes::RowBytes;
use crate::workflow::progress::row_room::RowRoom;
use crate::workflow::progress::task_state::exact_run_bytes;
use crate::workflow::progress::task_state::run_row_bytes;
use crate::workflow::progress::task_state::RUN_ROW_BYTES;
use crate::workflow::CommandPhase;
use crate::workflow::DurationTracker;
use crate::workflow::JobPhase;
use crate::workflow::JobSpec;
use crate::workflow::JobStatus;
use crate::workflow::RowLimit;
use crate::workflow::StepSpec;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::TaskState;

/// The bytes of a job's durable row besides its tasks and its owner's name.
const ROW_OVERHEAD_BYTES: usize = 100;

/// A job with the states of its tasks, which are ordered by occurrence, step and index.
#[derive(Clone, Debug)]
pub struct JobState {
    /// The id, unique among all jobs.
    pub id: JobId,
    /// The specification as submitted; it never changes.
    pub spec: Rc<JobSpec>,
    /// The revision of the submission's row; 0 if unknown.
    pub submitted_revision: Revision,
    /// The phase; durable.
    pub phase: JobPhase,
    /// When the job was submitted, or first read by this controller if that is unknown, in ms.
    pub first_read_ms: u64,
    /// When the job ended, or was restored as ended, in ms; 0 before.
    pub ended_ms: u64,
    /// A run of one of its tasks is known to have begun. A placement does not tell: its start may
    /// not be sent, or the lease may be lost first.
    pub has_begun: bool,
    /// Since when each placement pass has left tasks without a worker that were ready, in ms; `None` if the last
    /// one left none.
    pub(crate) waiting_since_ms: Option<u64>,
    /// Its organisation had submitted more jobs a second than it is entitled to when the job arrived.
    pub is_over_rate: bool,
    tasks: Vec<TaskState>,
    /// The durable row holds only the phase, since the table refuses a larger one.
    omits_tasks: bool,
    /// The bytes of the durable row that the tasks reserve.
    row_budget: RefCell<RowBudget>,
    row_limit: RowLimit,
    /// The position of each step's first task within an occurrence.
    step_offsets: Vec<usize>,
    /// The number of done tasks of each step in each occurrence; see `step_position`.
    done_counts: Vec<u32>,
}

impl JobState {
    /// Creates the state of a job without started tasks.
    pub fn new(id: JobId, spec: Rc<JobSpec>, now_ms: u64) -> Self {
        let mut step_offsets = Vec::with_capacity(spec.steps.len());
        let mut total = 0;
        for step in &spec.steps {
            step_offsets.push(total);
            total += step.tasks as usize;
        }
        let occurrences = spec.occurrences() as usize;
        let done_counts = vec![0; spec.steps.len() * occurrences];
        Self {
            id,
            submitted_revision: Revision::new(0),
            phase: JobPhase::Queued,
            first_read_ms: now_ms,
            ended_ms: 0,
            has_begun: false,
            waiting_since_ms: None,
            is_over_rate: false,
            tasks: vec![TaskState::new(); total * occurrences],
            omits_tasks: false,
            row_budget: RefCell::default(),
            row_limit: RowLimit::default(),
            step_offsets,
            done_counts,
            spec,
        }
    }

    /// Sets the limit on the durable row.
    #[must_use]
    pub(crate) fn with_row_limit(mut self, limit: RowLimit) -> Self {
        self.row_limit = limit;
        self
    }

    /// Restores the state from a durable row; `None` if the row is unreadable.
    pub fn restore(&mut self, value: &Value, now_ms: u64) -> Option<()> {
        let phase = JobPhase::from_name(value.get("phase")?.as_str()?)?;
        let task_values = value.get("tasks")?.as_array()?;
        if task_values.len() != self.tasks.len() && !task_values.is_empty() {
            return None;
        }
        for (number, task_value) in task_values.iter().enumerate() {
            self.tasks[number] = TaskState::from_value(task_value, now_ms)?;
        }
        self.row_budget = RefCell::default();
        self.phase = phase;
        if phase.has_ended() {
            self.ended_ms = now_ms;
        }
        restore_crashes(&mut self.tasks, value.get(CRASHES_FIELD));
        restore_failed_runs(&mut self.tasks, value.get(FAILED_RUNS_FIELD));
        for occurrence in 0..self.spec.occurrences() {
            for step in 0..self.spec.steps.len() as u32 {
                self.merge_gang_failures(occurrence, step);
            }
        }
        let has_ended_run = |task: &TaskState| {
            task.phase == TaskPhase::Done || task.failures > 0 || task.crashes > 0
        };
        self.has_begun = self.tasks.iter().any(has_ended_run);
        self.recount_done();
        Some(())
    }

    /// Returns the phase and the owner.
    pub fn status(&self) -> JobStatus {
        JobStatus {
            phase: self.phase,
            owner: self.spec.organisation.clone(),
        }
    }

    /// Leaves the tasks out of the durable row of an ended job, although some may run: a successor
    /// stops runs that it doesn't know.
    pub(crate) fn omit_tasks(&mut self) {
        self.omits_tasks = true;
    }

    /// Returns whether the tasks are left out of the durable row.
    pub(crate) fn omits_tasks(&self) -> bool {
        self.omits_tasks
    }

    /// Removes the checkpoints of all tasks, which then start from the beginning.
    pub(crate) fn drop_checkpoints(&mut self) {
        self.row_budget = RefCell::default();
        for task in &mut self.tasks {
            task.checkpoint.clear();
        }
    }

    /// Returns the durable row. It omits the tasks of an ended job without placed tasks, whose
    /// states are no longer needed.
    pub fn to_value(&self) -> Value {
        let finished = self.phase.has_ended() && self.placed_tasks().next().is_none();
        let tasks = if finished || self.omits_tasks {
            Vec::new()
        } else {
            self.tasks.iter().map(TaskState::to_value).collect()
        };
        let has_tasks = !tasks.is_empty();
        let mut row = json!({ "phase": self.phase.as_str(), "tasks": tasks });
        if let Some(crashes) = encode_crashes(&self.tasks).filter(|_| has_tasks) {
            row[CRASHES_FIELD] = crashes;
        }
        if let Some(runs) = encode_failed_runs(&self.tasks).filter(|_| has_tasks) {
            row[FAILED_RUNS_FIELD] = runs;
        }
        if let Some(owner) = &self.spec.organisation {
            row[OWNER_FIELD] = json!(owner);
        }
        row
    }

    /// Returns whether tasks may have crashed their workers.
    pub(crate) fn has_suspects(&self) -> bool {
        self.tasks.iter().any(|task| task.is_suspect)
    }

    /// Returns the bytes that the durable row has left. Tasks that have started and are not done
    /// reserve those of a usual run, and so do long-running ones from the beginning. In a job that is
    /// small enough, all do.
    pub(crate) fn row_room(&self) -> usize {
        self.counted_room().bytes
    }

    fn counted_room(&self) -> RowRoom {
        let owner = self.spec.organisation.as_ref();
        let overhead = ROW_OVERHEAD_BYTES + owner.map_or(0, |owner| owner.as_str().len());
        let per_occurrence = self.tasks_per_occurrence();
        let bytes = |position: usize| {
            let state = &self.tasks[position];
            let offset = position % per_occurrence;
            let step = self.step_offsets.partition_point(|first| *first <= offset) - 1;
            RowBytes {
                reserved: self.reserved_bytes(state, &self.spec.steps[step]),
                taken: state.exact_row_bytes(),
            }
        };
        let tasks = self.row_budget.borrow_mut().count(self.tasks.len(), bytes);
        RowRoom::new(self.row_limit, overhead, tasks)
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

    /// Iterates over the names of all tasks, by occurrence, step and index.
    pub fn task_names(&self) -> impl Iterator<Item = TaskName> + '_ {
        let occurrences = 0..self.spec.occurrences();
        occurrences.flat_map(move |occurrence| {
            let steps = self.spec.steps.iter().enumerate();
            steps.flat_map(move |(step, spec)| {
                (0..spec.tasks).map(move |index| TaskName {
                    job: self.id.clone(),
                    occurrence,
                    step: step as u32,
                    index,
                })
            })
        })
    }

    /// Iterates over the tasks that are placed on a worker.
    pub fn placed_tasks(&self) -> impl Iterator<Item = (TaskName, &TaskState)> + '_ {
        let placed = |state: &TaskState| matches!(state.phase, TaskPhase::Placed { .. });
        let named = self.task_names().zip(&self.tasks);
        named.filter(move |(_, state)| placed(state))
    }

    /// Returns whether tasks wait for a worker, ready to start or not.
    pub fn has_waiting_tasks(&self) -> bool {
        let mut tasks = self.tasks.iter();
        tasks.any(|state| state.phase == TaskPhase::Waiting)
    }

    /// Returns the number of waiting tasks.
    pub fn waiting_task_count(&self) -> usize {
        let tasks = self.tasks.iter();
        tasks
            .filter(|state| state.phase == TaskPhase::Waiting)
            .count()
    }

    /// Returns a task's state; `None` if the job has no such task.
    pub fn task(&self, name: &TaskName) -> Option<&TaskState> {
        self.tasks.get(self.position(name)?)
    }

    /// Returns a task's state for modification; `None` if the job has no such task.
    pub fn task_mut(&mut self, name: &TaskName) -> Option<&mut TaskState> {
        let position = self.position(name)?;
        self.row_budget.get_mut().record_change(position);
        self.tasks.get_mut(position)
    }

    /// Returns for how long a placed task has run; `None` for long-running tasks, members of gangs and
    /// ended jobs.
    pub(crate) fn running_time(
        &self,
        name: &TaskName,
        durations: &DurationTracker,
        now_ms: u64,
    ) -> Option<RunningTime> {
        let step = self.step(name.step)?;
        if step.long_running || step.gang || self.phase.has_ended() {
            return None;
        }
        let state = self.task(name)?;
        let TaskPhase::Placed {
            command, since_ms, ..
        } = &state.phase
        else {
            return None;
        };
        Some(RunningTime {
            age_ms: now_ms.saturating_sub(*since_ms),
            expected_ms: durations.history_based_ms(&self.spec.queue, step.estimate_ms),
            is_running: *command == CommandPhase::Running,
            stalls: state.stalls,
        })
    }

    /// Returns the step with this index, if there is one.
    pub fn step(&self, step: u32) -> Option<&StepSpec> {
        self.spec.steps.get(step as usize)
    }

    /// Returns the task states of one occurrence of a step; empty for an unknown step.
    pub fn step_tasks(&self, occurrence: u32, step: u32) -> &[TaskState] {
        let Some(spec) = self.step(step) else {
            return &[];
        };
        let start =
            occurrence as usize * self.tasks_per_occurrence() + self.step_offsets[step as usize];
        &self.tasks[start..start + spec.tasks as usize]
    }

    /// Returns whether all tasks of one occurrence of a step are done.
    pub fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        let position = self.step_position(occurrence, step);
        self.step(step)
            .is_some_and(|spec| self.done_counts[position] == spec.tasks)
    }

    /// Returns whether one occurrence of a step is unfinished and all its dependencies are done.
    pub fn is_step_ready(&self, occurrence: u32, step: u32) -> bool {
        let Some(spec) = self.step(step) else {
            return false;
        };
        let done = |&dependency: &u32| self.is_step_done(occurrence, dependency);
        !self.is_step_done(occurrence, step) && spec.after.iter().all(done)
    }

    /// Marks a task as done; repeated calls count it once.
    pub fn mark_done(&mut self, name: &TaskName) {
        let Some(state) = self.task_mut(name) else {
            return;
        };
        if state.phase == TaskPhase::Done {
            return;
        }
        state.phase = TaskPhase::Done;
        state.clear_suspicion();
        let position = self.step_position(name.occurrence, name.step);
        self.done_counts[position] += 1;
    }

    /// Counts the failed run of a task. A failed run of a gang counts once, however many of its members failed.
    pub(crate) fn record_failure(&mut self, name: &TaskName, run: u64) {
        let is_gang = self.step(name.step).is_some_and(|step| step.gang);
        let counted = TaskName {
            index: if is_gang { 0 } else { name.index },
            ..name.clone()
        };
        let Some(state) = self.task_mut(&counted) else {
            return;
        };
        if !is_gang {
            state.failures += 1;
        } else if state.failed_run.is_none_or(|last| last < run) {
            state.failures += 1;
            state.failed_run = Some(run);
        }
    }

    /// Returns the number of failed runs of a task, or of its gang.
    pub(crate) fn failure_count(&self, name: &TaskName) -> u32 {
        let is_gang = self.step(name.step).is_some_and(|step| step.gang);
        let index = if is_gang { 0 } else { name.index as usize };
        let tasks = self.step_tasks(name.occurrence, name.step);
        tasks.get(index).map_or(0, |task| task.failures)
    }

    fn merge_gang_failures(&mut self, occurrence: u32, step: u32) {
        let Some(spec) = self.spec.steps.get(step as usize).filter(|step| step.gang) else {
            return;
        };
        let start =
            occurrence as usize * self.tasks_per_occurrence() + self.step_offsets[step as usize];
        merge_member_failures(&mut self.tasks[start..start + spec.tasks as usize]);
    }

    /// Returns whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        let steps = self.spec.steps.len() as u32;
        let done = |occurrence| (0..steps).all(|step| self.is_step_done(occurrence, step));
        (0..self.spec.occurrences()).all(done)
    }

    /// Returns whether the job has a step that runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    fn reserved_bytes(&self, state: &TaskState, step: &StepSpec) -> usize {
        let is_small = self.tasks.len() as u64 <= MAX_OCCURRENCE_TASKS;
        let least = match is_small || step.long_running {
            true => RUN_ROW_BYTES,
            false => 0,
        };
        state.row_bytes().max(least)
    }

    fn recount_done(&mut self) {
        for occurrence in 0..self.spec.occurrences() {
            for step in 0..self.spec.steps.len() as u32 {
                let tasks = self.step_tasks(occurrence, step).iter();
                let done = tasks.filter(|state| state.phase == TaskPhase::Done);
                let count = done.count() as u32;
                let position = self.step_position(occurrence, step);
                self.done_counts[position] = count;
            }
        }
    }

    fn tasks_per_occurrence(&self) -> usize {
        let steps = self.spec.steps.iter();
        steps.map(|step| step.tasks as usize).sum()
    }

    fn step_position(&self, occurrence: u32, step: u32) -> usize {
        occurrence as usize * self.spec.steps.len() + step as usize
    }

    fn position(&self, name: &TaskName) -> Option<usize> {
        let offset = *self.step_offsets.get(name.step as usize)?;
        let spec = self.step(name.step)?;
        let known = name.index < spec.tasks && name.occurrence < self.spec.occurrences();
        known.then(|| {
            name.occurrence as usize * self.tasks_per_occurrence() + offset + name.index as usize
        })
    }
}
