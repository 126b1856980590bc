//! Places tasks that are ready to start on workers, most urgent jobs first.
//!
//! A pass runs after each change, up to a hundred times a second, with thousands of open jobs at a
//! demand peak. It looks only at services with unplaced tasks, and copies the state of the workers
//! once for all of a service's jobs.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::slice::from_ref;

use crate::id::JobId;
use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::health::running_time::RunningTime;
use crate::workflow::placement::unplaced_steps::UnplacedSteps;
use crate::workflow::CommandPhase;
use crate::workflow::CommitEffect;
use crate::workflow::HealthState;
use crate::workflow::JobEngine;
use crate::workflow::JobPhase;
use crate::workflow::JobState;
use crate::workflow::PlacementPool;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;

/// Max time between looks at the capacities of pools while jobs wait for earlier steps only, in ms.
const CAPACITY_INTERVAL_MS: u64 = 250;

impl JobEngine {
    /// Runs one placement pass; `wall_ms` is the time since the Unix epoch.
    pub fn place_tasks(&mut self, now_ms: u64, wall_ms: u64) {
        let Some(config) = self.config.clone() else {
            return;
        };
        self.has_waiting = false;
        self.left_out = 0;
        self.full_rows.clear();
        self.caps.refresh(&config, now_ms);
        self.forget_placed_jobs();
        let services = self.placeable_services(&config, wall_ms);
        let has_work =
            !services.is_empty() || !self.suspects.is_empty() || !self.leaving_workers.is_empty();
        if !has_work && now_ms < self.capacities_ms + CAPACITY_INTERVAL_MS {
            return;
        }
        let mut pools = self.placement_pools(now_ms);
        self.capacities_ms = now_ms;
        for (service, pool) in &pools {
            let largest = self.pool_capacities.entry(service.clone()).or_default();
            *largest = pool.capacity_millis().max(*largest);
        }
        self.place_suspects(&mut pools, now_ms, wall_ms);
        self.move_leaving_tasks(&config, &mut pools, now_ms);
        let plan = self.plan_pass(&config, &pools, &services, (now_ms, wall_ms));
        self.log_oversized(plan.oversized);
        for (service, mut jobs) in plan.by_service {
            let pool = pools.entry(service.clone()).or_default();
            while let Some(job) = jobs.next() {
                let unplaced = self.place_job(&job, pool, now_ms, wall_ms);
                jobs.record_unplaced(unplaced);
                self.has_waiting |= unplaced.waiting + unplaced.too_large > 0;
            }
            let left_out: Vec<_> = jobs.into_rest().collect();
            self.left_out += left_out.len();
            // On a busy pool they wait for room, and small gaps are left to the urgent jobs until these fit.
            let has_turns = !pool.is_busy();
            let turn = self.turns.take(&service, &left_out, now_ms).into_iter();
            for id in turn.filter(|_| has_turns) {
                if self.may_fit(&id, pool) {
                    self.place_job(&id, pool, now_ms, wall_ms);
                }
            }
            self.place_on_slow_workers(left_out.into_iter(), pool, now_ms, wall_ms);
        }
    }

    /// Returns the number of jobs that the last placement pass left out.
    pub fn left_out_count(&self) -> usize {
        self.left_out
    }

    /// Returns whether there may be room for a task of a job that is ready, by what is free on the pool's
    /// workers.
    fn may_fit(&self, id: &JobId, pool: &PlacementPool) -> bool {
        let steps = self.jobs.get(id).map(|job| &job.spec.steps);
        let mut steps = steps.into_iter().flatten();
        pool.may_ignore_health() || steps.any(|step| pool.may_fit(&step.reserved()))
    }

    /// Removes the jobs from `waiting_jobs` that have no unplaced tasks any more.
    fn forget_placed_jobs(&mut self) {
        let jobs = &self.jobs;
        self.waiting_jobs.retain(|id| {
            let job = jobs.get(id).filter(|job| !job.phase.has_ended());
            job.is_some_and(JobState::has_waiting_tasks)
        });
    }

