//! The order in which waiting jobs get room.
//!
//! Load: each queue in its turn asks for several times the room of its pool for some
//! seconds. Order of arrival then makes every job late; jobs that can still meet their
//! objective go first, by the slack that is left, and jobs that cannot be in time take what remains.

use crate::workflow::DurationTracker;
use crate::workflow::JobState;
use crate::workflow::QueueConfig;
use crate::workflow::StepSpec;

/// The class of jobs that run until they are cancelled.
const LONG_RUNNING: u8 = 0;

/// The class of jobs that can still meet their objective.
const ON_TIME: u8 = 1;

/// The class of jobs that can still be of some use.
const LATE: u8 = 2;

/// The class of jobs whose callers expect them no more.
const EXPIRED: u8 = 3;

/// The time within which waiting work should start, in ms: it delays a job by less than
/// half of the usual objective.
const BACKLOG_MS: u64 = 1_200;

/// The same for jobs past help, in ms: their queue's turn and the next one's may pass first.
const EXPIRED_BACKLOG_MS: u64 = 12_000;

/// How urgent a job is; smaller comes first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobUrgency {
    /// Long-running tasks come before jobs with an end, and jobs that cannot be in time come last.
    class: u8,
    /// The queue's priority.
    priority: u32,
    /// The time that is left beyond the remaining work, in ms.
    slack_ms: i64,
    /// The time in which the job should end, in ms.
    objective_ms: i64,
}

impl JobUrgency {
    /// Returns a job's urgency at `now_ms`.
    pub fn new(
        job: &JobState,
        queue: &QueueConfig,
        durations: &DurationTracker,
        now_ms: u64,
    ) -> Self {
        if job.is_long_running() {
            return Self {
                class: LONG_RUNNING,
                priority: queue.priority,
                slack_ms: job.first_seen_ms as i64,
                objective_ms: 0,
            };
        }
        let expected = |step: &StepSpec| durations.expected_ms(&queue.name, step.estimate_ms);
        let chain_ms = job.spec.longest_chain(|_, step| expected(step));
        let open = |number| !job.is_step_done(0, number as u32);
        let remaining_ms = job
            .spec
            .longest_chain(|number, step| if open(number) { expected(step) } else { 0 });
        let stretched = chain_ms as f64 * queue.stretch;
        let objective_ms = stretched as i64 + queue.objective_ms as i64;
        let age_ms = now_ms.saturating_sub(job.first_seen_ms) as i64;
        let slack_ms = objective_ms - age_ms - remaining_ms as i64;
        let late_slack_ms = slack_ms + 2 * objective_ms;
        let class = match (slack_ms >= 0, late_slack_ms >= 0) {
            (true, _) => ON_TIME,
            (false, true) => LATE,
            (false, false) => EXPIRED,
        };
        Self {
            class,
            priority: queue.priority,
            slack_ms,
            objective_ms,
        }
    }

    /// Returns the time within which the job's waiting work should start, in ms.
    pub fn backlog_ms(&self) -> u64 {
        match self.class {
            EXPIRED => EXPIRED_BACKLOG_MS,
            _ => BACKLOG_MS,
        }
    }

    /// Returns the time in ms until the job must have its room, if it can be in time.
    pub fn slack_ms(&self) -> Option<u64> {
        u64::try_from(self.slack_ms)
            .ok()
            .filter(|_| self.class == ON_TIME)
    }

    /// Returns the time in ms until the job must have its room, if it is late and can still
    /// be of some use.
    pub fn late_slack_ms(&self) -> Option<u64> {
        let slack_ms = self.slack_ms + 2 * self.objective_ms;
        u64::try_from(slack_ms).ok().filter(|_| self.class == LATE)
    }

    /// Puts the job behind all of its class.
    pub fn defer(&mut self) {
        self.class += 1;
    }
}
