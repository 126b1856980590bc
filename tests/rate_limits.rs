//! Accuracy of the limits on organisations' rates, by replays of a controller and of entry hosts with
//! uneven connections.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BinaryHeap;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use zincpier::id::JobId;
use zincpier::id::OrganisationId;
use zincpier::id::ServiceId;
use zincpier::workflow::check_rate;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LimitsView;
use zincpier::workflow::OrganisationLimits;
use zincpier::workflow::OrganisationRate;
use zincpier::workflow::RateLimiter;
use zincpier::workflow::ShareWeight;
use zincpier::workflow::StepSpec;

/// The interval at which the controller measures, and entry hosts read the leader row, in ms.
const MEASURE_MS: u64 = 250;
const READ_MS: u64 = 300;

/// Time from a submission to the controller's read of it, in ms.
const FEED_MS: u64 = 80;

/// Time from a measurement to the row in the table, in ms.
const COMMIT_MS: u64 = 40;

/// The length of a surge, in ms.
const SURGE_MS: u64 = 6_000;

/// A surge in which callers come for the fourth time, in ms.
const LONG_SURGE_MS: u64 = 30_000;

/// The least number of attempts of which a share is compared.
const MIN_ATTEMPTS: u64 = 50;

/// The most attempts of a caller.
const ATTEMPTS: u32 = 4;

/// The longest time that a caller is told, in s: its turn comes then or later.
const MAX_RETRY_S: u64 = 8;

fn service() -> ServiceId {
    "grading".parse().unwrap()
}

fn spec() -> JobSpec {
    JobSpec {
        queue: "r-one".to_owned(),
        organisation: Some("north".parse().unwrap()),
        payload: String::new(),
        steps: vec![StepSpec::default()],
        schedule: None,
    }
}

/// An attempt to come: time in ms, organisation, number of the attempt, job, time that was told in s.
type NextAttempt = (u64, usize, u32, u64, u64);

/// One organisation of a replay.
struct Surge {
    id: OrganisationId,
    weight: f64,
    /// Multiple of the weight that it sends.
    factor: f64,
}

/// What became of an organisation's jobs.
#[derive(Clone, Copy, Debug, Default)]
struct Outcome {
    sent: u64,
    accepted: u64,
    /// Accepted jobs before `SETTLED_MS`.
    let_in: u64,
    /// Accepted jobs from `SETTLED_MS` on, until the end of the surge.
    settled: u64,
    /// Attempts from `SETTLED_MS` on, and the admitted ones among them, by the attempt's number less 1.
    attempts: [(u64, u64); ATTEMPTS as usize],
    /// Attempts from `SETTLED_MS` on by callers that were told their turn, and the admitted ones.
    told: (u64, u64),
}

/// Time until limits are in force, in ms.
const SETTLED_MS: u64 = 1_500;

impl Outcome {
    /// Returns the accepted rate after the limits were in force, in relation to the weight.
    fn settled_ratio(&self, weight: f64) -> f64 {
        let seconds = (SURGE_MS - SETTLED_MS) as f64 / 1_000.0;
        self.settled as f64 / seconds / weight
    }

    /// Returns the time in s for which a surge was let in as a whole, by what was accepted beyond the
    /// weight before the limits were in force.
    fn let_in_s(&self, surge: &Surge) -> f64 {
        let entitled = surge.weight * SETTLED_MS as f64 / 1_000.0;
        (self.let_in as f64 - entitled) / (surge.weight * (surge.factor - 1.0))
    }
}

/// Replays a surge of [`SURGE_MS`], see [`replay_for`].
fn replay(hosts: usize, surges: &[Surge], returns: bool, seed: u64) -> Vec<Outcome> {
    replay_for(SURGE_MS, hosts, surges, returns, seed)
}

