//! Which job goes to which worker, and which makes room for it.

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

/// The longest run, in milliseconds, of a job that cannot move, on a worker that a wave closes soon.
const MAX_UNMOVABLE_RUN_MS: u64 = 60_000;
/// How much worse a worker with accelerators suits a job that uses none.
const ACCELERATOR_PENALTY: f64 = 2.0;
/// The jobs within their quotas for which room is kept while they wait.
const MAX_RESERVATIONS: usize = 8;

/// A job that waits for a worker.
#[derive(Clone, Debug)]
pub struct WaitingJob {
    /// Its name.
    pub id: JobId,
    /// The team on whose quota it runs.
    pub team: TeamId,
    /// The service whose workers run it.
    pub service: ServiceId,
    /// What it is expected to use.
    pub size: JobSize,
    /// How long it is expected to run yet, in milliseconds.
    pub run_ms: u64,
    /// When it must be done, in milliseconds since the Unix epoch.
    pub deadline_ms: u64,
    /// Whether it goes before all others.
    pub urgent: bool,
    /// Whether its run can be stopped without the job being lost.
    pub can_move: bool,
    /// The workers that have failed it.
    pub avoided: BTreeSet<HostId>,
}

/// What is to be done with a job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum JobDecision {
    /// A waiting job goes to a worker.
    Place {
        /// The job.
        job: JobId,
        /// The worker.
        host: HostId,
    },
    /// A running job makes room for another.
    Stop {
        /// The job that is stopped.
        job: JobId,
        /// The worker.
        host: HostId,
        /// The job that needs the room.
        for_job: JobId,
    },
    /// No worker can ever hold the job.
    Refuse {
        /// The job.
        job: JobId,
        /// Why it can never run.
        reason: String,
    },
}

/// Decides for all waiting jobs at one moment.
///
/// Urgent jobs come first, then by the time left until they would be late. A
/// job goes to the worker on which it leaves the least room unused. Teams use
/// what others leave of their quotas; a job within its team's quota gets room
/// back from teams beyond theirs, and an urgent one from any job that is not,
/// those first that lose the least work.
#[derive(Debug)]
pub struct JobPlanner {
    fleet: JobFleet,
    quotas: QuotaTracker,
    unplaceable: Vec<(ServiceId, bool, JobSize)>,
    reservations: usize,
}

impl JobPlanner {
    /// Creates a planner; `book` counts what the tasks of `fleet` use.
    pub fn new(fleet: JobFleet, quotas: QuotaTracker) -> Self {
        Self {
            fleet,
            quotas,
            unplaceable: Vec::new(),
            reservations: 0,
        }
    }

    /// Returns the decisions for the jobs that wait.
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

    /// Decides for a job within its team's quota.
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

    /// Keeps the worker that will suit a job soonest from jobs that only borrow.
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

    /// Picks the worker on which a job leaves the least room unused.
    fn pick_worker(&mut self, job: &WaitingJob) -> Option<HostId> {
        let known_full = self.unplaceable.iter().any(|(service, can_move, size)| {
            *service == job.service && *can_move == job.can_move && size.fits(&job.size)
        });
        if known_full {
            return None;
        }
        let workers = self.fleet.workers();
        let fitting = workers.filter(|worker| worker.accepts(job) && job.size.fits(&worker.free));
        let best = fitting.min_by(|one, other| {
            let cost = |worker: &WorkerCapacity| worker.placement_cost(job);
            cost(one).total_cmp(&cost(other))
        });
        let host = best.map(|worker| worker.view.host.clone());
        if host.is_none() && job.avoided.is_empty() {
            let full = (job.service.clone(), job.can_move, job.size);
            self.unplaceable.push(full);
        }
        host
    }

    /// Returns a worker and the tasks there that make room with the least loss of work.
    ///
    /// No tasks are returned for a worker where enough room is coming already.
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
        // A task taken early may not be needed beside a larger one taken later.
        for index in (0..victims.len()).rev() {
            let without = capacity.minus(&victims[index].size);
            if job.size.fits(&without) {
                capacity = without;
                victims.remove(index);
            }
        }
        Some(victims.into_iter().cloned().collect())
    }

    /// Returns why no worker can ever hold a job.
    fn refusal_reason(&self, job: &WaitingJob) -> Option<String> {
        let mut workers = self
            .fleet
            .workers()
            .filter(|worker| worker.view.service == job.service)
            .peekable();
        // A text without workers may be followed by one that has some.
        workers.peek()?;
        let held = workers.any(|worker| job.size.fits(&worker.view.size));
        (!held).then(|| format!("no worker of {} holds {}", job.service, job.size))
    }
}

impl WorkerCapacity {
    /// Tells whether a job may be put here, if there is room.
    fn accepts(&self, job: &WaitingJob) -> bool {
        let trusted = match self.view.trust {
            WorkerTrust::Trusted => true,
            WorkerTrust::OnProbation => self.tasks.is_empty() && job.can_move,
            WorkerTrust::Quarantined => false,
        };
        let stays = !self.view.leaves_soon || job.can_move || job.run_ms <= MAX_UNMOVABLE_RUN_MS;
        trusted
            && stays
            && self.view.open
            && self.view.service == job.service
            && !job.avoided.contains(&self.view.host)
    }

    /// Returns how much room a job leaves unused here; less is better.
    fn placement_cost(&self, job: &WaitingJob) -> f64 {
        let left = self.free.minus(&job.size).share_of(&self.view.size);
        let wasted = job.size.accelerators == 0 && self.view.size.accelerators > 0;
        match wasted {
            true => left + ACCELERATOR_PENALTY,
            false => left,
        }
    }
}