    /// Returns the workers that accept tasks, by service.
    fn placement_pools(&self, now_ms: u64) -> BTreeMap<ServiceId, PlacementPool> {
        let mut pools: BTreeMap<ServiceId, PlacementPool> = BTreeMap::new();
        if self.waiting_jobs.is_empty() && self.leaving_workers.is_empty() {
            return pools;
        }
        let workers = self.workers.values();
        let current = workers.filter(|worker| self.has_current_entry(worker));
        for worker in current.filter(|worker| worker.may_accept_tasks(now_ms)) {
            let is_quarantined = worker.health.state(now_ms) == HealthState::Quarantined;
            let service = &worker.entry.service;
            if !pools.contains_key(service) {
                pools.insert(service.clone(), PlacementPool::default());
            }
            match pools.get_mut(service) {
                Some(pool) if is_quarantined => pool.add_quarantined(worker, now_ms),
                Some(pool) => pool.add_worker(worker, now_ms),
                None => {}
            }
        }
        pools
    }

    /// Places as many of a job's tasks as possible; returns the steps with tasks left. A job whose row was
    /// refused lately is left out.
    pub(crate) fn place_job(
        &mut self,
        id: &JobId,
        pool: &mut PlacementPool,
        now_ms: u64,
        wall_ms: u64,
    ) -> UnplacedSteps {
        let mut unplaced = UnplacedSteps::default();
        let Some(job) = self.jobs.get(id).filter(|_| !self.is_held(id, now_ms)) else {
            return unplaced;
        };
        let spec = Rc::clone(&job.spec);
        let ready_steps = job.ready_steps(wall_ms);
        if self.end_if_exhausted(id, &ready_steps, now_ms) {
            return unplaced;
        }
        for (occurrence, step) in ready_steps {
            if self.must_not_begin(id, occurrence, step) {
                continue;
            }
            let placed = if spec.steps[step as usize].gang {
                self.place_gang(id, occurrence, step, pool, now_ms)
            } else {
                self.place_step(id, occurrence, step, pool, now_ms)
            };
            if !placed {
                let reserved = spec.steps[step as usize].reserved();
                match pool.is_too_small(&reserved) {
                    true => unplaced.too_large += 1,
                    false => unplaced.waiting += 1,
                }
            }
        }
        if unplaced.waiting > 0 {
            self.add_waiting_work(id, pool);
        }
        if let Some(job) = self.jobs.get_mut(id) {
            let is_waiting = unplaced.waiting + unplaced.too_large > 0;
            let since_ms = job.waiting_since_ms.unwrap_or(now_ms);
            job.waiting_since_ms = is_waiting.then_some(since_ms);
        }
        unplaced
    }

    /// Returns whether a step has not begun and there is no memory for another one.
    fn must_not_begin(&self, id: &JobId, occurrence: u32, step: u32) -> bool {
        let job = self.jobs.get(id);
        self.job_memory.is_exhausted()
            && job.is_some_and(|job| !job.step_tasks(occurrence, step).is_held())
    }

    /// Places as many of a step's waiting tasks as possible; returns whether all were placed that the
    /// organisation's cap and the row of the job allow to run.
    fn place_step(
        &mut self,
        id: &JobId,
        occurrence: u32,
        step: u32,
        pool: &mut PlacementPool,
        now_ms: u64,
    ) -> bool {
        let room = self.cap_room(id, step);
        if room == 0 {
            return true;
        }
        let mut waiting = self.waiting_tasks(id, occurrence, step);
        waiting.retain(|name| !self.awaits_trial(name, now_ms));
        waiting.truncate(usize::try_from(room).unwrap_or(usize::MAX));
        let ready = waiting.len();
        self.retain_storable(id, &mut waiting);
        let mut kept_back = ready - waiting.len();
        let chosen = self.choose_for_step(&waiting, pool, now_ms);
        for (name, worker) in waiting.iter().zip(&chosen) {
            if self.has_row_room(id, from_ref(name), from_ref(worker), None) {
                self.place_task(name, worker, now_ms);
            } else if let Some(spec) = self.jobs.get(id).and_then(|job| job.step(step)) {
                pool.release(spec, from_ref(worker));
                kept_back += 1;
            }
        }
        self.full_rows.record(id, kept_back);
        chosen.len() == waiting.len()
    }