/// Replays a surge while the pool is short. A third of the connections go to one entry host. Callers
/// come back when they were told to if `returns`.
fn replay_for(
    surge_ms: u64,
    hosts: usize,
    surges: &[Surge],
    returns: bool,
    seed: u64,
) -> Vec<Outcome> {
    let mut random = SmallRng::seed_from_u64(seed);
    let mut limiter = RateLimiter::new();
    let views: Vec<_> = (0..hosts).map(|_| LimitsView::new()).collect();
    let phases: Vec<u64> = (0..hosts)
        .map(|_| random.random_range(0..READ_MS))
        .collect();
    let mut outcomes = vec![Outcome::default(); surges.len()];
    // Rows by the time from which they can be read; submissions by the time of their read.
    let mut rows: Vec<(u64, OrganisationLimits)> = Vec::new();
    let mut read_ms: Vec<Vec<u64>> = vec![Vec::new(); surges.len()];
    let mut attempts: BinaryHeap<Reverse<NextAttempt>> = BinaryHeap::new();
    for (number, surge) in surges.iter().enumerate() {
        let mut at_ms = 0.0;
        loop {
            let lot: f64 = random.random_range(1e-9..1.0);
            at_ms += -lot.ln() * 1_000.0 / (surge.weight * surge.factor);
            if at_ms >= surge_ms as f64 {
                break;
            }
            attempts.push(Reverse((at_ms as u64, number, 1, random.random(), 0)));
        }
    }
    for now_ms in 0..surge_ms + 10_000 {
        if now_ms % MEASURE_MS == 0 {
            let rates: Vec<_> = surges
                .iter()
                .zip(&mut read_ms)
                .map(|(surge, times)| {
                    let before = times.len();
                    times.retain(|&time_ms| time_ms > now_ms);
                    OrganisationRate {
                        id: surge.id.clone(),
                        weight: ShareWeight::new(surge.weight),
                        accepted: (before - times.len()) as u64,
                    }
                })
                .collect();
            let limits = OrganisationLimits {
                short: [service()].into(),
                windows: limiter.update(&rates, true, now_ms + 1),
                ..OrganisationLimits::default()
            };
            rows.push((now_ms + COMMIT_MS, limits));
        }
        for (view, phase) in views.iter().zip(&phases) {
            if now_ms % READ_MS == *phase {
                let row = rows.iter().rev().find(|(from_ms, _)| *from_ms <= now_ms);
                if let Some((from_ms, limits)) = row {
                    view.record(limits.clone(), *from_ms);
                }
            }
        }
        while attempts
            .peek()
            .is_some_and(|Reverse(next)| next.0 <= now_ms)
        {
            let Reverse((_, number, attempt, job, told_s)) = attempts.pop().unwrap();
            let surge = &surges[number];
            let outcome = &mut outcomes[number];
            outcome.sent += u64::from(attempt == 1);
            let id: JobId = format!("{job:016x}").parse().unwrap();
            let is_first_host = random.random_range(0..3) == 0;
            let host = if is_first_host {
                0
            } else {
                random.random_range(0..hosts)
            };
            let window = views[host].window(&surge.id, &service(), now_ms);
            let refusal = window.and_then(|(window, _)| check_rate(&spec(), &id, &window));
            if (SETTLED_MS..surge_ms).contains(&now_ms) {
                let (made, admitted) = &mut outcome.attempts[attempt as usize - 1];
                *made += 1;
                *admitted += u64::from(refusal.is_none());
                if (1..MAX_RETRY_S).contains(&told_s) {
                    outcome.told.0 += 1;
                    outcome.told.1 += u64::from(refusal.is_none());
                }
            }
            match refusal {
                None => {
                    outcome.accepted += 1;
                    outcome.let_in += u64::from(now_ms < SETTLED_MS);
                    let is_settled = (SETTLED_MS..surge_ms).contains(&now_ms);
                    outcome.settled += u64::from(is_settled);
                    read_ms[number].push(now_ms + FEED_MS);
                }
                Some(refusal) if returns && attempt < ATTEMPTS => {
                    let next_ms = now_ms + refusal.retry_s * 1_000;
                    let next = (next_ms, number, attempt + 1, job, refusal.retry_s);
                    attempts.push(Reverse(next));
                }
                Some(_) => {}
            }
        }
    }
    outcomes
}

fn surges() -> Vec<Surge> {
    let cases = [
        ("one", 10.0, 1.0),
        ("five", 10.0, 5.0),
        ("thirty", 10.0, 30.0),
        ("large", 144.0, 5.0),
        ("small", 2.0, 30.0),
    ];
    cases
        .into_iter()
        .map(|(id, weight, factor)| Surge {
            id: id.parse().unwrap(),
            weight,
            factor,
        })
        .collect()
}

/// Replays over so many seeds; returns the mean and the extremes of the settled rate by organisation.
fn settled_ratios(hosts: usize, returns: bool, seeds: u64) -> BTreeMap<String, [f64; 3]> {
    let surges = surges();
    let runs: Vec<_> = (0..seeds)
        .map(|seed| replay(hosts, &surges, returns, seed))
        .collect();
    let ratios = surges.iter().enumerate().map(|(number, surge)| {
        let ratios = runs
            .iter()
            .map(|run| run[number].settled_ratio(surge.weight));
        let ratios: Vec<_> = ratios.collect();
        let mean = ratios.iter().sum::<f64>() / ratios.len() as f64;
        let min = ratios.iter().copied().fold(f64::MAX, f64::min);
        let max = ratios.iter().copied().fold(0.0, f64::max);
        (surge.id.to_string(), [mean, min, max])
    });
    let ratios = ratios.collect();
    println!("hosts={hosts} returns={returns} {ratios:.2?}");
    ratios
}

