//! Places tasks that may crash their workers, each on a worker that can show whether it does.
//!
//! The load that this answers: a worker crashes with twenty tasks, any of which may be the cause, and
//! all want to start again at once. Started beside each other, or beside other new tasks, the next
//! crash would tell as little. A few workers of the pool therefore get no other tasks while
//! suspects wait, and one suspect at a time, once they have survived the starts of all
//! that they run.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::JobId;
use crate::id::ServiceId;
use crate::id::WorkerId;
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

/// The number of crashes from which a task is started on trial only.
const MIN_TRIAL_ONLY_CRASHES: u32 = 2;

impl JobEngine {
    /// Returns whether a task must wait for its trial.
    pub(crate) fn awaits_trial(&self, name: &TaskName, now_ms: u64) -> bool {
        let Some(since_ms) = self.suspects.since_ms(name) else {
            return false;
        };
        now_ms < since_ms + MAX_TRIAL_WAIT_MS || self.crash_count(name) >= MIN_TRIAL_ONLY_CRASHES
    }

    /// Chooses the workers of each pool on which suspects are tried, and places as many as possible.
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
        let waiting = self.waiting_suspects(wall_ms);
        let occupied = self.occupied_workers();
        let kept = std::mem::take(&mut self.suspects.trial_workers);
        for (service, pool) in pools.iter_mut() {
            let names = waiting.get(service).map_or(&[][..], Vec::as_slice);
            let steps: Vec<_> = names.iter().filter_map(|name| self.step_of(name)).collect();
            let kept = kept.get(service);
            let chosen = self.choose_trial_workers(pool, &steps, kept, &occupied);
            for id in &chosen {
                pool.set_trial(id, self.has_survived_all(id));
            }
            if !chosen.is_empty() {
                self.suspects.trial_workers.insert(service.clone(), chosen);
            }
            for name in names {
                self.place_suspect(name, pool, now_ms);
            }
        }
    }

    /// Returns the suspects that are ready to start, by service: those that have been possible causes
    /// least often first, of gangs one member each.
    fn waiting_suspects(&self, wall_ms: u64) -> BTreeMap<ServiceId, Vec<TaskName>> {
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
            let rank = (
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

    /// Returns the workers that run a suspect whose start they are not known to have survived.
    fn occupied_workers(&self) -> BTreeSet<WorkerId> {
        let placed = self.suspects.iter().filter_map(|name| {
            let state = self.task_state(name)?;
            state.worker().cloned()
        });
        placed.collect()
    }

    /// Chooses the workers of a pool on which suspects are tried. Those of the last pass and those that
    /// run one stay.
    fn choose_trial_workers(
        &self,
        pool: &PlacementPool,
        steps: &[&StepSpec],
        kept: Option<&BTreeSet<WorkerId>>,
        occupied: &BTreeSet<WorkerId>,
    ) -> BTreeSet<WorkerId> {
        let mut chosen: BTreeSet<_> = occupied
            .iter()
            .filter(|id| pool.contains(id))
            .cloned()
            .collect();
        if steps.is_empty() {
            return chosen;
        }
        let is_gang = steps.iter().any(|step| step.gang);
        let most = match is_gang {
            // The members of a gang start together.
            true => pool.len(),
            false => (pool.len() * max_trial_percent(pool) / 100).max(1),
        };
        let needed: usize = steps.iter().map(|step| trial_workers_of(step)).sum();
        let wanted = needed.min(most);
        let kept = kept.into_iter().flatten();
        for id in kept.filter(|id| pool.contains(id)) {
            if chosen.len() < wanted {
                chosen.insert(id.clone());
            }
        }
        for step in steps.iter().cycle().take(needed) {
            if chosen.len() >= wanted {
                break;
            }
            chosen.extend(pool.best_trial_worker(step, &chosen));
        }
        chosen
    }

    fn step_of(&self, name: &TaskName) -> Option<&StepSpec> {
        self.jobs.get(&name.job)?.step(name.step)
    }

    fn place_suspect(&mut self, name: &TaskName, pool: &mut PlacementPool, now_ms: u64) {
        if self.is_held(&name.job, now_ms) || self.cap_room(&name.job, name.step) == 0 {
            return;
        }
        if self.step_of(name).is_some_and(|step| step.gang) {
            self.place_gang_on_trial(&name.job, name.occurrence, name.step, pool, now_ms);
            return;
        }
        let names = [name.clone()];
        let chosen = self.choose_on_trial(&names, pool);
        let [worker] = &chosen[..] else {
            return;
        };
        if self.has_row_room(&name.job, &names, &chosen, None) {
            self.place_task(name, worker, now_ms);
        }
    }

    /// Chooses trial workers for tasks of one step that start together, or none.
    pub(crate) fn choose_on_trial(
        &self,
        names: &[TaskName],
        pool: &mut PlacementPool,
    ) -> Vec<WorkerId> {
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
        pool.choose_on_trial(step, &states, &placed)
    }

    /// Returns whether a member of a gang awaits its trial, and with it the gang.
    pub(crate) fn gang_awaits_trial(
        &self,
        id: &JobId,
        occurrence: u32,
        step: u32,
        now_ms: u64,
    ) -> bool {
        let mut members = self.suspects.of_job(id);
        members.any(|name| {
            name.occurrence == occurrence && name.step == step && self.awaits_trial(name, now_ms)
        })
    }

    /// Returns whether tasks are tried on a worker that may crash it.
    pub fn is_trial_worker(&self, id: &WorkerId) -> bool {
        self.suspects.is_trial_worker(id)
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

/// Returns the number of workers that a trial of a step's task may take.
fn trial_workers_of(step: &StepSpec) -> usize {
    match step.gang {
        true => step.tasks as usize,
        false => 1,
    }
}
