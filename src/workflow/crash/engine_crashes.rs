//! Counts the crashes of workers against the tasks that may have caused them, and gives up tasks that
//! crash each worker that starts them; see docs/design/worker-crashes.md.
//!
//! A worker that has crashed reports nothing, so the cause is told from which runs it had begun
//! shortly before it was last heard of.

use std::collections::BTreeSet;

use crate::id::JobId;
use crate::id::WorkerId;
use crate::workflow::CommandPhase;
use crate::workflow::CrashEvidence;
use crate::workflow::JobEngine;
use crate::workflow::JobPhase;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::TaskState;

/// The time in ms for which a worker must be heard of after it has begun a run, for the run not to
/// count as a cause of its crash. A task that crashes its worker does so within about 10 ms of its
/// start.
const START_WINDOW_MS: u64 = 150;

/// Crashes after which a task is given up, if it was the only possible cause of the last one. The
/// platform allows a task to be given up after two.
const MAX_CERTAIN_CRASHES: u32 = 2;

/// Crashes after which a task is given up that was only the likely cause of the last one. The
/// platform forbids three more starts after three crashes.
const MAX_LIKELY_CRASHES: u32 = 3;

/// How certain it is that a task has caused a crash.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum CauseCertainty {
    /// Other tasks may have caused it as well.
    Possible,
    /// No other task is likely to have, but the worker may have been lost with its rack, or the
    /// controller does not know what it had survived.
    Likely,
    /// No other task can have caused it.
    Certain,
}

impl CauseCertainty {
    /// Returns the number of crashes from which a task is given up; `None` if it is not for such a one.
    fn limit(self) -> Option<u32> {
        match self {
            Self::Possible => None,
            Self::Likely => Some(MAX_LIKELY_CRASHES),
            Self::Certain => Some(MAX_CERTAIN_CRASHES),
        }
    }

    fn as_str(self) -> &'static str {
        match self {
            Self::Possible => "possible",
            Self::Likely => "likely",
            Self::Certain => "certain",
        }
    }
}

impl JobEngine {
    /// Records that a worker has crashed, on evidence from `evidence_ms`, and releases its tasks. No
    /// effect if it is known to have started again since.
    pub fn crash_worker(
        &mut self,
        id: &WorkerId,
        evidence: CrashEvidence,
        evidence_ms: u64,
        now_ms: u64,
    ) {
        let is_known = self.incarnations.was_known_at(id, evidence_ms);
        if !is_known || self.incarnations.has_ended(id) {
            return;
        }
        let reason = match self.is_ended_by_order(id, false, now_ms) {
            true => "a command to its host has ended it",
            false => evidence.as_str(),
        };
        self.record_crash(id, evidence, now_ms);
        self.end_incarnation(id, reason, now_ms);
    }

    /// Counts the crash of a worker's incarnation, whose tasks are still placed, against those that may
    /// have caused it. Runs on a worker that is draining end when it leaves, and those on a host that was
    /// commanded when the command is carried out, which is no crash.
    pub(crate) fn record_crash(&mut self, id: &WorkerId, evidence: CrashEvidence, now_ms: u64) {
        let worker = self.workers.get(id);
        if self.is_ended_by_order(id, evidence == CrashEvidence::Restarted, now_ms) {
            let runs = worker.map_or(0, |worker| worker.tasks.len());
            log::warn!(
                "event=worker_ended_by_order worker={id} evidence=\"{evidence}\" runs={runs}"
            );
            return;
        }
        if worker.is_some_and(|worker| worker.entry.draining) {
            return;
        }
        let runs = worker.map_or(0, |worker| worker.tasks.len());
        let rack = worker.and_then(|worker| worker.entry.rack().map(str::to_owned));
        let is_rack_loss =
            rack.is_some_and(|rack| self.suspects.record_rack_crash(&rack, id, now_ms));
        let causes = self.possible_causes(id);
        if causes.is_empty() {
            return;
        }
        log::warn!(
            "event=worker_crashed worker={id} evidence=\"{evidence}\" runs={runs} causes={} rack_lost={is_rack_loss}",
            causes.len()
        );
        self.suspects.count_crash();
        let is_inherited = causes.iter().any(|name| self.is_inherited(name));
        let likely = self.likely_cause(&causes);
        for name in &causes {
            let unit = self.crash_unit(name);
            let is_only = causes.iter().all(|other| self.crash_unit(other) == unit);
            let certainty = match (is_only, is_inherited || is_rack_loss) {
                (true, false) => CauseCertainty::Certain,
                (true, true) => CauseCertainty::Likely,
                (false, _) if is_inherited && likely.as_ref() == Some(&unit) => {
                    CauseCertainty::Likely
                }
                (false, _) => CauseCertainty::Possible,
            };
            let state = self.task_state(name);
            let has_begun = state.is_some_and(|state| state.started_ms.is_some());
            if has_begun || certainty != CauseCertainty::Possible {
                self.count_crash(name, id, certainty, now_ms);
            } else {
                // Its start may have come after the crash, which then was none under this task.
                log::info!(
                    "event=crash_suspected job={} task={name} worker={id}",
                    name.job
                );
                self.suspect_task(name, now_ms);
            }
        }
    }

