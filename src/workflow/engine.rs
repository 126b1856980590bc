//! The state of all jobs and workers, and what becomes of it; without any I/O.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::rc::Rc;

use serde_json::Value;

use crate::id::JobId;
use crate::id::WorkerId;
use crate::workflow::DurationBook;
use crate::workflow::FleetConfig;
use crate::workflow::JobPhase;
use crate::workflow::JobSpec;
use crate::workflow::JobState;
use crate::workflow::OrderPhase;
use crate::workflow::PeakForecast;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerState;

/// How long a run of an earlier controller that gave no lease up may go on unseen, in ms:
/// the time for which it renews leases without the table, and the longest lease it asks for.
pub const INHERITED_RUN_MS: u64 = 17_000;

/// How long a run of a controller that gave its lease up may go on unseen, in ms: the
/// longest lease that it asks for, on a slow clock, and a renewal that was under way.
pub const RELEASED_RUN_MS: u64 = 6_000;

/// How long ended jobs are remembered, in ms: the platform's callers may ask for 120 s.
const RETENTION_MS: u64 = 150_000;

/// What may be done once the rows that it follows from are durable.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// A task may be started.
    Start(TaskName),
    /// The ends of a worker up to a number may be acknowledged.
    Acknowledge(WorkerId, u64),
}

/// A stop that is to be sent; it needs nothing durable.
#[derive(Clone, Debug, PartialEq)]
pub struct StopRequest {
    /// The worker.
    pub worker: WorkerId,
    /// The task.
    pub task: TaskName,
    /// The run.
    pub run: u64,
    /// Why.
    pub reason: &'static str,
}

/// The jobs and workers of the controller that holds the lease.
pub struct JobEngine {
    /// The configuration in force.
    pub config: Option<Rc<FleetConfig>>,
    /// The jobs.
    pub jobs: BTreeMap<JobId, JobState>,
    /// The workers.
    pub workers: BTreeMap<WorkerId, WorkerState>,
    pub(crate) changed: BTreeSet<JobId>,
    pub(crate) effects: Vec<Effect>,
    pub(crate) stops: Vec<StopRequest>,
    pub(crate) open_jobs: BTreeSet<JobId>,
    pub(crate) forecast: PeakForecast,
    pub(crate) durations: DurationBook,
    pub(crate) waiting: bool,
    pub(crate) stall_looked_ms: u64,
    pub(crate) ended_incarnations: BTreeSet<WorkerId>,
    pub(crate) inherited_until_ms: u64,
}

impl JobEngine {
    /// Creates the engine of a controller that began at `now_ms`, with runs of earlier
    /// controllers that may go on unseen for `inherited_ms`.
    pub fn new(now_ms: u64, inherited_ms: u64) -> Self {
        Self {
            config: None,
            jobs: BTreeMap::new(),
            workers: BTreeMap::new(),
            changed: BTreeSet::new(),
            effects: Vec::new(),
            stops: Vec::new(),
            open_jobs: BTreeSet::new(),
            forecast: PeakForecast::new(),
            durations: DurationBook::new(),
            waiting: false,
            stall_looked_ms: 0,
            ended_incarnations: BTreeSet::new(),
            inherited_until_ms: now_ms + inherited_ms,
        }
    }

    /// Adds a job, with its durable progress if it has any.
    pub fn add_job(&mut self, id: JobId, spec: JobSpec, progress: Option<&Value>, now_ms: u64) {
        if self.jobs.contains_key(&id) {
            return;
        }
        let mut job = JobState::new(id.clone(), Rc::new(spec), now_ms);
        if progress.is_none() {
            self.record_arrival(&Rc::clone(&job.spec), now_ms);
        }
        if let Some(progress) = progress {
            if job.restore(progress, now_ms).is_none() {
                log::error!("event=progress_unreadable job={id}");
            }
        }
        let inherited: Vec<_> = job
            .placed_tasks()
            .filter_map(|(name, state)| Some((name, state.worker()?.clone())))
            .collect();
        if !job.phase.has_ended() || !inherited.is_empty() {
            self.open_jobs.insert(id.clone());
        }
        let spec = Rc::clone(&job.spec);
        self.jobs.insert(id, job);
        for (name, worker) in inherited {
            if let Some(worker) = self.workers.get_mut(&worker) {
                worker.add_task(name.clone(), &spec.steps[name.step as usize]);
            }
        }
    }

    /// Cancels a job.
    pub fn cancel_job(&mut self, id: &JobId, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.phase.has_ended() {
            return;
        }
        log::info!("event=job_cancelled job={id}");
        self.end_job(id, JobPhase::Cancelled, now_ms);
    }

    /// Notes a worker as the platform lists it.
    pub fn set_worker(&mut self, entry: WorkerEntry) {
        let id = entry.id.clone();
        if self.ended_incarnations.contains(&id) {
            return;
        }
        match self.workers.get_mut(&id) {
            Some(worker) => {
                if entry.draining && !worker.entry.draining {
                    log::info!("event=worker_draining worker={id}");
                }
                worker.entry = entry;
                worker.listed = true;
            }
            None => {
                let service = &entry.service;
                log::info!("event=worker_listed worker={id} service={service}");
                let mut worker = WorkerState::new(entry);
                self.adopt_tasks(&mut worker);
                self.workers.insert(id, worker);
            }
        }
    }

