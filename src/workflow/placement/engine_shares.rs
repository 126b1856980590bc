//! Decides in which order a placement pass tries the jobs, and divides pools in short supply among
//! organisations.

use std::collections::BTreeMap;

use crate::id::ServiceId;
use crate::workflow::placement::pass_plan::OrderedJobs;
use crate::workflow::placement::pass_plan::PassPlan;
use crate::workflow::placement::pass_plan::PlacementLane;
use crate::workflow::placement::planned_job::PlannedJob;
use crate::workflow::placement::planned_job::WaitingAmounts;
use crate::workflow::placement::planned_job::SLACK_RULES;
use crate::workflow::select_deferred_jobs;
use crate::workflow::select_group_deferrals;
use crate::workflow::FleetConfig;
use crate::workflow::GroupLoad;
use crate::workflow::JobEngine;
use crate::workflow::JobState;
use crate::workflow::JobUrgency;
use crate::workflow::OrganisationDirectory;
use crate::workflow::PlacementPool;
use crate::workflow::ShareOrder;
use crate::workflow::ShareWeight;
use crate::workflow::StepSpec;
use crate::workflow::TaskState;
use crate::workflow::WorkerResources;

impl JobEngine {
    /// Returns the jobs with unplaced tasks of each of `services`, the first one to place first; caps,
    /// deferral and shares are applied.
    pub(crate) fn plan_pass(
        &self,
        config: &FleetConfig,
        pools: &BTreeMap<ServiceId, PlacementPool>,
        services: &[&ServiceId],
        (now_ms, wall_ms): (u64, u64),
    ) -> PassPlan {
        let mut planned = self.planned_jobs(config, services, (now_ms, wall_ms));
        let oversized = match self.caps.is_empty() {
            true => Vec::new(),
            false => self.block_capped_jobs(&mut planned),
        };
        let order = |(service, jobs)| {
            let no_workers = PlacementPool::default();
            let pool = pools.get(&service).unwrap_or(&no_workers);
            let jobs = self.order_jobs(config, &service, pool, jobs);
            (service, jobs)
        };
        let by_service = planned.into_iter().map(order).collect();
        PassPlan {
            by_service,
            oversized,
        }
    }

