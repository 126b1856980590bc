//! Entries of the platform's worker list and reports of workers on their runs.

use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentreId;
use crate::id::IncarnationStart;
use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::HeldEnd;
use crate::workflow::TaskName;
use crate::workflow::WorkerResources;

/// A worker's entry in the platform's list.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// The worker's id, which later incarnations may have as well.
    pub id: WorkerId,
    /// When this incarnation started; `None` if the platform does not say.
    pub incarnation_start: Option<IncarnationStart>,
    /// The service whose tasks the worker runs.
    pub service: ServiceId,
    /// The address that accepts commands.
    pub address: SocketAddr,
    /// The data centre of the worker's host.
    pub data_centre: DataCentreId,
    /// The worker is about to leave and accepts no new tasks.
    pub draining: bool,
    /// The resources for all tasks together.
    pub capacity: WorkerResources,
    /// The worker's kind at index 0 and its rack at index 1.
    pub labels: Vec<String>,
}

impl WorkerEntry {
    /// Returns the worker's rack, its second label.
    pub fn rack(&self) -> Option<&str> {
        self.labels.get(1).map(String::as_str)
    }
}

/// A change of an entry in the platform's list of workers.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerChange {
    /// The worker's entry was added or updated.
    Present(WorkerEntry),
    /// The worker's entry was removed.
    Gone(WorkerId),
    /// The worker's entry cannot be decoded, so the worker cannot be used.
    Unreadable(WorkerId),
}

/// A running task in a worker's report.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct RunningTask {
    /// The task's name.
    pub task: TaskName,
    /// The number of the run.
    pub run: u64,
    /// The last checkpoint; empty for none.
    pub checkpoint: String,
    /// The share of the full processing rate, 0 to 100 percent.
    pub percent: u32,
    /// Tail latency in ms for a task that serves users, otherwise the CPU in use in millicores.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub enum EndKind {
    /// The run completed successfully.
    Done,
    /// The run failed.
    Failed,
    /// A stop command ended the run.
    Stopped,
    /// The worker's lease expired.
    Lapsed,
    /// Another member of the run's gang ended.
    Broken,
    /// The other members of the run's gang did not start.
    Alone,
}

/// The end of a run, reported until it is acknowledged.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct TaskEnd {
    /// The sequence number among the worker's ends, from 1.
    pub number: u64,
    /// The task's name.
    pub task: TaskName,
    /// The number of the run that ended.
    pub run: u64,
    /// How it ended.
    pub kind: EndKind,
    /// The last checkpoint; empty for none.
    pub checkpoint: String,
}

/// A worker's answer to a lease renewal: its running tasks and the ended runs.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct WorkerReport {
    /// When the incarnation that answers started; `None` if the worker does not say.
    pub incarnation_start: Option<IncarnationStart>,
    /// The worker's monotonic clock, in ms.
    pub clock_ms: u64,
    /// All tasks that run on the worker.
    pub running: Vec<RunningTask>,
    /// Ended runs that have not been acknowledged, or the first of them.
    pub ends: Vec<TaskEnd>,
    /// The ends from the first one on that can't be decoded. Their numbers follow those of `ends`.
    pub held_ends: Vec<HeldEnd>,
    /// The worker may have more runs and unacknowledged ends than the report lists.
    pub has_more_ends: bool,
}

impl WorkerReport {
    /// Returns the tasks whose ends are listed but can't be decoded.
    pub fn unreadable_tasks(&self) -> impl Iterator<Item = &TaskName> {
        self.held_ends.iter().filter_map(HeldEnd::unreadable_task)
    }
}
