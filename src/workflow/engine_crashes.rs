//! Tells which runs may have crashed their worker.
//!
//! A worker that has crashed reports nothing, so the cause is told from which runs it had begun
//! shortly before it was last heard of.

use std::collections::BTreeSet;

use crate::id::WorkerId;
use crate::workflow::CommandPhase;
use crate::workflow::CrashEvidence;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;
use crate::workflow::TaskState;

/// The time in ms for which a worker must be heard of after it has begun a run, for the run not to
/// count as a cause of its crash. A task that crashes its worker does so within about 10 ms of its
/// start.
const START_WINDOW_MS: u64 = 150;

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
        self.record_crash(id, evidence, now_ms);
        self.end_incarnation(id, evidence.as_str(), now_ms);
    }

    /// Records the crash of a worker's incarnation whose tasks are still placed. Runs on a worker that is
    /// draining end when it leaves, which is no crash.
    pub(crate) fn record_crash(&mut self, id: &WorkerId, evidence: CrashEvidence, _now_ms: u64) {
        let worker = self.workers.get(id);
        if worker.is_some_and(|worker| worker.entry.draining) {
            return;
        }
        let runs = worker.map_or(0, |worker| worker.tasks.len());
        let causes = self.possible_causes(id);
        if causes.is_empty() {
            return;
        }
        log::warn!(
            "event=worker_crashed worker={id} evidence=\"{evidence}\" runs={runs} causes={}",
            causes.len()
        );
        for name in &causes {
            let run = self.task_state(name).map_or(0, |state| state.last_run);
            log::warn!(
                "event=crash_cause_possible job={} task={name} run={run} worker={id}",
                name.job
            );
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

    pub(crate) fn task_state(&self, name: &TaskName) -> Option<&TaskState> {
        self.jobs.get(&name.job)?.task(name)
    }
}

/// Returns whether a worker that was last heard of at `alive_ms` has survived the start of a run.
pub(crate) fn has_survived(state: &TaskState, alive_ms: u64) -> bool {
    state
        .started_ms
        .is_some_and(|started_ms| alive_ms >= started_ms + START_WINDOW_MS)
}
