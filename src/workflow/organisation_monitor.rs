//! Finds out which organisations are limited and why, and tells operators.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::rc::Rc;

use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::process::EntryMetrics;
use crate::process::OrganisationGauges;
use crate::workflow::share_capacity;
use crate::workflow::AdmissionWindow;
use crate::workflow::JobEngine;
use crate::workflow::LimitCause;
use crate::workflow::Organisation;
use crate::workflow::OrganisationDirectory;
use crate::workflow::OrganisationLimits;
use crate::workflow::OrganisationRate;
use crate::workflow::PoolLoad;
use crate::workflow::PoolPressure;
use crate::workflow::RateLimiter;
use crate::workflow::ResourceCap;
use crate::workflow::ShareDemand;
use crate::workflow::ShareWeight;
use crate::workflow::WorkerResources;

/// The time in which waiting work asks to be served, in ms. An organisation whose work takes longer
/// on its share has a wait.
const SERVICE_MS: u64 = 1_000;

/// Min time between log lines about one organisation, in ms.
const LOG_INTERVAL_MS: u64 = 1_000;

/// What is known of one organisation over all pools.
#[derive(Debug, Default)]
struct OrganisationStatus {
    waiting_jobs: u64,
    used: WorkerResources,
    share_millis: u64,
    /// The longest wait of its own work, in ms; 0 if it is within its share.
    wait_ms: u64,
    smallest_demand: Option<WorkerResources>,
    window: Option<AdmissionWindow>,
    cap: ResourceCap,
}

/// Measures organisations for one term of the controller.
pub struct OrganisationMonitor {
    metrics: Rc<EntryMetrics>,
    pressure: PoolPressure,
    limiter: RateLimiter,
    /// When each organisation was last logged, in ms.
    logged_ms: HashMap<OrganisationId, u64>,
}

impl OrganisationMonitor {
    /// Creates a monitor that has measured nothing, so that it limits nothing at first.
    pub fn new(metrics: Rc<EntryMetrics>) -> Self {
        Self {
            metrics,
            pressure: PoolPressure::new(),
            limiter: RateLimiter::new(),
            logged_ms: HashMap::new(),
        }
    }

    /// Measures the organisations and returns what entry hosts refuse by. `lag_ms` is how far the
    /// controller's own work is behind. Without organisations in the configuration, nothing is
    /// measured.
    pub fn measure(
        &mut self,
        engine: &mut JobEngine,
        lag_ms: u64,
        now_ms: u64,
    ) -> OrganisationLimits {
        let config = engine.config.clone();
        let directory = config.as_ref().and_then(|it| it.organisations.as_ref());
        let Some(directory) = directory else {
            return OrganisationLimits::default();
        };
        let loads = engine.pool_loads(now_ms);
        let pressure = |(service, load): (&ServiceId, &PoolLoad)| {
            let percent = load.due.pressure_percent(load.capacity_millis, lag_ms);
            (service.clone(), percent)
        };
        // The capacity of a pool is unknown until its workers are.
        let known = loads.iter().filter(|(_, load)| load.capacity_millis > 0);
        let short = self.pressure.update(&known.map(pressure).collect(), now_ms);
        engine.rates.retain_configured(directory);
        let mut accepted = engine.rates.take_accepted();
        let rate = |organisation: &Organisation| {
            let accepted = accepted.remove(&organisation.id).unwrap_or_default();
            let scarce = accepted
                .iter()
                .filter(|(service, _)| short.contains(*service));
            OrganisationRate {
                id: organisation.id.clone(),
                weight: organisation.weight,
                accepted: scarce.map(|(_, count)| count).sum(),
            }
        };
        let rates: Vec<_> = directory.iter().map(rate).collect();
        let windows = self.limiter.update(&rates, !short.is_empty(), now_ms);
        let limits = OrganisationLimits {
            waits: waits(&loads, directory, lag_ms),
            windows,
            short: short
                .into_iter()
                .take(OrganisationLimits::MAX_POOLS)
                .collect(),
        };
        self.report(&loads, directory, &limits, now_ms);
        limits
    }

    fn report(
        &mut self,
        loads: &BTreeMap<ServiceId, PoolLoad>,
        directory: &OrganisationDirectory,
        limits: &OrganisationLimits,
        now_ms: u64,
    ) {
        let statuses = statuses(loads, directory, limits);
        let gauges = statuses.iter().map(|(id, status)| {
            let gauges = OrganisationGauges {
                waiting_jobs: status.waiting_jobs,
                running_millis: status.used.cpu_millis,
                share_millis: status.share_millis,
                cap_millis: status.cap.limits().cpu_millis,
            };
            (id.to_string(), gauges)
        });
        self.metrics.organisations.set_gauges(gauges.collect());
        self.logged_ms
            .retain(|_, logged_ms| now_ms < *logged_ms + LOG_INTERVAL_MS);
        for (id, status) in &statuses {
            let Some(cause) = status.cause() else {
                continue;
            };
            if self.logged_ms.contains_key(id) {
                continue;
            }
            self.logged_ms.insert(id.clone(), now_ms);
            let percent = status.window.map_or(100.0, |window| window.percent());
            log::info!(
                "event=organisation_limited organisation={id} cause={cause} used_millis={} cap_millis={} share_millis={} waiting_jobs={} wait_ms={} percent={percent}",
                status.used.cpu_millis,
                status.cap.limits().cpu_millis,
                status.share_millis,
                status.waiting_jobs,
                status.wait_ms
            );
        }
    }
}

