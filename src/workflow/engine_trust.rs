//! Distrusts workers and restores their trust.

use std::collections::BTreeMap;

use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::CommandPhase;
use crate::workflow::DistrustCause;
use crate::workflow::EndKind;
use crate::workflow::HealthState;
use crate::workflow::JobEngine;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::WorkerState;

/// The limit on the workers of a pool in quarantine, in percent. If more are bad, what they have in
/// common is more likely the cause, and a pool without capacity serves nobody.
const MAX_QUARANTINED_PERCENT: usize = 50;

/// The limit on the workers of a pool that are distrusted for silences, in percent. If more are
/// silent, the path to them is at fault: a cut of one of three data centres affects a third.
const MAX_UNSTABLE_PERCENT: usize = 25;

/// The time in ms for which a long-running task must run to count as a success of a probation: as
/// long as a worker's lease.
const PROBE_RUN_MS: u64 = 5_000;

impl JobEngine {
    /// Quarantines a worker, unless it is in quarantine already. If too many of its pool are, the
    /// quarantines of those with the fewest relapses end.
    pub fn distrust_worker(&mut self, id: &WorkerId, cause: DistrustCause, now_ms: u64) {
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let Some(length_ms) = worker.health.distrust(cause, now_ms) else {
            return;
        };
        let slowdown = worker.health.slowdown();
        let count = worker.health.quarantines();
        log::warn!(
            "event=worker_distrusted worker={id} cause={cause} quarantine_ms={length_ms} count={count} slowdown={slowdown}"
        );
        let service = worker.entry.service.clone();
        self.limit_quarantines(&service, now_ms);
    }

    /// Updates a worker's health from the end of a run. A failure counts only if the task has not
    /// failed elsewhere before, since its job is then more likely at fault.
    pub(crate) fn record_run_end(
        &mut self,
        id: &WorkerId,
        name: &TaskName,
        kind: EndKind,
        now_ms: u64,
    ) {
        let state = self.jobs.get(&name.job).and_then(|job| job.task(name));
        let failed_elsewhere =
            state.is_some_and(|state| state.failed_on.iter().any(|other| other != id));
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        match kind {
            EndKind::Done => {
                worker.last_success_ms = now_ms;
                if worker.health.record_success(now_ms) {
                    let slowdown = worker.health.slowdown();
                    log::info!("event=worker_trusted worker={id} slowdown={slowdown}");
                }
            }
            EndKind::Failed
                if !failed_elsewhere && worker.health.record_failure(&name.job, now_ms) =>
            {
                self.distrust_worker(id, DistrustCause::Failures, now_ms);
            }
            _ => {}
        }
    }

    /// Counts a start without an answer as a silence of the task's worker.
    pub(crate) fn record_unanswered_start(&mut self, name: &TaskName, now_ms: u64) {
        let job = self.jobs.get(&name.job);
        let worker = job.and_then(|job| job.task(name)?.worker());
        if let Some(worker) = worker.and_then(|id| self.workers.get_mut(id)) {
            worker.health.record_silence(now_ms);
        }
    }

    /// Distrusts workers that repeatedly gave no answer, as far as most workers of their pool
    /// answered.
    pub(crate) fn distrust_unstable(&mut self, now_ms: u64) {
        let mut pools: BTreeMap<&ServiceId, (usize, Vec<WorkerId>)> = BTreeMap::new();
        for (id, worker) in self.workers.iter().filter(|(_, worker)| worker.listed) {
            let (size, unstable) = pools.entry(&worker.entry.service).or_default();
            *size += 1;
            if worker.health.is_unstable(now_ms) {
                unstable.push(id.clone());
            }
        }
        let is_local = |(size, unstable): &(usize, Vec<WorkerId>)| {
            unstable.len() <= (size * MAX_UNSTABLE_PERCENT / 100).max(1)
        };
        let local = pools.into_values().filter(is_local);
        let unstable: Vec<_> = local.flat_map(|(_, unstable)| unstable).collect();
        for id in unstable {
            self.distrust_worker(&id, DistrustCause::Silences, now_ms);
        }
    }

    /// Counts long-running tasks that have run for some time as successes of a worker on probation,
    /// because they never end as done.
    pub(crate) fn record_long_runs(&mut self, now_ms: u64) {
        let is_proven = |worker: &WorkerState| {
            worker.has_long_running()
                && worker.health.state(now_ms) == HealthState::Probing
                && worker.tasks.iter().any(|name| self.has_run(name, now_ms))
        };
        let workers = self.workers.iter();
        let proven = workers.filter(|(_, worker)| is_proven(worker));
        let proven: Vec<_> = proven.map(|(id, _)| id.clone()).collect();
        for id in proven {
            let worker = self.workers.get_mut(&id);
            if worker.is_some_and(|worker| worker.health.record_success(now_ms)) {
                log::info!("event=worker_trusted worker={id}");
            }
        }
    }

    /// Counts the listed workers by state.
    pub(crate) fn count_health(&mut self, now_ms: u64) {
        let mut counts: BTreeMap<_, _> = HealthState::ALL.map(|state| (state, 0)).into();
        let mut slow_count = 0;
        for worker in self.workers.values().filter(|worker| worker.listed) {
            *counts.entry(worker.health.state(now_ms)).or_default() += 1;
            slow_count += u64::from(worker.health.pace.is_slow());
        }
        self.fleet_health.counts = counts;
        self.fleet_health.slow_count = slow_count;
    }

    /// Ends quarantines beyond the limit of a pool; the workers with the most relapses stay.
    fn limit_quarantines(&mut self, service: &ServiceId, now_ms: u64) {
        let pool = self
            .workers
            .iter()
            .filter(|(_, worker)| worker.entry.service == *service && !worker.is_leaving());
        let mut size = 0;
        let mut quarantined = Vec::new();
        for (id, worker) in pool {
            size += 1;
            if worker.health.state(now_ms) == HealthState::Quarantined {
                let health = &worker.health;
                let rank = (health.quarantines(), health.quarantined_until_ms());
                quarantined.push((rank, id.clone()));
            }
        }
        let limit = size * MAX_QUARANTINED_PERCENT / 100;
        quarantined.sort_by(|one, other| other.cmp(one));
        for (_, id) in quarantined.into_iter().skip(limit) {
            log::warn!("event=quarantine_ended worker={id} service={service} limit={limit}");
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.health.end_quarantine(now_ms);
            }
        }
    }

    fn has_run(&self, name: &TaskName, now_ms: u64) -> bool {
        let job = self.jobs.get(&name.job);
        let state = job.and_then(|job| job.task(name));
        let Some(TaskPhase::Placed {
            command: CommandPhase::Running,
            since_ms,
            ..
        }) = state.map(|state| &state.phase)
        else {
            return false;
        };
        now_ms >= since_ms + PROBE_RUN_MS && state.is_some_and(|state| state.is_at_full_rate())
    }
}
