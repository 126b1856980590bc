//! Places tasks that are ready to start on workers.
//!
//! Wide steps with tasks of uneven size arrive together while the pool is nearly full. A
//! best-fit choice keeps the larger gaps for larger tasks. Tasks of long-running jobs are
//! spread, so that the loss of one worker or rack affects few of them.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::id::JobId;
use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::job_priority_weight;
use crate::workflow::select_deferred_jobs;
use crate::workflow::CommandPhase;
use crate::workflow::CommitEffect;
use crate::workflow::FleetConfig;
use crate::workflow::JobDemand;
use crate::workflow::JobEngine;
use crate::workflow::JobPhase;
use crate::workflow::JobUrgency;
use crate::workflow::StepSpec;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::WorkerState;

/// The number of steps with unplaced tasks after which the rest of a service's jobs wait for
/// the next pass; the little capacity that is left would serve few of them.
const MAX_UNPLACED_STEPS: u32 = 24;

impl JobEngine {
    /// Runs one placement pass; `wall_ms` is the time since the Unix epoch.
    pub fn place_tasks(&mut self, now_ms: u64, wall_ms: u64) {
        let Some(config) = self.config.clone() else {
            return;
        };
        self.has_waiting = false;
        for (service, jobs) in self.jobs_by_service(&config, now_ms) {
            let mut unplaced_steps = 0;
            for job in jobs {
                if unplaced_steps >= MAX_UNPLACED_STEPS {
                    break;
                }
                unplaced_steps += self.place_job(&job, &service, now_ms, wall_ms);
            }
            self.has_waiting |= unplaced_steps > 0;
        }
    }

