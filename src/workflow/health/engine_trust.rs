//! Distrusts workers and restores their trust.

use std::collections::BTreeMap;

use crate::id::DataCentreId;
use crate::id::ServiceId;
use crate::id::WorkerId;
use crate::workflow::health::worker_health::SILENCE_WINDOW_MS;
use crate::workflow::CommandPhase;
use crate::workflow::DistrustCause;
use crate::workflow::EndKind;
use crate::workflow::HealthState;
use crate::workflow::JobEngine;
use crate::workflow::PlacementPool;
use crate::workflow::TaskName;
use crate::workflow::TaskPhase;
use crate::workflow::WorkerState;

/// The limit on the workers of a pool in quarantine, in percent. If more are bad, what they have in
/// common is more likely the cause, and a pool without capacity serves nobody.
const MAX_QUARANTINED_PERCENT: usize = 50;

/// The limit on the workers of a pool in one data centre that are distrusted for silences, in percent.
/// If more are silent, the path to them is more likely at fault.
const MAX_UNSTABLE_PERCENT: usize = 25;

/// The time in ms for which a long-running task must run to count as a success of a probation: as
/// long as a worker's lease.
const PROBE_RUN_MS: u64 = 5_000;

/// The weight of a run in the share of failed runs of a pool. It follows a change within about 64
/// runs of the pool, before a single worker has ended many.
const POOL_FAILURE_WEIGHT: f64 = 1.0 / 64.0;

/// The multiple of the pool's share of failed runs from which a worker is worse than its pool. The
/// share of a worker varies by 0.12, and is compared with it after each of thousands of runs.
const WORSE_THAN_POOL: f64 = 3.0;

/// The share of failed runs from which a worker is bad, however many runs fail in its pool.
const MAX_COMMON_LIMIT: f64 = 0.9;

/// Min time for which a gang has waited before it is logged, and between two such lines, in ms.
const GANG_LOG_INTERVAL_MS: u64 = 1_000;

/// The workers of a pool in one data centre whose calls had no answer lately.
#[derive(Default)]
struct SilentWorkers {
    /// The number of workers that were called lately. Idle ones are not.
    called: usize,
    silent: usize,
    unstable: Vec<WorkerId>,
    /// The workers that are in quarantine for silences.
    quarantined: Vec<WorkerId>,
}