/// Guards against limits that miss the entitlement: by the unevenness of connections, by the number of
/// hosts, by the size of the surge, or because refused callers return in their turn. Callers that
/// return and ones that don't are the extremes; the limiter knows neither beforehand.
#[test]
fn accepted_rate_approaches_the_weight_on_any_number_of_hosts() {
    for hosts in [7, 37, 147] {
        for returns in [false, true] {
            let ratios = settled_ratios(hosts, returns, 10);
            for id in ["five", "thirty", "large"] {
                let [mean, min, max] = ratios[id];
                assert!((0.7..1.3).contains(&mean), "{hosts} {returns} {id} {mean}");
                assert!(min > 0.4 && max < 1.7, "{hosts} {returns} {id} {min} {max}");
            }
            // Of an organisation with two jobs a second, a single job is 11%.
            let [mean, _, max] = ratios["small"];
            assert!((0.6..1.6).contains(&mean), "{hosts} {returns} {mean}");
            assert!(max < 2.5, "{hosts} {returns} {max}");
        }
    }
}

/// Guards against windows that stay too narrow where fewer callers return than expected, so that an
/// organisation is refused what it is entitled to.
#[test]
fn organisation_whose_callers_do_not_return_is_admitted_near_its_weight() {
    for hosts in [7, 37, 147] {
        let ratios = settled_ratios(hosts, false, 40);

        for id in ["five", "thirty", "large", "small"] {
            let [mean, ..] = ratios[id];
            assert!((0.85..1.1).contains(&mean), "{hosts} {id} {mean}");
        }
    }
}

/// Guards against a surge that is let in for longer than a host takes to learn of it, on any number of
/// hosts, while the pool is short.
#[test]
fn surge_is_let_in_for_less_than_a_second_while_the_pool_is_short() {
    let surges = surges();
    for hosts in [7, 37, 147] {
        let runs: Vec<_> = (0..20)
            .map(|seed| replay(hosts, &surges, true, seed))
            .collect();
        for (number, surge) in surges.iter().enumerate().skip(1) {
            let times = runs.iter().map(|run| run[number].let_in_s(surge));
            let mean = times.clone().sum::<f64>() / runs.len() as f64;
            let longest = times.fold(0.0, f64::max);
            println!(
                "{hosts} {} let in {mean:.2} s, at most {longest:.2} s",
                surge.id
            );
            assert!(mean < 1.0, "{hosts} {} {mean}", surge.id);
        }
    }
}

/// Guards against refusals of an organisation that sends just its weight, in random intervals.
#[test]
fn organisation_that_sends_its_weight_is_not_refused() {
    let surges = surges();
    for seed in 0..30 {
        let outcome = replay(37, &surges, false, seed)[0];
        assert_eq!(outcome.accepted, outcome.sent, "seed {seed}: {outcome:?}");
    }
}

/// Guards against callers that return when they were told to and are refused again with the same
/// probability as at first, or a higher one, so that returning in time would be of no use.
#[test]
fn later_attempts_are_admitted_more_often_than_first_ones() {
    let surges = surges();
    for number in 1..surges.len() {
        let mut attempts = [(0, 0); ATTEMPTS as usize];
        for seed in 0..10 {
            let outcome = replay_for(LONG_SURGE_MS, 37, &surges, true, seed)[number];
            for (sum, run) in attempts.iter_mut().zip(outcome.attempts) {
                sum.0 += run.0;
                sum.1 += run.1;
            }
        }
        println!("{} {attempts:?}", surges[number].id);

        let (made, admitted) = attempts[0];
        for (later_made, later_admitted) in &attempts[1..] {
            assert!(*later_made >= MIN_ATTEMPTS, "{attempts:?}");
            assert!(
                later_admitted * made >= admitted * later_made,
                "{} {attempts:?}",
                surges[number].id
            );
        }
    }
}

/// Guards against a turn that comes sooner or later than callers were told, as the admitted part
/// changes, so that most of them return in vain.
#[test]
fn callers_that_return_in_their_turn_are_admitted() {
    let surges = surges();
    for hosts in [7, 37, 147] {
        let runs: Vec<_> = (0..10)
            .map(|seed| replay(hosts, &surges, true, seed))
            .collect();
        for (number, surge) in surges.iter().enumerate().skip(1) {
            let made: u64 = runs.iter().map(|run| run[number].told.0).sum();
            let admitted: u64 = runs.iter().map(|run| run[number].told.1).sum();
            let share = admitted as f64 / made as f64;
            println!("{hosts} {} {admitted} of {made}: {share:.2}", surge.id);
            assert!(share > 0.7, "{hosts} {} {share}", surge.id);
        }
    }
}
