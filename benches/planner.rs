//! Compares maintenance policies by buffer cost, roll-out time and host moves, on simulated data.
//!
//! Each policy serves the same demand with the number of hosts that it requires and the same seeded
//! failures. The size and failure rates of the reference fleet come from the users' requirements.
//! Run with `cargo bench --bench planner`.

#[path = "support/fleet.rs"]
mod fleet;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::SmallRng;
use rand::seq::IndexedRandom;
use rand::Rng;
use rand::SeedableRng;

use zincpier::id::HostId;
use zincpier::id::PoolId;
use zincpier::id::ServiceId;
use zincpier::version::ObjectiveWeights;
use zincpier::version::ServiceText;
use zincpier::wave::BudgetTracker;
use zincpier::wave::FleetView;
use zincpier::wave::HostCondition;
use zincpier::wave::HostMove;
use zincpier::wave::SparePlanner;
use zincpier::wave::StepDecision;
use zincpier::wave::WavePlanner;
use zincpier::wave::WaveRecord;
use zincpier::wave::WaveScope;

use crate::fleet::FleetDemand;

const SEEDS: [u64; 3] = [11, 12, 13];
const TICK_DURATION: Duration = Duration::from_secs(300);
const TICKS_PER_DAY: usize = 288;
/// Ticks from the planned stop of a host to its return.
const RESTART_TICKS: usize = 3;
/// Simulated days, within which every host should have restarted once.
const CYCLE_DAYS: usize = 14;
/// Ticks from the start of a host move to its end.
const MOVE_TICKS: usize = 1;
/// A host lost for fewer ticks is expected to return by itself and is not replaced.
const EXPECTED_RETURN_TICKS: usize = 2;
/// Day at whose start one rack is lost.
const RACK_LOSS_DAY: usize = 3;
/// Ticks until the hosts of the lost rack return.
const RACK_LOSS_TICKS: usize = 48;
/// Ticks until a failed host returns.
const FAILURE_TICKS: usize = 12;

/// A maintenance policy.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// The planner, with spare hosts shared by the pools.
    Shared,
    /// The planner without moves; each pool has two dedicated spare hosts.
    FixedSpare,
    /// One host at a time in the entire fleet.
    OneAtATime,
    /// All hosts reassigned to the pools, in the order of pool names, in each tick while waves run.
    FromScratch,
}

#[derive(Default)]
struct SimulationOutcome {
    hosts: usize,
    /// Mean number of hosts beyond those needed, as a share of the hosts needed.
    buffer_cost: f64,
    /// Time until every host was restarted; `None` if the simulation ended before.
    roll_out: Option<Duration>,
    /// Host moves between pools.
    moves: usize,
    /// Services whose charged unavailability exceeds their allowance.
    violations: usize,
    /// Largest charged share of a service's allowance.
    max_charged_share: f64,
    /// Longest planning time of one step of a wave.
    max_plan_time: Duration,
    /// Steps planned, including those that stop no host.
    steps: usize,
}

/// Simulation of one policy over two weeks.
struct WaveSimulation<'f> {
    text: &'f ServiceText,
    view: FleetView,
    budgets: BudgetTracker,
    policy: Policy,
    waves: Vec<WaveRecord>,
    returns_at: HashMap<HostId, usize>,
    lost_since: HashMap<HostId, usize>,
    moving: HashMap<HostId, (PoolId, usize)>,
    charged: BTreeMap<ServiceId, Duration>,
    outcome: SimulationOutcome,
}

