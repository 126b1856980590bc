//! Places tasks that may crash their workers, each on a worker that can show whether it does.
//!
//! The load that this answers: a worker crashes with twenty tasks, any of which may be the cause, and
//! all want to start again at once. Started beside each other, or beside other new tasks, the next
//! crash would tell as little. A few workers of the pool therefore get no other tasks while
//! suspects wait, and one suspect at a time, once they have survived the starts of all
//! that they run.
//!
//! A worker is kept for a suspect only while the suspect, with all members of its gang, could be placed on
//! the kept workers at once but for that: their room is free, and nothing else holds its job back.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::JobId;
use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::crash::engine_crashes::same_text;
use crate::workflow::crash::trial_workers::KeptWorker;
use crate::workflow::CommandPhase;
use crate::workflow::CrashCounts;
use crate::workflow::JobEngine;
use crate::workflow::PlacementPool;
use crate::workflow::StepSpec;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;

/// The limit on the workers of a pool on which suspects are tried, in percent: the others serve the
/// tasks that are not suspected.
const MAX_TRIAL_PERCENT: usize = 25;

/// The limit while less than half of the pool's CPU is in use: the other tasks need fewer workers then,
/// and suspects that a load peak has left behind should not wait for each other.
const MAX_IDLE_TRIAL_PERCENT: usize = 75;

/// How long a suspect waits for its trial, in ms. Then it is placed like other tasks, unless it has been
/// a possible cause too often.
const MAX_TRIAL_WAIT_MS: u64 = 2_000;

/// How long the other occurrences of a suspect wait for its trial from its last crash on, in ms: until it has
/// begun, and has been survived or not.
const MAX_OCCURRENCE_WAIT_MS: u64 = MAX_TRIAL_WAIT_MS + 1_000;

/// The number of crashes from which a task is started on trial only.
const MIN_TRIAL_ONLY_CRASHES: u32 = 2;

impl JobEngine {
    /// Returns whether a task must wait for its trial, or for that of another of its occurrences.
    pub(crate) fn awaits_trial(&self, name: &TaskName, now_ms: u64) -> bool {
        if self.suspects.is_empty() {
            return false;
        }
        if self.awaits_other_occurrence(name, now_ms) {
            return true;
        }
        let Some(since_ms) = self.suspects.since_ms(name) else {
            return false;
        };
        now_ms < since_ms + MAX_TRIAL_WAIT_MS || self.crash_count(name) >= MIN_TRIAL_ONLY_CRASHES
    }

    /// Returns whether another occurrence of a task is to be tried first. Occurrences run the same text: if it
    /// crashes workers, one of them shows it, and the job ends before the others start.
    fn awaits_other_occurrence(&self, name: &TaskName, now_ms: u64) -> bool {
        let unit = self.crash_unit(name);
        let rank = |name: &TaskName| {
            let crashes = self.crash_count(name);
            (Reverse(crashes), name.occurrence)
        };
        let mut suspects = self.suspects.of_job(&name.job);
        suspects.any(|other| {
            let since_ms = self.suspects.since_ms(other).unwrap_or(0);
            other.occurrence != name.occurrence
                && now_ms < since_ms + MAX_OCCURRENCE_WAIT_MS
                && same_text(&self.crash_unit(other), &unit)
                && rank(other) < rank(name)
        })
    }

    /// Places as many suspects as possible on workers that can show whether they crash them, and keeps workers
    /// for the next ones.
    pub(crate) fn place_suspects(
        &mut self,
        pools: &mut BTreeMap<ServiceId, PlacementPool>,
        now_ms: u64,
        wall_ms: u64,
    ) {
        if self.suspects.is_empty() {
            return;
        }
        self.clear_suspects();
        self.suspects.open_expired(now_ms);
        let waiting = self.waiting_suspects(now_ms, wall_ms);
        let occupied = self.occupied_workers();
        for (service, pool) in pools.iter_mut() {
            let names = waiting.get(service).map_or(&[][..], Vec::as_slice);
            let kept = self.place_on_trial(names, &occupied, pool, now_ms);
            self.suspects.trial_workers.replace(service, kept, now_ms);
        }
        let has_pool = |service: &ServiceId| pools.contains_key(service);
        self.suspects.trial_workers.retain_services(has_pool);
    }

