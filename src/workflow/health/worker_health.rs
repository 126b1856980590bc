//! Decides how far a worker is trusted with new tasks, from how its tasks and calls go.
//!
//! No sign alone is proof: a worker whose health check is good may hang, and one that does not answer
//! may work. Distrust therefore only keeps new tasks off a worker. It never ends what the worker runs.

use crate::id::JobId;
use crate::workflow::DistrustCause;
use crate::workflow::HealthState;
use crate::workflow::SlowdownFactor;
use crate::workflow::WorkerPace;

/// The length of the first quarantine in ms: about the time in which a stall is found out. With 4 s
/// and the same doublings, workers that had recovered stayed idle through the rest of a peak.
const FIRST_QUARANTINE_MS: u64 = 2_000;

/// The limit on the doublings of [`FIRST_QUARANTINE_MS`]. A cause that has passed is noticed within
/// 8 s, and a worker that stays bad gets one task in this time.
const MAX_DOUBLINGS: u32 = 2;

/// The time without a relapse in ms after which earlier quarantines no longer count: twice the
/// longest one.
const RELAPSE_MEMORY_MS: u64 = 16_000;

/// The successful runs that end a probation. With one, two and four tasks at a time, a worker is back
/// at its capacity after about three tasks in turn.
const PROBE_SUCCESSES: u32 = 3;

/// The time in ms after which a worker on probation gets twice as many tasks although no run there has ended,
/// and the number of doublings after which it has no limit. Its tasks may last, or a gang may need it that
/// doesn't fit under the limit.
const PROBE_DOUBLING_MS: u64 = 4_000;
const MAX_PROBE_DOUBLINGS: u64 = 5;

/// The weight of a run in the share of failed runs.
const FAILURE_WEIGHT: f64 = 0.125;

/// The share of failed runs that quarantines a worker: four failures in a row, of which two come from
/// one job at most, or half of the runs for some time.
const MAX_FAILURE_SHARE: f64 = 0.4;

/// The failures of one job in a row that count.
const MAX_JOB_FAILURES: u32 = 2;

/// The silences within [`SILENCE_WINDOW_MS`] that show an unstable worker. A single one may be a lost
/// call, and two a call that is lost again.
const MAX_SILENCES: usize = 3;

/// The time in ms in which silences are counted: several times the interval between two calls.
pub(crate) const SILENCE_WINDOW_MS: u64 = 5_000;

/// What a controller has learnt about one incarnation of a worker. Times are in ms on the
/// controller's clock.
#[derive(Clone, Debug, Default)]
pub struct WorkerHealth {
    /// How long tasks take on the worker.
    pub pace: WorkerPace,
    failure_share: f64,
    /// The job of the last failed run, and how many of its runs in a row were counted.
    last_failed: Option<(JobId, u32)>,
    /// The times of the last silences, the oldest first.
    silences: [u64; MAX_SILENCES],
    /// The cause of the last quarantine; `None` once the worker is trusted again.
    cause: Option<DistrustCause>,
    quarantined_until_ms: u64,
    /// The number of quarantines, without those before [`RELAPSE_MEMORY_MS`].
    quarantines: u32,
    /// The number of successful runs since the last quarantine.
    probe_successes: u32,
    trusted_since_ms: u64,
}

impl WorkerHealth {
    /// Creates the health of a worker about which nothing is known. It is trusted.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns how far the worker is trusted.
    pub fn state(&self, now_ms: u64) -> HealthState {
        match self.cause {
            None => HealthState::Trusted,
            Some(_) if now_ms < self.quarantined_until_ms => HealthState::Quarantined,
            Some(_) => HealthState::Probing,
        }
    }

    /// Returns the number of quarantines that still count.
    pub fn quarantines(&self) -> u32 {
        self.quarantines
    }

    /// Returns the end of the last quarantine, in ms.
    pub fn quarantined_until_ms(&self) -> u64 {
        self.quarantined_until_ms
    }

    /// Quarantines the worker, twice as long with each relapse. Returns the length in ms; `None` if
    /// the worker is in quarantine already.
    pub fn distrust(&mut self, cause: DistrustCause, now_ms: u64) -> Option<u64> {
        if self.state(now_ms) == HealthState::Quarantined {
            return None;
        }
        let was_trusted = self.cause.is_none();
        if was_trusted && now_ms >= self.trusted_since_ms + RELAPSE_MEMORY_MS {
            self.quarantines = 0;
        }
        let length_ms = FIRST_QUARANTINE_MS << self.quarantines.min(MAX_DOUBLINGS);
        self.quarantines += 1;
        self.cause = Some(cause);
        self.quarantined_until_ms = now_ms + length_ms;
        self.probe_successes = 0;
        self.silences = [0; MAX_SILENCES];
        Some(length_ms)
    }