impl SilentWorkers {
    /// Returns whether so few workers are silent that the path to them is not at fault.
    fn is_local(&self) -> bool {
        self.silent <= (self.called * MAX_UNSTABLE_PERCENT / 100).max(1)
    }
}

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

    /// Ends the quarantines of workers that tasks need which have waited for too long.
    pub(crate) fn end_quarantines(&mut self, ids: &[WorkerId], now_ms: u64) {
        for id in ids {
            let worker = self.workers.get_mut(id);
            let is_quarantined =
                |worker: &&mut WorkerState| worker.health.state(now_ms) == HealthState::Quarantined;
            if let Some(worker) = worker.filter(is_quarantined) {
                log::info!(
                    "event=quarantine_ended worker={id} reason=\"tasks have waited for it\""
                );
                worker.health.end_quarantine(now_ms);
            }
        }
    }

    /// Logs why a gang that waits is not placed, once a second at most.
    pub(crate) fn log_waiting_gang(
        &mut self,
        first: &TaskName,
        members: usize,
        found: usize,
        pool: &PlacementPool,
        now_ms: u64,
    ) {
        let since_ms = self
            .jobs
            .get(&first.job)
            .and_then(|job| job.waiting_since_ms);
        let waited_ms = since_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        let next_ms = self.fleet_health.gang_logged_ms + GANG_LOG_INTERVAL_MS;
        if waited_ms < GANG_LOG_INTERVAL_MS || now_ms < next_ms {
            return;
        }
        self.fleet_health.gang_logged_ms = now_ms;
        let (workers, limited) = (pool.len(), pool.limited_count());
        log::warn!(
            "event=gang_waiting job={} task={first} waited_ms={waited_ms} members={members} found={found} workers={workers} limited={limited}",
            first.job
        );
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
        let Some(worker) = self.workers.get_mut(id) else {
            return;
        };
        let failed_elsewhere = || {
            let state = self.jobs.get(&name.job).and_then(|job| job.task(name));
            state.is_some_and(|state| state.failed_on.iter().any(|other| other != id))
        };
        match kind {
            EndKind::Done => {
                worker.last_success_ms = now_ms;
                if worker.health.record_success(now_ms) {
                    let slowdown = worker.health.slowdown();
                    log::info!("event=worker_trusted worker={id} slowdown={slowdown}");
                }
            }
            EndKind::Failed if !failed_elsewhere() => {
                let is_bad = worker.health.record_failure(&name.job, now_ms);
                if is_bad && !self.are_failures_common(id) {
                    self.distrust_worker(id, DistrustCause::Failures, now_ms);
                }
            }
            _ => return,
        }
        self.record_pool_run(id, kind);
    }

    /// Updates the share of failed runs in a worker's pool.
    fn record_pool_run(&mut self, id: &WorkerId, kind: EndKind) {
        let Some(worker) = self.workers.get(id) else {
            return;
        };
        let failed = f64::from(u8::from(kind == EndKind::Failed));
        let shares = &mut self.fleet_health.failure_shares;
        match shares.get_mut(&worker.entry.service) {
            Some(share) => *share += (failed - *share) * POOL_FAILURE_WEIGHT,
            None => {
                shares.insert(worker.entry.service.clone(), 0.0);
            }
        }
    }

    /// Returns whether runs fail in the whole pool of a worker about as often as on the worker.
    fn are_failures_common(&self, id: &WorkerId) -> bool {
        let Some(worker) = self.workers.get(id) else {
            return false;
        };
        let shares = &self.fleet_health.failure_shares;
        let common = shares.get(&worker.entry.service).copied().unwrap_or(0.0);
        let limit = (common * WORSE_THAN_POOL).min(MAX_COMMON_LIMIT);
        worker.health.failure_share() < limit
    }

    /// Counts a start without an answer as a silence of the task's worker.
    pub(crate) fn record_unanswered_start(&mut self, name: &TaskName, now_ms: u64) {
        let job = self.jobs.get(&name.job);
        let worker = job.and_then(|job| job.task(name)?.worker());
        if let Some(worker) = worker.and_then(|id| self.workers.get_mut(id)) {
            worker.health.record_silence(now_ms);
        }
    }

    /// Distrusts workers that repeatedly gave no answer, as far as most workers of their pool and
    /// data centre that were called answered. Otherwise such quarantines end.
    pub(crate) fn distrust_unstable(&mut self, now_ms: u64) {
        let mut workers = self.workers.values();
        if !workers.any(|worker| worker.listed && worker.health.has_silences(now_ms)) {
            return;
        }
        let mut groups: BTreeMap<(&ServiceId, &DataCentreId), SilentWorkers> = BTreeMap::new();
        for (id, worker) in self.workers.iter().filter(|(_, worker)| worker.listed) {
            let health = &worker.health;
            let has_silences = health.has_silences(now_ms);
            let is_called = now_ms < worker.answered_ms + SILENCE_WINDOW_MS;
            let key = (&worker.entry.service, &worker.entry.data_centre);
            let group = groups.entry(key).or_default();
            group.called += usize::from(is_called || has_silences);
            group.silent += usize::from(has_silences);
            if health.is_unstable(now_ms) {
                group.unstable.push(id.clone());
            }
            if health.is_quarantined_for(DistrustCause::Silences, now_ms) {
                group.quarantined.push(id.clone());
            }
        }
        let (local, common): (Vec<_>, Vec<_>) =
            groups.into_values().partition(SilentWorkers::is_local);
        for id in local.into_iter().flat_map(|group| group.unstable) {
            self.distrust_worker(&id, DistrustCause::Silences, now_ms);
        }
        for id in common.into_iter().flat_map(|group| group.quarantined) {
            log::info!("event=quarantine_ended worker={id} reason=\"many workers are silent\"");
            if let Some(worker) = self.workers.get_mut(&id) {
                worker.health.end_quarantine(now_ms);
            }
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
        let mut counts = HealthState::ALL.map(|state| (state, 0));
        let mut slow_count = 0;
        for worker in self.workers.values().filter(|worker| worker.listed) {
            let state = worker.health.state(now_ms);
            counts[state as usize].1 += 1;
            slow_count += u64::from(worker.health.pace.is_slow());
        }
        // A pool that has lost its workers counts none.
        let pools = self.fleet_health.limited.keys();
        let mut limited: BTreeMap<_, _> = pools.map(|service| (service.clone(), 0)).collect();
        for worker in self.workers.values().filter(|worker| worker.listed) {
            let count = limited.entry(worker.entry.service.clone()).or_default();
            *count += u64::from(worker.health.task_limit(now_ms).is_some());
        }
        self.fleet_health.limited = limited;
        self.fleet_health.counts = counts.into();
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
