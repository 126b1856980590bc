//! The demand of each pool, now and by the time that a moved host serves it.
//!
//! Load: queues rise and fall by turns; each asks several times the room of its pool for
//! some seconds and hardly anything in between. A host takes 1.5 s to change its pool and
//! half a second to be seen there, so that the plan has to follow the slope of a rise.

use std::collections::BTreeMap;

use crate::id::ServiceId;

/// The shorter time over which arrivals are averaged, in ms: some jobs of most queues.
const FAST_MS: f64 = 500.0;

/// The longer time over which arrivals are averaged, in ms; a rise takes two to four seconds.
const SLOW_MS: f64 = 1_500.0;

/// How far ahead a rise is followed, in ms: a move, the look before and the listing after it.
const AHEAD_MS: f64 = 2_200.0;

/// The share of the highest peak of all pools above which a pool's turn has begun.
const RISE_SHARE: f64 = 0.25;

/// The share of the highest peak of all pools below which a pool's turn is over.
const FALL_SHARE: f64 = 0.08;

/// The least reference for peaks, in thousandths of a core: a few hosts.
const LEAST_PEAK_MILLIS: f64 = 200_000.0;

/// The share of the highest peak that a rise is expected to reach at most.
const PEAK_SHARE: f64 = 1.1;

/// The share of the highest peak that is made ready before an expected turn.
const READY_SHARE: f64 = 0.4;

/// How far ahead of an expected turn hosts are made ready, in ms.
const READY_MS: u64 = 2_500;

/// How long after its expected beginning a turn may still come, in ms.
const LATE_TURN_MS: u64 = 1_500;

/// What was seen of one pool's arrivals; rates in thousandths of a core.
#[derive(Clone, Debug, Default)]
struct PoolArrivals {
    fast: f64,
    slow: f64,
    rated_ms: u64,
    high: bool,
    turns: u32,
}

impl PoolArrivals {
    fn decay(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.rated_ms) as f64;
        self.fast *= (-passed / FAST_MS).exp();
        self.slow *= (-passed / SLOW_MS).exp();
        self.rated_ms = now_ms;
    }

    /// Returns the rate that a rise will have reached when a moved host serves it.
    fn ahead(&self, most: f64) -> f64 {
        let slope = (self.fast - self.slow) / (SLOW_MS - FAST_MS);
        let now = (self.fast + self.slow) / 2.0;
        if slope <= 0.0 {
            return now.max(self.fast);
        }
        (now + slope * AHEAD_MS).min(most.max(self.slow))
    }
}

/// Learns the turns from arrivals.
#[derive(Clone, Debug, Default)]
pub struct PeakForecast {
    pools: BTreeMap<ServiceId, PoolArrivals>,
    peak: f64,
    current: Option<(ServiceId, u64)>,
    turn_ms: Option<u64>,
}

impl PeakForecast {
    /// Creates a forecast that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a pool, whether work arrives for it or not.
    pub fn register_pool(&mut self, service: &ServiceId) {
        if !self.pools.contains_key(service) {
            self.pools.insert(service.clone(), PoolArrivals::default());
        }
    }

    /// Notes work that arrived for a pool, in thousandths of a core times ms.
    pub fn record_arrival(&mut self, service: &ServiceId, work: f64, now_ms: u64) {
        let reference = self.peak.max(LEAST_PEAK_MILLIS);
        let pool = self.pools.entry(service.clone()).or_default();
        pool.decay(now_ms);
        pool.fast += work / FAST_MS;
        pool.slow += work / SLOW_MS;
        self.peak = self.peak.max(pool.slow);
        if !pool.high && pool.slow > RISE_SHARE * reference {
            pool.high = true;
            pool.turns += 1;
            self.begin_turn(service, now_ms);
        }
    }

    /// Notes how time passes.
    pub fn tick(&mut self, now_ms: u64) {
        let reference = self.peak.max(LEAST_PEAK_MILLIS);
        for pool in self.pools.values_mut() {
            pool.decay(now_ms);
            if pool.high && pool.slow < FALL_SHARE * reference {
                pool.high = false;
            }
        }
    }

    /// Returns the highest demand seen of any pool, in thousandths of a core, once a pool's
    /// turn has ended.
    pub fn max_peak_rate(&self) -> Option<f64> {
        let ended = |pool: &PoolArrivals| pool.turns > 0 && !pool.high;
        self.pools.values().any(ended).then_some(self.peak)
    }

    /// Returns the demand to be ready for, in thousandths of a core, beside what waits; the
    /// time is that of the last tick.
    pub fn demand(&self, service: &ServiceId, now_ms: u64) -> f64 {
        let Some(pool) = self.pools.get(service) else {
            return 0.0;
        };
        let most = PEAK_SHARE * self.peak.max(LEAST_PEAK_MILLIS);
        let ahead = pool.ahead(most);
        if !pool.high && self.is_expected(service, now_ms) {
            return ahead.max(READY_SHARE * self.peak);
        }
        ahead
    }

    /// Tells whether a pool's turn is about to begin: it is the only one left.
    fn is_expected(&self, service: &ServiceId, now_ms: u64) -> bool {
        let fewest = self.pools.values().map(|pool| pool.turns).min();
        let fewest = fewest.unwrap_or(0);
        let mut rest = self.pools.iter().filter(|(_, pool)| pool.turns == fewest);
        let only = rest.next().is_some_and(|(name, _)| name == service) && rest.next().is_none();
        let (Some((_, since_ms)), Some(turn_ms)) = (&self.current, self.turn_ms) else {
            return false;
        };
        let onset_ms = since_ms + turn_ms;
        only && now_ms + READY_MS > onset_ms && now_ms < onset_ms + LATE_TURN_MS
    }

    fn begin_turn(&mut self, service: &ServiceId, now_ms: u64) {
        let before = self.current.replace((service.clone(), now_ms));
        if let Some((before, since_ms)) = before {
            if before != *service {
                self.turn_ms = Some(now_ms.saturating_sub(since_ms));
            }
        }
        log::info!(
            "event=turn_began service={service} length_ms={:?}",
            self.turn_ms
        );
    }
}
