//! Where spare hosts are needed, and which host moves to another pool.

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
use crate::wave::BudgetBook;
use crate::wave::FleetView;
use crate::wave::HostCondition;
use crate::wave::HostView;

/// The part of a budget that ordinary losses of single hosts may use up, as a divisor.
const ORDINARY_DIVISOR: u32 = 2;
/// The most own spare hosts that a pool is given.
const MOST_OWN: usize = 2;

/// A host that changes its pool.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct HostMove {
    /// The host.
    pub host: HostId,
    /// The pool that it leaves.
    pub from: PoolId,
    /// The pool that it joins.
    pub to: PoolId,
}

/// How often hosts fail and restart, and how long that takes.
#[derive(Clone, Copy, Debug)]
pub struct FailureRates {
    /// The failures of a host in a day.
    pub failures: f64,
    /// The unplanned restarts and replacements of a host in a day.
    pub restarts: f64,
    /// The time until a failed host's place is filled from shared spare.
    pub move_time: Duration,
    /// The time that a restart takes.
    pub restart_time: Duration,
}

impl FailureRates {
    /// Returns the time of a window that a host is expected to be missing.
    fn missing_time(&self, window: Duration) -> Duration {
        let days = window.as_secs_f64() / 86_400.0;
        let failures = self.move_time.mul_f64(self.failures * days);
        failures + self.restart_time.mul_f64(self.restarts * days)
    }

    /// Returns the expected loss of a pool that has `own` spare hosts, within a window.
    ///
    /// With a spare host two must be missing at once, with two three must.
    fn expected_loss(&self, needed: usize, own: usize, window: Duration) -> Duration {
        let missing = self.missing_time(window).as_secs_f64() / window.as_secs_f64();
        let hosts = (needed + own) as f64;
        let at_once = (0..=own).map(|taken| (hosts - taken as f64) * missing);
        let share = 1.0 / needed.max(1) as f64;
        window.mul_f64(at_once.product::<f64>().min(1.0) * share)
    }
}

/// Returns how many spare hosts each pool needs of its own.
///
/// A pool gets one more as long as ordinary losses would use up more than its
/// part of a dependant's budget; all else is covered by spare that pools share.
pub fn own_spares(text: &ServiceText, rates: &FailureRates) -> BTreeMap<PoolId, usize> {
    let pool_counts = pools_behind(text);
    let spares = text.pools.values().map(|pool| {
        let own = (0..MOST_OWN)
            .find(|own| is_borne(text, &pool_counts, pool, *own, rates))
            .unwrap_or(MOST_OWN);
        (pool.id.clone(), own)
    });
    spares.collect()
}

/// Counts the pools that each service's availability rests on.
fn pools_behind(text: &ServiceText) -> BTreeMap<&str, u32> {
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

fn is_borne(
    text: &ServiceText,
    pool_counts: &BTreeMap<&str, u32>,
    pool: &Pool,
    own: usize,
    rates: &FailureRates,
) -> bool {
    let bears = |service: &Service| {
        let loss = rates.expected_loss(pool.needed, own, service.window);
        let pools = pool_counts.get(service.id.as_str()).copied().unwrap_or(1);
        let allowance = service.availability.allowance(service.window);
        loss <= allowance / (ORDINARY_DIVISOR * pools.max(1))
    };
    let dependants = text.dependants_of(&pool.service);
    let mut services = dependants.iter().filter_map(|id| text.services.get(id));
    services.all(bears)
}

/// Returns how many hosts of a data centre should be spare for maintenance.
///
/// It weighs the cost of holding them, as a share of the hosts needed, against
/// the time that a wave over all hosts takes, as a share of `cycle`.
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

/// How far a pool may go down when it spares hosts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DonorFloor {
    /// To the size that the text lists.
    Listed,
    /// To what its load needs.
    Needed,
}

