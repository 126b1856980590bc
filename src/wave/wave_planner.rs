//! Decides which hosts a wave stops next.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::id::HostId;
use crate::id::PoolId;
use crate::id::RackId;
use crate::version::FailureDomain;
use crate::wave::fleet_view::missing_share;
use crate::wave::name_list::name_list;
use crate::wave::BudgetTracker;
use crate::wave::DonorFloor;
use crate::wave::FleetView;
use crate::wave::HostCondition;
use crate::wave::HostMove;
use crate::wave::HostView;
use crate::wave::SparePlanner;
use crate::wave::WaveRecord;
use crate::wave::WaveState;

/// Maximum number of maintained hosts that may be lost at the same time; with more, the wave is
/// held.
const MAX_LOST_AFTER_MAINTENANCE: usize = 1;

/// The next step of a wave.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StepDecision {
    /// Stop these hosts together.
    Stop(Vec<HostId>),
    /// Stop nothing yet; names what the wave waits for.
    Wait(String),
    /// Hold the wave, for this reason, until an operator resumes it.
    Hold(String),
    /// End the wave: no listed host is pending or stopped.
    Finished,
}

/// Plans steps for one snapshot of the fleet and the budgets.
///
/// No step takes a pool below its need, and no step exceeds a budget even if the largest failure
/// domain of the service is lost while the step runs.
#[derive(Debug)]
pub struct WavePlanner<'v> {
    view: &'v FleetView,
    budgets: &'v BudgetTracker,
    /// Serving hosts of each pool, without those already picked.
    up: BTreeMap<&'v PoolId, usize>,
    /// Serving hosts by pool and name of the failure domain, without those already picked.
    domains: BTreeMap<(&'v PoolId, &'v str), usize>,
    /// Largest value in `domains` for each pool.
    largest: BTreeMap<&'v PoolId, usize>,
}

impl<'v> WavePlanner<'v> {
    /// Creates a planner for one snapshot of the fleet.
    pub fn new(view: &'v FleetView, budgets: &'v BudgetTracker) -> Self {
        let mut planner = Self {
            view,
            budgets,
            up: view.up_counts(),
            domains: BTreeMap::new(),
            largest: view.largest_losses(),
        };
        for host in view.serving() {
            let key = (&host.pool, planner.domain_of(host));
            *planner.domains.entry(key).or_default() += 1;
        }
        planner
    }

    /// Plans the next step; hosts it stops count as stopped in later calls.
    pub fn next_step(&mut self, wave: &WaveRecord) -> StepDecision {
        if let Some(reason) = self.correlated_failure(wave) {
            return StepDecision::Hold(reason);
        }
        if !wave.stopped.is_empty() {
            let hosts = short_host_list(wave.stopped.iter());
            return StepDecision::Wait(format!("{hosts} to come back"));
        }
        // Hosts that the service text no longer lists need no maintenance.
        let listed = |host: &HostId| self.view.hosts().contains_key(host);
        if !wave.pending.iter().any(listed) {
            return StepDecision::Finished;
        }
        let group = self.pick_group(wave);
        match group.is_empty() {
            true => StepDecision::Wait(self.wait_reason(wave)),
            false => StepDecision::Stop(group),
        }
    }

    /// Returns moves that allow pending hosts to be stopped later: at most one to each pool that
    /// has too little spare capacity or budget to stop a host now.
    pub fn next_moves(&self, wave: &WaveRecord) -> Vec<HostMove> {
        if wave.state != WaveState::Running {
            return Vec::new();
        }
        let pending = self.by_rack(&wave.pending);
        let mut excluded = pending
            .iter()
            .map(|host| &host.pool)
            .collect::<BTreeSet<_>>();
        excluded.extend(self.pools_of(&wave.stopped));
        let mut planner = SparePlanner::new(self.view, self.budgets);
        let mut visited = BTreeSet::new();
        let stopped = self.pools_of(&wave.stopped);
        let moves = pending.into_iter().filter_map(|host| {
            let pool_is_waiting =
                stopped.contains(&host.pool) || self.view.arriving(&host.pool) > 0;
            if pool_is_waiting || !visited.insert(&host.pool) || self.allows(host) {
                return None;
            }
            let pool = self.view.text().pools.get(&host.pool)?;
            planner.move_to(pool, Some(&host.data_centre), DonorFloor::Listed, &excluded)
        });
        moves.collect()
    }