impl<'f> WaveSimulation<'f> {
    fn new(text: &'f ServiceText, policy: Policy) -> Self {
        let view = fleet::view_of(text);
        let waves = text.data_centres.keys().map(|data_centre| {
            let scope = WaveScope::DataCentre(data_centre.clone());
            let hosts = view
                .hosts()
                .values()
                .filter(|host| host.data_centre == *data_centre);
            let hosts = hosts.map(|host| host.id.clone()).collect::<BTreeSet<_>>();
            WaveRecord::new(data_centre.as_str().parse().unwrap(), scope, hosts, 0)
        });
        Self {
            text,
            waves: waves.collect(),
            budgets: BudgetTracker::full(text),
            outcome: SimulationOutcome {
                hosts: view.hosts().len(),
                ..SimulationOutcome::default()
            },
            view,
            policy,
            returns_at: HashMap::new(),
            lost_since: HashMap::new(),
            moving: HashMap::new(),
            charged: BTreeMap::new(),
        }
    }

    fn run(mut self, seed: u64) -> SimulationOutcome {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut spare_host_ticks = 0.0;
        for tick in 0..CYCLE_DAYS * TICKS_PER_DAY {
            self.return_hosts(tick);
            self.fail(tick, &mut random);
            self.maintain(tick);
            self.charge();
            spare_host_ticks += self.spare_hosts();
            if self.outcome.roll_out.is_none() && self.is_maintained() {
                self.outcome.roll_out = Some(TICK_DURATION * tick as u32);
            }
        }
        let needed = self
            .text
            .pools
            .values()
            .map(|pool| pool.needed)
            .sum::<usize>();
        self.outcome.buffer_cost = spare_host_ticks / (needed * CYCLE_DAYS * TICKS_PER_DAY) as f64;
        for service in self.text.services.values() {
            let charged = self.charged.get(&service.id).copied().unwrap_or_default();
            let allowance = service.availability.allowance(service.window);
            self.outcome.violations += usize::from(charged > allowance);
            let share = charged.as_secs_f64() / allowance.as_secs_f64();
            self.outcome.max_charged_share = self.outcome.max_charged_share.max(share);
        }
        self.outcome
    }

    /// Reopens hosts whose restart, repair or move has ended.
    fn return_hosts(&mut self, tick: usize) {
        let returned = self.returns_at.iter().filter(|(_, at)| **at <= tick);
        for host in returned.map(|(host, _)| host.clone()).collect::<Vec<_>>() {
            self.returns_at.remove(&host);
            self.lost_since.remove(&host);
            self.view.set_condition(&host, HostCondition::Up);
            for wave in &mut self.waves {
                if wave.stopped.remove(&host) {
                    wave.done.insert(host.clone());
                    if wave.stopped.is_empty() {
                        wave.group_limit *= 2;
                    }
                }
            }
        }
        let moved = self.moving.iter().filter(|(_, (_, at))| *at <= tick);
        for host in moved.map(|(host, _)| host.clone()).collect::<Vec<_>>() {
            if let Some((pool, _)) = self.moving.remove(&host) {
                self.view.remove_arriving(&pool);
                self.view.set_pool(&host, pool);
                self.view.set_condition(&host, HostCondition::Up);
            }
        }
    }

    /// Fails single hosts at the rates of the reference fleet, and one rack once.
    fn fail(&mut self, tick: usize, random: &mut SmallRng) {
        let up = self
            .view
            .serving()
            .map(|host| host.id.clone())
            .collect::<Vec<_>>();
        let scale = up.len() as f64 / fleet::REFERENCE_HOSTS as f64;
        let mut mark_lost = |simulation: &mut Self, rate: f64, ticks: usize| {
            let mut expected = rate * scale / TICKS_PER_DAY as f64;
            while expected > 0.0 {
                if random.random_bool(expected.min(1.0)) {
                    if let Some(host) = up.choose(random) {
                        simulation.mark_lost(host, tick, ticks);
                    }
                }
                expected -= 1.0;
            }
        };
        mark_lost(self, fleet::FAILURES_PER_DAY, FAILURE_TICKS);
        mark_lost(self, fleet::RESTARTS_PER_DAY, 1);
        if tick == RACK_LOSS_DAY * TICKS_PER_DAY {
            let rack = self.text.racks.values().nth(7).unwrap();
            for host in &rack.hosts {
                self.mark_lost(host, tick, RACK_LOSS_TICKS);
            }
        }
    }

