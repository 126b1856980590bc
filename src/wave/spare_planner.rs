//! Sizes spare capacity and decides which hosts move between pools.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::PoolId;
use crate::version::ObjectiveWeights;
use crate::version::Pool;
use crate::version::Service;
use crate::version::ServiceText;
use crate::wave::fleet_view::missing_share;
use crate::wave::BudgetTracker;
use crate::wave::FleetView;
use crate::wave::HostCondition;
use crate::wave::HostView;

/// Routine losses of single hosts may use up half of a budget.
const ROUTINE_LOSS_DIVISOR: u32 = 2;
const MAX_DEDICATED_SPARES: usize = 2;

/// A planned move of one host.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostMove {
    /// The host to move.
    pub host: HostId,
    /// Its current pool.
    pub from: PoolId,
    /// Its new pool.
    pub to: PoolId,
}

/// Rates and durations of host failures and restarts.
#[derive(Clone, Copy, Debug)]
pub struct FailureRates {
    /// Failures per host and day.
    pub failures: f64,
    /// Unplanned restarts and replacements per host and day.
    pub restarts: f64,
    /// Time until a shared spare host replaces a failed one.
    pub move_time: Duration,
    /// Duration of a restart.
    pub restart_time: Duration,
}

impl FailureRates {
    /// Returns the expected time that a host is missing within a window.
    fn missing_time(&self, window: Duration) -> Duration {
        let days = window.as_secs_f64() / 86_400.0;
        let failures = self.move_time.mul_f64(self.failures * days);
        failures + self.restart_time.mul_f64(self.restarts * days)
    }

    /// Returns the expected unavailability of a pool with `dedicated` spare hosts, within a window.
    ///
    /// Capacity is lost only while more hosts are missing at the same time than the pool has
    /// spares. That time is weighted by the share of one host in the hosts needed.
    fn expected_loss(&self, needed: usize, dedicated: usize, window: Duration) -> Duration {
        let missing = self.missing_time(window).as_secs_f64() / window.as_secs_f64();
        let hosts = (needed + dedicated) as f64;
        let simultaneous = (0..=dedicated).map(|taken| (hosts - taken as f64) * missing);
        let share = 1.0 / needed.max(1) as f64;
        window.mul_f64(simultaneous.product::<f64>().min(1.0) * share)
    }
}

/// Returns how many dedicated spare hosts each pool needs, at most two.
///
/// Half of a service's budget is divided equally among the pools that it depends on. A pool gets
/// another spare host while its routine losses would exceed that part of any dependant's budget.
/// Shared spare hosts cover everything else.
pub fn dedicated_spares(text: &ServiceText, rates: &FailureRates) -> BTreeMap<PoolId, usize> {
    let pool_counts = count_required_pools(text);
    let spares = text.pools.values().map(|pool| {
        let dedicated = (0..MAX_DEDICATED_SPARES)
            .find(|dedicated| absorbs_routine_loss(text, &pool_counts, pool, *dedicated, rates))
            .unwrap_or(MAX_DEDICATED_SPARES);
        (pool.id.clone(), dedicated)
    });
    spares.collect()
}

/// Counts the pools that each service depends on.
fn count_required_pools(text: &ServiceText) -> BTreeMap<&str, u32> {
    let mut counts = BTreeMap::new();
    for pool in text.pools.values().filter(|pool| pool.needed > 0) {
        for dependant in text.dependants_of(&pool.service) {
            if let Some(service) = text.services.get(&dependant) {
                *counts.entry(service.id.as_str()).or_insert(0) += 1;
            }
        }
    }
    counts
}

/// Returns whether routine losses of a pool stay within its part of every dependant's budget.
fn absorbs_routine_loss(
    text: &ServiceText,
    pool_counts: &BTreeMap<&str, u32>,
    pool: &Pool,
    dedicated: usize,
    rates: &FailureRates,
) -> bool {
    let absorbs = |service: &Service| {
        let loss = rates.expected_loss(pool.needed, dedicated, service.window);
        let pools = pool_counts.get(service.id.as_str()).copied().unwrap_or(1);
        let allowance = service.availability.allowance(service.window);
        loss <= allowance / (ROUTINE_LOSS_DIVISOR * pools.max(1))
    };
    let dependants = text.dependants_of(&pool.service);
    let mut services = dependants.iter().filter_map(|id| text.services.get(id));
    services.all(absorbs)
}

/// Returns how many hosts of a data centre should be shared spare hosts for maintenance.
///
/// `hosts` is the number of hosts to restart, `needed` the number that the load needs, `step` the
/// duration of one step of a wave and `cycle` the time in which every host is restarted once.
///
/// Minimises the weighted sum of the buffer cost, as a share of the hosts needed, and the duration
/// of a wave over all hosts, as a share of `cycle`.
pub fn shared_spares(
    hosts: usize,
    needed: usize,
    step: Duration,
    cycle: Duration,
    weights: &ObjectiveWeights,
) -> usize {
    let cost = |spares: &usize| {
        let buffer = *spares as f64 / needed.max(1) as f64;
        let steps = hosts.div_ceil(*spares) as f64;
        let roll_out = steps * step.as_secs_f64() / cycle.as_secs_f64();
        weights.buffer_cost * buffer + weights.roll_out * roll_out
    };
    (1..=hosts.max(1))
        .min_by(|one, other| cost(one).total_cmp(&cost(other)))
        .unwrap_or(1)
}

/// The minimum size of a pool from which hosts are moved.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DonorFloor {
    /// The size that the service text lists.
    Listed,
    /// The number of hosts that its load needs.
    Needed,
}

