//! How far one task has come.

use serde_json::json;
use serde_json::Value;

use crate::id::WorkerId;

/// How far the order that placed a task has come.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandPhase {
    /// The placement is not durable yet, so nothing was sent.
    Committing,
    /// The start was sent.
    Sent,
    /// The start was answered, or is known to be settled, since this time in ms.
    Answered(u64),
    /// The worker reports the run.
    Running,
    /// The start or the placement may or may not have come to effect.
    Unknown(u64),
    /// An earlier controller placed it; this one has known that since this time in ms.
    Inherited(u64),
    /// A stop was sent.
    Stopping,
    /// The stop was answered at this time in ms, so the run cannot start any more.
    Stopped(u64),
}

/// Where a task stands.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskPhase {
    /// It waits for a worker.
    Waiting,
    /// It is placed on a worker.
    Placed {
        /// The worker.
        worker: WorkerId,
        /// How far the order has come.
        command: CommandPhase,
        /// When it was placed, in ms.
        since_ms: u64,
    },
    /// It has ended as done.
    Done,
}

/// A task's state; all but the order's phase is durable.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskState {
    /// Where it stands.
    pub phase: TaskPhase,
    /// The number of its last run, 0 before the first.
    pub last_run: u64,
    /// How many runs have failed.
    pub failures: u32,
    /// Its last checkpoint, empty for none.
    pub checkpoint: String,
    /// The workers on which it did badly; later runs prefer others.
    pub failed_on: Vec<WorkerId>,
    /// The share of its pace that the worker last reported, in percent.
    pub percent: u32,
    /// The load that the worker last reported.
    pub load: u64,
}

impl TaskState {
    /// Creates the state of a task that was never started.
    pub fn new() -> Self {
        Self {
            phase: TaskPhase::Waiting,
            last_run: 0,
            failures: 0,
            checkpoint: String::new(),
            failed_on: Vec::new(),
            percent: 0,
            load: 0,
        }
    }

    /// Returns the worker that the task is placed on.
    pub fn worker(&self) -> Option<&WorkerId> {
        match &self.phase {
            TaskPhase::Placed { worker, .. } => Some(worker),
            _ => None,
        }
    }

    /// Returns how far the order has come, for a placed task.
    pub fn command_phase(&self) -> Option<CommandPhase> {
        match &self.phase {
            TaskPhase::Placed { command, .. } => Some(*command),
            _ => None,
        }
    }

    /// Sets how far the order has come.
    pub fn set_command_phase(&mut self, next: CommandPhase) {
        if let TaskPhase::Placed { command, .. } = &mut self.phase {
            *command = next;
        }
    }

    /// Tells whether the task works at its full pace.
    pub fn is_at_full_rate(&self) -> bool {
        self.command_phase() == Some(CommandPhase::Running) && self.percent == 100
    }

    /// Returns the durable part.
    pub fn to_value(&self) -> Value {
        match &self.phase {
            TaskPhase::Done => json!(1),
            TaskPhase::Waiting if self.last_run == 0 => json!(0),
            TaskPhase::Waiting => json!([self.last_run, self.failures, self.checkpoint]),
            TaskPhase::Placed { worker, .. } => {
                json!([
                    self.last_run,
                    self.failures,
                    self.checkpoint,
                    worker.as_str()
                ])
            }
        }
    }

    /// Restores a state; an order of an earlier controller may or may not have come to effect.
    pub fn from_value(value: &Value, now_ms: u64) -> Option<Self> {
        let mut state = Self::new();
        match value {
            Value::Number(number) if number.as_u64() == Some(1) => state.phase = TaskPhase::Done,
            Value::Number(_) => {}
            Value::Array(parts) => {
                state.last_run = parts.first()?.as_u64()?;
                state.failures = u32::try_from(parts.get(1)?.as_u64()?).ok()?;
                state.checkpoint = parts.get(2)?.as_str()?.to_owned();
                if let Some(worker) = parts.get(3) {
                    state.phase = TaskPhase::Placed {
                        worker: worker.as_str()?.parse().ok()?,
                        command: CommandPhase::Inherited(now_ms),
                        since_ms: now_ms,
                    };
                }
            }
            _ => return None,
        }
        Some(state)
    }
}

impl Default for TaskState {
    fn default() -> Self {
        Self::new()
    }
}