/// Picks hosts that fill other pools' needs, one move after the other.
#[derive(Debug)]
pub struct SparePlanner<'v> {
    view: &'v FleetView,
    book: &'v BudgetBook,
    up: BTreeMap<&'v PoolId, usize>,
    largest: BTreeMap<&'v PoolId, usize>,
    taken: BTreeSet<&'v HostId>,
}

impl<'v> SparePlanner<'v> {
    /// Creates a planner for one moment.
    pub fn new(view: &'v FleetView, book: &'v BudgetBook) -> Self {
        Self {
            view,
            book,
            up: view.up_counts(),
            largest: view.largest_losses(),
            taken: BTreeSet::new(),
        }
    }

    /// Returns moves to the pools that lack hosts, those that lack the largest share first.
    pub fn repairs(&mut self) -> Vec<HostMove> {
        let pools = self.view.text().pools.values();
        let mut short = pools
            .map(|pool| (missing_share(pool, self.expected(pool)), pool))
            .filter(|(share, _)| *share > 0.0)
            .collect::<Vec<_>>();
        short.sort_by(|one, other| other.0.total_cmp(&one.0));
        let none = BTreeSet::new();
        let mut moves = Vec::new();
        for (_, pool) in short {
            let near = self.data_centre_of(pool);
            let host_move = [DonorFloor::Listed, DonorFloor::Needed]
                .into_iter()
                .find_map(|floor| self.move_to(pool, near, floor, &none));
            moves.extend(host_move.or_else(|| self.move_to(pool, None, DonorFloor::Needed, &none)));
        }
        moves
    }

    /// Returns moves that bring pools back to the sizes that the text lists.
    pub fn restores(&mut self) -> Vec<HostMove> {
        let pools = self.view.text().pools.values();
        let small = pools
            .filter(|pool| self.expected(pool) < self.view.listed_size(&pool.id))
            .collect::<Vec<_>>();
        let none = BTreeSet::new();
        let mut moves = Vec::new();
        for pool in small {
            let near = self.data_centre_of(pool);
            moves.extend(self.move_to(pool, near, DonorFloor::Listed, &none));
        }
        moves
    }

    /// Takes a host for a pool from one of the same role that can spare it.
    ///
    /// Only hosts of the data centre `within` are taken, if one is given, and none
    /// of the pools in `kept`. The pool with the most to spare comes first.
    pub fn move_to(
        &mut self,
        pool: &Pool,
        within: Option<&DataCentreId>,
        floor: DonorFloor,
        kept: &BTreeSet<&PoolId>,
    ) -> Option<HostMove> {
        let hosts = self.view.hosts().values();
        let donors = hosts
            .filter(|host| host.condition == HostCondition::Up && host.pool != pool.id)
            .filter(|host| !host.pinned)
            .filter(|host| within.is_none_or(|within| host.data_centre == *within))
            .filter(|host| !kept.contains(&host.pool) && !self.taken.contains(&host.id))
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

    /// Returns how many hosts a host's pool can spare, if it can spare one.
    ///
    /// A pool that is left with its need, but not with the loss of a domain
    /// beyond it, spares a host only if the budgets bear that loss.
    fn surplus(&self, host: &HostView, for_pool: &Pool, floor: DonorFloor) -> Option<usize> {
        let donor = self.view.text().pools.get(&host.pool)?;
        if donor.role != for_pool.role {
            return None;
        }
        let left = self.up_of(&host.pool).checked_sub(1)?;
        if donor.needed == 0 && for_pool.needed > 0 {
            return Some(self.view.hosts().len());
        }
        let spare = match floor {
            DonorFloor::Listed => left.checked_sub(self.view.listed_size(&donor.id))?,
            DonorFloor::Needed => left.checked_sub(donor.needed)?,
        };
        let loss = self.largest.get(&host.pool).copied().unwrap_or(0);
        let share = missing_share(donor, left.saturating_sub(loss));
        let borne = self.view.is_borne(self.book, &donor.service, share);
        borne.then_some(spare)
    }

    /// Returns the hosts that a pool has and will have without further moves.
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
