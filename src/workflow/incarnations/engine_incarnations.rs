//! Handles workers whose incarnation or lease has ended, and releases their tasks.

use std::collections::BTreeSet;

use crate::id::IncarnationStart;
use crate::id::WorkerId;
use crate::workflow::hosts::host_orders::HOST_LIST_LAG_MS;
use crate::workflow::incarnations::known_incarnations::IncarnationOrder;
use crate::workflow::incarnations::lost_runs::MAX_SILENCE_MS;
use crate::workflow::CommandPhase;
use crate::workflow::CrashEvidence;
use crate::workflow::JobEngine;
use crate::workflow::StopRequest;
use crate::workflow::TaskName;
use crate::workflow::TaskState;
use crate::workflow::WorkerEntry;
use crate::workflow::WorkerReport;
use crate::workflow::WorkerState;

/// Returns whether a worker has no entry and has not answered for [`HOST_LIST_LAG_MS`] before a list of hosts
/// was requested at `listed_ms`. This also holds for a worker that is cut off, but its host stays listed.
fn has_left(worker: &WorkerState, listed_ms: u64) -> bool {
    let silent_since_ms = worker.unresponsive_since_ms;
    !worker.listed && silent_since_ms > 0 && silent_since_ms + HOST_LIST_LAG_MS <= listed_ms
}

impl JobEngine {
    /// Returns the start of a worker's newest known incarnation; `None` if it states none.
    pub fn incarnation_start(&self, id: &WorkerId) -> Option<IncarnationStart> {
        self.incarnations.start(id)
    }

    /// Returns whether a stop is meant for the newest known incarnation of its worker.
    pub(crate) fn is_current(&self, request: &StopRequest) -> bool {
        request.incarnation_start == self.incarnation_start(&request.worker)
    }

    /// Requests a stop of a run from the newest known incarnation of a worker.
    pub(crate) fn push_stop(
        &mut self,
        worker: &WorkerId,
        task: &TaskName,
        run: u64,
        reason: &'static str,
    ) {
        self.stops.push(StopRequest {
            worker: worker.clone(),
            incarnation_start: self.incarnation_start(worker),
            task: task.clone(),
            run,
            reason,
        });
    }

    /// Checks which incarnation of a known worker has sent a report, and begins a new one. Returns
    /// whether the report is of the newest.
    pub(crate) fn accept_report(
        &mut self,
        id: &WorkerId,
        report: &WorkerReport,
        now_ms: u64,
    ) -> bool {
        let start = report.incarnation_start;
        match self.incarnations.observe(id, start, now_ms) {
            IncarnationOrder::Late => return false,
            IncarnationOrder::New => self.begin_incarnation(id, now_ms),
            IncarnationOrder::Current => {}
        }
        true
    }

    /// Replaces a known worker's state by that of a new incarnation, which holds and knows nothing.
    ///
    /// The runs of the old incarnation have ended, but a start that was meant for it may still
    /// reach the new one. A task whose start may have been sent is therefore released only once the
    /// new incarnation has accepted a stop of the run. Inherited tasks need none: the first answer
    /// to this controller shows that the starts of earlier ones are refused.
    pub(crate) fn begin_incarnation(&mut self, id: &WorkerId, now_ms: u64) {
        self.worker_epochs.record_restart(id, now_ms);
        self.record_crash(id, CrashEvidence::Restarted, now_ms);
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let tasks: Vec<_> = worker.tasks.iter().cloned().collect();
        let mut next = WorkerState::new(WorkerEntry::clone(&worker.entry));
        next.listed = worker.listed;
        // What wants its host empty still does.
        next.cordon.clone_from(&worker.cordon);
        let start = self.incarnation_start(id).map(IncarnationStart::get);
        log::warn!(
            "event=worker_restarted worker={id} start={start:?} tasks={}",
            tasks.len()
        );
        for name in &tasks {
            let step = self.jobs.get(&name.job).and_then(|job| job.step(name.step));
            if let Some(step) = step {
                next.carry_task(name.clone(), step, now_ms);
            }
        }
        self.workers.insert(id.clone(), next);
        for name in &tasks {
            self.supersede_run(id, name);
        }
    }

    fn supersede_run(&mut self, worker: &WorkerId, name: &TaskName) {
        let job = self.jobs.get_mut(&name.job);
        let Some(state) = job.and_then(|job| job.task_mut(name)) else {
            return;
        };
        match state.command_phase() {
            None | Some(CommandPhase::Inherited(_)) => {}
            Some(CommandPhase::Committing) => self.release_task(name),
            Some(_) => {
                state.set_command_phase(CommandPhase::Stopping);
                let run = state.last_run;
                self.push_stop(worker, name, run, "its worker has restarted");
            }
        }
    }

