//! The state of one task and of the command that placed it.

use serde_json::json;
use serde_json::Value;

use crate::id::WorkerId;

/// The limits on the stored numbers of a task's last run and failures, to which more are added.
const MAX_RUN: u64 = 1 << 53;
const MAX_FAILURES: u32 = 1_000_000;

/// The bytes of a job's row that each task reserves from its first run until it is done: run, failures, a
/// checkpoint and a worker's id of usual length.
pub(crate) const RUN_ROW_BYTES: usize = 48;

/// The bytes in a job's row of a task that has not run or is done: a digit and a comma.
const IDLE_ROW_BYTES: usize = 2;

/// The bytes in a job's row of the crashes that a task may have caused: position and count.
const CRASH_ROW_BYTES: usize = 12;

/// The bytes in a job's row of the last failed run of a gang: position and run.
const FAILED_RUN_ROW_BYTES: usize = 16;

/// The bytes of a task in a job's row besides its checkpoint and worker: punctuation, and up to six
/// digits for run and failures.
const RUN_OVERHEAD_BYTES: usize = 16;

/// The progress of the command that starts or stops a placed task. Times are in ms on the
/// controller's clock.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CommandPhase {
    /// The placement is not durable yet, so no command was sent.
    Committing,
    /// The start was sent and has not been answered.
    Sent,
    /// The start was accepted at this time.
    Accepted(u64),
    /// The worker lists the run as running.
    Running,
    /// The start got no answer by this time and may or may not have taken effect.
    Unknown(u64),
    /// An earlier controller placed the task; this one restored it at this time.
    Inherited(u64),
    /// A stop was requested and has not been accepted.
    Stopping,
    /// The stop was accepted at this time, so the run can no longer start.
    Stopped(u64),
}

/// The phase of a task.
#[derive(Clone, Debug, PartialEq)]
pub enum TaskPhase {
    /// The task waits for a worker.
    Waiting,
    /// The task is placed on a worker.
    Placed {
        /// The worker that the task is placed on.
        worker: WorkerId,
        /// The progress of the last command.
        command: CommandPhase,
        /// When the task was placed, its start was sent, or it was restored, in ms.
        since_ms: u64,
    },
    /// The task has completed successfully.
    Done,
}

/// The state of a task. The command's phase, `started_ms`, `crashed_on`, `failed_on`, `stalls` and the
/// reported `percent` and `load` are not durable; `is_suspect`, `crashes` and `failed_run` are stored with the job.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskState {
    /// The phase; a placed task is restored with an inherited command.
    pub phase: TaskPhase,
    /// The number of the last run; 0 before the first.
    pub last_run: u64,
    /// The number of failed runs; of a gang, those of the first member are the gang's.
    pub failures: u32,
    /// The last run of the gang that its failures include, at the first member; `None` elsewhere.
    pub failed_run: Option<u64>,
    /// The last checkpoint; empty for none.
    pub checkpoint: String,
    /// The worker whose report a waiting task is held back for: it may list the last run as done.
    pub lost_on: Option<WorkerId>,
    /// When the last run was first known to have begun, in ms; `None` if it is not known to have.
    pub started_ms: Option<u64>,
    /// A run may have crashed its worker, and no worker is known to have survived a start since.
    pub is_suspect: bool,
    /// The number of crashes that count against the task while it is a suspect.
    pub crashes: u32,
    /// The workers of these crashes, as far as this controller has seen them.
    pub crashed_on: Vec<WorkerId>,
    /// The workers on which a run failed or stalled; later runs prefer others.
    pub failed_on: Vec<WorkerId>,
    /// The number of runs that were stopped as stalled; each of them lets the next one take longer.
    pub stalls: u32,
    /// The last reported share of the full processing rate, in percent.
    pub percent: u32,
    /// The last reported load: tail latency in ms for a task that serves users, otherwise the CPU
    /// in use in millicores.
    pub load: u64,
}

impl TaskState {
    /// Creates the state of a task without runs.
    pub fn new() -> Self {
        Self {
            phase: TaskPhase::Waiting,
            last_run: 0,
            failures: 0,
            failed_run: None,
            checkpoint: String::new(),
            lost_on: None,
            started_ms: None,
            is_suspect: false,
            crashes: 0,
            crashed_on: Vec::new(),
            failed_on: Vec::new(),
            stalls: 0,
            percent: 0,
            load: 0,
        }
    }

    /// Returns whether the task may be placed.
    pub fn is_placeable(&self) -> bool {
        self.phase == TaskPhase::Waiting && self.lost_on.is_none()
    }

    /// Returns the worker of a placed task.
    pub fn worker(&self) -> Option<&WorkerId> {
        match &self.phase {
            TaskPhase::Placed { worker, .. } => Some(worker),
            _ => None,
        }
    }

    /// Returns the command's phase for a placed task.
    pub fn command_phase(&self) -> Option<CommandPhase> {
        match &self.phase {
            TaskPhase::Placed { command, .. } => Some(*command),
            _ => None,
        }
    }

