//! What recent answers say of each backend server.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::HostId;

/// The failures in a row that eject a server.
const FAILURES_TO_EJECT: u32 = 5;
/// The recent share of failures, out of 1, that ejects a server.
const FAILURE_SHARE_TO_EJECT: f64 = 0.6;
/// The answers that must have come before the share of failures counts.
const ANSWERS_TO_JUDGE: u32 = 20;
/// The weight of the newest answer in the running averages.
const NEWEST_WEIGHT: f64 = 0.1;
/// The time of a first ejection; each further one takes twice as long.
const FIRST_EJECTION: Duration = Duration::from_secs(1);
/// The greatest number of doublings of the ejection time.
const MOST_DOUBLINGS: u32 = 5;

#[derive(Clone, Debug, Default)]
struct HealthRecord {
    failures_in_row: u32,
    answers: u32,
    failure_share: f64,
    latency_micros: f64,
    ejections: u32,
    ejected_until: Option<Instant>,
    trial_running: bool,
}

/// Keeps running averages for each backend server and ejects those that fail.
#[derive(Clone, Debug, Default)]
pub struct ServerHealth {
    records: HashMap<HostId, HealthRecord>,
}

impl ServerHealth {
    /// Creates a record without any answers.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a whole answer that is no failure.
    pub fn record_success(&mut self, host: &HostId, latency: Duration) {
        let record = self.records.entry(host.clone()).or_default();
        let micros = latency.as_micros() as f64;
        record.latency_micros = match record.answers {
            0 => micros,
            _ => mix(record.latency_micros, micros),
        };
        record.note(0.0);
        record.failures_in_row = 0;
        record.trial_running = false;
        if record.ejected_until.take().is_some() {
            record.failure_share = 0.0;
            record.answers = 1;
        }
        if record.failure_share < NEWEST_WEIGHT {
            record.ejections = 0;
        }
    }

    /// Notes a failure and returns whether it ejects the server.
    pub fn record_failure(&mut self, host: &HostId, now: Instant) -> bool {
        let record = self.records.entry(host.clone()).or_default();
        record.note(1.0);
        record.failures_in_row += 1;
        let trial_failed = std::mem::take(&mut record.trial_running);
        let often =
            record.answers >= ANSWERS_TO_JUDGE && record.failure_share >= FAILURE_SHARE_TO_EJECT;
        let judged = trial_failed || often || record.failures_in_row >= FAILURES_TO_EJECT;
        let ejected_now = record.ejected_until.is_some_and(|until| until > now);
        if !judged || ejected_now {
            return false;
        }
        let doublings = record.ejections.min(MOST_DOUBLINGS);
        record.ejected_until = Some(now + FIRST_EJECTION * 2_u32.pow(doublings));
        record.ejections += 1;
        true
    }

    /// Tells whether a server is ejected; after its time it gets one trial request.
    pub fn is_ejected(&self, host: &HostId, now: Instant) -> bool {
        self.records.get(host).is_some_and(|record| {
            record
                .ejected_until
                .is_some_and(|until| until > now || record.trial_running)
        })
    }

    /// Tells whether the next request would be a trial.
    pub fn is_on_trial(&self, host: &HostId) -> bool {
        self.records
            .get(host)
            .is_some_and(|record| record.ejected_until.is_some())
    }

    /// Notes that a request was sent; for a server on trial it is the trial.
    pub fn record_start(&mut self, host: &HostId) {
        if let Some(record) = self.records.get_mut(host) {
            record.trial_running = record.ejected_until.is_some();
        }
    }

    /// Notes that a request ended without saying anything of the server.
    pub fn record_cancelled(&mut self, host: &HostId) {
        if let Some(record) = self.records.get_mut(host) {
            record.trial_running = false;
        }
    }

    /// Returns the average latency of a server in microseconds, 0 if it is not known.
    pub fn latency_micros(&self, host: &HostId) -> f64 {
        self.records
            .get(host)
            .map_or(0.0, |record| record.latency_micros)
    }
}

impl HealthRecord {
    fn note(&mut self, failure: f64) {
        self.answers = self.answers.saturating_add(1);
        self.failure_share = mix(self.failure_share, failure);
    }
}

fn mix(average: f64, newest: f64) -> f64 {
    average + (newest - average) * NEWEST_WEIGHT
}
