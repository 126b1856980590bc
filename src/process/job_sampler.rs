//! Bounds the log lines about jobs: of a job, all lines are kept, or none.
//!
//! The load that it answers: peaks with several times as many lines as can be written. A limit on each
//! kind of line alone would leave no job with all of its lines.

use std::hash::Hash;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

/// Lines about jobs per second, of all kinds together. Jobs write about 500 on the days of highest load of
/// a fleet that is not short of processor time.
const LINES_PER_SECOND: u64 = 1_000;

/// The cost of a line, in the unit of the budget: thousandths of a line.
const LINE_COST: u64 = 1_000;

/// The limit on the unused budget: what two seconds add.
const MAX_BUDGET: u64 = 2 * LINES_PER_SECOND * LINE_COST;

/// The limit on the number of times that the rate is halved.
const MAX_HALVINGS: u32 = 9;

/// Min time between halvings while the budget is used up, in ms.
const HALVING_INTERVAL_MS: u64 = 100;

/// Time for which lines are counted before the rate is doubled, in ms.
const RAISE_INTERVAL_MS: u64 = 2_000;

/// The part of the budget that the lines at a doubled rate may take, in percent.
const RAISE_PERCENT: u64 = 75;

/// A change of the rate.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SamplingChange {
    /// Jobs of a thousand whose lines are kept from now on.
    pub kept_per_mille: u64,
    /// Lines that were dropped since the change before.
    pub dropped: u64,
}

/// Chooses the jobs whose lines are written.
///
/// A job is in the sample by a hash of its id alone, so those kept at a rate are kept at any higher one,
/// and all hosts agree about them.
#[derive(Debug)]
pub struct JobSampler {
    halvings: u32,
    budget: u64,
    /// The budget below which the rate is halved next.
    halving_budget: u64,
    refilled_ms: u64,
    /// Since when `kept` counts, in ms.
    counted_ms: u64,
    kept: u64,
    dropped: u64,
    has_changed: bool,
}

impl Default for JobSampler {
    fn default() -> Self {
        Self::new()
    }
}

impl JobSampler {
    /// Creates a sampler that keeps all jobs.
    pub fn new() -> Self {
        Self {
            halvings: 0,
            budget: MAX_BUDGET,
            halving_budget: MAX_BUDGET / 2,
            refilled_ms: 0,
            counted_ms: 0,
            kept: 0,
            dropped: 0,
            has_changed: false,
        }
    }

    /// Counts a line about `job` and returns whether it is written; `now_ms` is the time on a monotonic
    /// clock.
    pub fn check(&mut self, job: &str, now_ms: u64) -> bool {
        self.refill(now_ms);
        self.raise_rate(now_ms);
        if !is_in_sample(job, self.halvings) {
            self.dropped += 1;
            return false;
        }
        if self.budget < LINE_COST {
            // A few jobs of the sample write more than the budget.
            self.dropped += 1;
            if now_ms >= self.counted_ms + HALVING_INTERVAL_MS {
                self.halve_rate(now_ms);
            }
            return false;
        }
        self.budget -= LINE_COST;
        self.kept += 1;
        if self.budget < self.halving_budget {
            self.halve_rate(now_ms);
        }
        true
    }

    /// Returns the change of the rate since the last call, if any.
    pub fn take_change(&mut self) -> Option<SamplingChange> {
        std::mem::take(&mut self.has_changed).then(|| SamplingChange {
            kept_per_mille: kept_per_mille(self.halvings),
            dropped: std::mem::take(&mut self.dropped),
        })
    }

    /// Returns whether the lines about `job` are kept at a rate that a [`SamplingChange`] stated.
    pub fn is_kept_at(job: &str, rate: u64) -> bool {
        let halvings = (0..=MAX_HALVINGS).find(|halvings| kept_per_mille(*halvings) <= rate);
        is_in_sample(job, halvings.unwrap_or(MAX_HALVINGS))
    }

    fn refill(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.refilled_ms);
        self.refilled_ms = self.refilled_ms.max(now_ms);
        let added = elapsed_ms.saturating_mul(LINES_PER_SECOND * LINE_COST / 1_000);
        self.budget = self.budget.saturating_add(added).min(MAX_BUDGET);
        if self.budget >= MAX_BUDGET / 4 * 3 {
            self.halving_budget = MAX_BUDGET / 2;
        }
    }

    fn halve_rate(&mut self, now_ms: u64) {
        // What is left has to last until the lower rate takes effect.
        self.halving_budget = self.budget / 2;
        if self.halvings < MAX_HALVINGS {
            self.set_halvings(self.halvings + 1, now_ms);
        }
    }

    /// Doubles the rate, once for each interval that has passed, as far as the lines that were kept lately
    /// leave room for it.
    fn raise_rate(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.counted_ms);
        if elapsed_ms < RAISE_INTERVAL_MS {
            return;
        }
        let room = elapsed_ms.saturating_mul(LINES_PER_SECOND * RAISE_PERCENT / 100) / 1_000;
        let max_raises = (elapsed_ms / RAISE_INTERVAL_MS).min(u64::from(self.halvings)) as u32;
        let fitting = (1..=max_raises).take_while(|raises| self.kept << raises <= room);
        let raises = fitting.last().unwrap_or(0);
        self.set_halvings(self.halvings - raises, now_ms);
    }

    /// Sets the rate and counts the kept lines anew.
    fn set_halvings(&mut self, halvings: u32, now_ms: u64) {
        self.has_changed |= halvings != self.halvings;
        self.halvings = halvings;
        self.counted_ms = now_ms;
        self.kept = 0;
    }
}

fn kept_per_mille(halvings: u32) -> u64 {
    1_000 >> halvings
}

/// Returns whether a job is kept after so many halvings of the rate: the lowest bits of its hash are 0.
fn is_in_sample(job: &str, halvings: u32) -> bool {
    if halvings == 0 {
        return true;
    }
    let mut hasher = SipHasher13::new();
    job.hash(&mut hasher);
    hasher.finish().trailing_zeros() >= halvings
}
