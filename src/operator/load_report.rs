//! Outcome counts and latencies of a generated load.

use std::collections::BTreeMap;
use std::fmt;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::json;
use serde_json::Value;

/// Upper bound of the histograms; longer latencies are recorded as this value.
const MAX_LATENCY_MICROS: u64 = 120_000_000;
/// Decimal digits of a latency that the histograms preserve.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Outcome counts, latency histograms and elapsed time of a load.
#[derive(Clone, Debug)]
pub struct LoadReport {
    sent: u64,
    outcomes: BTreeMap<String, u64>,
    ok_latencies: Histogram<u64>,
    other_latencies: Histogram<u64>,
    elapsed: Duration,
}

impl Default for LoadReport {
    fn default() -> Self {
        Self::new()
    }
}

impl LoadReport {
    /// Creates an empty report.
    pub fn new() -> Self {
        Self {
            sent: 0,
            outcomes: BTreeMap::new(),
            ok_latencies: histogram(),
            other_latencies: histogram(),
            elapsed: Duration::ZERO,
        }
    }

    /// Records that a request was sent.
    pub fn record_sent(&mut self) {
        self.sent += 1;
    }

    /// Records that a request ended; `latency` is measured from the time the request was due.
    ///
    /// A complete answer has the outcome `ok`; any other outcome is counted under its own name.
    pub fn record_outcome(&mut self, outcome: &str, latency: Duration) {
        *self.outcomes.entry(outcome.to_owned()).or_default() += 1;
        let micros = (latency.as_micros() as u64).clamp(1, MAX_LATENCY_MICROS);
        let histogram = match outcome {
            "ok" => &mut self.ok_latencies,
            _ => &mut self.other_latencies,
        };
        histogram.saturating_record(micros);
    }

    /// Sets the time from the start of the load to the end of its last request, for the rate.
    pub fn set_elapsed(&mut self, elapsed: Duration) {
        self.elapsed = elapsed;
    }

    /// Returns the number of requests sent, ended or not.
    pub fn sent(&self) -> u64 {
        self.sent
    }

    /// Returns the number of requests that ended with `outcome`.
    pub fn count(&self, outcome: &str) -> u64 {
        self.outcomes.get(outcome).copied().unwrap_or(0)
    }

    /// Returns the number of requests that ended, with any outcome.
    pub fn ended(&self) -> u64 {
        self.outcomes.values().sum()
    }

    /// Returns the number of requests by outcome.
    pub fn outcomes(&self) -> &BTreeMap<String, u64> {
        &self.outcomes
    }

    /// Returns a percentile (0 to 100) of the latency of `ok` requests, in microseconds.
    pub fn latency_micros(&self, percentile: f64) -> u64 {
        self.ok_latencies.value_at_percentile(percentile)
    }

    /// Returns a percentile (0 to 100) of the latency of requests with any outcome but `ok`, in
    /// microseconds.
    pub fn other_latency_micros(&self, percentile: f64) -> u64 {
        self.other_latencies.value_at_percentile(percentile)
    }

    /// Returns `ok` requests per second of elapsed time.
    pub fn rate(&self) -> f64 {
        self.count("ok") as f64 / self.elapsed.as_secs_f64().max(f64::MIN_POSITIVE)
    }

    /// Returns the report as a JSON object; latencies are in microseconds.
    pub fn to_json(&self) -> Value {
        json!({
            "sent": self.sent,
            "outcomes": self.outcomes,
            "ok_per_second": self.rate(),
            "latency_micros": {
                "p50": self.latency_micros(50.0),
                "p99": self.latency_micros(99.0),
                "p999": self.latency_micros(99.9),
                "max": self.ok_latencies.max(),
            },
            "refusal_micros": {
                "p50": self.other_latency_micros(50.0),
                "p99": self.other_latency_micros(99.0),
            },
        })
    }
}

impl fmt::Display for LoadReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(formatter, "sent       {}", self.sent)?;
        for (outcome, count) in &self.outcomes {
            writeln!(formatter, "{outcome:<10} {count}")?;
        }
        writeln!(
            formatter,
            "rate       {:.0} complete answers per second",
            self.rate()
        )?;
        write!(
            formatter,
            "latency    p50 {} us, p99 {} us, p99.9 {} us, max {} us",
            self.latency_micros(50.0),
            self.latency_micros(99.0),
            self.latency_micros(99.9),
            self.ok_latencies.max()
        )
    }
}

fn histogram() -> Histogram<u64> {
    Histogram::new_with_bounds(1, MAX_LATENCY_MICROS, SIGNIFICANT_DIGITS)
        .unwrap_or_else(|_| unreachable!("histogram bounds and precision are valid constants"))
}
