//! Predicts task durations from the completed tasks of the same queue.
//!
//! Callers' estimates are wrong by up to 90%, so scheduling by estimates alone serves the wrong
//! jobs first. The queue's mean duration is the more reliable part of the prediction.

use std::collections::BTreeMap;

/// The share of the caller's estimate in a prediction; the rest is the queue's mean.
const ESTIMATE_SHARE: f64 = 0.35;

/// The upper bound of a prediction: one day, so that sums of callers' estimates cannot overflow.
const MAX_EXPECTED_MS: u64 = 86_400_000;

/// The number of completed tasks from which a queue's mean is used.
const MIN_SAMPLES: u32 = 8;

/// The lower bound of a new sample's weight in the mean. Once it applies, the mean is an
/// exponential moving average.
const MIN_SAMPLE_WEIGHT: f64 = 0.03;

#[derive(Clone, Copy, Debug, Default)]
struct QueueDurations {
    sample_count: u32,
    mean_ms: f64,
}

/// The mean task duration of each queue.
#[derive(Clone, Debug, Default)]
pub struct DurationTracker {
    queues: BTreeMap<String, QueueDurations>,
}

impl DurationTracker {
    /// Creates a tracker without samples.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds the duration of a completed task to its queue's mean.
    pub fn record_duration(&mut self, queue: &str, took_ms: u64) {
        let durations = self.queues.entry(queue.to_owned()).or_default();
        durations.sample_count += 1;
        let weight = MIN_SAMPLE_WEIGHT.max(1.0 / f64::from(durations.sample_count));
        durations.mean_ms += (took_ms as f64 - durations.mean_ms) * weight;
    }

    /// Returns the mean duration of a queue's completed tasks, in ms; `None` while there are too few.
    pub fn mean_ms(&self, queue: &str) -> Option<u64> {
        let durations = self.queues.get(queue)?;
        (durations.sample_count >= MIN_SAMPLES).then_some(durations.mean_ms as u64)
    }

    /// Predicts a task's duration in ms; falls back to the estimate without enough history.
    pub fn expected_ms(&self, queue: &str, estimate_ms: u64) -> u64 {
        self.history(queue).expected_ms(estimate_ms)
    }

    /// Predicts a task's duration in ms, or returns `None` while the queue has too few
    /// completed tasks.
    pub fn history_based_ms(&self, queue: &str, estimate_ms: u64) -> Option<u64> {
        self.history(queue).history_based_ms(estimate_ms)
    }

    /// Returns what is known of a queue, for several predictions.
    pub(crate) fn history(&self, queue: &str) -> QueueHistory {
        let durations = self.queues.get(queue);
        let durations = durations.filter(|durations| durations.sample_count >= MIN_SAMPLES);
        QueueHistory {
            mean_ms: durations.map(|durations| durations.mean_ms),
        }
    }
}

/// Predicts the durations of the tasks of one queue.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueueHistory {
    /// `None` while there are too few completed tasks.
    mean_ms: Option<f64>,
}

impl QueueHistory {
    /// Predicts a task's duration in ms; falls back to the estimate without enough history.
    pub(crate) fn expected_ms(self, estimate_ms: u64) -> u64 {
        let expected_ms = self.history_based_ms(estimate_ms).unwrap_or(estimate_ms);
        expected_ms.min(MAX_EXPECTED_MS)
    }

    fn history_based_ms(self, estimate_ms: u64) -> Option<u64> {
        let estimated = estimate_ms as f64 * ESTIMATE_SHARE;
        let history = self.mean_ms? * (1.0 - ESTIMATE_SHARE);
        Some((estimated + history) as u64)
    }
}
