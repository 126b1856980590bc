//! Chooses which part of an organisation's submissions is admitted while its pools are short.
//!
//! The controller sees only what was accepted. What an organisation offers follows from that and from
//! the part that was admitted at that time, which is known with a delay. Refused callers return when
//! it is their turn, so that a window also admits those of its positions' jobs that were refused
//! since the last turn of these positions.

use std::collections::BTreeMap;
use std::collections::HashMap;
use std::collections::VecDeque;

use crate::id::OrganisationId;
use crate::workflow::admission_window::MAX_RETRY_S;
use crate::workflow::admission_window::TURN_S;
use crate::workflow::AdmissionWindow;
use crate::workflow::OrganisationLimits;
use crate::workflow::ShareWeight;

/// Time from a new window to the first submissions that the controller reads under it, in ms: a
/// commit, half of the interval at which entry hosts read the leader row, the storage of a submission
/// and the feed.
const EFFECT_DELAY_MS: u64 = 400;

/// Time after the first window for which nothing is measured, in ms. Entry hosts read it at different
/// times, and a host that has not yet read it admits up to thirty times as much as the others.
const SETTLING_MS: u64 = 600;

/// Time over which the offered rate is averaged, in s. A surge lasts a few seconds.
const AVERAGE_S: f64 = 1.0;

/// Time over which a deviation from the entitlement is made up for, in s.
const CORRECTION_S: f64 = 1.5;

/// The largest excess or shortfall that is made up for, in s of the entitlement.
const MAX_EXCESS_S: f64 = 1.0;

/// Time of the entitlement that an organisation may exceed before it is limited, in s.
const TOLERANCE_S: f64 = 1.0;

/// Standard deviations of the jobs in one second that are tolerated as well. An organisation that
/// sends just its weight is then not limited for the randomness of its arrivals.
const TOLERANCE_DEVIATIONS: f64 = 3.0;

/// The rate above the weight that is not counted as excess while nothing is limited, in relation to
/// the weight. Without it, random arrivals at just the weight would exceed any tolerance in the end.
const TOLERANCE_RATIO: f64 = 0.1;

/// The part of the submissions from which a limit is not worth stating, in percent.
const MAX_PERCENT: f64 = 95.0;

/// The advance of a window in a whole cycle, in hundredths of a percent.
const CYCLE_ADVANCE: u32 = 10_000;

/// The smallest admitted part, in percent. With 1, callers that return after a surge of thirty times
/// the weight were admitted at one and a half times the weight in replays.
const MIN_PERCENT: f64 = 0.02;

/// The largest factor by which a window is widened in a second, since an estimate from few jobs may
/// be far too low.
const MAX_GROWTH: f64 = 1.5;

/// The part of the way to a new pace that is gone in a second. Turns come when they were told only if
/// the pace changes slowly; the width makes up for the rest.
const PACE_GAIN: f64 = 0.25;

/// The part of the refused callers that is at first expected to return in their turn, and the gain
/// with which it follows what is accepted. Ignoring returns admitted twice the weight in replays.
const INITIAL_RETURNING: f64 = 0.7;
const RETURNING_GAIN: f64 = 1.0;

/// The interval at which windows advance, in ms.
const WINDOW_MS: u64 = 1_000;

/// What one organisation submitted since the last update.
#[derive(Clone, Debug, PartialEq)]
pub struct OrganisationRate {
    /// The organisation.
    pub id: OrganisationId,
    /// Its weight, which is the rate that it is entitled to.
    pub weight: ShareWeight,
    /// The accepted jobs for services whose pools are short.
    pub accepted: u64,
}

