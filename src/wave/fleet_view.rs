//! The fleet at one moment, as the planner sees it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::PoolId;
use crate::id::RackId;
use crate::id::ServiceId;
use crate::process::Placement;
use crate::version::FailureDomain;
use crate::version::HostList;
use crate::version::HostState;
use crate::version::Pool;
use crate::version::ServiceText;
use crate::wave::BudgetBook;

/// How long the loss of a domain is assumed to last until capacity is back.
const ASSUMED_LOSS: Duration = Duration::from_secs(600);

/// Whether a host serves its pool.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HostCondition {
    /// It serves.
    Up,
    /// It is closed by a wave or a move.
    Closed,
    /// It is down or leaving without a wave.
    Lost,
}

/// One host of the fleet.
#[derive(Clone, Debug)]
pub struct HostView {
    /// Its name.
    pub id: HostId,
    /// The pool that it belongs to.
    pub pool: PoolId,
    /// Its rack.
    pub rack: RackId,
    /// Its data centre.
    pub data_centre: DataCentreId,
    /// Whether it serves.
    pub condition: HostCondition,
    /// Whether an operator has moved it, so that the planner leaves it where it is.
    pub pinned: bool,
}

/// The hosts of a fleet with the text that says what they are for.
#[derive(Clone, Debug)]
pub struct FleetView {
    text: Arc<ServiceText>,
    hosts: BTreeMap<HostId, HostView>,
    arriving: BTreeMap<PoolId, usize>,
    sizes: BTreeMap<PoolId, usize>,
}

impl FleetView {
    /// Creates a view of hosts.
    pub fn new(text: Arc<ServiceText>, hosts: Vec<HostView>) -> Self {
        let sizes = text
            .pools
            .values()
            .map(|pool| (pool.id.clone(), pool.hosts.len()));
        Self {
            sizes: sizes.collect(),
            text,
            hosts: hosts
                .into_iter()
                .map(|host| (host.id.clone(), host))
                .collect(),
            arriving: BTreeMap::new(),
        }
    }

    /// Creates a view of what is agreed and what the platform lists.
    pub fn from_facts(text: &Arc<ServiceText>, placement: &Placement, list: &HostList) -> Self {
        let first_pools = text.initial_pools_by_host();
        let racks = text.racks_by_host();
        let views = first_pools.iter().filter_map(|(host, first_pool)| {
            let rack = racks.get(host)?;
            let live = list
                .get(host)
                .is_some_and(|record| record.state == HostState::Live);
            let condition = match live {
                _ if placement.is_closed(host) => HostCondition::Closed,
                true => HostCondition::Up,
                false => HostCondition::Lost,
            };
            Some(HostView {
                id: (*host).clone(),
                pool: placement.pool_of(host).unwrap_or(&first_pool.id).clone(),
                rack: rack.id.clone(),
                data_centre: rack.data_centre.clone(),
                condition,
                pinned: placement.is_pinned(host),
            })
        });
        let mut view = Self::new(Arc::clone(text), views.collect());
        for (host, held) in placement.hosts() {
            if let Some(pool) = &held.moving_to {
                view.add_arriving(pool.clone());
            }
            let pool = held.moving_to.as_ref().or(held.pool.as_ref());
            if let (true, Some(pool), Some(first)) = (held.pinned, pool, first_pools.get(host)) {
                view.resize(&first.id, pool);
            }
        }
        view
    }

    /// Counts a host for good in another pool than the text does.
    fn resize(&mut self, from: &PoolId, to: &PoolId) {
        if let Some(size) = self.sizes.get_mut(from) {
            *size = size.saturating_sub(1);
        }
        *self.sizes.entry(to.clone()).or_default() += 1;
    }

    /// Returns the number of hosts that a pool has by the text and by operators' moves.
    pub fn listed_size(&self, pool: &PoolId) -> usize {
        self.sizes.get(pool).copied().unwrap_or(0)
    }

    /// Counts a host as on its way to a pool.
    pub fn add_arriving(&mut self, pool: PoolId) {
        *self.arriving.entry(pool).or_default() += 1;
    }

