//! The state of a job: what is known of its tasks as far as they have begun or are done.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use crate::id::JobId;
use crate::id::Revision;
use crate::workflow::health::running_time::RunningTime;
use crate::workflow::progress::occurrence_set::OccurrenceSet;
use crate::workflow::progress::row_totals::RowTotals;
use crate::workflow::progress::step_progress::StepProgress;
use crate::workflow::progress::step_tasks::StepTasks;
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

/// A job with the progress of its tasks; those of steps that have not begun have no states of their own.
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
    /// The steps of the occurrences that have begun and are not done. Of the others nothing is kept, so that a
    /// job takes memory for what is under way, and not for what is due later.
    pub(super) begun: BTreeMap<u32, Vec<StepProgress>>,
    /// The occurrences that are done.
    pub(super) done: OccurrenceSet,
    /// The durable row holds only the phase, since the table refuses a larger one.
    pub(super) omits_tasks: bool,
    /// The bytes of the durable row that the begun steps take.
    pub(super) row_totals: RefCell<RowTotals>,
    pub(super) row_limit: RowLimit,
    /// The position of each step's first task within an occurrence.
    pub(super) step_offsets: Vec<usize>,
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
        Self {
            id,
            submitted_revision: Revision::new(0),
            phase: JobPhase::Queued,
            first_read_ms: now_ms,
            ended_ms: 0,
            has_begun: false,
            waiting_since_ms: None,
            is_over_rate: false,
            begun: BTreeMap::new(),
            done: OccurrenceSet::default(),
            omits_tasks: false,
            row_totals: RefCell::default(),
            row_limit: RowLimit::default(),
            step_offsets,
            spec,
        }
    }

    /// Sets the limit on the durable row.
    #[must_use]
    pub(crate) fn with_row_limit(mut self, limit: RowLimit) -> Self {
        self.row_limit = limit;
        self
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
        let totals = self.row_totals.get_mut();
        for (&occurrence, steps) in &mut self.begun {
            for (number, step) in steps.iter_mut().enumerate() {
                if let StepProgress::Begun(step) = step {
                    totals.record_change((occurrence, number as u32));
                    step.row_budget = RefCell::default();
                    for task in &mut step.tasks {
                        task.checkpoint.clear();
                    }
                }
            }
        }
    }

    /// Returns whether tasks may have crashed their workers.
    pub(crate) fn has_suspects(&self) -> bool {
        self.begun_tasks().any(|(_, task)| task.is_suspect)
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

    /// Iterates over the tasks of the steps that have begun and are not done, by occurrence, step and index.
    pub(crate) fn begun_tasks(&self) -> impl Iterator<Item = (TaskName, &TaskState)> + '_ {
        self.begun.iter().flat_map(move |(&occurrence, steps)| {
            let steps = steps.iter().enumerate();
            let begun = steps.filter_map(|(number, step)| match step {
                StepProgress::Begun(step) => Some((number, &step.tasks)),
                StepProgress::Idle | StepProgress::Done => None,
            });
            begun.flat_map(move |(number, tasks)| {
                let tasks = tasks.iter().enumerate();
                tasks.map(move |(index, state)| {
                    let name = TaskName {
                        job: self.id.clone(),
                        occurrence,
                        step: number as u32,
                        index: index as u32,
                    };
                    (name, state)
                })
            })
        })
    }

    /// Iterates over the tasks that are placed on a worker.
    pub fn placed_tasks(&self) -> impl Iterator<Item = (TaskName, &TaskState)> + '_ {
        let placed = |state: &TaskState| matches!(state.phase, TaskPhase::Placed { .. });
        self.begun_tasks().filter(move |(_, state)| placed(state))
    }

    /// Returns whether tasks wait for a worker, ready to start or not.
    pub fn has_waiting_tasks(&self) -> bool {
        let steps = || 0..self.spec.steps.len() as u32;
        self.untouched_count() > 0
            || self.begun.keys().any(|&occurrence| {
                let mut steps = steps().map(|step| self.step_tasks(occurrence, step));
                steps.any(|tasks| tasks.any(|state| state.phase == TaskPhase::Waiting))
            })
    }

    /// Returns the number of waiting tasks.
    pub fn waiting_task_count(&self) -> usize {
        let steps = || 0..self.spec.steps.len() as u32;
        let waiting = self.begun.keys().flat_map(|&occurrence| {
            steps().map(move |step| self.step_tasks(occurrence, step).waiting_count())
        });
        waiting.sum::<usize>() + self.untouched_count() * self.tasks_per_occurrence()
    }

    /// Returns the number of occurrences of which no step has begun.
    fn untouched_count(&self) -> usize {
        let others = self.done.len() as usize + self.begun.len();
        (self.spec.occurrences() as usize).saturating_sub(others)
    }

    /// Returns a task's state; `None` if the job has no such task.
    pub fn task(&self, name: &TaskName) -> Option<&TaskState> {
        let tasks = self.step_tasks(name.occurrence, name.step);
        tasks.get(name.index as usize)
    }

    /// Returns a task's state for modification; `None` if the job has no such task, or all of its step are
    /// done.
    pub fn task_mut(&mut self, name: &TaskName) -> Option<&mut TaskState> {
        let (len, index) = (self.step(name.step)?.tasks, name.index as usize);
        let is_known = name.index < len && name.occurrence < self.spec.occurrences();
        if !is_known || self.done.contains(name.occurrence) {
            return None;
        }
        let steps = self.begun.entry(name.occurrence).or_insert_with(|| {
            let steps = self.spec.steps.iter();
            steps.map(|_| StepProgress::Idle).collect()
        });
        let begun = steps.get_mut(name.step as usize)?.begin(len as usize)?;
        begun.row_budget.get_mut().record_change(index);
        let totals = self.row_totals.get_mut();
        totals.record_change((name.occurrence, name.step));
        begun.tasks.get_mut(index)
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
    pub fn step_tasks(&self, occurrence: u32, step: u32) -> StepTasks<'_> {
        let spec = self.step(step);
        let Some(spec) = spec.filter(|_| occurrence < self.spec.occurrences()) else {
            return StepTasks::idle(0);
        };
        let len = spec.tasks as usize;
        match self.begun.get(&occurrence) {
            Some(steps) => steps[step as usize].tasks(len),
            None if self.done.contains(occurrence) => StepTasks::done(len),
            None => StepTasks::idle(len),
        }
    }

    /// Returns whether all tasks of one occurrence of a step are done.
    pub fn is_step_done(&self, occurrence: u32, step: u32) -> bool {
        let tasks = self.step_tasks(occurrence, step);
        self.step(step).is_some() && !tasks.any(|state| state.phase != TaskPhase::Done)
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
        self.forget_done(name.occurrence, name.step);
    }

    /// Counts a done task of a step, and drops the states of the step and the occurrence once all of their tasks
    /// are done.
    fn forget_done(&mut self, occurrence: u32, step: u32) {
        let Some(steps) = self.begun.get_mut(&occurrence) else {
            return;
        };
        let Some(progress) = steps.get_mut(step as usize) else {
            return;
        };
        if let StepProgress::Begun(begun) = progress {
            begun.done += 1;
            if begun.done == begun.tasks.len() {
                *progress = StepProgress::Done;
                self.row_totals.get_mut().forget((occurrence, step));
            }
        }
        let mut specs = self.spec.steps.iter().zip(steps.iter());
        if specs.all(|(spec, step)| spec.tasks == 0 || matches!(step, StepProgress::Done)) {
            self.begun.remove(&occurrence);
            self.done.insert(occurrence);
        }
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

    /// Returns whether all tasks of all occurrences are done.
    pub fn is_done(&self) -> bool {
        self.done.len() == self.spec.occurrences()
    }

    /// Returns whether the job has a step that runs until the job is cancelled.
    pub fn is_long_running(&self) -> bool {
        self.spec.steps.iter().any(|step| step.long_running)
    }

    /// Returns the number of tasks of all occurrences.
    pub(crate) fn task_count(&self) -> usize {
        self.tasks_per_occurrence() * self.spec.occurrences() as usize
    }

    /// Returns the number of tasks of one occurrence.
    pub(super) fn tasks_per_occurrence(&self) -> usize {
        let steps = self.spec.steps.iter();
        steps.map(|step| step.tasks as usize).sum()
    }
}
