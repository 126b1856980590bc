//! Tracks failures and latency of backend servers and ejects those that fail.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::HostId;

/// Consecutive failures that eject a server.
const EJECTION_CONSECUTIVE_FAILURES: u32 = 5;
/// The failure rate (moving average, 0 to 1) that ejects a server.
const EJECTION_FAILURE_RATE: f64 = 0.6;
/// The number of recorded results below which the failure rate does not eject a server.
const MIN_RESULTS_FOR_RATE: u32 = 20;
/// The weight of the newest result in the exponential moving averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// The duration of the first ejection; each further one lasts twice as long.
const FIRST_EJECTION_DURATION: Duration = Duration::from_secs(1);
/// The maximum number of doublings: an ejection lasts 32 s at most.
const MAX_EJECTION_DOUBLINGS: u32 = 5;

#[derive(Clone, Debug, Default)]
struct HealthRecord {
    consecutive_failures: u32,
    results: u32,
    failure_rate: f64,
    latency_micros: f64,
    ejections: u32,
    /// The end of the ejection; kept after that time until a request succeeds.
    ejected_until: Option<Instant>,
    /// Whether the one request that is allowed after an ejection is in flight.
    trial_running: bool,
}

/// Keeps moving averages for each backend server and ejects those that fail.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    records: HashMap<HostId, HealthRecord>,
}

impl ServerHealth {
    /// Creates a tracker without recorded results.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a complete response that is not a failure; it ends an ejection.
    pub fn record_success(&mut self, host: &HostId, latency: Duration) {
        let record = self.records.entry(host.clone()).or_default();
        let micros = latency.as_micros() as f64;
        record.latency_micros = match record.results {
            0 => micros,
            _ => moving_average(record.latency_micros, micros),
        };
        record.record_result(0.0);
        record.consecutive_failures = 0;
        record.trial_running = false;
        if record.ejected_until.take().is_some() {
            record.failure_rate = 0.0;
            record.results = 1;
        }
        // One failure raises the rate by up to this weight; below it, the server has recovered.
        if record.failure_rate < NEWEST_WEIGHT {
            record.ejections = 0;
        }
    }

    /// Records a failure; returns whether it ejects the server.
    pub fn record_failure(&mut self, host: &HostId, now: Instant) -> bool {
        let record = self.records.entry(host.clone()).or_default();
        record.record_result(1.0);
        record.consecutive_failures += 1;
        let trial_failed = std::mem::take(&mut record.trial_running);
        let over_rate =
            record.results >= MIN_RESULTS_FOR_RATE && record.failure_rate >= EJECTION_FAILURE_RATE;
        let must_eject = trial_failed
            || over_rate
            || record.consecutive_failures >= EJECTION_CONSECUTIVE_FAILURES;
        let ejected_now = record.ejected_until.is_some_and(|until| until > now);
        if !must_eject || ejected_now {
            return false;
        }
        let doublings = record.ejections.min(MAX_EJECTION_DOUBLINGS);
        record.ejected_until = Some(now + FIRST_EJECTION_DURATION * 2_u32.pow(doublings));
        record.ejections += 1;
        true
    }

    /// Returns whether a server is ejected. After the ejection's duration it is not, except while
    /// its trial request is in flight.
    pub fn is_ejected(&self, host: &HostId, now: Instant) -> bool {
        self.records.get(host).is_some_and(|record| {
            record
                .ejected_until
                .is_some_and(|until| until > now || record.trial_running)
        })
    }

    /// Returns whether the next request to a server would be its trial.
    pub fn is_on_trial(&self, host: &HostId) -> bool {
        self.records
            .get(host)
            .is_some_and(|record| record.ejected_until.is_some())
    }

    /// Records that a request was sent; for an ejected server it is the trial.
    pub fn record_start(&mut self, host: &HostId) {
        if let Some(record) = self.records.get_mut(host) {
            record.trial_running = record.ejected_until.is_some();
        }
    }

    /// Records that a request ended without a result that says anything about the server.
    pub fn record_cancelled(&mut self, host: &HostId) {
        if let Some(record) = self.records.get_mut(host) {
            record.trial_running = false;
        }
    }

    /// Returns the average latency of a server in microseconds; 0 before the first success.
    pub fn latency_micros(&self, host: &HostId) -> f64 {
        self.records
            .get(host)
            .map_or(0.0, |record| record.latency_micros)
    }
}

impl HealthRecord {
    /// Records a result; `failure` is 1 for a failure and 0 for a success.
    fn record_result(&mut self, failure: f64) {
        self.results = self.results.saturating_add(1);
        self.failure_rate = moving_average(self.failure_rate, failure);
    }
}

fn moving_average(average: f64, newest: f64) -> f64 {
    average + (newest - average) * NEWEST_WEIGHT
}
