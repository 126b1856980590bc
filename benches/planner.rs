//! The three measures of maintenance, over data: buffer cost, roll-out time, moves.
//!
//! Each policy maintains the same need on the hosts that it asks for, with the
//! same seeded failures. Run with `cargo bench --bench planner`.

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
use zincpier::wave::BudgetBook;
use zincpier::wave::FleetView;
use zincpier::wave::HostCondition;
use zincpier::wave::HostMove;
use zincpier::wave::SparePlanner;
use zincpier::wave::StepDecision;
use zincpier::wave::WavePlanner;
use zincpier::wave::WaveRecord;
use zincpier::wave::WaveScope;

use crate::fleet::FleetNeed;

const SEEDS: [u64; 3] = [11, 12, 13];
const SLOT: Duration = Duration::from_secs(300);
const SLOTS_PER_DAY: usize = 288;
const STEP_SLOTS: usize = 3;
const CYCLE_DAYS: usize = 14;
const MOVE_SLOTS: usize = 1;
const EXPECTED_BACK_SLOTS: usize = 2;
const RACK_LOSS_DAY: usize = 3;
const RACK_LOSS_SLOTS: usize = 48;
const FAILURE_SLOTS: usize = 12;

/// How a fleet is maintained.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// The planner, with spare hosts shared between pools.
    Shared,
    /// The planner without moves, each pool with two spare hosts of its own.
    FixedSpare,
    /// One host at a time in the whole fleet.
    OneAtATime,
    /// Pools filled anew in the order of their names at each change.
    FromScratch,
}

#[derive(Default)]
struct Outcome {
    hosts: usize,
    buffer_cost: f64,
    roll_out: Option<Duration>,
    moves: usize,
    violations: usize,
    charged_most: f64,
    step_longest: Duration,
    steps: usize,
}

/// One run of a policy over two weeks.
struct Run<'f> {
    text: &'f ServiceText,
    view: FleetView,
    book: BudgetBook,
    policy: Policy,
    waves: Vec<WaveRecord>,
    back_at: HashMap<HostId, usize>,
    lost_since: HashMap<HostId, usize>,
    moving: HashMap<HostId, (PoolId, usize)>,
    charged: BTreeMap<ServiceId, Duration>,
    outcome: Outcome,
}