/// The state of one organisation while a pool is short.
#[derive(Debug, Default)]
struct LimitState {
    /// Sum of the accepted jobs, weighted by age.
    accepted: f64,
    /// The time in s whose submissions they were, weighted by age.
    admitted_s: f64,
    /// Accepted jobs beyond the entitlement.
    excess: f64,
    window: Option<AdmissionWindow>,
    /// When the window last advanced, in ms.
    advanced_ms: u64,
    /// The time from which submissions under a window are measured, in ms.
    settled_ms: u64,
    /// The windows that were published lately, each with the time since when, in ms, and the seconds
    /// of submissions that it admits in a second.
    published: VecDeque<(u64, f64)>,
    /// The windows of the present cycle: the time at which each was published, in ms, and its advance.
    cycle: VecDeque<(u64, u16)>,
    /// The part of the refused callers that return in their turn.
    returning: f64,
}

/// The limits on the rates of all organisations, in one term of the controller.
#[derive(Debug, Default)]
pub struct RateLimiter {
    states: HashMap<OrganisationId, LimitState>,
    updated_ms: Option<u64>,
}

impl RateLimiter {
    /// Creates a limiter that has measured nothing and limits nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the windows to publish. `rates` are all configured organisations, with what they
    /// submitted since the last update; others are forgotten. Without a shortage nothing is limited.
    pub fn update(
        &mut self,
        rates: &[OrganisationRate],
        is_short: bool,
        now_ms: u64,
    ) -> BTreeMap<OrganisationId, AdmissionWindow> {
        let last_ms = self.updated_ms.replace(now_ms);
        if !is_short {
            self.states.clear();
            return BTreeMap::new();
        }
        // The first update has no start of its interval.
        let Some(last_ms) = last_ms.filter(|&last_ms| last_ms < now_ms) else {
            return BTreeMap::new();
        };
        let mut states = std::mem::take(&mut self.states);
        for rate in rates {
            let known = states.remove(&rate.id);
            if known.is_none() && rate.accepted == 0 {
                continue;
            }
            let mut state = known.unwrap_or_default();
            state.update(rate, last_ms, now_ms);
            if !state.is_idle() {
                self.states.insert(rate.id.clone(), state);
            }
        }
        let states = self.states.iter();
        let mut windows: Vec<_> = states
            .filter_map(|(id, state)| Some((id, state.window?)))
            .collect();
        // The narrowest windows refuse most.
        windows.sort_by_key(|(id, window)| (window.width, *id));
        let windows = windows.into_iter().take(OrganisationLimits::MAX_WINDOWS);
        windows.map(|(id, window)| (id.clone(), window)).collect()
    }
}

impl LimitState {
    fn update(&mut self, rate: &OrganisationRate, last_ms: u64, now_ms: u64) {
        let elapsed_s = (now_ms - last_ms) as f64 / 1_000.0;
        let weight = rate.weight.jobs_per_s();
        let accepted = rate.accepted as f64;
        let middle_ms = now_ms - (now_ms - last_ms) / 2;
        let is_settled = last_ms >= self.settled_ms;
        if is_settled {
            let decay = (-elapsed_s / AVERAGE_S).exp();
            self.accepted = self.accepted * decay + accepted;
            self.admitted_s = self.admitted_s * decay + elapsed_s * self.admitted_at(middle_ms);
        }
        let offered = self.accepted / self.admitted_s;
        match self.window {
            None => {
                let entitled = weight * (1.0 + TOLERANCE_RATIO) * elapsed_s;
                self.excess = (self.excess + accepted - entitled).max(0.0);
                let tolerated = weight * TOLERANCE_S + TOLERANCE_DEVIATIONS * weight.sqrt();
                if self.excess <= tolerated.max(1.0) {
                    return;
                }
                // What was accepted so far found room.
                self.excess = 0.0;
                let percent = 100.0 * weight / offered;
                if percent < MAX_PERCENT {
                    self.returning = INITIAL_RETURNING;
                    self.settled_ms = now_ms + SETTLING_MS;
                    let first = AdmissionWindow {
                        width: to_width(percent),
                        first: 0,
                        pace: to_width(self.wanted_pace(percent, 0.0)),
                    };
                    self.publish(first, first.width, now_ms);
                }
            }
            Some(window) => {
                if is_settled {
                    let limit = (weight * MAX_EXCESS_S).max(1.0);
                    let excess = accepted - weight * elapsed_s;
                    self.excess = (self.excess + excess).clamp(-limit, limit);
                    let deviation = excess / (weight * elapsed_s).max(1.0);
                    self.returning += RETURNING_GAIN * elapsed_s * deviation;
                    self.returning = self.returning.clamp(0.0, 1.0);
                }
                if now_ms < self.advanced_ms + WINDOW_MS {
                    return;
                }
                if 100.0 * weight / offered >= MAX_PERCENT {
                    *self = Self::default();
                    return;
                }
                let target = weight - self.excess / CORRECTION_S;
                let age_s = self.turn_age_s(now_ms);
                let wanted_pace = self.wanted_pace(100.0 * target / offered, age_s);
                let old_pace = f64::from(window.pace) / 100.0;
                let pace = old_pace * (wanted_pace / old_pace).powf(PACE_GAIN);
                let returns_percent = pace * self.returning * age_s;
                let percent = 100.0 * target / offered - returns_percent;
                let min_percent = pace * f64::from(TURN_S);
                let max_percent = (window.percent() * MAX_GROWTH).min(MAX_PERCENT);
                let width = to_width(percent.max(min_percent).min(max_percent));
                let next = window.next(width, to_width(pace));
                self.publish(next, window.pace, now_ms);
            }
        }
    }

