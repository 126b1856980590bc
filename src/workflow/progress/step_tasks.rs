//! The tasks of one occurrence of a step.

use std::sync::LazyLock;

use crate::workflow::TaskPhase;
use crate::workflow::TaskState;

/// The state of a task that has not run.
static IDLE_TASK: LazyLock<TaskState> = LazyLock::new(TaskState::new);

/// The state of a task that is done.
static DONE_TASK: LazyLock<TaskState> = LazyLock::new(|| TaskState {
    phase: TaskPhase::Done,
    ..TaskState::new()
});

/// The states of the tasks of one occurrence of a step, ordered by index.
#[derive(Clone, Copy, Debug)]
pub struct StepTasks<'a>(Tasks<'a>);

#[derive(Clone, Copy, Debug)]
enum Tasks<'a> {
    /// So many tasks in the same state.
    Alike(&'a TaskState, usize),
    /// Tasks of which some may have begun.
    Held(&'a [TaskState]),
}

impl<'a> StepTasks<'a> {
    /// Returns tasks of which none has run.
    pub(crate) fn idle(len: usize) -> Self {
        Self(Tasks::Alike(&IDLE_TASK, len))
    }

    /// Returns tasks that are all done.
    pub(crate) fn done(len: usize) -> Self {
        Self(Tasks::Alike(&DONE_TASK, len))
    }

    /// Returns tasks with these states.
    pub(crate) fn held(tasks: &'a [TaskState]) -> Self {
        Self(Tasks::Held(tasks))
    }

    /// Returns the number of tasks.
    pub fn len(self) -> usize {
        match self.0 {
            Tasks::Alike(_, len) => len,
            Tasks::Held(tasks) => tasks.len(),
        }
    }

    /// Returns whether there are no tasks.
    pub fn is_empty(self) -> bool {
        self.len() == 0
    }

    /// Returns whether the tasks have states of their own.
    pub(crate) fn is_held(self) -> bool {
        matches!(self.0, Tasks::Held(_))
    }

    /// Returns the state of the task with this index.
    pub fn get(self, index: usize) -> Option<&'a TaskState> {
        match self.0 {
            Tasks::Alike(task, len) => (index < len).then_some(task),
            Tasks::Held(tasks) => tasks.get(index),
        }
    }

    /// Iterates over the states.
    pub fn iter(self) -> impl Iterator<Item = &'a TaskState> {
        (0..self.len()).filter_map(move |index| self.get(index))
    }

    /// Returns whether a state of these tasks fulfils a condition. It is asked once for tasks alike.
    pub(crate) fn any(self, condition: impl Fn(&TaskState) -> bool) -> bool {
        match self.0 {
            Tasks::Alike(task, len) => len > 0 && condition(task),
            Tasks::Held(tasks) => tasks.iter().any(condition),
        }
    }

    /// Returns the number of tasks that wait for a worker.
    pub(crate) fn waiting_count(self) -> usize {
        self.count(|task| task.phase == TaskPhase::Waiting)
    }

    /// Returns the number of tasks whose states fulfil a condition. It is asked once for tasks alike.
    pub(crate) fn count(self, condition: impl Fn(&TaskState) -> bool) -> usize {
        match self.0 {
            Tasks::Alike(task, len) => match condition(task) {
                true => len,
                false => 0,
            },
            Tasks::Held(tasks) => tasks.iter().filter(|task| condition(task)).count(),
        }
    }
}
