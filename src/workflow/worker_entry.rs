//! What workers say about themselves.

use std::net::SocketAddr;

use crate::id::DataCentreId;
use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::TaskName;
use crate::workflow::WorkerResources;

/// A worker as the platform lists it.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkerEntry {
    /// Its name.
    pub id: WorkerId,
    /// The service whose tasks it runs.
    pub service: ServiceId,
    /// Where it takes orders.
    pub address: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// It takes no new work, as it is about to leave.
    pub draining: bool,
    /// What it has for tasks.
    pub capacity: WorkerResources,
    /// Its kind and its rack.
    pub labels: Vec<String>,
}

/// A change of the platform's list of workers.
#[derive(Clone, Debug, PartialEq)]
pub enum WorkerChange {
    /// A worker is there.
    Present(WorkerEntry),
    /// A worker's entry was removed.
    Gone(WorkerId),
    /// An entry cannot be read, so it names no worker to use.
    Unreadable(WorkerId),
}

/// A task that runs.
#[derive(Clone, Debug, PartialEq)]
pub struct RunningTask {
    /// The task.
    pub task: TaskName,
    /// Its run.
    pub run: u64,
    /// Its last checkpoint, empty for none.
    pub checkpoint: String,
    /// The share of its full pace that it works at, in percent; 100 is at work.
    pub percent: u32,
    /// For a task with users, their tail latency in ms; for others, the cores in use in thousandths.
    pub load: u64,
}

/// How a run ended.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum EndKind {
    /// It is done.
    Done,
    /// It failed.
    Failed,
    /// It was stopped by an order.
    Stopped,
    /// Its lease expired.
    Lapsed,
    /// Another member of its gang ended.
    Broken,
    /// The other members of its gang did not come.
    Alone,
}

/// The end of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct TaskEnd {
    /// Counts the ends of the worker, from 1.
    pub number: u64,
    /// The task.
    pub task: TaskName,
    /// The run that ended.
    pub run: u64,
    /// How it ended.
    pub kind: EndKind,
    /// Its last checkpoint, empty for none.
    pub checkpoint: String,
}

/// What a worker runs and what has ended there.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct WorkerReport {
    /// The worker's steady clock, in ms.
    pub clock_ms: u64,
    /// The tasks that run.
    pub running: Vec<RunningTask>,
    /// The ends that were not acknowledged yet.
    pub ends: Vec<TaskEnd>,
    /// More ends are there than the report shows.
    pub has_more_ends: bool,
}
