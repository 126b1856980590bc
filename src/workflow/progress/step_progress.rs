//! The progress of one occurrence of a step.

use std::cell::RefCell;

use crate::workflow::progress::row_budget::RowBudget;
use crate::workflow::progress::step_tasks::StepTasks;
use crate::workflow::TaskPhase;
use crate::workflow::TaskState;

/// The progress of one occurrence of a step. Only the tasks of a step that has begun and is not done have
/// states of their own.
#[derive(Clone, Debug)]
pub(crate) enum StepProgress {
    /// No task has run.
    Idle,
    /// Tasks run, have run, or are about to.
    Begun(BegunStep),
    /// All tasks are done.
    Done,
}

/// The tasks of a step that has begun.
#[derive(Clone, Debug)]
pub(crate) struct BegunStep {
    pub(crate) tasks: Vec<TaskState>,
    /// The bytes of the job's row that the tasks take.
    pub(crate) row_budget: RefCell<RowBudget>,
    /// The number of done tasks.
    pub(crate) done: usize,
}

impl BegunStep {
    /// Creates the step of these tasks.
    pub(crate) fn new(tasks: Vec<TaskState>) -> Self {
        let done = tasks.iter().filter(|task| task.phase == TaskPhase::Done);
        Self {
            done: done.count(),
            row_budget: RefCell::default(),
            tasks,
        }
    }
}

impl StepProgress {
    /// Returns the progress of a step with these tasks.
    pub(crate) fn from_tasks(tasks: Vec<TaskState>) -> Self {
        if tasks.iter().all(|task| task.phase == TaskPhase::Done) {
            return Self::Done;
        }
        let is_idle = |task: &TaskState| task.phase == TaskPhase::Waiting && task.last_run == 0;
        match tasks.iter().all(is_idle) {
            true => Self::Idle,
            false => Self::Begun(BegunStep::new(tasks)),
        }
    }

    /// Returns the states of the step's tasks, of which there are `len`.
    pub(crate) fn tasks(&self, len: usize) -> StepTasks<'_> {
        match self {
            Self::Idle => StepTasks::idle(len),
            Self::Begun(step) => StepTasks::held(&step.tasks),
            Self::Done => StepTasks::done(len),
        }
    }

    /// Returns the states of the step's tasks for modification; `None` once they are done.
    pub(crate) fn begin(&mut self, len: usize) -> Option<&mut BegunStep> {
        if matches!(self, Self::Idle) {
            *self = Self::Begun(BegunStep::new(vec![TaskState::new(); len]));
        }
        match self {
            Self::Begun(step) => Some(step),
            Self::Idle | Self::Done => None,
        }
    }
}
