//! Prometheus metrics of the entry host's daemon.

use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// Labels of the `answers` counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AnswerLabels {
    /// The name of the service.
    pub service: String,
    /// `passed` for a forwarded response of a backend server; otherwise the reason why this entry
    /// host answered itself.
    pub outcome: String,
}

/// Labels of the `events` counter.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EventLabels {
    /// The name of the event, such as `platform_look` for a poll that the platform answered.
    pub event: &'static str,
}

/// All metrics of a daemon and the registry that encodes them.
#[derive(Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    events: Family<EventLabels, Counter>,
    waiting: Gauge,
    peer_heartbeats: Gauge,
    peer_fetched_bytes: Gauge,
    latency: Histogram,
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonMetrics {
    /// Creates and registers all metrics with the value zero.
    pub fn new() -> Self {
        let answers = Family::default();
        let events = Family::default();
        let waiting = Gauge::default();
        let peer_heartbeats = Gauge::default();
        let peer_fetched_bytes = Gauge::default();
        let latency = Histogram::new(exponential_buckets(0.000_25, 2.0, 16));
        let mut registry = Registry::with_prefix("zincpier");
        registry.register("answers", "Answers to callers", answers.clone());
        registry.register("events", "Events of the daemon", events.clone());
        registry.register("waiting", "Requests that wait for a slot", waiting.clone());
        registry.register(
            "peer_beats",
            "Heartbeats heard from peers, replies included",
            peer_heartbeats.clone(),
        );
        registry.register(
            "peer_fetched_bytes",
            "Bytes of facts fetched from peers",
            peer_fetched_bytes.clone(),
        );
        registry.register(
            "answer_seconds",
            "Time from request to answer",
            latency.clone(),
        );
        Self {
            registry,
            answers,
            events,
            waiting,
            peer_heartbeats,
            peer_fetched_bytes,
            latency,
        }
    }

    /// Counts an answer to a caller and records its latency.
    pub fn count_answer(&self, service: &str, outcome: &str, latency: Duration) {
        let labels = AnswerLabels {
            service: service.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.answers.get_or_create(&labels).inc();
        self.latency.observe(latency.as_secs_f64());
    }

    /// Increments the counter of an event.
    pub fn count_event(&self, event: &'static str) {
        self.events.get_or_create(&EventLabels { event }).inc();
    }

    /// Returns how often an event has occurred since the process started.
    pub fn event_count(&self, event: &'static str) -> u64 {
        self.events.get_or_create(&EventLabels { event }).get()
    }

    /// Sets the number of requests that wait for a slot.
    pub fn set_waiting(&self, waiting: usize) {
        self.waiting.set(waiting as i64);
    }

    /// Sets the number of heartbeats received and the bytes of facts fetched from peers.
    pub fn set_peer_counts(&self, heartbeats: u64, fetched_bytes: u64) {
        self.peer_heartbeats.set(heartbeats as i64);
        self.peer_fetched_bytes.set(fetched_bytes as i64);
    }

    /// Encodes all metrics in the Prometheus text format; empty if encoding fails.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(_) => String::new(),
        }
    }
}