    /// Returns the open jobs of each service, the most urgent first; deferral is applied.
    fn jobs_by_service(
        &self,
        config: &Rc<FleetConfig>,
        now_ms: u64,
    ) -> BTreeMap<ServiceId, Vec<JobId>> {
        let mut sorted: BTreeMap<ServiceId, Vec<(JobUrgency, JobId)>> = BTreeMap::new();
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get(id).filter(|job| !job.phase.has_ended()) else {
                continue;
            };
            let Some(queue) = config.queue(&job.spec.queue) else {
                continue;
            };
            let urgency = JobUrgency::new(job, queue, &self.durations, now_ms);
            let jobs = sorted.entry(queue.service.clone()).or_default();
            jobs.push((urgency, id.clone()));
        }
        let sort_jobs = |(service, mut jobs): (ServiceId, Vec<(JobUrgency, JobId)>)| {
            self.defer_jobs(&service, &mut jobs, now_ms, JobUrgency::slack_ms);
            self.defer_jobs(&service, &mut jobs, now_ms, JobUrgency::late_slack_ms);
            jobs.sort();
            (service, jobs.into_iter().map(|(_, id)| id).collect())
        };
        sorted.into_iter().map(sort_jobs).collect()
    }

    /// Defers jobs if the capacity does not suffice for all of them. `slack` returns the time in ms
    /// within which a job must have its capacity, or `None` for a job that is not considered.
    fn defer_jobs(
        &self,
        service: &ServiceId,
        jobs: &mut [(JobUrgency, JobId)],
        now_ms: u64,
        slack: fn(&JobUrgency) -> Option<u64>,
    ) {
        let capacity_millis = self.service_capacity(service, now_ms);
        let (positions, demands): (Vec<_>, Vec<_>) = jobs
            .iter()
            .enumerate()
            .filter_map(|(position, (urgency, id))| {
                let slack_ms = slack(urgency)?;
                let work = self.waiting_work(id)?;
                let priority_weight_percent = job_priority_weight(id);
                let demand = JobDemand {
                    slack_ms,
                    work,
                    priority_weight_percent,
                };
                Some((position, demand))
            })
            .unzip();
        for deferred in select_deferred_jobs(&demands, capacity_millis) {
            jobs[positions[deferred]].0.defer();
        }
    }

    /// Returns the CPU capacity of a service's workers that accept tasks, in millicores.
    fn service_capacity(&self, service: &ServiceId, now_ms: u64) -> u64 {
        let workers = self.workers.values();
        workers
            .filter(|worker| worker.entry.service == *service && worker.accepts_tasks(now_ms))
            .map(|worker| worker.entry.capacity.cpu_millis)
            .sum()
    }

    /// Returns a job's work that has not started, in millicores times ms.
    fn waiting_work(&self, id: &JobId) -> Option<u64> {
        let job = self.jobs.get(id)?;
        let config = self.config.as_ref()?;
        let queue = config.queue(&job.spec.queue)?;
        let steps = job.spec.steps.iter().enumerate();
        let work = steps.map(|(number, step)| {
            let tasks = job.step_tasks(0, number as u32).iter();
            let waiting = tasks.filter(|state| state.phase == TaskPhase::Waiting);
            let expected_ms = self.durations.expected_ms(&queue.name, step.estimate_ms);
            waiting.count() as u64 * step.reserved().cpu_millis * expected_ms
        });
        Some(work.sum())
    }

    /// Places as many of a job's tasks as possible; returns the number of steps with tasks left.
    fn place_job(&mut self, id: &JobId, service: &ServiceId, now_ms: u64, wall_ms: u64) -> u32 {
        let Some(job) = self.jobs.get(id) else {
            return 0;
        };
        let spec = Rc::clone(&job.spec);
        let mut ready_steps = Vec::new();
        for occurrence in 0..spec.occurrences() {
            let due_ms = spec.schedule.map_or(0, |schedule| {
                let offset_ms = u64::from(occurrence).saturating_mul(schedule.interval_ms);
                schedule.first_ms.saturating_add(offset_ms)
            });
            if due_ms > wall_ms {
                break;
            }
            let steps = 0..spec.steps.len() as u32;
            ready_steps.extend(steps.filter_map(|step| {
                job.is_step_ready(occurrence, step)
                    .then_some((occurrence, step))
            }));
        }
        let mut unplaced_steps = 0;
        for (occurrence, step) in ready_steps {
            let placed = if spec.steps[step as usize].gang {
                self.place_gang(id, occurrence, step, service, now_ms)
            } else {
                self.place_step(id, occurrence, step, service, now_ms)
            };
            unplaced_steps += u32::from(!placed);
        }
        unplaced_steps
    }

    /// Places the waiting tasks of a step one by one; returns whether all were placed.
    fn place_step(
        &mut self,
        id: &JobId,
        occurrence: u32,
        step: u32,
        service: &ServiceId,
        now_ms: u64,
    ) -> bool {
        let waiting = self.waiting_tasks(id, occurrence, step);
        for name in waiting {
            let Some(worker) = self.choose_worker(&name, service, now_ms) else {
                return false;
            };
            self.place_task(&name, &worker, now_ms);
        }
        true
    }

    /// Places all tasks of a gang or none, with the run number and checkpoint of the member that
    /// ran last; returns `false` if there is not enough capacity for all of them.
    fn place_gang(
        &mut self,
        id: &JobId,
        occurrence: u32,
        step: u32,
        service: &ServiceId,
        now_ms: u64,
    ) -> bool {
        let waiting = self.waiting_tasks(id, occurrence, step);
        let Some(job) = self.jobs.get_mut(id) else {
            return true;
        };
        let tasks = job.step_tasks(occurrence, step);
        // A gang starts together, so it waits until all members of its last run are released.
        if waiting.is_empty() || waiting.len() < tasks.len() {
            return true;
        }
        let last_run = tasks.iter().map(|state| state.last_run).max().unwrap_or(0);
        let newest = tasks.iter().max_by_key(|state| state.last_run);
        let checkpoint = newest.map_or(String::new(), |state| state.checkpoint.clone());
        for name in &waiting {
            if let Some(state) = job.task_mut(name) {
                state.last_run = last_run;
                state.checkpoint.clone_from(&checkpoint);
            }
        }
        let mut placed = Vec::new();
        for name in &waiting {
            let Some(worker) = self.choose_worker(name, service, now_ms) else {
                placed.iter().for_each(|name| self.undo_placement(name));
                return false;
            };
            self.place_task(name, &worker, now_ms);
            placed.push(name.clone());
        }
        true
    }

    fn waiting_tasks(&self, id: &JobId, occurrence: u32, step: u32) -> Vec<TaskName> {
        let Some(job) = self.jobs.get(id) else {
            return Vec::new();
        };
        let tasks = job.step_tasks(occurrence, step).iter().enumerate();
        let waiting = tasks.filter(|(_, state)| state.is_placeable());
        let name = |index: usize| TaskName {
            job: id.clone(),
            occurrence,
            step,
            index: index as u32,
        };
        waiting.map(|(index, _)| name(index)).collect()
    }

    fn choose_worker(&self, name: &TaskName, service: &ServiceId, now_ms: u64) -> Option<WorkerId> {
        let job = self.jobs.get(&name.job)?;
        let step = job.step(name.step)?;
        let reserved = step.reserved();
        let fits = |worker: &&WorkerState| {
            worker.entry.service == *service
                && worker.accepts_tasks(now_ms)
                && reserved.fits(&worker.free_capacity())
                && has_label(worker, step)
                && self.is_below_worker_limit(worker, name, step)
        };
        let fitting = self.workers.values().filter(fits);
        let best = fitting.min_by_key(|worker| self.placement_cost(worker, name, step));
        best.map(|worker| worker.entry.id.clone())
    }

    /// Returns whether the worker holds fewer tasks of the step than `max_per_worker`.
    fn is_below_worker_limit(
        &self,
        worker: &WorkerState,
        name: &TaskName,
        step: &StepSpec,
    ) -> bool {
        step.max_per_worker == 0 || self.siblings(worker, name) < step.max_per_worker
    }

    /// Counts the tasks of the same step and occurrence on a worker.
    fn siblings(&self, worker: &WorkerState, name: &TaskName) -> u32 {
        let same = |task: &&TaskName| {
            task.job == name.job && task.occurrence == name.occurrence && task.step == name.step
        };
        worker.tasks.iter().filter(same).count() as u32
    }

    /// Returns the sort key of a worker that a task fits on; the smallest is chosen. The first
    /// element is 1 for a worker on which the task has failed and, if the task is long-running,
    /// also for one whose host is due for upkeep.
    fn placement_cost(&self, worker: &WorkerState, name: &TaskName, step: &StepSpec) -> [u64; 4] {
        let free_millis = worker.free_capacity().cpu_millis;
        let job = self.jobs.get(&name.job);
        let state = job.and_then(|job| job.task(name));
        let failed = state.is_some_and(|state| state.failed_on.contains(&worker.entry.id));
        if step.backfill {
            return [u64::from(failed), 0, 0, u64::MAX - free_millis];
        }
        if step.long_running {
            // Long-running tasks are packed on few hosts, so that the others can move to another
            // pool; tasks of one step are spread over racks.
            let has_no_long_running = !self.has_long_running(&worker.entry.id);
            let rack_siblings = self.rack_siblings(worker, name);
            let avoided = u64::from(worker.upkeep_due || failed);
            return [
                avoided,
                rack_siblings,
                u64::from(has_no_long_running),
                u64::MAX - free_millis,
            ];
        }
        let off_rack = step.data_rack.is_some() && step.data_rack.as_deref() != worker.rack();
        [u64::from(failed), u64::from(off_rack), 0, free_millis]
    }

    /// Counts the placed tasks of a step on a worker's rack.
    fn rack_siblings(&self, worker: &WorkerState, name: &TaskName) -> u64 {
        let Some(job) = self.jobs.get(&name.job) else {
            return 0;
        };
        let tasks = job.step_tasks(name.occurrence, name.step).iter();
        let workers = tasks.filter_map(|state| self.workers.get(state.worker()?));
        workers
            .filter(|other| other.rack() == worker.rack())
            .count() as u64
    }

    fn place_task(&mut self, name: &TaskName, worker_id: &WorkerId, now_ms: u64) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let spec = Rc::clone(&job.spec);
        if job.phase == JobPhase::Queued {
            job.phase = JobPhase::Running;
        }
        let Some(state) = job.task_mut(name) else {
            return;
        };
        state.last_run += 1;
        let run = state.last_run;
        state.phase = TaskPhase::Placed {
            worker: worker_id.clone(),
            command: CommandPhase::Committing,
            since_ms: now_ms,
        };
        if let Some(worker) = self.workers.get_mut(worker_id) {
            worker.add_task(name.clone(), &spec.steps[name.step as usize]);
        }
        self.changed.insert(name.job.clone());
        self.effects.push(CommitEffect::Start(name.clone(), run));
    }

    /// Reverts a placement that is not committed: no start is sent and its run number is reused.
    fn undo_placement(&mut self, name: &TaskName) {
        self.release_task(name);
        self.effects
            .retain(|effect| !matches!(effect, CommitEffect::Start(task, _) if task == name));
        let job = self.jobs.get_mut(&name.job);
        if let Some(state) = job.and_then(|job| job.task_mut(name)) {
            state.last_run -= 1;
        }
    }
}

fn has_label(worker: &WorkerState, step: &StepSpec) -> bool {
    let needed = step.required_label.as_ref();
    needed.is_none_or(|label| worker.entry.labels.contains(label))
}
