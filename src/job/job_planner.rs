//! Decides which waiting job goes to which worker, and which running jobs are preempted for it.

use std::collections::BTreeSet;

use crate::id::HostId;
use crate::id::JobId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::job::job_fleet::WorkerCapacity;
use crate::job::JobFleet;
use crate::job::JobSize;
use crate::job::QuotaTracker;
use crate::job::TaskView;
use crate::job::WorkerTrust;

/// A job that cannot move is placed on a worker that a wave will close soon only if its remaining
/// run time is at most this.
const MAX_UNMOVABLE_RUN_MS: u64 = 60_000;
/// Added to the placement cost of a worker with accelerators for a job that uses none.
const ACCELERATOR_PENALTY: f64 = 2.0;
/// Maximum number of waiting jobs within their quotas for which one plan reserves capacity.
const MAX_RESERVATIONS: usize = 8;

/// A job that waits for a worker.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// Identifies the job.
    pub id: JobId,
    /// The team on whose quota it runs.
    pub team: TeamId,
    /// The service whose workers run it.
    pub service: ServiceId,
    /// Expected use, as estimated or declared.
    pub size: JobSize,
    /// Expected remaining run time, in milliseconds.
    pub run_ms: u64,
    /// Latest end, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Whether it has priority over all other jobs.
    pub urgent: bool,
    /// Whether a stopped run can resume from a checkpoint or be repeated on another worker.
    pub can_move: bool,
    /// Workers on which it has failed; they are not chosen again.
    pub avoided: BTreeSet<HostId>,
}

/// A decision about one job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobDecision {
    /// Place a waiting job on a worker.
    Place {
        /// The job to place.
        job: JobId,
        /// The worker it goes to.
        host: HostId,
    },
    /// Preempt a running job.
    Stop {
        /// The job to stop.
        job: JobId,
        /// The worker it runs on.
        host: HostId,
        /// The job that needs the capacity.
        for_job: JobId,
    },
    /// Refuse a job that exceeds every worker's total capacity.
    Refuse {
        /// The job to refuse.
        job: JobId,
        /// Why it can never run; stored in the job's record.
        reason: String,
    },
}

/// Plans all waiting jobs against one snapshot of the fleet.
///
/// Urgent jobs come first, then jobs by their latest start. A job goes to the worker on which it
/// leaves the least capacity unused. Teams may borrow what others leave of their quotas. A job
/// within its team's quota may preempt jobs of teams that exceed theirs. If it is urgent, it may
/// preempt any job that is not urgent. Jobs that lose the least work are stopped first.
#[derive(Debug)]
pub struct JobPlanner {
    fleet: JobFleet,
    quotas: QuotaTracker,
    /// Service, `can_move` and size of jobs that fit no worker. A job with the same service and
    /// `can_move` that is at least as large fits none either.
    unplaceable: Vec<(ServiceId, bool, JobSize)>,
    reservations: usize,
}

impl JobPlanner {
    /// Creates a planner. `quotas` must already count the tasks in `fleet`.
    pub fn new(fleet: JobFleet, quotas: QuotaTracker) -> Self {
        Self {
            fleet,
            quotas,
            unplaceable: Vec::new(),
            reservations: 0,
        }
    }

    /// Returns decisions for the waiting jobs; a job without a decision keeps waiting.
    pub fn plan(&mut self, mut waiting: Vec<WaitingJob>) -> Vec<JobDecision> {
        waiting.sort_by_key(|job| {
            let latest_start = job.deadline_ms.saturating_sub(job.run_ms);
            (!job.urgent, latest_start, job.id.clone())
        });
        let mut decisions = Vec::new();
        let mut borrowers = Vec::new();
        for job in waiting {
            if let Some(reason) = self.refusal_reason(&job) {
                let job = job.id;
                decisions.push(JobDecision::Refuse { job, reason });
            } else if self.quotas.allows(&job.team, &job.size) {
                self.decide(&job, &mut decisions);
            } else {
                borrowers.push(job);
            }
        }
        for job in borrowers {
            if let Some(host) = self.pick_worker(&job) {
                self.place(&job, host, &mut decisions);
            }
        }
        decisions
    }

    /// Places a job within its team's quota, or preempts or reserves capacity for it.
    fn decide(&mut self, job: &WaitingJob, decisions: &mut Vec<JobDecision>) {
        if let Some(host) = self.pick_worker(job) {
            return self.place(job, host, decisions);
        }
        if let Some((host, victims)) = self.victims(job) {
            for victim in victims {
                self.fleet.mark_stopping(&host, &victim.job);
                self.quotas.remove(&victim.team, &victim.size);
                decisions.push(JobDecision::Stop {
                    job: victim.job,
                    host: host.clone(),
                    for_job: job.id.clone(),
                });
            }
            self.quotas.add(&job.team, &job.size);
            self.fleet.reserve(&host, &job.size);
            return;
        }
        self.reserve_capacity(job);
    }

    /// Reserves capacity for a job on the worker with the largest free share, so that borrowers do
    /// not use it.
    fn reserve_capacity(&mut self, job: &WaitingJob) {
        if self.reservations == MAX_RESERVATIONS {
            return;
        }
        let workers = self.fleet.workers();
        let candidates =
            workers.filter(|worker| worker.accepts(job) && job.size.fits(&worker.view.size));
        let best = candidates.max_by(|one, other| {
            let share = |worker: &WorkerCapacity| {
                worker
                    .free
                    .plus(&worker.releasing)
                    .share_of(&worker.view.size)
            };
            share(one).total_cmp(&share(other))
        });
        if let Some(host) = best.map(|worker| worker.view.host.clone()) {
            self.reservations += 1;
            self.fleet.reserve(&host, &job.size);
        }
    }