    /// Records the last task end of a worker that is durable. No effect if the worker has started
    /// again since, because each incarnation counts its ends from 1.
    pub fn record_durable_end(
        &mut self,
        id: &WorkerId,
        start: Option<IncarnationStart>,
        last_end: u64,
    ) {
        if self.incarnation_start(id) != start {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.durable_end = worker.durable_end.max(last_end);
        }
    }

    /// Like [`JobEngine::end_incarnation`], on evidence from `evidence_ms`. No effect if the worker
    /// is known to have started again since.
    pub fn end_incarnation_as_of(
        &mut self,
        id: &WorkerId,
        evidence_ms: u64,
        reason: &str,
        now_ms: u64,
    ) {
        if self.incarnations.was_known_at(id, evidence_ms) {
            self.end_incarnation(id, reason, now_ms);
        }
    }

    /// Records that a worker's incarnation has ended for good and releases its tasks; the
    /// worker is added again under this id only with a later start.
    pub fn end_incarnation(&mut self, id: &WorkerId, reason: &str, now_ms: u64) {
        if !self.incarnations.end(id) {
            return;
        }
        if let Some(worker) = self.workers.get_mut(id) {
            worker.listed = false;
        }
        self.early_cordons.remove(id);
        self.resolve_lost_runs(id);
        self.end_worker(id, reason, now_ms);
    }

    /// Releases a worker's tasks; the worker stays known if the platform still lists it or it is to
    /// report lost runs.
    fn end_worker(&mut self, id: &WorkerId, reason: &str, now_ms: u64) {
        let Some(worker) = self.workers.remove(id) else {
            return;
        };
        // All runs of the worker are over.
        self.usage.retain_unplaced_runs(id, |_, _| false);
        let tasks = worker.tasks.len();
        let silent_ms = match worker.unresponsive_since_ms {
            0 => 0,
            since_ms => now_ms.saturating_sub(since_ms),
        };
        log::warn!(
            "event=worker_lost worker={id} tasks={tasks} silent_ms={silent_ms} reason={reason:?}"
        );
        for task in &worker.tasks {
            self.release_task(task);
        }
        if worker.listed || self.has_lost_runs(id) {
            let mut fresh = WorkerState::new(WorkerEntry::clone(&worker.entry));
            fresh.listed = worker.listed;
            fresh.record_unresponsive(now_ms);
            self.workers.insert(id.clone(), fresh);
        }
    }

    /// Releases the tasks of workers whose leases are certain to have expired, and removes
    /// unlisted workers without tasks. Tasks that may be done are held back until their worker
    /// reports. A worker that has never answered this controller holds no
    /// lease once the inherited runs have ended.
    pub fn expire_workers(&mut self, now_ms: u64) {
        let inherited_runs_ended = now_ms > self.inherited_until_ms;
        let usage = &self.usage;
        let unobserved_until_ms = |id: &WorkerId| self.unobserved_until_ms(id);
        let has_expired = |id: &WorkerId, worker: &WorkerState| {
            let unresponsive = worker.unresponsive_since_ms > 0;
            let never_answered = !worker.has_accepted_epoch && now_ms > unobserved_until_ms(id);
            unresponsive
                && (!worker.tasks.is_empty() || usage.has_unplaced_runs(id))
                && (worker.is_lease_expired(now_ms) || never_answered)
                && !worker.may_run_carried_tasks(now_ms)
        };
        let workers = self
            .workers
            .iter()
            .filter(|(id, worker)| has_expired(id, worker));
        let expired: Vec<_> = workers.map(|(id, _)| id.clone()).collect();
        for id in expired {
            let worker = self.workers.get(&id);
            let has_answered = worker.is_some_and(|worker| worker.has_accepted_epoch);
            let since_ms = match has_answered {
                true => now_ms,
                // What may be done on a worker that never answered is held until the inherited runs end.
                false => self.inherited_until_ms.saturating_sub(MAX_SILENCE_MS),
            };
            if has_answered || !inherited_runs_ended {
                self.hold_lost_runs(&id, since_ms);
            }
            self.end_worker(&id, "its lease has expired", now_ms);
        }
        self.expire_lost_runs(now_ms);
        let (lost_runs, usage) = (&self.lost_runs, &self.usage);
        self.workers.retain(|id, worker| {
            worker.listed
                || !worker.tasks.is_empty()
                || usage.has_unplaced_runs(id)
                || lost_runs.contains_key(id)
        });
        self.release_orphans(now_ms);
    }