    /// Marks a host as lost from `tick` on, for `ticks` ticks.
    fn mark_lost(&mut self, host: &HostId, tick: usize, ticks: usize) {
        self.view.set_condition(host, HostCondition::Lost);
        self.lost_since.insert(host.clone(), tick);
        self.returns_at.insert(host.clone(), tick + ticks);
    }

    fn maintain(&mut self, tick: usize) {
        if self.policy == Policy::FromScratch && !self.is_maintained() {
            self.reassign_hosts();
        }
        if self.policy == Policy::Shared {
            self.repair(tick);
        }
        for index in 0..self.waves.len() {
            if self.policy == Policy::OneAtATime {
                let busy = self.waves.iter().any(|wave| !wave.stopped.is_empty());
                if busy {
                    return;
                }
                self.waves[index].group_limit = 1;
            }
            self.step(index, tick);
        }
    }

    fn step(&mut self, index: usize, tick: usize) {
        let wave = &self.waves[index];
        if wave.pending.is_empty() && wave.stopped.is_empty() {
            return;
        }
        let started = Instant::now();
        let mut planner = WavePlanner::new(&self.view, &self.budgets);
        let host_moves = planner.next_moves(&self.waves[index]);
        let decision = planner.next_step(&self.waves[index]);
        self.outcome.max_plan_time = self.outcome.max_plan_time.max(started.elapsed());
        self.outcome.steps += 1;
        match decision {
            StepDecision::Stop(group) => {
                for host in group {
                    self.waves[index].pending.remove(&host);
                    self.waves[index].stopped.insert(host.clone());
                    self.view.set_condition(&host, HostCondition::Closed);
                    self.returns_at.insert(host, tick + RESTART_TICKS);
                }
            }
            // An operator is assumed to resume a held wave at once; the cause ends by itself.
            StepDecision::Wait(_) | StepDecision::Hold(_) | StepDecision::Finished => {}
        }
        if self.policy == Policy::Shared {
            self.start_moves(host_moves, tick);
        }
    }

    fn repair(&mut self, tick: usize) {
        let mut expected = self.view.clone();
        for (host, since) in &self.lost_since {
            if tick - since < EXPECTED_RETURN_TICKS {
                expected.add_arriving(self.view.hosts()[host].pool.clone());
            }
        }
        for host in self.waves.iter().flat_map(|wave| &wave.stopped) {
            expected.add_arriving(self.view.hosts()[host].pool.clone());
        }
        let mut planner = SparePlanner::new(&expected, &self.budgets);
        let mut host_moves = planner.repairs();
        if self.is_maintained() {
            host_moves.extend(planner.restores());
        }
        self.start_moves(host_moves, tick);
    }

    fn start_moves(&mut self, host_moves: Vec<HostMove>, tick: usize) {
        for host_move in host_moves {
            self.outcome.moves += 1;
            self.view
                .set_condition(&host_move.host, HostCondition::Closed);
            self.view.add_arriving(host_move.to.clone());
            self.moving
                .insert(host_move.host, (host_move.to, tick + MOVE_TICKS));
        }
    }

    /// Reassigns the serving hosts of each data centre to its pools in the order of their names.
    fn reassign_hosts(&mut self) {
        for data_centre in self.text.data_centres.keys() {
            let hosts = self
                .view
                .serving()
                .filter(|host| host.data_centre == *data_centre);
            let mut hosts = hosts
                .map(|host| host.id.clone())
                .collect::<Vec<_>>()
                .into_iter();
            let pools = self
                .text
                .pools
                .values()
                .filter(|pool| fleet::data_centre_of(self.text, pool) == Some(data_centre));
            let pools = pools.collect::<Vec<_>>();
            let needs = pools.iter().map(|pool| (pool.needed, &pool.id));
            let spares = pools.iter().map(|pool| (1, &pool.id));
            for (count, pool) in needs.chain(spares) {
                for host in hosts.by_ref().take(count) {
                    if self.view.hosts()[&host].pool != *pool {
                        self.outcome.moves += 1;
                        self.view.set_pool(&host, pool.clone());
                    }
                }
            }
        }
    }