    fn place(&mut self, job: &WaitingJob, host: HostId, decisions: &mut Vec<JobDecision>) {
        self.quotas.add(&job.team, &job.size);
        self.fleet.add(TaskView {
            job: job.id.clone(),
            host: host.clone(),
            team: job.team.clone(),
            size: job.size,
            urgent: job.urgent,
            stopping: false,
            loss_ms: None,
        });
        let job = job.id.clone();
        decisions.push(JobDecision::Place { job, host });
    }

    /// Picks the worker on which a job leaves the least capacity unused.
    fn pick_worker(&mut self, job: &WaitingJob) -> Option<HostId> {
        let known_unplaceable = self.unplaceable.iter().any(|(service, can_move, size)| {
            *service == job.service && *can_move == job.can_move && size.fits(&job.size)
        });
        if known_unplaceable {
            return None;
        }
        let workers = self.fleet.workers();
        let fitting = workers.filter(|worker| worker.accepts(job) && job.size.fits(&worker.free));
        let best = fitting.min_by(|one, other| {
            let cost = |worker: &WorkerCapacity| worker.placement_cost(job);
            cost(one).total_cmp(&cost(other))
        });
        let host = best.map(|worker| worker.view.host.clone());
        // A job that avoids workers may fit none although others of its size fit those.
        if host.is_none() && job.avoided.is_empty() {
            let request = (job.service.clone(), job.can_move, job.size);
            self.unplaceable.push(request);
        }
        host
    }

    /// Returns the worker and the tasks to preempt there that lose the least work.
    ///
    /// The list is empty if stopping tasks will release enough capacity.
    fn victims(&self, job: &WaitingJob) -> Option<(HostId, Vec<TaskView>)> {
        let workers = self.fleet.workers().filter(|worker| worker.accepts(job));
        let plans = workers.filter_map(|worker| {
            let victims = self.victims_on_worker(worker, job)?;
            let loss = victims.iter().filter_map(|task| task.loss_ms).sum::<u64>();
            Some((loss, victims.len(), worker, victims))
        });
        let (_, _, worker, victims) = plans
            .min_by_key(|(loss, count, worker, _)| (*loss, *count, worker.view.host.clone()))?;
        Some((worker.view.host.clone(), victims))
    }

    /// Returns the tasks to preempt on one worker, or `None` if they release too little capacity.
    fn victims_on_worker(
        &self,
        worker: &WorkerCapacity,
        job: &WaitingJob,
    ) -> Option<Vec<TaskView>> {
        let preemptible = |task: &&TaskView| {
            !task.stopping
                && !task.urgent
                && task.loss_ms.is_some()
                && (job.urgent || self.quotas.is_borrowing(&task.team))
        };
        let mut candidates = worker.tasks.iter().filter(preemptible).collect::<Vec<_>>();
        candidates.sort_by_key(|task| task.loss_ms);
        let mut capacity = worker.free.plus(&worker.releasing);
        let mut victims = Vec::<&TaskView>::new();
        for task in candidates {
            if job.size.fits(&capacity) {
                break;
            }
            capacity = capacity.plus(&task.size);
            victims.push(task);
        }
        if !job.size.fits(&capacity) {
            return None;
        }
        // A small task picked first may be unnecessary once a larger one was added.
        for index in (0..victims.len()).rev() {
            let without = capacity.minus(&victims[index].size);
            if job.size.fits(&without) {
                capacity = without;
                victims.remove(index);
            }
        }
        Some(victims.into_iter().cloned().collect())
    }

    /// Returns why no worker is large enough for a job, or `None` if one is.
    fn refusal_reason(&self, job: &WaitingJob) -> Option<String> {
        let mut workers = self
            .fleet
            .workers()
            .filter(|worker| worker.view.service == job.service)
            .peekable();
        // A service without workers may get some with a later service text, so its jobs wait.
        workers.peek()?;
        let fits_any = workers.any(|worker| job.size.fits(&worker.view.size));
        (!fits_any).then(|| format!("no worker of {} holds {}", job.service, job.size))
    }
}

impl WorkerCapacity {
    /// Returns whether a job may run here, whatever the free capacity.
    fn accepts(&self, job: &WaitingJob) -> bool {
        let trusted = match self.view.trust {
            WorkerTrust::Trusted => true,
            WorkerTrust::OnProbation => self.tasks.is_empty() && job.can_move,
            WorkerTrust::Quarantined => false,
        };
        let stays = !self.view.closes_soon || job.can_move || job.run_ms <= MAX_UNMOVABLE_RUN_MS;
        trusted
            && stays
            && self.view.open
            && self.view.service == job.service
            && !job.avoided.contains(&self.view.host)
    }

    /// Returns the share of capacity that the job leaves unused (see [`JobSize::share_of`]), plus
    /// [`ACCELERATOR_PENALTY`] where it applies; lower is better.
    fn placement_cost(&self, job: &WaitingJob) -> f64 {
        let left = self.free.minus(&job.size).share_of(&self.view.size);
        let wastes_accelerators = job.size.accelerators == 0 && self.view.size.accelerators > 0;
        match wastes_accelerators {
            true => left + ACCELERATOR_PENALTY,
            false => left,
        }
    }
}
