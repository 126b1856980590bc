//! The demand of each pool, now and in the turn that comes next.
//!
//! Load: queues rise and fall by turns; each asks several times the room of its pool for
//! some seconds and hardly anything in between. A host takes 1.5 s to change its pool, so
//! that reacting to a turn that has begun loses a third of it.

use std::collections::BTreeMap;

use crate::id::ServiceId;

/// The time over which arrivals are averaged, in ms: long enough to smooth some large jobs,
/// short against turns of several seconds.
const RATE_TIME_MS: f64 = 900.0;

/// The share of its peak above which a pool's turn has begun.
const RISE_SHARE: f64 = 0.5;

/// The share of its peak below which a pool's turn is over.
const FALL_SHARE: f64 = 0.22;

/// Peaks below this are no turn, in thousandths of a core: less than one host of most pools.
const LEAST_PEAK_MILLIS: f64 = 24_000.0;

/// How far ahead of a turn hosts are made ready, in ms: emptying, moving and joining.
const PREPARE_MS: u64 = 3_000;

/// How long after its expected beginning a turn may still come, in ms.
const LATE_TURN_MS: u64 = 1_200;

/// What was seen of one pool's arrivals.
#[derive(Clone, Debug, Default)]
struct PoolArrivals {
    rate: f64,
    rated_ms: u64,
    peak: f64,
    last_peak: f64,
    high: bool,
    onsets_ms: Vec<u64>,
    length_ms: Option<u64>,
}

impl PoolArrivals {
    fn decay(&mut self, now_ms: u64) {
        let passed = now_ms.saturating_sub(self.rated_ms) as f64;
        self.rate *= (-passed / RATE_TIME_MS).exp();
        self.rated_ms = now_ms;
    }

    fn rate_at(&self, now_ms: u64) -> f64 {
        let passed = now_ms.saturating_sub(self.rated_ms) as f64;
        self.rate * (-passed / RATE_TIME_MS).exp()
    }
}

/// Learns the turns from arrivals.
#[derive(Clone, Debug, Default)]
pub struct TurnForecast {
    pools: BTreeMap<ServiceId, PoolArrivals>,
    followers: BTreeMap<ServiceId, ServiceId>,
    current: Option<(ServiceId, u64)>,
    turn_ms: Option<u64>,
}

impl TurnForecast {
    /// Creates a forecast that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes work that arrived for a pool, in thousandths of a core times ms.
    pub fn note_arrival(&mut self, service: &ServiceId, work: f64, now_ms: u64) {
        let pool = self.pools.entry(service.clone()).or_default();
        pool.decay(now_ms);
        pool.rate += work / RATE_TIME_MS;
        pool.peak = pool.peak.max(pool.rate);
        let rises = pool.rate > RISE_SHARE * pool.peak && pool.rate > LEAST_PEAK_MILLIS;
        if !pool.high && rises {
            pool.high = true;
            pool.onsets_ms.push(now_ms);
            self.begin_turn(service.clone(), now_ms);
        }
    }

    /// Notes how time passes.
    pub fn tick(&mut self, now_ms: u64) {
        for pool in self.pools.values_mut() {
            if pool.high && pool.rate_at(now_ms) < FALL_SHARE * pool.peak {
                pool.high = false;
                pool.last_peak = pool.peak;
                if let Some(onset) = pool.onsets_ms.last() {
                    pool.length_ms = Some(now_ms.saturating_sub(*onset));
                }
            }
        }
    }

    /// Returns the demand to be ready for, in thousandths of a core, beside what waits.
    pub fn demand(&self, service: &ServiceId, now_ms: u64) -> f64 {
        let Some(pool) = self.pools.get(service) else {
            return 0.0;
        };
        let rate = pool.rate_at(now_ms);
        if pool.high {
            return rate.max(0.8 * pool.last_peak.max(pool.peak * 0.7));
        }
        match self.next_onset(service, now_ms) {
            Some(onset) if now_ms + PREPARE_MS > onset && now_ms < onset + LATE_TURN_MS => {
                rate.max(0.8 * self.expected_peak(pool))
            }
            _ => rate,
        }
    }

    /// Returns when a pool's next turn is expected to begin.
    pub fn next_onset(&self, service: &ServiceId, now_ms: u64) -> Option<u64> {
        let pool = self.pools.get(service)?;
        if let [.., before, last] = pool.onsets_ms[..] {
            let period = last - before;
            let next = last + period;
            return (now_ms < next + LATE_TURN_MS).then_some(next);
        }
        let (current, since_ms) = self.current.as_ref()?;
        let follows = match self.followers.get(current) {
            Some(follower) => follower == service,
            None => self.is_only_unseen(service),
        };
        follows.then(|| since_ms + self.turn_ms.unwrap_or(u64::MAX / 2))
    }

    fn is_only_unseen(&self, service: &ServiceId) -> bool {
        let mut unseen = self
            .pools
            .iter()
            .filter(|(_, pool)| pool.onsets_ms.is_empty());
        unseen.next().is_some_and(|(name, _)| name == service) && unseen.next().is_none()
    }

    fn expected_peak(&self, pool: &PoolArrivals) -> f64 {
        if pool.last_peak > 0.0 {
            return pool.last_peak;
        }
        let seen: Vec<_> = self
            .pools
            .values()
            .filter(|pool| pool.high || pool.last_peak > 0.0)
            .collect();
        let total: f64 = seen.iter().map(|pool| pool.peak).sum();
        total / (seen.len().max(1) as f64)
    }

    fn begin_turn(&mut self, service: ServiceId, now_ms: u64) {
        if let Some((before, since_ms)) = self.current.take() {
            if before != service {
                self.turn_ms = Some(now_ms.saturating_sub(since_ms));
                self.followers.insert(before, service.clone());
            }
        }
        log::info!("event=turn_began service={service}");
        self.current = Some((service, now_ms));
    }
}