    /// Makes a task a suspect, from the next start on.
    fn suspect_task(&mut self, name: &TaskName, now_ms: u64) {
        let job = self.jobs.get_mut(&name.job);
        let Some(job) = job.filter(|job| !job.phase.has_ended()) else {
            return;
        };
        if let Some(state) = job.task_mut(name) {
            state.is_suspect = true;
            self.changed.insert(name.job.clone());
            self.suspects.insert(name.clone(), now_ms);
        }
    }

    /// Returns whether a task may have crashed its worker.
    fn is_suspect(&self, name: &TaskName) -> bool {
        self.suspects.since_ms(name).is_some()
    }

    /// Returns the unit of the only suspect among the possible causes. An earlier controller has started it
    /// on a worker that had survived the starts of the others.
    fn likely_cause(&self, causes: &BTreeSet<TaskName>) -> Option<TaskName> {
        let suspects = causes.iter().filter(|name| self.is_suspect(name));
        let units: BTreeSet<_> = suspects.map(|name| self.crash_unit(name)).collect();
        match units.len() {
            1 => units.into_iter().next(),
            _ => None,
        }
    }

    /// Counts a crash of a worker against a task, and gives the task up if it has crashed too many.
    fn count_crash(
        &mut self,
        name: &TaskName,
        worker: &WorkerId,
        certainty: CauseCertainty,
        now_ms: u64,
    ) {
        let Some(job) = self.jobs.get_mut(&name.job) else {
            return;
        };
        let has_ended = job.phase.has_ended();
        let Some(state) = job.task_mut(name) else {
            return;
        };
        state.is_suspect = true;
        state.crashes += 1;
        state.crashed_on.push(worker.clone());
        let (run, workers) = (state.last_run, state.crashed_on.clone());
        self.changed.insert(name.job.clone());
        let crashes = self.crash_count(name);
        log::warn!(
            "event=crash_counted job={} task={name} run={run} worker={worker} crashes={crashes} certainty={}",
            name.job,
            certainty.as_str()
        );
        if has_ended {
            return;
        }
        self.suspects.insert(name.clone(), now_ms);
        if certainty.limit().is_some_and(|limit| crashes >= limit) {
            let workers: Vec<_> = workers.iter().map(WorkerId::as_str).collect();
            log::warn!(
                "event=job_failed job={} task={name} crashes={crashes} workers={} reason=\"the task crashes its workers\"",
                name.job,
                workers.join(",")
            );
            self.suspects.count_given_up();
            self.end_job(&name.job.clone(), JobPhase::Failed, now_ms);
        }
    }

    /// Returns the number of crashes that a task may have caused; of a gang, those of the member with the
    /// most, since all members start again for each. Each occurrence of a job has tasks of its own.
    pub(crate) fn crash_count(&self, name: &TaskName) -> u32 {
        let Some(job) = self.jobs.get(&name.job) else {
            return 0;
        };
        if !job.step(name.step).is_some_and(|step| step.gang) {
            return job.task(name).map_or(0, |task| task.crashes);
        }
        let members = job.step_tasks(name.occurrence, name.step).iter();
        members.map(|task| task.crashes).max().unwrap_or(0)
    }

    /// Restores the suspects among a job's tasks from its durable progress.
    pub(crate) fn restore_suspects(&mut self, id: &JobId, now_ms: u64) {
        let Some(job) = self.jobs.get(id).filter(|job| !job.phase.has_ended()) else {
            return;
        };
        if !job.has_suspects() {
            return;
        }
        let suspects = job
            .begun_tasks()
            .filter(|(_, state)| state.is_suspect && state.phase != TaskPhase::Done);
        let names: Vec<_> = suspects.map(|(name, _)| name).collect();
        for name in names {
            self.suspects.insert(name, now_ms);
        }
    }

