//! How long tasks take, learnt from those that have ended.
//!
//! Load: callers' estimates are off by up to 90%, so that an order by stated work serves
//! the wrong jobs first; the mean of a queue's tasks is the better half of the guess.

use std::collections::BTreeMap;

/// The weight of a task's own estimate beside its queue's mean.
const ESTIMATE_SHARE: f64 = 0.35;

/// The longest that is expected of a task, in ms: a day, so that sums of what callers state
/// stay within their numbers.
const MAX_EXPECTED_MS: u64 = 86_400_000;

/// The tasks after which a queue's mean is used.
const MIN_SAMPLES: u32 = 8;

/// The weight of each further task in the mean.
const MIN_SAMPLE_WEIGHT: f64 = 0.03;

#[derive(Clone, Copy, Debug, Default)]
struct QueueDurations {
    tasks: u32,
    mean_ms: f64,
}

/// The mean durations of the tasks of each queue.
#[derive(Clone, Debug, Default)]
pub struct DurationTracker {
    queues: BTreeMap<String, QueueDurations>,
}

impl DurationTracker {
    /// Creates a book that knows nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a task that was done.
    pub fn record_duration(&mut self, queue: &str, took_ms: u64) {
        let durations = self.queues.entry(queue.to_owned()).or_default();
        durations.tasks += 1;
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(durations.tasks));
        durations.mean_ms += (took_ms as f64 - durations.mean_ms) * weight;
    }

    /// Returns what is expected of a task of a queue, in ms.
    pub fn expected_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        let expected_ms = self
            .history_based_ms(queue, estimate_ms)
            .unwrap_or(estimate_ms);
        expected_ms.min(MAX_EXPECTED_MS)
    }

    /// Returns what is expected of a task of a queue, in ms, once enough have ended.
    pub fn history_based_ms(&self, queue: &str, estimate_ms: u64) -> Option<u64> {
        let durations = self.queues.get(queue)?;
        if durations.tasks < MIN_SAMPLES {
            return None;
        }
        let own = estimate_ms as f64 * ESTIMATE_SHARE;
        let learnt = durations.mean_ms * (1.0 - ESTIMATE_SHARE);
        Some((own + learnt) as u64)
    }
}