impl Drop for OrganisationMonitor {
    /// Another entry host is the controller from now on.
    fn drop(&mut self) {
        self.metrics.organisations.set_gauges(BTreeMap::new());
    }
}

impl OrganisationStatus {
    /// Returns why the organisation's jobs wait or are refused. Its cap comes first, since neither a
    /// lower rate of submissions nor a larger pool would help.
    fn cause(&self) -> Option<LimitCause> {
        let demand = self.smallest_demand.filter(|_| self.waiting_jobs > 0);
        if demand.is_some_and(|demand| self.cap.room_for(&self.used, &demand) == 0) {
            return Some(LimitCause::Cap);
        }
        if self.window.is_some() {
            return Some(LimitCause::Rate);
        }
        (self.wait_ms > 0).then_some(LimitCause::Share)
    }
}

/// Returns the weight of an organisation. Jobs without one, and those of an organisation that is no
/// longer configured, compete with the default weight.
fn weight(directory: &OrganisationDirectory, id: Option<&OrganisationId>) -> ShareWeight {
    let organisation = id.and_then(|id| directory.get(id));
    organisation.map_or_else(ShareWeight::default, |organisation| organisation.weight)
}

/// Returns the time that the waiting work of organisations beyond their share takes, in ms; the
/// longest waits if there are too many.
fn waits(
    loads: &BTreeMap<ServiceId, PoolLoad>,
    directory: &OrganisationDirectory,
    lag_ms: u64,
) -> BTreeMap<ServiceId, BTreeMap<OrganisationId, u64>> {
    let mut waits: Vec<(u64, &ServiceId, &OrganisationId)> = Vec::new();
    for (service, load) in loads.iter().filter(|(_, load)| load.capacity_millis > 0) {
        let demands: Vec<_> = load
            .organisations
            .iter()
            .map(|(id, own)| ShareDemand {
                weight: weight(directory, id.as_ref()),
                amount: own.reserved_millis + own.waiting_work / SERVICE_MS,
            })
            .collect();
        let shares = share_capacity(load.capacity_millis, &demands);
        let organisations = load.organisations.iter();
        for (((id, own), demand), share) in organisations.zip(&demands).zip(shares) {
            let Some(id) = id.as_ref().filter(|_| share < demand.amount) else {
                continue;
            };
            let wait_ms = (own.waiting_work / share.max(1)).saturating_add(lag_ms);
            if wait_ms >= SERVICE_MS {
                waits.push((wait_ms, service, id));
            }
        }
    }
    waits.sort_by(|first, second| second.cmp(first));
    let mut by_service: BTreeMap<ServiceId, BTreeMap<OrganisationId, u64>> = BTreeMap::new();
    for (wait_ms, service, id) in waits.into_iter().take(OrganisationLimits::MAX_WAITS) {
        let waits = by_service.entry(service.clone()).or_default();
        waits.insert(id.clone(), wait_ms);
    }
    by_service
}

/// Sums up the loads of each organisation over all pools. Its share is that by weight among the
/// organisations that use a pool, summed over the pools that it uses.
fn statuses(
    loads: &BTreeMap<ServiceId, PoolLoad>,
    directory: &OrganisationDirectory,
    limits: &OrganisationLimits,
) -> BTreeMap<OrganisationId, OrganisationStatus> {
    let mut statuses: BTreeMap<OrganisationId, OrganisationStatus> = BTreeMap::new();
    for (service, load) in loads {
        let ids = load.organisations.keys();
        let weights = ids.map(|id| weight(directory, id.as_ref()).get());
        let total: f64 = weights.sum();
        for (id, own) in &load.organisations {
            let Some(id) = id else {
                continue;
            };
            let status = statuses.entry(id.clone()).or_default();
            let part = weight(directory, Some(id)).get() / total;
            status.share_millis += (load.capacity_millis as f64 * part) as u64;
            status.waiting_jobs += own.waiting_jobs;
            status.used.add(&own.used);
            status.wait_ms = status.wait_ms.max(limits.wait_ms(id, service));
            let demands = [status.smallest_demand, own.smallest_demand];
            let demands = demands.into_iter().flatten();
            status.smallest_demand = demands.min_by_key(|demand| demand.cpu_millis);
        }
    }
    // An organisation whose submissions are all refused has no load.
    for (id, window) in &limits.windows {
        statuses.entry(id.clone()).or_default().window = Some(*window);
    }
    for (id, status) in &mut statuses {
        let organisation = directory.get(id);
        status.cap =
            organisation.map_or_else(ResourceCap::default, |organisation| organisation.cap);
    }
    statuses
}