    /// Returns the suspects that are ready to start, by service, of gangs one member each: first those for
    /// which workers were not kept in vain, and of these those that have been possible causes least often.
    fn waiting_suspects(&self, now_ms: u64, wall_ms: u64) -> BTreeMap<ServiceId, Vec<TaskName>> {
        let mut waiting: BTreeMap<_, Vec<_>> = BTreeMap::new();
        let mut gangs = BTreeSet::new();
        for name in self.suspects.iter() {
            let Some(job) = self.jobs.get(&name.job) else {
                continue;
            };
            let config = self.config.as_ref();
            let queue = config.and_then(|config| config.queue(&job.spec.queue));
            let (Some(queue), Some(step)) = (queue, job.step(name.step)) else {
                continue;
            };
            let is_due = job.spec.schedule.is_none_or(|schedule| {
                let offset_ms = u64::from(name.occurrence).saturating_mul(schedule.interval_ms);
                schedule.first_ms.saturating_add(offset_ms) <= wall_ms
            });
            let is_ready = is_due && job.is_step_ready(name.occurrence, name.step);
            let is_waiting = job.task(name).is_some_and(|state| state.is_placeable());
            let gang = (name.job.clone(), name.occurrence, name.step);
            if !is_ready || !is_waiting || (step.gang && !gangs.insert(gang)) {
                continue;
            }
            if self.awaits_other_occurrence(name, now_ms) {
                continue;
            }
            let rank = (
                self.suspects.expired_ms(name),
                !step.long_running,
                self.crash_count(name),
                self.suspects.since_ms(name),
            );
            let names = waiting.entry(queue.service.clone()).or_default();
            names.push((rank, name.clone()));
        }
        let order = |(service, mut names): (ServiceId, Vec<_>)| {
            names.sort();
            let names = names.into_iter().map(|(_, name)| name);
            (service, names.collect())
        };
        waiting.into_iter().map(order).collect()
    }

    /// Returns the workers that run a suspect whose start they are not known to have survived, each with one
    /// of them.
    fn occupied_workers(&self) -> BTreeMap<WorkerId, TaskName> {
        let placed = self.suspects.iter().filter_map(|name| {
            let state = self.task_state(name)?;
            Some((state.worker()?.clone(), name.clone()))
        });
        placed.collect()
    }

    /// Tries the suspects of one pool in order, and returns the workers that are kept for them afterwards.
    fn place_on_trial(
        &mut self,
        names: &[TaskName],
        occupied: &BTreeMap<WorkerId, TaskName>,
        pool: &mut PlacementPool,
        now_ms: u64,
    ) -> BTreeMap<WorkerId, KeptWorker> {
        let mut kept = BTreeMap::new();
        for (id, task) in occupied.iter().filter(|(id, _)| pool.contains(id)) {
            let task = task.clone();
            kept.insert(
                id.clone(),
                KeptWorker {
                    task,
                    is_tried: true,
                },
            );
        }
        kept.keys().for_each(|id| pool.keep(id));
        let limit = (pool.len() * max_trial_percent(pool) / 100).max(1);
        for name in names {
            let names = self.trial_unit(name, now_ms);
            let chosen = self.choose_for_trial(&names, pool);
            let workers: BTreeSet<_> = chosen.iter().cloned().collect();
            // A gang that needs more workers than trials may take is tried alone.
            if chosen.is_empty() || (!kept.is_empty() && kept.len() + workers.len() > limit) {
                continue;
            }
            let is_quiet = workers.iter().all(|id| self.has_survived_all(id));
            if is_quiet {
                self.place_unit(&names, &chosen, now_ms);
            }
            for id in workers {
                pool.keep(&id);
                let task = name.clone();
                let is_tried = is_quiet;
                kept.insert(id, KeptWorker { task, is_tried });
            }
        }
        kept
    }

    fn step_of(&self, name: &TaskName) -> Option<&StepSpec> {
        self.jobs.get(&name.job)?.step(name.step)
    }