/// Plans moves one after the other, counting those already planned.
#[derive(Debug)]
pub struct SparePlanner<'v> {
    view: &'v FleetView,
    budgets: &'v BudgetTracker,
    /// Serving hosts of each pool, without those already planned to move away.
    up: BTreeMap<&'v PoolId, usize>,
    /// Largest number of serving hosts that each pool has in one failure domain.
    largest: BTreeMap<&'v PoolId, usize>,
    /// Hosts already planned to move.
    taken: BTreeSet<&'v HostId>,
}

impl<'v> SparePlanner<'v> {
    /// Creates a planner for one snapshot of the fleet.
    pub fn new(view: &'v FleetView, budgets: &'v BudgetTracker) -> Self {
        Self {
            view,
            budgets,
            up: view.up_counts(),
            largest: view.largest_losses(),
            taken: BTreeSet::new(),
        }
    }

    /// Returns moves to pools with fewer hosts than they need, at most one for each pool. Pools
    /// with the largest missing share come first.
    pub fn repairs(&mut self) -> Vec<HostMove> {
        let pools = self.view.text().pools.values();
        let mut short_pools = pools
            .map(|pool| (missing_share(pool, self.expected(pool)), pool))
            .filter(|(share, _)| *share > 0.0)
            .collect::<Vec<_>>();
        short_pools.sort_by(|one, other| other.0.total_cmp(&one.0));
        let no_pools = BTreeSet::new();
        let mut moves = Vec::new();
        for (_, pool) in short_pools {
            let data_centre = self.data_centre_of(pool);
            let host_move = [DonorFloor::Listed, DonorFloor::Needed]
                .into_iter()
                .find_map(|floor| self.move_to(pool, data_centre, floor, &no_pools));
            moves.extend(
                host_move.or_else(|| self.move_to(pool, None, DonorFloor::Needed, &no_pools)),
            );
        }
        moves
    }

    /// Returns moves to pools smaller than the service text lists, at most one for each pool.
    pub fn restores(&mut self) -> Vec<HostMove> {
        let pools = self.view.text().pools.values();
        let undersized = pools
            .filter(|pool| self.expected(pool) < self.view.listed_size(&pool.id))
            .collect::<Vec<_>>();
        let no_pools = BTreeSet::new();
        let mut moves = Vec::new();
        for pool in undersized {
            let data_centre = self.data_centre_of(pool);
            moves.extend(self.move_to(pool, data_centre, DonorFloor::Listed, &no_pools));
        }
        moves
    }

    /// Plans the move of a host to `pool` from a pool of the same role that can spare one.
    ///
    /// If `within` is given, only hosts of that data centre are considered. Hosts of pools in
    /// `excluded` are never moved. The host comes from the pool with the largest surplus.
    pub fn move_to(
        &mut self,
        pool: &Pool,
        within: Option<&DataCentreId>,
        floor: DonorFloor,
        excluded: &BTreeSet<&PoolId>,
    ) -> Option<HostMove> {
        let hosts = self.view.hosts().values();
        let donors = hosts
            .filter(|host| host.condition == HostCondition::Up && host.pool != pool.id)
            .filter(|host| !host.pinned)
            .filter(|host| within.is_none_or(|within| host.data_centre == *within))
            .filter(|host| !excluded.contains(&host.pool) && !self.taken.contains(&host.id))
            .filter_map(|host| Some((self.surplus(host, pool, floor)?, host)));
        let (_, donor) = donors.max_by_key(|(surplus, _)| *surplus)?;
        self.taken.insert(&donor.id);
        if let Some(up) = self.up.get_mut(&donor.pool) {
            *up -= 1;
        }
        Some(HostMove {
            host: donor.id.clone(),
            from: donor.pool.clone(),
            to: pool.id.clone(),
        })
    }

    /// Returns how many more hosts the pool of `host` could spare without it, or `None` if the pool
    /// cannot spare `host`.
    ///
    /// Unless it needs no hosts, the pool must keep the size that `floor` sets. If the loss of a
    /// failure domain would then leave it fewer hosts than it needs, the budgets must be able to
    /// absorb that loss.
    fn surplus(&self, host: &HostView, for_pool: &Pool, floor: DonorFloor) -> Option<usize> {
        let donor = self.view.text().pools.get(&host.pool)?;
        if donor.role != for_pool.role {
            return None;
        }
        let left = self.up_of(&host.pool).checked_sub(1)?;
        // A pool that needs no hosts gives them up before any other.
        if donor.needed == 0 && for_pool.needed > 0 {
            return Some(self.view.hosts().len());
        }
        let spare = match floor {
            DonorFloor::Listed => left.checked_sub(self.view.listed_size(&donor.id))?,
            DonorFloor::Needed => left.checked_sub(donor.needed)?,
        };
        let loss = self.largest.get(&host.pool).copied().unwrap_or(0);
        let share = missing_share(donor, left.saturating_sub(loss));
        let absorbed = self
            .view
            .can_absorb_loss(self.budgets, &donor.service, share);
        absorbed.then_some(spare)
    }

    /// Returns the number of hosts that serve in a pool or are on their way to it.
    fn expected(&self, pool: &Pool) -> usize {
        self.up_of(&pool.id) + self.view.arriving(&pool.id)
    }

    fn data_centre_of(&self, pool: &Pool) -> Option<&'v DataCentreId> {
        let mut hosts = self.view.hosts().values();
        let member = hosts.find(|host| host.pool == pool.id)?;
        Some(&member.data_centre)
    }

    fn up_of(&self, pool: &PoolId) -> usize {
        self.up.get(pool).copied().unwrap_or(0)
    }
}