    /// Sets the command's phase; no effect unless the task is placed.
    pub fn set_command_phase(&mut self, next: CommandPhase) {
        if let TaskPhase::Placed { command, .. } = &mut self.phase {
            *command = next;
        }
    }

    /// Records that the start of a placed task is sent at `now_ms`, which may be long after its
    /// placement.
    pub fn set_sent(&mut self, now_ms: u64) {
        if let TaskPhase::Placed {
            command, since_ms, ..
        } = &mut self.phase
        {
            *command = CommandPhase::Sent;
            *since_ms = now_ms;
        }
    }

    /// Returns whether the task runs at its full processing rate.
    pub fn is_at_full_rate(&self) -> bool {
        self.command_phase() == Some(CommandPhase::Running) && self.percent == 100
    }

    /// Returns whether the task has not run or is done, so that it takes next to nothing of its job's
    /// row.
    pub(crate) fn is_idle(&self) -> bool {
        self.phase == TaskPhase::Done || (self.phase == TaskPhase::Waiting && self.last_run == 0)
    }

    /// Returns the bytes of its job's row that the task needs or reserves.
    pub(crate) fn row_bytes(&self) -> usize {
        if self.is_idle() {
            return IDLE_ROW_BYTES;
        }
        let worker = self.worker().or(self.lost_on.as_ref());
        run_row_bytes(worker, &self.checkpoint) + self.extra_row_bytes()
    }

    /// Returns the bytes of its job's row that the task takes, without those that it reserves.
    pub(crate) fn exact_row_bytes(&self) -> usize {
        if self.is_idle() {
            return IDLE_ROW_BYTES;
        }
        let worker = self.worker().or(self.lost_on.as_ref());
        exact_run_bytes(worker, &self.checkpoint) + self.extra_row_bytes()
    }

    /// Returns the bytes of its job's row that the crashes and the gang's last failed run take.
    pub(crate) fn extra_row_bytes(&self) -> usize {
        let crash_bytes = match self.is_suspect {
            true => CRASH_ROW_BYTES,
            false => 0,
        };
        crash_bytes + self.failed_run.map_or(0, |_| FAILED_RUN_ROW_BYTES)
    }

    /// Forgets that the task may have crashed its workers.
    pub(crate) fn clear_suspicion(&mut self) {
        self.is_suspect = false;
        self.crashes = 0;
        self.crashed_on.clear();
    }

    /// Encodes the durable part: 0 before the first run, 1 when done, otherwise an array of
    /// run, failures, checkpoint and, if placed, worker. A task that is held back for its worker's
    /// report is encoded as placed there, so that a successor waits for that report as well.
    pub fn to_value(&self) -> Value {
        let worker = match &self.phase {
            TaskPhase::Done => return json!(1),
            TaskPhase::Waiting if self.last_run == 0 => return json!(0),
            TaskPhase::Waiting => self.lost_on.as_ref(),
            TaskPhase::Placed { worker, .. } => Some(worker),
        };
        let (run, failures, checkpoint) = (self.last_run, self.failures, &self.checkpoint);
        match worker {
            Some(worker) => json!([run, failures, checkpoint, worker.as_str()]),
            None => json!([run, failures, checkpoint]),
        }
    }

    /// Decodes the durable part. Commands of an earlier controller may or may not have taken
    /// effect, so a placed task is restored as inherited.
    pub fn from_value(value: &Value, now_ms: u64) -> Option<Self> {
        let mut state = Self::new();
        match value {
            Value::Number(number) if number.as_u64() == Some(1) => state.phase = TaskPhase::Done,
            Value::Number(_) => {}
            Value::Array(parts) => {
                let run = parts.first()?.as_u64()?;
                state.last_run = (run <= MAX_RUN).then_some(run)?;
                state.failures = u32::try_from(parts.get(1)?.as_u64()?)
                    .ok()?
                    .min(MAX_FAILURES);
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

/// Returns the bytes of a job's row that a task needs or reserves with a run on `worker`.
pub(crate) fn run_row_bytes(worker: Option<&WorkerId>, checkpoint: &str) -> usize {
    exact_run_bytes(worker, checkpoint).max(RUN_ROW_BYTES)
}

/// Returns the bytes of a job's row that a task takes with a run on `worker`.
pub(crate) fn exact_run_bytes(worker: Option<&WorkerId>, checkpoint: &str) -> usize {
    let id_bytes = worker.map_or(0, |id| id.as_str().len());
    RUN_OVERHEAD_BYTES + id_bytes + json_bytes(checkpoint)
}

/// Returns the bytes of a text in JSON, without its quotes.
fn json_bytes(text: &str) -> usize {
    let char_bytes = |char: char| match char {
        '"' | '\\' => 2,
        char if char.is_control() => 6,
        char => char.len_utf8(),
    };
    text.chars().map(char_bytes).sum()
}

impl Default for TaskState {
    fn default() -> Self {
        Self::new()
    }
}