    /// Clears the suspects whose worker has survived their start, and forgets those that are done.
    pub(crate) fn clear_suspects(&mut self) {
        let suspects: Vec<_> = self.suspects.iter().cloned().collect();
        for name in suspects {
            let job = self
                .jobs
                .get(&name.job)
                .filter(|job| !job.phase.has_ended());
            let state = job.and_then(|job| job.task(&name));
            let Some(state) = state.filter(|state| state.phase != TaskPhase::Done) else {
                self.suspects.remove(&name);
                continue;
            };
            let worker = state.worker().and_then(|id| self.workers.get(id));
            let is_running = matches!(
                state.command_phase(),
                Some(CommandPhase::Accepted(_) | CommandPhase::Running)
            );
            if is_running && worker.is_some_and(|worker| has_survived(state, worker.alive_ms)) {
                self.clear_suspect(&name);
            }
        }
    }

    /// Clears a suspect, and the other occurrences of its task, which run the same text. Of a gang, it clears only
    /// the member that its worker has survived.
    fn clear_suspect(&mut self, name: &TaskName) {
        let suspects = self.suspects.of_job(&name.job);
        let cleared = suspects.filter(|other| same_text(other, name));
        let cleared: Vec<_> = cleared.cloned().collect();
        for name in &cleared {
            log::info!("event=suspect_cleared job={} task={name}", name.job);
            self.suspects.remove(name);
            self.suspects.count_cleared();
            let job = self.jobs.get_mut(&name.job);
            if let Some(state) = job.and_then(|job| job.task_mut(name)) {
                state.clear_suspicion();
                self.changed.insert(name.job.clone());
            }
        }
    }

    /// Returns the tasks whose runs may have crashed a worker: those that it is not known to have survived.
    /// They include those that are held back for its report.
    pub(crate) fn possible_causes(&self, id: &WorkerId) -> BTreeSet<TaskName> {
        let worker = self.workers.get(id);
        let alive_ms = worker.map_or(0, |worker| worker.alive_ms);
        let placed = worker.into_iter().flat_map(|worker| &worker.tasks);
        let restored = self.restored_placements.get(id).into_iter().flatten();
        let lost = self.lost_tasks(id);
        let may_have_begun = |name: &&TaskName| {
            let state = self.task_state(name);
            state.is_some_and(|state| {
                let is_here = state.worker() == Some(id) || state.lost_on.as_ref() == Some(id);
                let is_sent = state.command_phase() != Some(CommandPhase::Committing);
                is_here && is_sent && !has_survived(state, alive_ms)
            })
        };
        let runs = placed.chain(restored).chain(lost);
        runs.filter(may_have_begun).cloned().collect()
    }

    /// Returns whether a worker is known to have survived the starts of all its tasks.
    pub(crate) fn has_survived_all(&self, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let mut tasks = worker.tasks.iter();
        tasks.all(|name| {
            let state = self.task_state(name);
            state.is_some_and(|state| has_survived(state, worker.alive_ms))
        })
    }

    pub(crate) fn task_state(&self, name: &TaskName) -> Option<&TaskState> {
        self.jobs.get(&name.job)?.task(name)
    }

    fn is_inherited(&self, name: &TaskName) -> bool {
        let phase = self.task_state(name).and_then(TaskState::command_phase);
        matches!(phase, None | Some(CommandPhase::Inherited(_)))
    }

    /// Returns what starts together with a task: the first member of its gang, or the task itself.
    pub(crate) fn crash_unit(&self, name: &TaskName) -> TaskName {
        let job = self.jobs.get(&name.job);
        let is_gang = job.is_some_and(|job| job.step(name.step).is_some_and(|step| step.gang));
        TaskName {
            index: if is_gang { 0 } else { name.index },
            ..name.clone()
        }
    }
}

/// Returns whether two tasks or gangs are occurrences of the same one.
pub(crate) fn same_text(one: &TaskName, other: &TaskName) -> bool {
    (&one.job, one.step, one.index) == (&other.job, other.step, other.index)
}

/// Returns whether a worker that was last heard of at `alive_ms` has survived the start of a run.
pub(crate) fn has_survived(state: &TaskState, alive_ms: u64) -> bool {
    state
        .started_ms
        .is_some_and(|started_ms| alive_ms >= started_ms + START_WINDOW_MS)
}