    /// Ends a quarantine early. The worker is then on probation.
    pub fn end_quarantine(&mut self, now_ms: u64) {
        self.quarantined_until_ms = self.quarantined_until_ms.min(now_ms);
    }

    /// Records a successful run. Returns whether it ends the probation.
    pub fn record_success(&mut self, now_ms: u64) -> bool {
        self.failure_share -= self.failure_share * FAILURE_WEIGHT;
        match (self.state(now_ms), self.cause) {
            // The worker makes progress again.
            (HealthState::Quarantined, Some(DistrustCause::Stall)) => self.end_quarantine(now_ms),
            (HealthState::Probing, _) => self.probe_successes += 1,
            _ => {}
        }
        if self.probe_successes < PROBE_SUCCESSES {
            return false;
        }
        self.cause = None;
        self.probe_successes = 0;
        self.failure_share = 0.0;
        self.trusted_since_ms = now_ms;
        true
    }

    /// Records a failed run of a job. Returns whether the worker should be distrusted for it. During
    /// a probation, one failure suffices. A faulty job with many tasks counts for few failures.
    pub fn record_failure(&mut self, job: &JobId, now_ms: u64) -> bool {
        let count = match &self.last_failed {
            Some((last, count)) if last == job => *count,
            _ => 0,
        };
        if count >= MAX_JOB_FAILURES {
            return false;
        }
        self.last_failed = Some((job.clone(), count + 1));
        self.failure_share += (1.0 - self.failure_share) * FAILURE_WEIGHT;
        let is_probing = self.state(now_ms) == HealthState::Probing;
        self.failure_share >= MAX_FAILURE_SHARE || is_probing
    }

    /// Returns the share of failed runs.
    pub fn failure_share(&self) -> f64 {
        self.failure_share
    }

    /// Records that calls to the worker begin to have no answer.
    pub fn record_silence(&mut self, now_ms: u64) {
        self.silences.rotate_left(1);
        self.silences[MAX_SILENCES - 1] = now_ms;
    }

    /// Returns whether calls repeatedly had no answer lately. During a probation after such
    /// silences, one suffices.
    pub fn is_unstable(&self, now_ms: u64) -> bool {
        let is_recent = |time_ms: u64| time_ms > 0 && now_ms < time_ms + SILENCE_WINDOW_MS;
        let is_relapse = self.cause == Some(DistrustCause::Silences)
            && self.state(now_ms) == HealthState::Probing
            && is_recent(self.silences[MAX_SILENCES - 1]);
        is_relapse || is_recent(self.silences[0])
    }

    /// Returns whether the worker is in quarantine for a cause.
    pub fn is_quarantined_for(&self, cause: DistrustCause, now_ms: u64) -> bool {
        self.cause == Some(cause) && self.state(now_ms) == HealthState::Quarantined
    }

    /// Returns whether calls had no answer more than once lately, or the worker is distrusted for it.
    pub fn has_silences(&self, now_ms: u64) -> bool {
        let second_last_ms = self.silences[MAX_SILENCES - 2];
        let is_recent = second_last_ms > 0 && now_ms < second_last_ms + SILENCE_WINDOW_MS;
        is_recent || self.cause == Some(DistrustCause::Silences)
    }

    /// Returns how many tasks may be placed on the worker at a time; `None` for no limit but its
    /// capacity.
    pub fn task_limit(&self, now_ms: u64) -> Option<u32> {
        match self.state(now_ms) {
            HealthState::Trusted if self.pace.is_probe_due(now_ms) => Some(1),
            HealthState::Trusted => None,
            HealthState::Probing => self.probe_limit(now_ms),
            HealthState::Quarantined => Some(0),
        }
    }

    /// Returns whether the worker is tried with few tasks, and gets none that fit on others.
    pub fn is_probe(&self, now_ms: u64) -> bool {
        match self.state(now_ms) {
            HealthState::Trusted => self.pace.is_probe_due(now_ms),
            HealthState::Probing | HealthState::Quarantined => true,
        }
    }

    fn probe_limit(&self, now_ms: u64) -> Option<u32> {
        let probed_ms = now_ms.saturating_sub(self.quarantined_until_ms);
        let doublings = probed_ms / PROBE_DOUBLING_MS;
        (doublings < MAX_PROBE_DOUBLINGS)
            .then(|| 1 << (u64::from(self.probe_successes) + doublings))
    }

    /// Returns how many times as long as expected a task takes on the worker.
    pub fn slowdown(&self) -> SlowdownFactor {
        self.pace.slowdown()
    }
}