    /// Charges the budget of each service for the capacity that is missing now.
    fn charge(&mut self) {
        for (service, shortfall) in self.view.shortfalls() {
            let lost = TICK_DURATION.mul_f64(shortfall);
            self.budgets.charge(&service, lost);
            *self.charged.entry(service).or_default() += lost;
        }
    }

    fn spare_hosts(&self) -> f64 {
        let needed = self
            .text
            .pools
            .values()
            .map(|pool| pool.needed)
            .sum::<usize>();
        self.view.hosts().len().saturating_sub(needed) as f64
    }

    fn is_maintained(&self) -> bool {
        self.waves
            .iter()
            .all(|wave| wave.pending.is_empty() && wave.stopped.is_empty())
    }
}

fn print_outcome(name: &str, outcome: &SimulationOutcome) {
    let roll_out = outcome
        .roll_out
        .map_or("not in 14 days".to_owned(), |time| {
            format!("{:.1} h", time.as_secs_f64() / 3_600.0)
        });
    println!(
        "{name:<26} {:>5} {:>8.1}% {:>14} {:>7} {:>10} {:>8.0}% {:>9.2} ms",
        outcome.hosts,
        outcome.buffer_cost * 100.0,
        roll_out,
        outcome.moves,
        outcome.violations,
        outcome.max_charged_share * 100.0,
        outcome.max_plan_time.as_secs_f64() * 1_000.0
    );
}

fn print_header(title: &str) {
    println!("{title}");
    println!(
        "{:<26} {:>5} {:>9} {:>14} {:>7} {:>10} {:>9} {:>12}",
        "policy", "hosts", "buffer", "roll-out", "moves", "violations", "max spent", "longest step"
    );
}

/// Runs every policy on a generated fleet of the reference size.
fn run_generated(seed: u64) {
    print_header(&format!("generated, two weeks, seed {seed}"));
    let demand = FleetDemand::reference();
    let rates = fleet::reference_rates();
    for (name, weights) in [
        ("shared, Granite Bay", fleet::granite_bay()),
        ("shared, Guild", fleet::guild()),
    ] {
        let text = demand.with_shared_spare(&rates, &weights);
        print_outcome(name, &WaveSimulation::new(&text, Policy::Shared).run(seed));
    }
    let fixed = demand.with_fixed_spare(2);
    let shared = demand.with_shared_spare(&rates, &ObjectiveWeights::default());
    for (name, text, policy) in [
        ("fixed spare in each pool", &fixed, Policy::FixedSpare),
        ("shared, equal weights", &shared, Policy::Shared),
        ("one host at a time", &fixed, Policy::OneAtATime),
        ("assignment from scratch", &shared, Policy::FromScratch),
    ] {
        print_outcome(name, &WaveSimulation::new(text, policy).run(seed));
    }
}

/// Runs every policy on the hosts that an example lists.
fn run_example(name: &str, source: &str, seed: u64) {
    print_header(&format!("{name}, two weeks, seed {seed}"));
    let text = ServiceText::parse(name, source).unwrap();
    for (name, policy) in [
        ("shared", Policy::Shared),
        ("fixed spare in each pool", Policy::FixedSpare),
        ("one host at a time", Policy::OneAtATime),
        ("assignment from scratch", Policy::FromScratch),
    ] {
        print_outcome(name, &WaveSimulation::new(&text, policy).run(seed));
    }
}

fn main() {
    for seed in SEEDS {
        run_generated(seed);
    }
    for seed in SEEDS {
        let granite_bay = include_str!("../examples/granite-bay.toml");
        run_example("examples/granite-bay.toml", granite_bay, seed);
        run_example(
            "examples/guild.toml",
            include_str!("../examples/guild.toml"),
            seed,
        );
    }
}