impl<'f> Run<'f> {
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
            book: BudgetBook::full(text),
            outcome: Outcome {
                hosts: view.hosts().len(),
                ..Outcome::default()
            },
            view,
            policy,
            back_at: HashMap::new(),
            lost_since: HashMap::new(),
            moving: HashMap::new(),
            charged: BTreeMap::new(),
        }
    }

    fn run(mut self, seed: u64) -> Outcome {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut spare = 0.0;
        for slot in 0..CYCLE_DAYS * SLOTS_PER_DAY {
            self.come_back(slot);
            self.fail(slot, &mut random);
            self.maintain(slot);
            self.charge();
            spare += self.spare_hosts();
            if self.outcome.roll_out.is_none() && self.is_maintained() {
                self.outcome.roll_out = Some(SLOT * slot as u32);
            }
        }
        let needed = self
            .text
            .pools
            .values()
            .map(|pool| pool.needed)
            .sum::<usize>();
        self.outcome.buffer_cost = spare / (needed * CYCLE_DAYS * SLOTS_PER_DAY) as f64;
        for service in self.text.services.values() {
            let charged = self.charged.get(&service.id).copied().unwrap_or_default();
            let allowance = service.availability.allowance(service.window);
            self.outcome.violations += usize::from(charged > allowance);
            let share = charged.as_secs_f64() / allowance.as_secs_f64();
            self.outcome.charged_most = self.outcome.charged_most.max(share);
        }
        self.outcome
    }

    /// Opens hosts whose restart, repair or move is over.
    fn come_back(&mut self, slot: usize) {
        let back = self.back_at.iter().filter(|(_, at)| **at <= slot);
        for host in back.map(|(host, _)| host.clone()).collect::<Vec<_>>() {
            self.back_at.remove(&host);
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
        let moved = self.moving.iter().filter(|(_, (_, at))| *at <= slot);
        for host in moved.map(|(host, _)| host.clone()).collect::<Vec<_>>() {
            if let Some((pool, _)) = self.moving.remove(&host) {
                self.view.remove_arriving(&pool);
                self.view.set_pool(&host, pool);
                self.view.set_condition(&host, HostCondition::Up);
            }
        }
    }

    /// Loses single hosts at the letter's rates, and once a rack.
    fn fail(&mut self, slot: usize, random: &mut SmallRng) {
        let up = self
            .view
            .serving()
            .map(|host| host.id.clone())
            .collect::<Vec<_>>();
        let scale = up.len() as f64 / fleet::LETTER_WORKERS as f64;
        let mut lose = |run: &mut Self, rate: f64, slots: usize| {
            let mut expected = rate * scale / SLOTS_PER_DAY as f64;
            while expected > 0.0 {
                if random.random_bool(expected.min(1.0)) {
                    if let Some(host) = up.choose(random) {
                        run.lose(host, slot, slots);
                    }
                }
                expected -= 1.0;
            }
        };
        lose(self, fleet::FAILURES_PER_DAY, FAILURE_SLOTS);
        lose(self, fleet::RESTARTS_PER_DAY, 1);
        if slot == RACK_LOSS_DAY * SLOTS_PER_DAY {
            let rack = self.text.racks.values().nth(7).unwrap();
            for host in &rack.hosts {
                self.lose(host, slot, RACK_LOSS_SLOTS);
            }
        }
    }

    fn lose(&mut self, host: &HostId, slot: usize, slots: usize) {
        self.view.set_condition(host, HostCondition::Lost);
        self.lost_since.insert(host.clone(), slot);
        self.back_at.insert(host.clone(), slot + slots);
    }

    fn maintain(&mut self, slot: usize) {
        if self.policy == Policy::FromScratch && !self.is_maintained() {
            self.assign_anew();
        }
        if self.policy == Policy::Shared {
            self.repair(slot);
        }
        for index in 0..self.waves.len() {
            if self.policy == Policy::OneAtATime {
                let busy = self.waves.iter().any(|wave| !wave.stopped.is_empty());
                if busy {
                    return;
                }
                self.waves[index].group_limit = 1;
            }
            self.step(index, slot);
        }
    }

    fn step(&mut self, index: usize, slot: usize) {
        let wave = &self.waves[index];
        if wave.pending.is_empty() && wave.stopped.is_empty() {
            return;
        }
        let started = Instant::now();
        let mut planner = WavePlanner::new(&self.view, &self.book);
        let host_moves = planner.next_moves(&self.waves[index]);
        let decision = planner.next_step(&self.waves[index]);
        self.outcome.step_longest = self.outcome.step_longest.max(started.elapsed());
        self.outcome.steps += 1;
        match decision {
            StepDecision::Stop(group) => {
                for host in group {
                    self.waves[index].pending.remove(&host);
                    self.waves[index].stopped.insert(host.clone());
                    self.view.set_condition(&host, HostCondition::Closed);
                    self.back_at.insert(host, slot + STEP_SLOTS);
                }
            }
            // An operator resumes a held wave at once; what holds it is over by itself.
            StepDecision::Wait(_) | StepDecision::Hold(_) | StepDecision::Finished => {}
        }
        if self.policy == Policy::Shared {
            self.begin_moves(host_moves, slot);
        }
    }

    fn repair(&mut self, slot: usize) {
        let mut expected = self.view.clone();
        for (host, since) in &self.lost_since {
            if slot - since < EXPECTED_BACK_SLOTS {
                expected.add_arriving(self.view.hosts()[host].pool.clone());
            }
        }
        for host in self.waves.iter().flat_map(|wave| &wave.stopped) {
            expected.add_arriving(self.view.hosts()[host].pool.clone());
        }
        let mut planner = SparePlanner::new(&expected, &self.book);
        let mut host_moves = planner.repairs();
        if self.is_maintained() {
            host_moves.extend(planner.restores());
        }
        self.begin_moves(host_moves, slot);
    }

    fn begin_moves(&mut self, host_moves: Vec<HostMove>, slot: usize) {
        for host_move in host_moves {
            self.outcome.moves += 1;
            self.view
                .set_condition(&host_move.host, HostCondition::Closed);
            self.view.add_arriving(host_move.to.clone());
            self.moving
                .insert(host_move.host, (host_move.to, slot + MOVE_SLOTS));
        }
    }

    /// Fills the pools of each data centre in the order of names with the serving hosts.
    fn assign_anew(&mut self) {
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

    /// Charges what is missing now to every service that misses it.
    fn charge(&mut self) {
        for (service, shortfall) in self.view.shortfalls() {
            let lost = SLOT.mul_f64(shortfall);
            self.book.charge(&service, lost);
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

fn print(name: &str, outcome: &Outcome) {
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
        outcome.charged_most * 100.0,
        outcome.step_longest.as_secs_f64() * 1_000.0
    );
}

fn head(title: &str) {
    println!("{title}");
    println!(
        "{:<26} {:>5} {:>9} {:>14} {:>7} {:>10} {:>9} {:>12}",
        "policy", "hosts", "buffer", "roll-out", "moves", "violations", "most used", "longest step"
    );
}

/// Every policy over a generated fleet of the letter's size.
fn generated(seed: u64) {
    head(&format!("generated, two weeks, seed {seed}"));
    let need = FleetNeed::letter();
    let rates = fleet::letter_rates();
    for (name, weights) in [
        ("shared, Granite Bay", fleet::granite_bay()),
        ("shared, Guild", fleet::guild()),
    ] {
        let text = need.with_shared_spare(&rates, &weights);
        print(name, &Run::new(&text, Policy::Shared).run(seed));
    }
    let fixed = need.with_fixed_spare(2);
    let shared = need.with_shared_spare(&rates, &ObjectiveWeights::default());
    for (name, text, policy) in [
        ("fixed spare in each pool", &fixed, Policy::FixedSpare),
        ("shared, equal weights", &shared, Policy::Shared),
        ("one host at a time", &fixed, Policy::OneAtATime),
        ("assignment from scratch", &shared, Policy::FromScratch),
    ] {
        print(name, &Run::new(text, policy).run(seed));
    }
}

/// The policies over the hosts that an example lists.
fn example(name: &str, source: &str, seed: u64) {
    head(&format!("{name}, two weeks, seed {seed}"));
    let text = ServiceText::parse(name, source).unwrap();
    for (name, policy) in [
        ("shared", Policy::Shared),
        ("fixed spare in each pool", Policy::FixedSpare),
        ("one host at a time", Policy::OneAtATime),
        ("assignment from scratch", Policy::FromScratch),
    ] {
        print(name, &Run::new(&text, policy).run(seed));
    }
}

fn main() {
    for seed in SEEDS {
        generated(seed);
    }
    for seed in SEEDS {
        let granite_bay = include_str!("../examples/granite-bay.toml");
        example("examples/granite-bay.toml", granite_bay, seed);
        example(
            "examples/guild.toml",
            include_str!("../examples/guild.toml"),
            seed,
        );
    }
}