    /// Returns the pace in percent per second at which new jobs, for the shortest turn, and returning
    /// ones are as many as `percent` of the submissions. Returns are planned for the longest time that
    /// callers are told, so that the pace doesn't fall while the first ones wait.
    fn wanted_pace(&self, percent: f64, age_s: f64) -> f64 {
        let returns_s = self.returning * age_s.max(MAX_RETRY_S as f64);
        percent / (f64::from(TURN_S) + returns_s)
    }

    fn publish(&mut self, window: AdmissionWindow, advance: u16, now_ms: u64) {
        // Windows advance at a constant phase, unless an update was missed.
        let due_ms = self.advanced_ms + WINDOW_MS;
        let is_regular = now_ms < due_ms + WINDOW_MS / 2;
        self.advanced_ms = if is_regular { due_ms } else { now_ms };
        let returns_s = self.returning * self.turn_age_s(now_ms);
        let returns_percent = f64::from(window.pace) / 100.0 * returns_s;
        let admitted = (window.percent() + returns_percent) / 100.0;
        self.published.push_back((now_ms, admitted));
        self.cycle.push_back((now_ms, advance));
        self.window = Some(window);
    }

    /// Returns the time in s since the next window's positions had their last turn, or since the
    /// limit came into force, and forgets the windows before that turn.
    fn turn_age_s(&mut self, now_ms: u64) -> f64 {
        let advances = self.cycle.iter().map(|(_, advance)| u32::from(*advance));
        let mut advance: u32 = advances.sum();
        while let Some(&(_, first)) = self.cycle.front() {
            if advance - u32::from(first) < CYCLE_ADVANCE {
                break;
            }
            advance -= u32::from(first);
            self.cycle.pop_front();
        }
        let turn = self.cycle.front();
        turn.map_or(0.0, |(turn_ms, _)| (now_ms - turn_ms) as f64 / 1_000.0)
    }

    /// Returns the seconds of submissions that were admitted in a second, among those read at
    /// `read_ms`, and forgets the windows before that: 1 without a window.
    fn admitted_at(&mut self, read_ms: u64) -> f64 {
        let decided_ms = read_ms.saturating_sub(EFFECT_DELAY_MS);
        while self
            .published
            .get(1)
            .is_some_and(|(since_ms, _)| *since_ms <= decided_ms)
        {
            self.published.pop_front();
        }
        let in_force = self.published.front();
        in_force.map_or(1.0, |(_, admitted)| *admitted)
    }

    /// Returns whether nothing is limited or about to be.
    fn is_idle(&self) -> bool {
        self.window.is_none() && self.excess <= 0.0
    }
}

/// Converts percent to hundredths of a percent.
fn to_width(percent: f64) -> u16 {
    (percent.clamp(MIN_PERCENT, 100.0) * 100.0).round() as u16
}
