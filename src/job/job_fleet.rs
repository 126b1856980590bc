//! The job planner's view of workers and the tasks on them.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::id::JobId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::job::JobSize;
use crate::job::WorkerTrust;

/// A worker as seen by the planner.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// The worker's host.
    pub host: HostId,
    /// The service whose jobs the worker runs.
    pub service: ServiceId,
    /// Total capacity.
    pub size: JobSize,
    /// Whether it may receive jobs: it is up, and no wave or move has closed it.
    pub open: bool,
    /// Whether a running wave has yet to close it.
    pub closes_soon: bool,
    /// Whether it may receive jobs in view of recent failures.
    pub trust: WorkerTrust,
}

/// A task that uses capacity on a worker.
#[derive(Clone, Debug)]
pub struct TaskView {
    /// The job that the task runs.
    pub job: JobId,
    /// The worker it runs on.
    pub host: HostId,
    /// The team whose quota the task counts against.
    pub team: TeamId,
    /// The capacity set aside for the task.
    pub size: JobSize,
    /// Whether its job has priority over all others; such tasks are never preempted.
    pub urgent: bool,
    /// Whether a stop is already under way.
    pub stopping: bool,
    /// Work lost if it is stopped, in milliseconds; `None` if it must not be stopped.
    pub loss_ms: Option<u64>,
}

/// A worker with its free capacity and its tasks.
#[derive(Clone, Debug)]
pub(super) struct WorkerCapacity {
    pub(super) view: WorkerView,
    /// Capacity that no task uses.
    pub(super) free: JobSize,
    /// Capacity that stopping tasks will release and that is not reserved yet.
    pub(super) releasing: JobSize,
    pub(super) tasks: Vec<TaskView>,
}

/// Workers by host, with the tasks on them.
#[derive(Clone, Debug, Default)]
pub struct JobFleet {
    workers: BTreeMap<HostId, WorkerCapacity>,
}

impl JobFleet {
    /// Creates a fleet of workers without tasks.
    pub fn new(workers: Vec<WorkerView>) -> Self {
        let workers = workers.into_iter().map(|view| {
            let worker = WorkerCapacity {
                free: view.size,
                releasing: JobSize::default(),
                tasks: Vec::new(),
                view,
            };
            (worker.view.host.clone(), worker)
        });
        Self {
            workers: workers.collect(),
        }
    }

    /// Adds a task to its worker. A task on an unknown worker is ignored.
    pub fn add(&mut self, task: TaskView) {
        let Some(worker) = self.workers.get_mut(&task.host) else {
            return;
        };
        worker.free = worker.free.minus(&task.size);
        if task.stopping {
            worker.releasing = worker.releasing.plus(&task.size);
        }
        worker.tasks.push(task);
    }

    /// Marks a task as stopping; its capacity counts as about to be released.
    pub(super) fn mark_stopping(&mut self, host: &HostId, job: &JobId) {
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        if let Some(task) = worker.tasks.iter_mut().find(|task| task.job == *job) {
            task.stopping = true;
            worker.releasing = worker.releasing.plus(&task.size);
        }
    }

    /// Reserves capacity on a worker for a waiting job: free capacity first, then capacity that
    /// stopping tasks will release. If both are too small, all of it is reserved.
    pub(super) fn reserve(&mut self, host: &HostId, size: &JobSize) {
        if let Some(worker) = self.workers.get_mut(host) {
            let from_free = size.min(&worker.free);
            worker.free = worker.free.minus(&from_free);
            worker.releasing = worker.releasing.minus(&size.minus(&from_free));
        }
    }

    pub(super) fn workers(&self) -> impl Iterator<Item = &WorkerCapacity> {
        self.workers.values()
    }
}
