//! The workers and the tasks on them, as the job planner sees them.

use std::collections::BTreeMap;

use crate::id::HostId;
use crate::id::JobId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::job::JobSize;
use crate::job::WorkerTrust;

/// One worker.
#[derive(Clone, Debug)]
pub struct WorkerView {
    /// Its host.
    pub host: HostId,
    /// The service whose jobs it runs.
    pub service: ServiceId,
    /// All that it has.
    pub size: JobSize,
    /// Whether it may get jobs: it is up, and no wave or move has closed it.
    pub open: bool,
    /// Whether a wave will close it soon.
    pub leaves_soon: bool,
    /// Whether it has worked lately.
    pub trust: WorkerTrust,
}

/// A task that takes room on a worker.
#[derive(Clone, Debug)]
pub struct TaskView {
    /// Its job.
    pub job: JobId,
    /// The worker.
    pub host: HostId,
    /// The team that uses the room.
    pub team: TeamId,
    /// The room that it takes.
    pub size: JobSize,
    /// Whether it goes before all others.
    pub urgent: bool,
    /// Whether it is being stopped already.
    pub stopping: bool,
    /// The milliseconds of work lost if it is stopped; nothing if it cannot be.
    pub loss_ms: Option<u64>,
}

/// A worker with the room on it.
#[derive(Clone, Debug)]
pub(super) struct WorkerCapacity {
    pub(super) view: WorkerView,
    /// What no task takes.
    pub(super) free: JobSize,
    /// What tasks that are being stopped will leave, and nobody waits for.
    pub(super) releasing: JobSize,
    pub(super) tasks: Vec<TaskView>,
}

/// The workers with the tasks on them.
#[derive(Clone, Debug, Default)]
pub struct JobFleet {
    workers: BTreeMap<HostId, WorkerCapacity>,
}

impl JobFleet {
    /// Creates a fleet of empty workers.
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

    /// Puts a task on its worker; a task on an unknown worker takes no room.
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

    /// Notes that a task is being stopped.
    pub(super) fn mark_stopping(&mut self, host: &HostId, job: &JobId) {
        let Some(worker) = self.workers.get_mut(host) else {
            return;
        };
        if let Some(task) = worker.tasks.iter_mut().find(|task| task.job == *job) {
            task.stopping = true;
            worker.releasing = worker.releasing.plus(&task.size);
        }
    }

    /// Keeps free room and room to come on a worker for a job that waits for it.
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