    fn pools_of(&self, hosts: &BTreeSet<HostId>) -> BTreeSet<&'v PoolId> {
        let views = hosts.iter().filter_map(|host| self.view.hosts().get(host));
        views.map(|host| &host.pool).collect()
    }

    /// Returns why the wave must be held, if the failures of hosts appear to be related.
    fn correlated_failure(&self, wave: &WaveRecord) -> Option<String> {
        let lost = |host: &&HostId| self.condition(host) == Some(HostCondition::Lost);
        let lost_hosts = wave.done.iter().filter(lost).collect::<Vec<_>>();
        if lost_hosts.len() > MAX_LOST_AFTER_MAINTENANCE {
            let hosts = short_host_list(lost_hosts.into_iter());
            return Some(format!("{hosts} failed after maintenance"));
        }
        let rack = self.lost_rack(wave)?;
        Some(format!("rack {rack} is lost"))
    }

    /// Returns a rack of at least two hosts that are all lost, if the wave has yet to stop one of
    /// them or has maintained one.
    fn lost_rack(&self, wave: &WaveRecord) -> Option<&'v RackId> {
        let mut racks = BTreeMap::<&RackId, Vec<&HostView>>::new();
        for host in self.view.hosts().values() {
            racks.entry(&host.rack).or_default().push(host);
        }
        let lost = |hosts: &[&HostView]| {
            let all = hosts
                .iter()
                .all(|host| host.condition == HostCondition::Lost);
            all && hosts.len() > 1
        };
        let has_wave_host = |hosts: &[&HostView]| {
            hosts
                .iter()
                .any(|host| wave.pending.contains(&host.id) || wave.done.contains(&host.id))
        };
        racks
            .into_iter()
            .find(|(_, hosts)| lost(hosts) && has_wave_host(hosts))
            .map(|(rack, _)| rack)
    }

    /// Picks pending hosts up to the group limit, rack by rack.
    fn pick_group(&mut self, wave: &WaveRecord) -> Vec<HostId> {
        let mut group = Vec::new();
        for host in self.by_rack(&wave.pending) {
            if group.len() >= wave.group_limit {
                break;
            }
            if self.allows(host) {
                self.mark_stopped(host);
                group.push(host.id.clone());
            }
        }
        group
    }

    /// Sorts hosts by rack, lost ones first; closed and unlisted hosts are left out.
    fn by_rack(&self, hosts: &BTreeSet<HostId>) -> Vec<&'v HostView> {
        let mut views = hosts
            .iter()
            .filter_map(|host| self.view.hosts().get(host))
            .filter(|host| host.condition != HostCondition::Closed)
            .collect::<Vec<_>>();
        views.sort_by_key(|host| (host.condition == HostCondition::Up, &host.rack, &host.id));
        views
    }

    /// Returns whether a host may be stopped in addition to those already picked.
    fn allows(&self, host: &HostView) -> bool {
        if host.condition == HostCondition::Lost {
            return true;
        }
        let Some(pool) = self.view.text().pools.get(&host.pool) else {
            return false;
        };
        let up = self.up_of(&host.pool).saturating_sub(1);
        if up < pool.needed {
            return false;
        }
        let loss = self.max_domain_loss_without(host);
        let share = missing_share(pool, up.saturating_sub(loss));
        self.view
            .can_absorb_loss(self.budgets, &pool.service, share)
    }

    /// Returns the largest number of hosts that the loss of one failure domain takes from the
    /// host's pool once the host is stopped.
    fn max_domain_loss_without(&self, host: &HostView) -> usize {
        let largest = self.largest.get(&host.pool).copied().unwrap_or(0);
        let own_domain = self.domain_of(host);
        let own = self
            .domains
            .get(&(&host.pool, own_domain))
            .copied()
            .unwrap_or(0);
        if own < largest {
            return largest;
        }
        let others = self
            .domains
            .range((&host.pool, "")..)
            .take_while(|((pool, _), _)| **pool == host.pool)
            .filter(|((_, domain), _)| *domain != own_domain)
            .map(|(_, count)| *count);
        others.max().unwrap_or(0).max(own.saturating_sub(1))
    }

    /// Counts a host as stopped for the decisions that follow.
    fn mark_stopped(&mut self, host: &'v HostView) {
        if host.condition == HostCondition::Lost {
            return;
        }
        let loss = self.max_domain_loss_without(host);
        self.largest.insert(&host.pool, loss);
        if let Some(up) = self.up.get_mut(&host.pool) {
            *up = up.saturating_sub(1);
        }
        let domain = self.domain_of(host);
        if let Some(count) = self.domains.get_mut(&(&host.pool, domain)) {
            *count = count.saturating_sub(1);
        }
    }

    /// Returns what the wave waits for if no pending host can be stopped.
    fn wait_reason(&self, wave: &WaveRecord) -> String {
        let pools = wave
            .pending
            .iter()
            .filter_map(|host| self.view.hosts().get(host))
            .map(|host| &host.pool)
            .collect::<BTreeSet<_>>();
        format!("spare capacity or budget in {}", name_list(pools))
    }

    fn up_of(&self, pool: &PoolId) -> usize {
        self.up.get(pool).copied().unwrap_or(0)
    }

    fn condition(&self, host: &HostId) -> Option<HostCondition> {
        self.view.hosts().get(host).map(|view| view.condition)
    }

    /// Returns the name of the host's rack or data centre, by the failure domain of its service.
    fn domain_of<'h>(&self, host: &'h HostView) -> &'h str {
        let text = self.view.text();
        let service = text
            .pools
            .get(&host.pool)
            .and_then(|pool| text.services.get(&pool.service));
        match service.map(|service| service.failure_domain) {
            Some(FailureDomain::DataCentre) => host.data_centre.as_str(),
            _ => host.rack.as_str(),
        }
    }
}

/// Lists up to four host names and the number of the others.
fn short_host_list<'h>(hosts: impl Iterator<Item = &'h HostId>) -> String {
    const SHOWN: usize = 4;
    let hosts = hosts.collect::<Vec<_>>();
    let mut text = name_list(hosts.iter().take(SHOWN));
    if hosts.len() > SHOWN {
        text += &format!(" and {} more", hosts.len() - SHOWN);
    }
    text
}
