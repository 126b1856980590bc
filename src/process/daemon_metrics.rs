//! The counters of a daemon.

use std::time::Duration;

use prometheus_client::encoding::text::encode;
use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::registry::Registry;

/// The labels of an answer.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct AnswerLabels {
    /// The service.
    pub service: String,
    /// `passed` for a backend server's answer, an outcome otherwise.
    pub outcome: String,
}

/// The labels of an event.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
pub struct EventLabels {
    /// What happened.
    pub event: &'static str,
}

/// Every counter of a daemon, with its registry.
#[derive(Debug)]
pub struct DaemonMetrics {
    registry: Registry,
    answers: Family<AnswerLabels, Counter>,
    events: Family<EventLabels, Counter>,
    waiting: Gauge,
    peer_beats: Gauge,
    peer_fetched: Gauge,
    latency: Histogram,
}

impl Default for DaemonMetrics {
    fn default() -> Self {
        Self::new()
    }
}

impl DaemonMetrics {
    /// Creates counters at zero.
    pub fn new() -> Self {
        let answers = Family::default();
        let events = Family::default();
        let waiting = Gauge::default();
        let peer_beats = Gauge::default();
        let peer_fetched = Gauge::default();
        let latency = Histogram::new(exponential_buckets(0.000_25, 2.0, 16));
        let mut registry = Registry::with_prefix("zincpier");
        registry.register("answers", "Answers to callers", answers.clone());
        registry.register("events", "Events of the daemon", events.clone());
        registry.register("waiting", "Requests that wait for a slot", waiting.clone());
        registry.register(
            "peer_beats",
            "Heartbeats heard from peers, replies included",
            peer_beats.clone(),
        );
        registry.register(
            "peer_fetched_bytes",
            "Bytes of facts fetched from peers",
            peer_fetched.clone(),
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
            peer_beats,
            peer_fetched,
            latency,
        }
    }

    /// Counts an answer to a caller.
    pub fn count_answer(&self, service: &str, outcome: &str, time: Duration) {
        let labels = AnswerLabels {
            service: service.to_owned(),
            outcome: outcome.to_owned(),
        };
        self.answers.get_or_create(&labels).inc();
        self.latency.observe(time.as_secs_f64());
    }

    /// Counts an event.
    pub fn count_event(&self, event: &'static str) {
        self.events.get_or_create(&EventLabels { event }).inc();
    }

    /// Returns how often an event was counted.
    pub fn events(&self, event: &'static str) -> u64 {
        self.events.get_or_create(&EventLabels { event }).get()
    }

    /// Sets the number of requests that wait.
    pub fn set_waiting(&self, waiting: usize) {
        self.waiting.set(waiting as i64);
    }

    /// Sets the number of heartbeats heard and the bytes of facts fetched.
    pub fn set_peer_counts(&self, beats: u64, fetched: u64) {
        self.peer_beats.set(beats as i64);
        self.peer_fetched.set(fetched as i64);
    }

    /// Returns all counters in the Prometheus text format.
    pub fn to_text(&self) -> String {
        let mut text = String::new();
        match encode(&mut text, &self.registry) {
            Ok(()) => text,
            Err(_) => String::new(),
        }
    }
}