    /// Places all tasks of a gang or none, with the run number and checkpoint of the member that
    /// ran last; returns `false` if there is not enough capacity for all of them. A gang that does
    /// not fit under its organisation's cap or into the row of its job waits and does not count as
    /// unplaced.
    fn place_gang(
        &mut self,
        id: &JobId,
        occurrence: u32,
        step: u32,
        pool: &mut PlacementPool,
        now_ms: u64,
    ) -> bool {
        if self.gang_awaits_trial(id, occurrence, step, now_ms) {
            return true;
        }
        let waiting = self.startable_members(id, occurrence, step);
        let Some(first) = waiting.first() else {
            return true;
        };
        if self.cap_room(id, step) < waiting.len() as u64 {
            return true;
        }
        let chosen = self.choose_for_step(&waiting, pool, now_ms);
        let Some(spec) = self.jobs.get(id).and_then(|job| job.step(step)) else {
            return true;
        };
        if chosen.len() < waiting.len() {
            pool.release(spec, &chosen);
            let found = chosen.len();
            self.log_waiting_gang(first, waiting.len(), found, pool, now_ms);
            return false;
        }
        if !self.has_row_room(id, &waiting, &chosen, self.gang_checkpoint(first)) {
            pool.release(spec, &chosen);
            self.full_rows.record(id, waiting.len());
            return true;
        }
        self.place_gang_members(&waiting, &chosen, now_ms);
        true
    }

    /// Returns the members of a gang if all of them can start. A gang starts together, so it waits until all
    /// members of its last run are released.
    pub(crate) fn startable_members(
        &self,
        id: &JobId,
        occurrence: u32,
        step: u32,
    ) -> Vec<TaskName> {
        let mut waiting = self.waiting_tasks(id, occurrence, step);
        let job = self.jobs.get(id);
        if job.is_none_or(|job| waiting.len() < job.step_tasks(occurrence, step).len()) {
            waiting.clear();
        }
        waiting
    }

    /// Returns the checkpoint of the member of a task's gang that ran last; `None` for a task that is no
    /// member.
    pub(crate) fn gang_checkpoint(&self, name: &TaskName) -> Option<&str> {
        let job = self.jobs.get(&name.job)?;
        job.step(name.step).filter(|step| step.gang)?;
        let tasks = job.step_tasks(name.occurrence, name.step).iter();
        let newest = tasks.max_by_key(|state| state.last_run);
        Some(newest.map_or("", |state| &state.checkpoint))
    }

    /// Places all members of a gang, with the run number and checkpoint of the one that ran last.
    pub(crate) fn place_gang_members(
        &mut self,
        names: &[TaskName],
        workers: &[WorkerId],
        now_ms: u64,
    ) {
        let newest = names.iter().filter_map(|name| self.task_state(name));
        let Some(newest) = newest.max_by_key(|state| state.last_run) else {
            return;
        };
        let (last_run, checkpoint) = (newest.last_run, newest.checkpoint.clone());
        for (name, worker) in names.iter().zip(workers) {
            let job = self.jobs.get_mut(&name.job);
            if let Some(state) = job.and_then(|job| job.task_mut(name)) {
                state.last_run = last_run;
                state.checkpoint.clone_from(&checkpoint);
            }
            self.place_task(name, worker, now_ms);
        }
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

    pub(crate) fn place_task(&mut self, name: &TaskName, worker_id: &WorkerId, now_ms: u64) {
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
        state.started_ms = None;
        let run = state.last_run;
        state.phase = TaskPhase::Placed {
            worker: worker_id.clone(),
            command: CommandPhase::Committing,
            since_ms: now_ms,
        };
        if let Some(worker) = self.workers.get_mut(worker_id) {
            let step = &spec.steps[name.step as usize];
            let history = &self.durations;
            let time = RunningTime {
                age_ms: 0,
                expected_ms: history.history_based_ms(&spec.queue, step.estimate_ms),
                is_running: false,
                stalls: 0,
            };
            worker.add_new_task(name.clone(), step, now_ms + time.review_in_ms());
        }
        self.usage.add(&spec, &spec.steps[name.step as usize]);
        self.changed.insert(name.job.clone());
        self.effects.push(CommitEffect::Start(name.clone(), run));
    }
}