    /// Returns the tasks that start together with a suspect; none if they may not start now, whatever room
    /// there is.
    fn trial_unit(&self, name: &TaskName, now_ms: u64) -> Vec<TaskName> {
        let is_gang = self.step_of(name).is_some_and(|step| step.gang);
        let names = match is_gang {
            true => self.startable_members(&name.job, name.occurrence, name.step),
            false => vec![name.clone()],
        };
        let room = self.cap_room(&name.job, name.step);
        match self.is_held(&name.job, now_ms) || room < names.len() as u64 {
            true => Vec::new(),
            false => names,
        }
    }

    /// Chooses workers with room for tasks of one step that start together, or none.
    fn choose_for_trial(&self, names: &[TaskName], pool: &PlacementPool) -> Vec<WorkerId> {
        let first = names.first().and_then(|name| {
            let job = self.jobs.get(&name.job)?;
            Some((name, job, job.step(name.step)?))
        });
        let Some((name, job, step)) = first else {
            return Vec::new();
        };
        let states: Vec<_> = names.iter().filter_map(|name| job.task(name)).collect();
        let siblings = job.step_tasks(name.occurrence, name.step).iter();
        let placed = siblings.filter_map(|state| self.workers.get(state.worker()?));
        let placed: Vec<_> = placed.collect();
        let trial_workers = &self.suspects.trial_workers;
        let chosen = pool.choose_for_trial(
            step,
            &states,
            &placed,
            |id| trial_workers.may_keep(id),
            |id| trial_workers.contains(id),
        );
        match self.has_row_room(&name.job, names, &chosen, self.gang_checkpoint(name)) {
            true => chosen,
            false => Vec::new(),
        }
    }

    /// Places tasks that start together.
    fn place_unit(&mut self, names: &[TaskName], workers: &[WorkerId], now_ms: u64) {
        if names
            .first()
            .is_some_and(|name| self.gang_checkpoint(name).is_some())
        {
            self.place_gang_members(names, workers, now_ms);
            return;
        }
        for (name, worker) in names.iter().zip(workers) {
            self.place_task(name, worker, now_ms);
        }
    }

    /// Returns whether a member of a gang awaits its trial, and with it the gang.
    pub(crate) fn gang_awaits_trial(
        &self,
        id: &JobId,
        occurrence: u32,
        step: u32,
        now_ms: u64,
    ) -> bool {
        let first = TaskName {
            job: id.clone(),
            occurrence,
            step,
            index: 0,
        };
        let mut members = self.suspects.of_job(id);
        self.awaits_trial(&first, now_ms)
            || members.any(|name| {
                name.occurrence == occurrence
                    && name.step == step
                    && self.awaits_trial(name, now_ms)
            })
    }

    /// Returns whether tasks are tried on a worker that may crash it.
    pub fn is_trial_worker(&self, id: &WorkerId) -> bool {
        self.suspects.trial_workers.contains(id)
    }

    /// Returns the number of workers that get no other tasks than those that may crash them.
    pub fn trial_worker_count(&self) -> usize {
        self.suspects.trial_workers.len()
    }

    /// Takes the numbers of crashes and of what followed since the last call.
    pub fn take_crash_counts(&mut self) -> CrashCounts {
        self.suspects.take_counts()
    }

    /// Returns the number of tasks that may crash their workers.
    pub fn suspect_count(&self) -> usize {
        self.suspects.len()
    }

    /// Returns the suspects with the worker that each is tried on, if it is, for the view of operators.
    pub fn suspect_tasks(&self) -> Vec<(TaskName, u32, Option<WorkerId>)> {
        let suspects = self.suspects.iter().map(|name| {
            let state = self.task_state(name);
            let worker = state.and_then(|state| match &state.phase {
                TaskPhase::Placed {
                    worker, command, ..
                } if *command != CommandPhase::Committing => Some(worker.clone()),
                _ => None,
            });
            (name.clone(), self.crash_count(name), worker)
        });
        suspects.collect()
    }
}

/// Returns the limit on the workers of a pool on which suspects are tried, in percent.
fn max_trial_percent(pool: &PlacementPool) -> usize {
    match 2 * pool.used().cpu_millis < pool.capacity_millis() {
        true => MAX_IDLE_TRIAL_PERCENT,
        false => MAX_TRIAL_PERCENT,
    }
}