    /// Returns the services with tasks that may be placed now. Where all unplaced tasks wait for earlier
    /// steps, the order of the jobs decides nothing. A cap may hold for several services, so with caps
    /// one such service is a reason to look at all.
    pub(crate) fn placeable_services<'a>(
        &self,
        config: &'a FleetConfig,
        wall_ms: u64,
    ) -> Vec<&'a ServiceId> {
        let (mut placeable, mut others) = (Vec::new(), Vec::new());
        for job in self.waiting_jobs.iter().filter_map(|id| self.jobs.get(id)) {
            let queue = config.queue(&job.spec.queue);
            let service = queue.map(|queue| &queue.service);
            let Some(service) = service.filter(|service| !placeable.contains(service)) else {
                continue;
            };
            if may_place_tasks(job, wall_ms) {
                others.retain(|other| *other != service);
                placeable.push(service);
            } else if !others.contains(&service) {
                others.push(service);
            }
        }
        if !placeable.is_empty() && !self.caps.is_empty() {
            placeable.append(&mut others);
        }
        placeable
    }

    /// Returns the open jobs of each of `services`. Jobs that run take part in the deferral: their
    /// capacity is not free.
    fn planned_jobs<'a>(
        &'a self,
        config: &'a FleetConfig,
        services: &[&ServiceId],
        (now_ms, wall_ms): (u64, u64),
    ) -> BTreeMap<ServiceId, Vec<PlannedJob<'a>>> {
        let mut planned: BTreeMap<ServiceId, Vec<PlannedJob<'a>>> = BTreeMap::new();
        if services.is_empty() {
            return planned;
        }
        let mut waiting = self.waiting_jobs.iter().peekable();
        for id in &self.open_jobs {
            // Both sets are in the order of the ids.
            while waiting.next_if(|next| *next < id).is_some() {}
            let is_waiting = waiting.peek() == Some(&id);
            let job = self.jobs.get(id).filter(|job| !job.phase.has_ended());
            let Some(job) = job.filter(|job| job.has_due_work(wall_ms)) else {
                continue;
            };
            let queue = config.queue(&job.spec.queue);
            let Some(queue) = queue.filter(|queue| services.contains(&&queue.service)) else {
                continue;
            };
            let (group, priority) = group_of(config, job);
            let urgency = JobUrgency::new(job, queue, &self.durations, now_ms)
                .with_organisation_priority(priority);
            let job = PlannedJob {
                id,
                job,
                queue,
                urgency,
                group,
                is_waiting,
                is_blocked: false,
                is_beyond_share: false,
            };
            match planned.get_mut(&queue.service) {
                Some(jobs) => jobs.push(job),
                None => {
                    planned.insert(queue.service.clone(), vec![job]);
                }
            }
        }
        planned
    }

    /// Applies deferral and shares to the jobs of one service, and sorts those with unplaced tasks.
    fn order_jobs(
        &self,
        config: &FleetConfig,
        service: &ServiceId,
        pool: &PlacementPool,
        mut jobs: Vec<PlannedJob<'_>>,
    ) -> OrderedJobs {
        let directory = config.organisations.as_ref();
        let first_group = jobs.first().map(|job| job.group);
        let has_several = jobs.iter().any(|job| Some(job.group) != first_group);
        match directory.filter(|_| has_several) {
            Some(directory) => self.share_pool(config, directory, service, pool, &mut jobs),
            None => self.defer_jobs(&mut jobs, pool.capacity_millis()),
        }
        jobs.sort_by(|first, second| first.order_key().cmp(&second.order_key()));
        let waiting = jobs.iter().filter(|job| job.is_waiting);
        let waiting = waiting.map(|job| (job.id.clone(), PlacementLane::new(job)));
        OrderedJobs::new(waiting.collect())
    }

    /// Defers jobs of a single organisation, or without one, if `capacity_millis` millicores do not
    /// suffice for all of them.
    fn defer_jobs(&self, jobs: &mut [PlannedJob<'_>], capacity_millis: u64) {
        for rule in SLACK_RULES {
            let considered = jobs.iter().enumerate().filter(|(_, job)| !job.is_blocked);
            let considered = considered.filter_map(|(position, job)| {
                rule(&job.urgency)?;
                let amounts = job.waiting_amounts(&self.durations, StepSpec::reserved);
                Some((position, job.demand(rule, 0, &amounts)?.job))
            });
            let (positions, demands): (Vec<_>, Vec<_>) = considered.unzip();
            for deferred in select_deferred_jobs(&demands, capacity_millis) {
                jobs[positions[deferred]].urgency.defer();
            }
        }
    }

    /// Defers jobs of several organisations if the pool does not suffice for all of them, and marks
    /// those beyond their organisation's share.
    fn share_pool(
        &self,
        config: &FleetConfig,
        directory: &OrganisationDirectory,
        service: &ServiceId,
        pool: &PlacementPool,
        jobs: &mut [PlannedJob<'_>],
    ) {
        let weights = group_weights(directory);
        let amounts: Vec<_> = jobs
            .iter()
            .map(|job| match job.is_blocked {
                true => WaitingAmounts::default(),
                false => job.waiting_amounts(&self.durations, StepSpec::reserved),
            })
            .collect();
        let mut is_short = false;
        for rule in SLACK_RULES {
            let considered = jobs.iter().zip(&amounts).enumerate();
            let considered = considered.filter(|(_, (job, _))| !job.is_blocked);
            let considered = considered.filter_map(|(position, (job, amounts))| {
                Some((position, job.demand(rule, job.group, amounts)?))
            });
            let (positions, demands): (Vec<_>, Vec<_>) = considered.unzip();
            for deferred in select_group_deferrals(&demands, pool.capacity(), &weights) {
                jobs[positions[deferred]].urgency.defer();
                is_short = true;
            }
        }
        let mut tried = jobs.iter().filter(|job| job.is_waiting && !job.is_blocked);
        // A job that is behind shows that the pool was short before.
        if !is_short && !tried.any(|job| job.urgency.is_behind()) {
            return;
        }
        let mut loads: Vec<_> = weights
            .into_iter()
            .zip(self.running_by_group(config, directory, service, pool))
            .map(|(weight, running)| GroupLoad {
                weight,
                running,
                ready: WorkerResources::default(),
            })
            .collect();
        for (job, amounts) in jobs.iter().zip(&amounts) {
            loads[job.group].ready.add(&amounts.ready);
        }
        let mut order: Vec<usize> = (0..jobs.len()).collect();
        order.sort_by(|&first, &second| jobs[first].order_key().cmp(&jobs[second].order_key()));
        let mut shares = ShareOrder::new(pool.capacity(), &loads);
        for position in order {
            let job = &mut jobs[position];
            if job.is_waiting && !job.is_blocked {
                job.is_beyond_share = shares.grant(job.group, &amounts[position].ready);
            }
        }
    }

    /// Returns the resources that the running tasks of each group reserve in a service's pool.
    fn running_by_group(
        &self,
        config: &FleetConfig,
        directory: &OrganisationDirectory,
        service: &ServiceId,
        pool: &PlacementPool,
    ) -> Vec<WorkerResources> {
        let mut running = Vec::with_capacity(group_count(Some(directory)));
        let mut others = *pool.used();
        for organisation in directory.iter() {
            let mut reserved = WorkerResources::default();
            for (queue, amount) in self.usage.reserved_by_queue(&organisation.id) {
                let queue = config.queue(queue);
                if queue.is_some_and(|queue| queue.service == *service) {
                    reserved.add(amount);
                }
            }
            others = others.saturating_sub(&reserved);
            running.push(reserved);
        }
        running.push(others);
        running
    }
}

/// Returns whether a step of a job is ready with a task to place, or with one that has failed and may end
/// the job.
fn may_place_tasks(job: &JobState, wall_ms: u64) -> bool {
    let is_open = |state: &TaskState| state.is_placeable() || state.failures > 0;
    job.due_occurrences(wall_ms).any(|occurrence| {
        let mut steps = 0..job.spec.steps.len() as u32;
        steps.any(|step| {
            let tasks = job.step_tasks(occurrence, step);
            tasks.any(is_open) && job.is_step_ready(occurrence, step)
        })
    })
}

/// Returns the group of a job, and the priority of its organisation. Jobs without an organisation,
/// or of one that is no longer configured, are of the last group.
fn group_of(config: &FleetConfig, job: &JobState) -> (usize, u32) {
    let Some(directory) = &config.organisations else {
        return (0, 0);
    };
    let id = job.spec.organisation.as_ref();
    match id.and_then(|id| directory.find(id)) {
        Some((position, organisation)) => (position, organisation.priority),
        None => (directory.len(), 0),
    }
}

/// Returns the number of groups: one for each organisation, and one for all other jobs.
fn group_count(directory: Option<&OrganisationDirectory>) -> usize {
    directory.map_or(1, |directory| directory.len() + 1)
}

/// Returns the weights of the groups. Jobs without an organisation together count as much as a
/// mean organisation, since nothing states their weight.
fn group_weights(directory: &OrganisationDirectory) -> Vec<ShareWeight> {
    let mut weights: Vec<_> = directory.iter().map(|one| one.weight).collect();
    let total: f64 = weights.iter().map(|weight| weight.get()).sum();
    weights.push(ShareWeight::new(total / weights.len().max(1) as f64));
    weights
}
