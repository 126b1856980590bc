//! Learns how long tasks take on a worker, relative to what is expected of their queues.
//!
//! Ratios are averaged by their logarithms, because durations of one queue vary by factors: a single
//! task that takes ten times as long must not make its worker count as slow.

use crate::workflow::SlowdownFactor;

/// The ratio from which a worker counts as slow. Workers below it are treated alike, since the
/// durations of one queue vary by about as much.
pub(crate) const SLOW_RATIO: f64 = 2.0;

/// The weight of a new ratio. Three tasks that take six times as long show a slow worker.
const SAMPLE_WEIGHT: f64 = 0.2;

/// The weight of a ratio below [`SLOW_RATIO`] on a slow worker. Two such tasks show that a factor of
/// six has passed.
const RECOVERY_WEIGHT: f64 = 0.5;

/// The bounds of a single ratio.
const MIN_RATIO: f64 = 0.1;
const MAX_RATIO: f64 = 20.0;

/// The time in ms after which a slow worker is tried with one task: about as long as a slow task.
const FIRST_PROBE_MS: u64 = 4_000;

/// The limit on the doublings of [`FIRST_PROBE_MS`]; a cause that has passed is noticed within 16 s.
const MAX_PROBE_DOUBLINGS: u32 = 2;

/// The mean ratio of actual to expected durations on one worker.
#[derive(Clone, Debug, Default)]
pub struct WorkerPace {
    /// The natural logarithm of the ratio, from ended tasks.
    ended: f64,
    /// The same with the running tasks that are already older than expected.
    running: f64,
    /// The logarithm of the ratio that all workers of the pool have in common.
    common: f64,
    /// When the worker may next be tried with one task, if it is slow, in ms.
    probe_ms: u64,
    probes: u32,
}

impl WorkerPace {
    /// Creates the pace of a worker that is as fast as expected.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds an ended task that took `took_ms` instead of `expected_ms`.
    pub fn record_end(&mut self, took_ms: u64, expected_ms: u64, now_ms: u64) {
        let sample = log_ratio(took_ms, expected_ms);
        let sample_is_slow = sample - self.common >= SLOW_RATIO.ln();
        let weight = match self.is_slow() && !sample_is_slow {
            true => RECOVERY_WEIGHT,
            false => SAMPLE_WEIGHT,
        };
        self.ended += (sample - self.ended) * weight;
        self.running = self.ended;
        if !self.is_slow() {
            self.probes = 0;
        } else if sample_is_slow {
            self.delay_probe(now_ms);
        } else {
            self.probe_ms = now_ms;
        }
    }

    /// Sets the ages and expected durations, both in ms, of the running tasks. Those that are older
    /// than the worker's mean show that it has become slower.
    pub fn set_running(&mut self, ages: impl Iterator<Item = (u64, u64)>, now_ms: u64) {
        let was_slow = self.is_slow();
        self.running = self.ended;
        for (age_ms, expected_ms) in ages {
            let sample = log_ratio(age_ms, expected_ms);
            if sample > self.running {
                self.running += (sample - self.running) * SAMPLE_WEIGHT;
            }
        }
        if !was_slow && self.is_slow() {
            self.delay_probe(now_ms);
        }
    }

    /// Sets the logarithm of the ratio that all workers of the pool have in common, which is not due
    /// to this worker.
    pub fn set_common(&mut self, common: f64) {
        self.common = common;
    }

    /// Returns what was set with [`Self::set_common`].
    pub(crate) fn common_log_ratio(&self) -> f64 {
        self.common
    }

    /// Returns the natural logarithm of the mean ratio of ended tasks.
    pub fn log_ratio(&self) -> f64 {
        self.ended
    }

    /// Returns whether tasks take far longer than on most workers of the pool.
    pub fn is_slow(&self) -> bool {
        self.running - self.common >= SLOW_RATIO.ln()
    }

    /// Returns whether a slow worker should be tried with one task.
    pub fn is_probe_due(&self, now_ms: u64) -> bool {
        self.is_slow() && now_ms >= self.probe_ms
    }

    /// Returns how much longer tasks take than on other workers of the pool.
    pub fn slowdown(&self) -> SlowdownFactor {
        match self.is_slow() {
            true => SlowdownFactor::new((self.running - self.common).exp()),
            false => SlowdownFactor::NONE,
        }
    }

    /// Like [`Self::slowdown`], from ended tasks only. These show that the worker makes progress.
    pub fn proven_slowdown(&self) -> SlowdownFactor {
        match self.ended - self.common >= SLOW_RATIO.ln() {
            true => SlowdownFactor::new((self.ended - self.common).exp()),
            false => SlowdownFactor::NONE,
        }
    }

    fn delay_probe(&mut self, now_ms: u64) {
        let doublings = self.probes.min(MAX_PROBE_DOUBLINGS);
        self.probe_ms = now_ms + (FIRST_PROBE_MS << doublings);
        self.probes += 1;
    }
}

fn log_ratio(actual_ms: u64, expected_ms: u64) -> f64 {
    let ratio = actual_ms as f64 / expected_ms.max(1) as f64;
    ratio.clamp(MIN_RATIO, MAX_RATIO).ln()
}
