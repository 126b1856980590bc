//! Snapshot of the fleet for the planners.

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
use crate::wave::BudgetTracker;

/// Assumed time until capacity is back after a failure domain is lost.
const ASSUMED_OUTAGE: Duration = Duration::from_secs(600);

/// Whether a host serves its pool. Operators are shown the variant name in lower case.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum HostCondition {
    /// Live, and open to new work.
    Up,
    /// Closed by a wave or a move.
    Closed,
    /// Down or leaving, without a wave or move.
    Lost,
}

/// A host with its location and condition.
#[derive(Clone, Debug)]
pub struct HostView {
    /// Host name, as in the service text.
    pub id: HostId,
    /// The pool that it currently belongs to.
    pub pool: PoolId,
    /// The rack that it stands in.
    pub rack: RackId,
    /// The data centre of its rack.
    pub data_centre: DataCentreId,
    /// Whether it currently serves.
    pub condition: HostCondition,
    /// Whether an operator has moved it; the planner then never moves it.
    pub pinned: bool,
}

/// The hosts of a fleet with the service text that assigns them to pools.
#[derive(Clone, Debug)]
pub struct FleetView {
    text: Arc<ServiceText>,
    hosts: BTreeMap<HostId, HostView>,
    /// Hosts on their way to each pool.
    arriving: BTreeMap<PoolId, usize>,
    /// Pool sizes listed in the service text, adjusted for operators' moves.
    listed_sizes: BTreeMap<PoolId, usize>,
}

impl FleetView {
    /// Creates a view with no host on its way to another pool.
    pub fn new(text: Arc<ServiceText>, hosts: Vec<HostView>) -> Self {
        let listed_sizes = text
            .pools
            .values()
            .map(|pool| (pool.id.clone(), pool.hosts.len()));
        Self {
            listed_sizes: listed_sizes.collect(),
            text,
            hosts: hosts
                .into_iter()
                .map(|host| (host.id.clone(), host))
                .collect(),
            arriving: BTreeMap::new(),
        }
    }

