//! Decides whether a job is refused because its organisation has sent more than its rate.

use crate::id::JobId;
use crate::workflow::AdmissionWindow;
use crate::workflow::JobSpec;

/// A job whose turn has not come.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RateRefusal {
    /// The admitted part of the organisation's submissions, in percent.
    pub percent: f64,
    /// The time after which the job's turn comes, in s; at most 8.
    pub retry_s: u64,
}

/// Returns why a job is refused while its organisation's submissions are limited, or `None` if it is
/// admitted. Long-running and scheduled jobs always are.
pub fn check_rate(spec: &JobSpec, job: &JobId, window: &AdmissionWindow) -> Option<RateRefusal> {
    if spec.is_exempt_from_rates() {
        return None;
    }
    let retry_s = window.turn_s(job);
    (retry_s > 0).then_some(RateRefusal {
        percent: window.percent(),
        retry_s,
    })
}
