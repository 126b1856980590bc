//! What the open jobs of each organisation need and use.
//!
//! The sums look at all waiting jobs and placed tasks, so they are computed at most four times a
//! second, beside the backlogs, and never in a placement pass.

use std::collections::BTreeMap;

use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::workflow::DueWork;
use crate::workflow::JobEngine;
use crate::workflow::JobSpec;
use crate::workflow::JobUrgency;
use crate::workflow::WorkerResources;

/// What one organisation needs and uses of one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct OrganisationLoad {
    /// The jobs with tasks that wait.
    pub waiting_jobs: u64,
    /// The work that waits and is still of use, in millicores times ms.
    pub waiting_work: u64,
    /// The smallest request of a waiting step, by CPU; `None` if nothing waits.
    pub smallest_demand: Option<WorkerResources>,
    /// The demand of the placed tasks.
    pub used: WorkerResources,
    /// The CPU that the placed tasks reserve, in millicores.
    pub reserved_millis: u64,
}

/// What waits for and uses one pool.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PoolLoad {
    /// The largest CPU capacity that the pool had in this term, in millicores.
    pub capacity_millis: u64,
    /// The work that waits and is still of use.
    pub due: DueWork,
    /// Loads by organisation; jobs without one are under `None`.
    pub organisations: BTreeMap<Option<OrganisationId>, OrganisationLoad>,
}

impl JobEngine {
    /// Counts a new job against its organisation's rate; returns whether it is beyond that. While the
    /// state is loaded there is no configuration, so that the jobs of an outage, whose times of
    /// arrival are unknown, are not counted.
    pub(crate) fn record_rate(&mut self, spec: &JobSpec, now_ms: u64) -> bool {
        if spec.is_exempt_from_rates() {
            return false;
        }
        let found = self.config.as_ref().and_then(|config| {
            let directory = config.organisations.as_ref()?;
            let organisation = directory.get(spec.organisation.as_ref()?)?;
            Some((organisation, config.queue(&spec.queue)?))
        });
        let Some((organisation, queue)) = found else {
            return false;
        };
        let (id, weight) = (&organisation.id, organisation.weight);
        self.rates.record_job(id, weight, &queue.service, now_ms)
    }

    /// Returns the loads of all pools that have waiting jobs or placed tasks, by service.
    pub fn pool_loads(&self, now_ms: u64) -> BTreeMap<ServiceId, PoolLoad> {
        let mut loads: BTreeMap<ServiceId, PoolLoad> = BTreeMap::new();
        self.add_waiting(&mut loads, now_ms);
        for worker in self.workers.values() {
            for name in &worker.tasks {
                let Some(job) = self.jobs.get(&name.job) else {
                    continue;
                };
                let Some(step) = job.step(name.step) else {
                    continue;
                };
                let load = load_of(&mut loads, &worker.entry.service, &job.spec);
                load.used.add(&step.demand);
                load.reserved_millis += step.reserved().cpu_millis;
            }
        }
        for (service, load) in &mut loads {
            load.capacity_millis = self.pool_capacities.get(service).copied().unwrap_or(0);
        }
        loads
    }

    fn add_waiting(&self, loads: &mut BTreeMap<ServiceId, PoolLoad>, now_ms: u64) {
        let Some(config) = self.config.as_ref() else {
            return;
        };
        for id in &self.waiting_jobs {
            let Some(job) = self.jobs.get(id).filter(|job| !job.phase.has_ended()) else {
                continue;
            };
            let Some(queue) = config.queue(&job.spec.queue) else {
                continue;
            };
            if !job.has_waiting_tasks() {
                continue;
            }
            let urgency = JobUrgency::new(job, queue, &self.durations, now_ms);
            let is_useful = urgency.is_useful();
            let work = match is_useful {
                true => self.waiting_work(job, queue),
                false => 0,
            };
            let load = load_of(loads, &queue.service, &job.spec);
            load.waiting_jobs += 1;
            load.waiting_work = load.waiting_work.saturating_add(work);
            let demands = job.spec.steps.iter().map(|step| step.demand);
            let demands = demands.chain(load.smallest_demand);
            load.smallest_demand = demands.min_by_key(|demand| demand.cpu_millis);
            if let Some(pool) = loads.get_mut(&queue.service).filter(|_| work > 0) {
                // A late job should have started already.
                let slack_ms = urgency.slack_ms().or(urgency.over_rate_slack_ms());
                pool.due.add(work, slack_ms.unwrap_or(0));
            }
        }
    }
}

fn load_of<'l>(
    loads: &'l mut BTreeMap<ServiceId, PoolLoad>,
    service: &ServiceId,
    spec: &JobSpec,
) -> &'l mut OrganisationLoad {
    let pool = loads.entry(service.clone()).or_default();
    pool.organisations
        .entry(spec.organisation.clone())
        .or_default()
}
