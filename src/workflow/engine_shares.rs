//! Decides in which order a placement pass tries the jobs, and divides pools in short supply among
//! organisations.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::ServiceId;
use crate::workflow::pass_plan::OrderedJobs;
use crate::workflow::pass_plan::PassPlan;
use crate::workflow::planned_job::PlannedJob;
use crate::workflow::planned_job::SLACK_RULES;
use crate::workflow::select_deferred_jobs;
use crate::workflow::FleetConfig;
use crate::workflow::JobEngine;
use crate::workflow::JobState;
use crate::workflow::JobUrgency;
use crate::workflow::OrganisationDirectory;
use crate::workflow::PlacementPool;
use crate::workflow::StepSpec;

impl JobEngine {
    /// Returns the jobs with unplaced tasks of each service, the first one to place first; caps,
    /// deferral and shares are applied.
    pub(crate) fn plan_pass(
        &self,
        config: &FleetConfig,
        pools: &BTreeMap<ServiceId, PlacementPool>,
        now_ms: u64,
    ) -> PassPlan {
        let mut planned = self.planned_jobs(config, now_ms);
        let oversized = match self.caps.is_empty() {
            true => Vec::new(),
            false => self.block_capped_jobs(&mut planned),
        };
        let order = |(service, jobs)| {
            let no_workers = PlacementPool::default();
            let pool = pools.get(&service).unwrap_or(&no_workers);
            let jobs = self.order_jobs(config, pool, jobs);
            (service, jobs)
        };
        let by_service = planned.into_iter().map(order).collect();
        PassPlan {
            by_service,
            oversized,
        }
    }

    /// Returns the open jobs of each service with unplaced tasks. Jobs that run take part in the
    /// deferral: their capacity is not free.
    fn planned_jobs<'a>(
        &'a self,
        config: &'a FleetConfig,
        now_ms: u64,
    ) -> BTreeMap<ServiceId, Vec<PlannedJob<'a>>> {
        let mut planned: BTreeMap<ServiceId, Vec<PlannedJob<'a>>> = BTreeMap::new();
        let waiting = self.waiting_jobs.iter();
        let services: BTreeSet<_> = waiting
            .filter_map(|id| Some(&config.queue(&self.jobs.get(id)?.spec.queue)?.service))
            .collect();
        for id in &self.open_jobs {
            let Some(job) = self.jobs.get(id).filter(|job| !job.phase.has_ended()) else {
                continue;
            };
            let queue = config.queue(&job.spec.queue);
            let Some(queue) = queue.filter(|queue| services.contains(&queue.service)) else {
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
                is_waiting: self.waiting_jobs.contains(id),
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
        pool: &PlacementPool,
        mut jobs: Vec<PlannedJob<'_>>,
    ) -> OrderedJobs {
        self.defer_jobs(&mut jobs, pool.capacity_millis());
        jobs.sort_by(|first, second| first.order_key().cmp(&second.order_key()));
        let waiting = jobs.iter().filter(|job| job.is_waiting);
        let waiting = waiting.map(|job| (job.id.clone(), job.group)).collect();
        OrderedJobs::new(waiting, group_count(config.organisations.as_ref()))
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
}

/// Returns the group of a job, and the priority of its organisation. Jobs without an organisation,
/// or of one that is no longer configured, are of the last group.
fn group_of(config: &FleetConfig, job: &JobState) -> (usize, u32) {
    let Some(directory) = &config.organisations else {
        return (0, 0);
    };
    let id = job.spec.organisation.as_ref();
    let known = id.and_then(|id| directory.position(id).zip(directory.get(id)));
    match known {
        Some((position, organisation)) => (position, organisation.priority),
        None => (directory.len(), 0),
    }
}

/// Returns the number of groups: one for each organisation, and one for all other jobs.
fn group_count(directory: Option<&OrganisationDirectory>) -> usize {
    directory.map_or(1, |directory| directory.len() + 1)
}
