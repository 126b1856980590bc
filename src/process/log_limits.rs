//! Decides which log lines are written, from their first words.

use log::Level;

use crate::process::JobSampler;
use crate::process::LineDecision;
use crate::process::LogRateLimiter;
use crate::process::SamplingChange;

/// The target of lines about jobs with long-running tasks. They are not sampled.
pub const LONG_RUNNING_TARGET: &str = "zincpier::long_running";

/// The limits on the lines of a process: one on each kind of line, and one on all lines about jobs, which
/// are sampled by job.
#[derive(Debug, Default)]
pub(crate) struct LogLimits {
    kinds: LogRateLimiter,
    jobs: JobSampler,
}

impl LogLimits {
    /// Counts a line with these first words and decides whether it is written; `now_ms` is the time on a
    /// monotonic clock. Lines that name no job, warnings, and lines with the target of long-running tasks
    /// have a limit for each kind.
    pub(crate) fn check(
        &mut self,
        start: &str,
        level: Level,
        target: &str,
        now_ms: u64,
    ) -> LineDecision {
        let is_sampled = level > Level::Warn && target != LONG_RUNNING_TARGET;
        match job_of(start).filter(|_| is_sampled) {
            None => self.kinds.check(LogRateLimiter::kind_of(start), now_ms),
            Some(job) if self.jobs.check(job, now_ms) => LineDecision::Write(0),
            Some(_) => LineDecision::Suppress,
        }
    }

    /// Returns the change of the sampling since the last call, if any.
    pub(crate) fn take_change(&mut self) -> Option<SamplingChange> {
        self.jobs.take_change()
    }
}

/// Returns the job that the second word of a line names, as `job=` or as that of its `task=`.
fn job_of(start: &str) -> Option<&str> {
    let (_, second) = start.strip_prefix("event=")?.split_once(' ')?;
    if let Some(task) = second.strip_prefix("task=") {
        // A task's name ends with three numbers.
        return task.rsplitn(4, '.').nth(3);
    }
    second.strip_prefix("job=")
}