    /// Releases the tasks of workers that no host lists, because such a worker has ended: of those that
    /// are unknown, have not answered this controller, or neither answer nor have an entry any more. The
    /// list of hosts was requested at `listed_ms`. Two lists in turn must lack the host: it may change its
    /// place while the pages of one are read.
    pub fn reconcile_hosted_workers(&mut self, hosted: &BTreeSet<WorkerId>, listed_ms: u64) {
        let unhosted = self.unhosted_workers(hosted, listed_ms);
        let before = std::mem::replace(&mut self.unhosted, unhosted.clone());
        let gone: BTreeSet<_> = unhosted.intersection(&before).cloned().collect();
        for id in &gone {
            match self.workers.get(id) {
                // The host of a worker that crashed stays listed.
                Some(worker) if worker.has_accepted_epoch => {
                    self.end_unhosted_worker(id, "its host was removed", listed_ms);
                }
                Some(_) => self.crash_unhosted_worker(id, CrashEvidence::Unhosted, listed_ms),
                None => self.record_crash(id, CrashEvidence::Unhosted, listed_ms),
            }
        }
        for name in self.orphans() {
            let job = self.jobs.get(&name.job);
            let worker = job.and_then(|job| job.task(&name)?.worker());
            if worker.is_some_and(|worker| gone.contains(worker)) {
                log::warn!("event=task_orphaned task={name} reason=\"no host lists its worker\"");
                self.release_task(&name);
            }
        }
    }

    /// Returns the workers with runs that have ended if no host lists them, which is so in this list.
    fn unhosted_workers(&self, hosted: &BTreeSet<WorkerId>, listed_ms: u64) -> BTreeSet<WorkerId> {
        let known = self.workers.iter().filter(|(id, worker)| {
            let has_runs = !worker.tasks.is_empty() || self.has_lost_runs(id);
            let may_have_ended = !worker.has_accepted_epoch || has_left(worker, listed_ms);
            may_have_ended && has_runs && !hosted.contains(id)
        });
        let unknown = self.restored_placements.keys();
        let unknown = unknown.filter(|id| !hosted.contains(id) && self.has_orphans(id));
        known.map(|(id, _)| id).chain(unknown).cloned().collect()
    }

    /// Records the crash of a worker that its host no longer lists, according to a list of hosts that was
    /// requested at `listed_ms`.
    pub fn crash_unhosted_worker(
        &mut self,
        id: &WorkerId,
        evidence: CrashEvidence,
        listed_ms: u64,
    ) {
        let evidence_ms = listed_ms.saturating_sub(HOST_LIST_LAG_MS);
        self.crash_worker(id, evidence, evidence_ms, listed_ms);
    }

    /// Ends the incarnation of a worker that its host does not list, according to a list of hosts
    /// that was requested at `listed_ms`. The list may show the time before a restart.
    pub fn end_unhosted_worker(&mut self, id: &WorkerId, reason: &str, listed_ms: u64) {
        let evidence_ms = listed_ms.saturating_sub(HOST_LIST_LAG_MS);
        self.end_incarnation_as_of(id, evidence_ms, reason, listed_ms);
    }

    /// Returns the placed tasks whose workers are unknown: only restored ones, since all others are
    /// placed on known workers.
    fn orphans(&self) -> Vec<TaskName> {
        let restored = self.restored_placements.iter();
        let orphans = restored.flat_map(|(worker, names)| {
            let placed = names.iter();
            let placed = placed.filter(move |name| self.is_placed_on(name, worker));
            placed.cloned()
        });
        orphans.collect()
    }

    /// Returns whether restored tasks are placed on a worker that is unknown.
    pub(crate) fn has_orphans(&self, worker: &WorkerId) -> bool {
        let restored = self.restored_placements.get(worker);
        restored.is_some_and(|names| names.iter().any(|name| self.is_placed_on(name, worker)))
    }

    fn is_placed_on(&self, name: &TaskName, worker: &WorkerId) -> bool {
        let job = self.jobs.get(&name.job);
        job.and_then(|job| job.task(name)?.worker()) == Some(worker)
    }

    /// Adds the tasks that were restored as placed on a new worker and have not been released
    /// since. All other tasks are placed on known workers.
    pub(crate) fn add_restored_tasks(&mut self, worker: &mut WorkerState) {
        let placements = self.restored_placements.remove(&worker.entry.id);
        for name in placements.unwrap_or_default() {
            let Some(job) = self.jobs.get(&name.job) else {
                continue;
            };
            let state = job.task(&name);
            if state.and_then(TaskState::worker) == Some(&worker.entry.id) {
                let step = &job.spec.steps[name.step as usize];
                worker.add_task(name, step);
            }
        }
    }

    /// Releases the tasks of unknown workers whose inherited runs have ended. The lease alone doesn't tell
    /// whether one that ends is done.
    fn release_orphans(&mut self, now_ms: u64) {
        let may_run = |name: &TaskName| {
            let worker = self.task_state(name).and_then(TaskState::worker);
            let until_ms = worker.map_or(self.inherited_until_ms, |worker| {
                match self.is_long_running(name) {
                    true => self.unobserved_until_ms(worker),
                    false => {
                        let early_ms = self.early_lease_until_ms(worker);
                        self.inherited_until_ms.max(early_ms)
                    }
                }
            });
            now_ms <= until_ms
        };
        let mut ended = self.orphans();
        ended.retain(|name| !may_run(name));
        for name in ended {
            log::warn!("event=task_orphaned task={name}");
            self.release_task(&name);
        }
    }
}