    /// Creates a view from the committed placement and the platform's host list.
    pub fn from_facts(text: &Arc<ServiceText>, placement: &Placement, list: &HostList) -> Self {
        let listed_pools = text.initial_pools_by_host();
        let racks = text.racks_by_host();
        let views = listed_pools.iter().filter_map(|(host, listed_pool)| {
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
                pool: placement.pool_of(host).unwrap_or(&listed_pool.id).clone(),
                rack: rack.id.clone(),
                data_centre: rack.data_centre.clone(),
                condition,
                pinned: placement.is_pinned(host),
            })
        });
        let mut view = Self::new(Arc::clone(text), views.collect());
        for (host, host_placement) in placement.hosts() {
            if let Some(pool) = &host_placement.moving_to {
                view.add_arriving(pool.clone());
            }
            let pool = host_placement
                .moving_to
                .as_ref()
                .or(host_placement.pool.as_ref());
            if let (true, Some(pool), Some(listed_pool)) =
                (host_placement.pinned, pool, listed_pools.get(host))
            {
                view.count_pinned(&listed_pool.id, pool);
            }
        }
        view
    }

    /// Counts a pinned host in the pool it was moved to instead of the one in the service text.
    fn count_pinned(&mut self, from: &PoolId, to: &PoolId) {
        if let Some(size) = self.listed_sizes.get_mut(from) {
            *size = size.saturating_sub(1);
        }
        *self.listed_sizes.entry(to.clone()).or_default() += 1;
    }

    /// Returns the size of a pool listed in the service text, adjusted for operators' moves.
    pub fn listed_size(&self, pool: &PoolId) -> usize {
        self.listed_sizes.get(pool).copied().unwrap_or(0)
    }

    /// Counts one more host on its way to a pool.
    pub fn add_arriving(&mut self, pool: PoolId) {
        *self.arriving.entry(pool).or_default() += 1;
    }

    /// Counts one host fewer on its way to a pool, not below zero.
    pub fn remove_arriving(&mut self, pool: &PoolId) {
        if let Some(count) = self.arriving.get_mut(pool) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns the number of hosts on their way to a pool.
    pub fn arriving(&self, pool: &PoolId) -> usize {
        self.arriving.get(pool).copied().unwrap_or(0)
    }

    /// Returns the service text that the view was created with.
    pub fn text(&self) -> &ServiceText {
        &self.text
    }

    /// Returns the hosts, by name.
    pub fn hosts(&self) -> &BTreeMap<HostId, HostView> {
        &self.hosts
    }

    /// Sets the condition of a host; an unknown host is ignored.
    pub fn set_condition(&mut self, host: &HostId, condition: HostCondition) {
        if let Some(view) = self.hosts.get_mut(host) {
            view.condition = condition;
        }
    }

    /// Sets the pool of a host; an unknown host is ignored.
    pub fn set_pool(&mut self, host: &HostId, pool: PoolId) {
        if let Some(view) = self.hosts.get_mut(host) {
            view.pool = pool;
        }
    }

    /// Counts the serving hosts of each pool; pools without any are absent.
    pub fn up_counts(&self) -> BTreeMap<&PoolId, usize> {
        let mut counts = BTreeMap::new();
        for host in self.serving() {
            *counts.entry(&host.pool).or_default() += 1;
        }
        counts
    }

    /// Returns the hosts that are `Up`, by name.
    pub fn serving(&self) -> impl Iterator<Item = &HostView> {
        self.hosts
            .values()
            .filter(|host| host.condition == HostCondition::Up)
    }

    /// Returns the unmet share of each service's needed capacity, from 0 to 1.
    ///
    /// A pool's shortfall counts for its service and for all services that depend on it. The
    /// largest one sets a service's share; services without a shortfall are absent.
    pub fn shortfalls(&self) -> BTreeMap<ServiceId, f64> {
        let counts = self.up_counts();
        let mut shortfalls = BTreeMap::new();
        for pool in self.text.pools.values() {
            let up = counts.get(&pool.id).copied().unwrap_or(0);
            let share = missing_share(pool, up);
            if share > 0.0 {
                raise_shortfalls(&mut shortfalls, &self.text, &pool.service, share);
            }
        }
        shortfalls
    }

    /// Returns whether the budgets of a service and its dependants can absorb the loss of `share`
    /// of its needed capacity for [`ASSUMED_OUTAGE`].
    pub(crate) fn can_absorb_loss(
        &self,
        budgets: &BudgetTracker,
        service: &ServiceId,
        share: f64,
    ) -> bool {
        if share <= 0.0 {
            return true;
        }
        let mut shortfalls = BTreeMap::new();
        raise_shortfalls(&mut shortfalls, &self.text, service, share);
        shortfalls
            .iter()
            .all(|(service, share)| ASSUMED_OUTAGE.mul_f64(*share) <= budgets.spendable(service))
    }

    /// Returns the largest number of serving hosts that each pool has in one failure domain.
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
            let current = largest.entry(pool).or_insert(0);
            *current = count.max(*current);
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

/// Returns the share of a pool's needed hosts that `up` serving hosts do not cover.
pub(crate) fn missing_share(pool: &Pool, up: usize) -> f64 {
    match pool.needed {
        0 => 0.0,
        needed => needed.saturating_sub(up) as f64 / needed as f64,
    }
}

/// Raises the shortfall of a service and of its dependants to at least `share`.
pub(crate) fn raise_shortfalls(
    shortfalls: &mut BTreeMap<ServiceId, f64>,
    text: &ServiceText,
    service: &ServiceId,
    share: f64,
) {
    for dependant in text.dependants_of(service) {
        let current = shortfalls.entry(dependant).or_insert(0.0);
        *current = share.max(*current);
    }
}