    /// Forgets a host that was on its way to a pool.
    pub fn remove_arriving(&mut self, pool: &PoolId) {
        if let Some(count) = self.arriving.get_mut(pool) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the number of hosts on their way to a pool.
    pub fn arriving(&self, pool: &PoolId) -> usize {
        self.arriving.get(pool).copied().unwrap_or(0)
    }

    /// Returns the service text.
    pub fn text(&self) -> &ServiceText {
        &self.text
    }

    /// Returns the hosts, by name.
    pub fn hosts(&self) -> &BTreeMap<HostId, HostView> {
        &self.hosts
    }

    /// Changes whether a host serves.
    pub fn set_condition(&mut self, host: &HostId, condition: HostCondition) {
        if let Some(view) = self.hosts.get_mut(host) {
            view.condition = condition;
        }
    }

    /// Changes the pool of a host.
    pub fn set_pool(&mut self, host: &HostId, pool: PoolId) {
        if let Some(view) = self.hosts.get_mut(host) {
            view.pool = pool;
        }
    }

    /// Counts the serving hosts of each pool.
    pub fn up_counts(&self) -> BTreeMap<&PoolId, usize> {
        let mut counts = BTreeMap::new();
        for host in self.serving() {
            *counts.entry(&host.pool).or_default() += 1;
        }
        counts
    }

    /// Returns the serving hosts.
    pub fn serving(&self) -> impl Iterator<Item = &HostView> {
        self.hosts
            .values()
            .filter(|host| host.condition == HostCondition::Up)
    }

    /// Returns the share of each service's need that is not met, out of 1.
    ///
    /// A pool's shortfall counts for its service and for all that depend on it.
    pub fn shortfalls(&self) -> BTreeMap<ServiceId, f64> {
        let counts = self.up_counts();
        let mut shortfalls = BTreeMap::new();
        for pool in self.text.pools.values() {
            let up = counts.get(&pool.id).copied().unwrap_or(0);
            let share = missing_share(pool, up);
            if share > 0.0 {
                spread(&mut shortfalls, &self.text, &pool.service, share);
            }
        }
        shortfalls
    }

    /// Tells whether the budgets of a service and its dependants bear the loss of
    /// `share` of its need for the time that a lost domain is assumed to be missing.
    pub(crate) fn is_borne(&self, book: &BudgetBook, service: &ServiceId, share: f64) -> bool {
        if share <= 0.0 {
            return true;
        }
        let mut shortfalls = BTreeMap::new();
        spread(&mut shortfalls, &self.text, service, share);
        shortfalls
            .iter()
            .all(|(service, share)| ASSUMED_LOSS.mul_f64(*share) <= book.spendable(service))
    }

    /// Returns the most serving hosts of each pool that one loss can take.
    pub fn largest_losses(&self) -> BTreeMap<&PoolId, usize> {
        let mut counts = BTreeMap::<(&PoolId, &str), usize>::new();
        for host in self.serving() {
            let domain = match self.failure_domain(&host.pool) {
                FailureDomain::Rack => host.rack.as_str(),
                FailureDomain::DataCentre => host.data_centre.as_str(),
            };
            *counts.entry((&host.pool, domain)).or_default() += 1;
        }
        let mut largest = BTreeMap::new();
        for ((pool, _), count) in counts {
            let held = largest.entry(pool).or_insert(0);
            *held = count.max(*held);
        }
        largest
    }

    fn failure_domain(&self, pool: &PoolId) -> FailureDomain {
        self.text
            .pools
            .get(pool)
            .and_then(|pool| self.text.services.get(&pool.service))
            .map_or(FailureDomain::Rack, |service| service.failure_domain)
    }
}

/// Returns the share of a pool's need that `up` hosts do not meet.
pub(crate) fn missing_share(pool: &Pool, up: usize) -> f64 {
    match pool.needed {
        0 => 0.0,
        needed => needed.saturating_sub(up) as f64 / needed as f64,
    }
}

/// Raises the shortfall of a service and of all that depend on it to `share`.
pub(crate) fn spread(
    shortfalls: &mut BTreeMap<ServiceId, f64>,
    text: &ServiceText,
    service: &ServiceId,
    share: f64,
) {
    for dependant in text.dependants_of(service) {
        let held = shortfalls.entry(dependant).or_insert(0.0);
        *held = share.max(*held);
    }
}
