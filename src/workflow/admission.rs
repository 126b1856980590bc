//! Decides whether a job is refused because it can't be served in time.
//!
//! When a queue asks for several times what its pool can do, and no further hosts are left, accepted
//! jobs wait longer than their results are wanted. A caller that is told so at once can turn
//! elsewhere or come back; one whose job waits finds out when its time is over, and the job's tasks
//! take capacity from others meanwhile. A job is refused only if it is surely hopeless: if the work
//! ahead of it alone outlasts the time after which its result is of no use.

use crate::id::JobId;
use crate::workflow::JobSpec;
use crate::workflow::QueueBacklog;
use crate::workflow::QueueConfig;
use crate::workflow::StepSpec;

/// Multiple of its objective after which a job's result is of no use.
pub(crate) const USEFUL_OBJECTIVES: u64 = 3;

/// The limit on `Retry-After`, in s, since a backlog is known only for the present.
const MAX_RETRY_S: u64 = 8;

/// Why a job is refused.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct AdmissionRefusal {
    /// The time that the work ahead of the job takes, in ms.
    pub wait_ms: u64,
    /// The time from its arrival after which its result is of no use, in ms.
    pub useful_ms: u64,
}

/// Returns why a job of the queue can't be served in time, or `None` if it may be.
///
/// Long-running and scheduled jobs are never refused: they are placed before others, or later. Of
/// the caller's estimate and the queue's mean, the longer duration counts, since a job with longer
/// tasks has more time.
pub fn check_admission(
    spec: &JobSpec,
    queue: &QueueConfig,
    backlog: &QueueBacklog,
) -> Option<AdmissionRefusal> {
    if spec.is_exempt_from_rates() {
        return None;
    }
    let duration_ms = |_: usize, step: &StepSpec| step.estimate_ms.max(backlog.task_ms);
    let critical_path_ms = spec.critical_path_ms(duration_ms) as f64;
    let objective_ms = (critical_path_ms * queue.stretch) as u64;
    let objective_ms = objective_ms.saturating_add(queue.objective_ms);
    let useful_ms = objective_ms.saturating_mul(USEFUL_OBJECTIVES);
    let wait_ms = backlog.wait_ms;
    (wait_ms > useful_ms).then_some(AdmissionRefusal { wait_ms, useful_ms })
}

impl AdmissionRefusal {
    /// Returns after how many seconds the caller of `job` should come back: when the backlog has
    /// fallen so far that the job could be useful, spread over as long again, so that callers return
    /// at the rate at which the pool has room for them.
    pub fn retry_s(&self, job: &JobId) -> u64 {
        let excess_s = (self.wait_ms - self.useful_ms).div_ceil(1_000).max(1);
        let digits = job.as_str().bytes();
        let lot = digits.fold(0_u64, |hash, digit| hash * 31 % 1_009 + u64::from(digit));
        (excess_s + lot % (excess_s + 1)).min(MAX_RETRY_S)
    }
}
