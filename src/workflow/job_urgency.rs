//! Ranks waiting jobs for placement.
//!
//! At a demand peak a queue needs several times its pool's capacity for some seconds.
//! First-come order would then make every job late. Jobs that can still meet their objective
//! go first, by least slack; the others share the capacity that remains.

use crate::workflow::DurationTracker;
use crate::workflow::JobState;
use crate::workflow::QueueConfig;
use crate::workflow::StepSpec;

/// Class of jobs that run until they are cancelled.
const LONG_RUNNING: u8 = 0;

/// Class of jobs that can still meet their objective.
const ON_TIME: u8 = 1;

/// Class of jobs that miss their objective but can still end within three times the objective.
const LATE: u8 = 2;

/// Class of jobs whose callers no longer wait for a result.
const EXPIRED: u8 = 3;

/// The time within which waiting work should start; it delays a job by less than half of
/// the usual objective.
const BACKLOG_MS: u64 = 1_200;

/// The time within which the work of expired jobs should start. They may wait until the demand
/// peaks of their own queue and of the next one are over.
const EXPIRED_BACKLOG_MS: u64 = 12_000;

/// A job's rank for placement; the smallest value is placed first.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct JobUrgency {
    /// One of the classes above, raised by deferral; the lowest number is placed first.
    class: u8,
    /// The queue's priority; 0 comes first.
    priority: u32,
    /// The time to the objective minus the remaining work, in ms. For a long-running job, the
    /// time at which it was first read.
    slack_ms: i64,
    /// The time from arrival within which the job should end, in ms; 0 for a long-running job.
    objective_ms: i64,
}

impl JobUrgency {
    /// Computes a job's urgency at `now_ms`.
    pub fn new(
        job: &JobState,
        queue: &QueueConfig,
        durations: &DurationTracker,
        now_ms: u64,
    ) -> Self {
        // Long-running jobs have no objective; the oldest is placed first.
        if job.is_long_running() {
            return Self {
                class: LONG_RUNNING,
                priority: queue.priority,
                slack_ms: job.first_read_ms as i64,
                objective_ms: 0,
            };
        }
        let expected = |step: &StepSpec| durations.expected_ms(&queue.name, step.estimate_ms);
        let critical_path_ms = job.spec.critical_path_ms(|_, step| expected(step));
        let is_unfinished = |number| !job.is_step_done(0, number as u32);
        let remaining_ms = job.spec.critical_path_ms(|number, step| {
            if is_unfinished(number) {
                expected(step)
            } else {
                0
            }
        });
        let stretched_ms = critical_path_ms as f64 * queue.stretch;
        let objective_ms = stretched_ms as i64 + queue.objective_ms as i64;
        let age_ms = now_ms.saturating_sub(job.first_read_ms) as i64;
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

    /// Returns the time in ms within which the job's waiting work should start.
    pub fn backlog_ms(&self) -> u64 {
        match self.class {
            EXPIRED => EXPIRED_BACKLOG_MS,
            _ => BACKLOG_MS,
        }
    }

    /// Returns the time in ms until the job must have its capacity, if it can be on time.
    pub fn slack_ms(&self) -> Option<u64> {
        u64::try_from(self.slack_ms)
            .ok()
            .filter(|_| self.class == ON_TIME)
    }

    /// Returns the time in ms until a late job must have its capacity to end within three
    /// times its objective; `None` for other classes.
    pub fn late_slack_ms(&self) -> Option<u64> {
        let slack_ms = self.slack_ms + 2 * self.objective_ms;
        u64::try_from(slack_ms).ok().filter(|_| self.class == LATE)
    }

    /// Returns whether the job has an objective and its result is still of use.
    pub fn is_wanted(&self) -> bool {
        matches!(self.class, ON_TIME | LATE)
    }

    /// Moves the job into the next class, which is placed later.
    pub fn defer(&mut self) {
        self.class += 1;
    }
}