    /// Notes that the platform lists a worker no more.
    pub fn unlist_worker(&mut self, id: &WorkerId) {
        if let Some(worker) = self.workers.get_mut(id) {
            log::info!("event=worker_unlisted worker={id}");
            worker.listed = false;
            if worker.tasks.is_empty() {
                self.workers.remove(id);
            }
        }
    }

    /// Makes a placed task wait again.
    pub(crate) fn release_task(&mut self, name: &TaskName) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let spec = Rc::clone(&job.spec);
        let Some(state) = job.task_mut(name) else {
            return;
        };
        if let TaskPhase::Placed { worker, .. } = &state.phase {
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.remove_task(name, &spec.steps[name.step as usize]);
            }
            state.phase = TaskPhase::Waiting;
            state.percent = 0;
            self.changed.insert(name.job.clone());
        }
        self.close_if_settled(&name.job);
    }

    /// Ends a job; what runs of it is stopped.
    pub(crate) fn end_job(&mut self, id: &JobId, phase: JobPhase, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        job.phase = phase;
        job.ended_ms = now_ms;
        self.changed.insert(id.clone());
        let placed: Vec<_> = job.placed_tasks().map(|(name, _)| name).collect();
        for name in placed {
            self.request_stop(&name, "the job has ended");
        }
        self.close_if_settled(id);
    }

    /// Asks for the stop of a placed task; one that was not sent yet is released.
    pub(crate) fn request_stop(&mut self, name: &TaskName, reason: &'static str) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let Some(state) = job.task_mut(name) else {
            return;
        };
        let TaskPhase::Placed { worker, order, .. } = &mut state.phase else {
            return;
        };
        match order {
            OrderPhase::Committing => self.release_task(name),
            // What an earlier controller started is stopped once its worker reports it.
            OrderPhase::Inherited(_) | OrderPhase::Stopping | OrderPhase::Stopped(_) => {}
            _ => {
                *order = OrderPhase::Stopping;
                let worker = worker.clone();
                let run = state.last_run;
                self.stops.push(StopRequest {
                    worker,
                    task: name.clone(),
                    run,
                    reason,
                });
            }
        }
    }

    /// Takes the rows that changed and what may follow once they are durable.
    pub fn take_changes(&mut self) -> (Vec<(JobId, Value)>, Vec<Effect>) {
        let changed = std::mem::take(&mut self.changed);
        let row = |id: JobId| {
            let value = self.jobs.get(&id)?.to_value();
            Some((id, value))
        };
        let rows = changed.into_iter().filter_map(row).collect();
        (rows, std::mem::take(&mut self.effects))
    }

    /// Tells whether rows or effects wait for a commit.
    pub fn has_changes(&self) -> bool {
        !self.changed.is_empty() || !self.effects.is_empty()
    }

    /// Tells whether the last look found tasks without room.
    pub fn has_waiting_tasks(&self) -> bool {
        self.waiting
    }

    /// Returns how long runs of earlier controllers may still go on unseen, in ms.
    pub fn inherited_ms(&self, now_ms: u64) -> u64 {
        self.inherited_until_ms.saturating_sub(now_ms)
    }

    /// Takes the stops that are to be sent.
    pub fn take_stops(&mut self) -> Vec<StopRequest> {
        std::mem::take(&mut self.stops)
    }

    /// Returns for each queue the number of jobs none of whose tasks has started.
    pub fn pending_counts(&self) -> BTreeMap<String, u64> {
        let mut counts = BTreeMap::new();
        if let Some(config) = &self.config {
            let names = config.queues.iter().map(|queue| (queue.name.clone(), 0));
            counts.extend(names);
        }
        let open = self.open_jobs.iter().filter_map(|id| self.jobs.get(id));
        for job in open.filter(|job| job.phase == JobPhase::Queued) {
            *counts.entry(job.spec.queue.clone()).or_default() += 1;
        }
        counts
    }

    /// Returns the jobs that ended long ago.
    pub fn forgettable_jobs(&self, now_ms: u64) -> Vec<JobId> {
        let old = |job: &&JobState| {
            let settled = !self.open_jobs.contains(&job.id);
            settled && job.phase.has_ended() && now_ms > job.ended_ms + RETENTION_MS
        };
        let jobs = self.jobs.values().filter(old);
        jobs.map(|job| job.id.clone()).collect()
    }

    /// Forgets a job that ended.
    pub fn forget_job(&mut self, id: &JobId) {
        self.jobs.remove(id);
    }

    fn close_if_settled(&mut self, id: &JobId) {
        let Some(job) = self.jobs.get(id) else {
            return;
        };
        if job.phase.has_ended() && job.placed_tasks().next().is_none() {
            self.open_jobs.remove(id);
        }
    }

    fn adopt_tasks(&self, worker: &mut WorkerState) {
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get(id) else {
                continue;
            };
            for (name, state) in job.placed_tasks() {
                if state.worker() == Some(&worker.entry.id) {
                    let step = &job.spec.steps[name.step as usize];
                    worker.add_task(name, step);
                }
            }
        }
    }
}
