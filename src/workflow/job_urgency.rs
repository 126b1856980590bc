//! Ranks waiting jobs for placement.
//!
//! At a demand peak a queue needs several times its pool's capacity for some seconds.
//! First-come order would then make every job late. Jobs that can still meet their objective
//! go first, by least slack; the others share the capacity that remains.
//!
//! Jobs beyond their organisation's rate come after all others whose results are still of use.

use crate::workflow::DurationTracker;
use crate::workflow::JobState;
use crate::workflow::QueueConfig;

/// Class of jobs that run until they are cancelled.
const LONG_RUNNING: u8 = 0;

/// Class of jobs that can still meet their objective.
const ON_TIME: u8 = 1;

/// Class of jobs that miss their objective but can still end within three times the objective.
const LATE: u8 = 2;

/// Classes of jobs beyond their organisation's rate that would otherwise be `ON_TIME` or `LATE`.
const OVER_RATE_ON_TIME: u8 = 3;
const OVER_RATE_LATE: u8 = 4;

/// Class of jobs whose callers no longer wait for a result.
const EXPIRED: u8 = 5;

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
    /// The organisation's priority; 0 comes first.
    organisation_priority: u32,
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
                organisation_priority: 0,
                slack_ms: job.first_read_ms as i64,
                objective_ms: 0,
            };
        }
        let history = durations.history(&queue.name);
        let (critical_path_ms, remaining_ms) = job.spec.critical_paths_ms(|number, step| {
            let expected_ms = history.expected_ms(step.estimate_ms);
            match job.is_step_done(0, number as u32) {
                true => (expected_ms, 0),
                false => (expected_ms, expected_ms),
            }
        });
        let stretched_ms = critical_path_ms as f64 * queue.stretch;
        let objective_ms = (stretched_ms as i64).saturating_add_unsigned(queue.objective_ms);
        let age_ms = now_ms.saturating_sub(job.first_read_ms) as i64;
        let slack_ms = objective_ms.saturating_sub(age_ms);
        let slack_ms = slack_ms.saturating_sub_unsigned(remaining_ms);
        let late_slack_ms = slack_ms.saturating_add(objective_ms.saturating_mul(2));
        let class = match (slack_ms >= 0, late_slack_ms >= 0, job.is_over_rate) {
            (true, _, false) => ON_TIME,
            (true, _, true) => OVER_RATE_ON_TIME,
            (false, true, false) => LATE,
            (false, true, true) => OVER_RATE_LATE,
            (false, false, _) => EXPIRED,
        };
        Self {
            class,
            priority: queue.priority,
            organisation_priority: 0,
            slack_ms,
            objective_ms,
        }
    }

    /// Sets the priority of the job's organisation, which decides between jobs of the same class and
    /// queue priority.
    #[must_use]
    pub fn with_organisation_priority(mut self, priority: u32) -> Self {
        self.organisation_priority = priority;
        self
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
        self.remaining_ms(ON_TIME, 0)
    }

    /// Returns the time in ms until a late job must have its capacity to end within three
    /// times its objective; `None` for other classes.
    pub fn late_slack_ms(&self) -> Option<u64> {
        self.remaining_ms(LATE, 2)
    }

    /// Like [`JobUrgency::slack_ms`], for jobs beyond their organisation's rate.
    pub fn over_rate_slack_ms(&self) -> Option<u64> {
        self.remaining_ms(OVER_RATE_ON_TIME, 0)
    }

    /// Like [`JobUrgency::late_slack_ms`], for jobs beyond their organisation's rate.
    pub fn over_rate_late_slack_ms(&self) -> Option<u64> {
        self.remaining_ms(OVER_RATE_LATE, 2)
    }

    /// Returns whether the job has an objective, its result is still of use, and its organisation is
    /// within its rate.
    pub fn is_wanted(&self) -> bool {
        matches!(self.class, ON_TIME | LATE)
    }

    /// Returns whether the job has an objective and its result is still of use, whatever the rate of
    /// its organisation.
    pub fn is_useful(&self) -> bool {
        matches!(
            self.class,
            ON_TIME | LATE | OVER_RATE_ON_TIME | OVER_RATE_LATE
        )
    }

    /// Returns whether the job is not expected to meet its objective.
    pub fn is_behind(&self) -> bool {
        matches!(self.class, LATE | OVER_RATE_LATE | EXPIRED)
    }

    /// Returns the rank of the job's kind, the lowest first: long-running, wanted, over rate,
    /// expired. Shares of organisations matter only between jobs of the same rank.
    pub fn rank(&self) -> u8 {
        match self.class {
            LONG_RUNNING => 0,
            ON_TIME | LATE => 1,
            OVER_RATE_ON_TIME | OVER_RATE_LATE => 2,
            _ => 3,
        }
    }

    /// Moves the job into the next class of its kind, which is placed later; a late job becomes an
    /// expired one.
    pub fn defer(&mut self) {
        self.class = match self.class {
            ON_TIME => LATE,
            OVER_RATE_ON_TIME => OVER_RATE_LATE,
            _ => EXPIRED,
        };
    }

    /// Returns the time in ms until a job of the class must have its capacity to end
    /// `extra_objectives` objectives after its own; `None` for other classes.
    fn remaining_ms(&self, class: u8, extra_objectives: i64) -> Option<u64> {
        let extra_ms = self.objective_ms.saturating_mul(extra_objectives);
        let slack_ms = self.slack_ms.saturating_add(extra_ms);
        u64::try_from(slack_ms).ok().filter(|_| self.class == class)
    }
}
