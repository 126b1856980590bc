//! Forecasts the CPU demand of each pool for the time at which a host moved now could serve it.
//!
//! Demand peaks alternate between queues. Each asks for several times its pool's capacity for
//! some seconds and for hardly anything in between. A host takes 1.5 s to change pools and half
//! a second to be listed there, so the forecast follows the slope of a rise.

use std::collections::BTreeMap;

use crate::id::ServiceId;

/// Short averaging window of arrivals; long enough for several jobs of most queues.
const SHORT_WINDOW_MS: f64 = 500.0;

/// Long averaging window of arrivals. A rise takes two to four seconds.
const LONG_WINDOW_MS: f64 = 1_500.0;

/// Time by which a rise is extrapolated: the host poll before a move, the move, and the time until
/// the host is listed in its new pool.
const LEAD_MS: f64 = 2_200.0;

/// Share of the highest rate of any pool so far above which a pool's peak starts.
const PEAK_START_SHARE: f64 = 0.25;

/// Share of the highest rate of any pool so far below which a pool's peak ends.
const PEAK_END_SHARE: f64 = 0.08;

/// Lower bound of the highest rate as the reference for shares, in millicores: the CPU of a few
/// hosts.
const MIN_REFERENCE_MILLIS: f64 = 200_000.0;

/// Max extrapolated rate, as a share of the highest rate of any pool so far.
const MAX_RISE_SHARE: f64 = 1.1;

/// Demand to prepare for before an expected peak, as a share of the highest rate of any pool so
/// far.
const PREPARED_SHARE: f64 = 0.4;

/// Time before an expected peak at which hosts are prepared.
const PREPARE_LEAD_MS: u64 = 2_500;

/// Time for which an overdue peak is still expected.
const MAX_PEAK_DELAY_MS: u64 = 1_500;

/// Arrival statistics of one pool; rates in millicores.
#[derive(Clone, Debug, Default)]
struct PoolArrivals {
    short_rate: f64,
    long_rate: f64,
    updated_ms: u64,
    in_peak: bool,
    peak_count: u32,
}

impl PoolArrivals {
    fn decay(&mut self, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.updated_ms) as f64;
        self.short_rate *= (-elapsed_ms / SHORT_WINDOW_MS).exp();
        self.long_rate *= (-elapsed_ms / LONG_WINDOW_MS).exp();
        self.updated_ms = now_ms;
    }

    /// Returns the rate that a rise will have reached when a host moved now serves it.
    fn upcoming_rate(&self, max_upcoming: f64) -> f64 {
        let slope = (self.short_rate - self.long_rate) / (LONG_WINDOW_MS - SHORT_WINDOW_MS);
        let current_rate = (self.short_rate + self.long_rate) / 2.0;
        if slope <= 0.0 {
            return current_rate.max(self.short_rate);
        }
        (current_rate + slope * LEAD_MS).min(max_upcoming.max(self.long_rate))
    }
}

/// Forecasts demand peaks from arrivals. Pools are expected to peak in rounds, each once per
/// round.
#[derive(Clone, Debug, Default)]
pub struct PeakForecast {
    pools: BTreeMap<ServiceId, PoolArrivals>,
    /// The highest long-window rate of any pool so far, in millicores.
    max_rate: f64,
    /// The pool that peaked last and the start of its peak, in ms.
    last_peak: Option<(ServiceId, u64)>,
    /// The time between the starts of the last two peaks of different pools.
    peak_interval_ms: Option<u64>,
}

impl PeakForecast {
    /// Creates a forecast without any arrivals.
    pub fn new() -> Self {
        Self::default()
    }

    /// Registers a pool, even if no work ever arrives for it.
    pub fn register_pool(&mut self, service: &ServiceId) {
        if !self.pools.contains_key(service) {
            self.pools.insert(service.clone(), PoolArrivals::default());
        }
    }

    /// Records work that arrived for a pool, in millicores times ms.
    pub fn record_arrival(&mut self, service: &ServiceId, work: f64, now_ms: u64) {
        let reference = self.max_rate.max(MIN_REFERENCE_MILLIS);
        let pool = self.pools.entry(service.clone()).or_default();
        pool.decay(now_ms);
        pool.short_rate += work / SHORT_WINDOW_MS;
        pool.long_rate += work / LONG_WINDOW_MS;
        self.max_rate = self.max_rate.max(pool.long_rate);
        if !pool.in_peak && pool.long_rate > PEAK_START_SHARE * reference {
            pool.in_peak = true;
            pool.peak_count += 1;
            self.start_peak(service, now_ms);
        }
    }

    /// Updates the rates of all pools to `now_ms`. Call it before [`PeakForecast::demand`].
    pub fn tick(&mut self, now_ms: u64) {
        let reference = self.max_rate.max(MIN_REFERENCE_MILLIS);
        for pool in self.pools.values_mut() {
            pool.decay(now_ms);
            if pool.in_peak && pool.long_rate < PEAK_END_SHARE * reference {
                pool.in_peak = false;
            }
        }
    }

    /// Returns the highest rate of any pool so far, in millicores; `None` until a peak has ended.
    pub fn max_peak_rate(&self) -> Option<f64> {
        let ended = |pool: &PoolArrivals| pool.peak_count > 0 && !pool.in_peak;
        self.pools.values().any(ended).then_some(self.max_rate)
    }

    /// Returns the demand to prepare for, without waiting tasks, in millicores. `now_ms` must be
    /// the time of the last tick.
    pub fn demand(&self, service: &ServiceId, now_ms: u64) -> f64 {
        let Some(pool) = self.pools.get(service) else {
            return 0.0;
        };
        let max_upcoming = MAX_RISE_SHARE * self.max_rate.max(MIN_REFERENCE_MILLIS);
        let upcoming_rate = pool.upcoming_rate(max_upcoming);
        if !pool.in_peak && self.is_expected(service, now_ms) {
            return upcoming_rate.max(PREPARED_SHARE * self.max_rate);
        }
        upcoming_rate
    }

    /// Returns whether a pool's peak is about to start: it is the only pool that has not peaked
    /// in this round, and the interval between peaks has almost passed.
    fn is_expected(&self, service: &ServiceId, now_ms: u64) -> bool {
        let min_count = self.pools.values().map(|pool| pool.peak_count).min();
        let min_count = min_count.unwrap_or(0);
        let mut candidates = self
            .pools
            .iter()
            .filter(|(_, pool)| pool.peak_count == min_count);
        let is_only = candidates.next().is_some_and(|(name, _)| name == service)
            && candidates.next().is_none();
        let (Some((_, since_ms)), Some(peak_interval_ms)) =
            (&self.last_peak, self.peak_interval_ms)
        else {
            return false;
        };
        let expected_start_ms = since_ms + peak_interval_ms;
        is_only
            && now_ms + PREPARE_LEAD_MS > expected_start_ms
            && now_ms < expected_start_ms + MAX_PEAK_DELAY_MS
    }

    fn start_peak(&mut self, service: &ServiceId, now_ms: u64) {
        let previous = self.last_peak.replace((service.clone(), now_ms));
        if let Some((previous, since_ms)) = previous {
            if previous != *service {
                self.peak_interval_ms = Some(now_ms.saturating_sub(since_ms));
            }
        }
        log::info!(
            "event=turn_began service={service} length_ms={:?}",
            self.peak_interval_ms
        );
    }
}
