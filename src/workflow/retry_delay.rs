//! Chooses the `Retry-After` delay of refused submissions.
//!
//! The table may be unreachable for some seconds of a queue's busiest time. All submissions are
//! then refused, and a caller retries only a few times. With a delay of one second each, callers
//! would give up before the table is back.

use crate::id::JobId;

/// The shortest delay that the `Retry-After` header can express.
const MIN_DELAY_S: u64 = 1;

/// Max delay before the spread is added. Four retries after 1, 2, 4 and 4 s span an outage of
/// 11 s.
const MAX_DELAY_S: u64 = 4;

/// Time without an answer from which retries are spread over two seconds. After shorter outages,
/// callers that arrived at different times also retry at different times.
const SPREAD_THRESHOLD_MS: u64 = 1_500;

/// Returns the retry delay in s for the caller of `job`, if the table has not answered for
/// `unanswered_ms`. The caller gives up after `wait_ms`, if stated.
///
/// An outage that has lasted some time is likely to last as long again, so the delay is the time
/// without an answer, rounded up. After longer outages half of the callers wait one second more,
/// so that they do not all retry at once. The delay does not exceed `wait_ms`, but is at least the
/// header's minimum.
pub fn retry_delay_s(job: Option<&JobId>, unanswered_ms: u64, wait_ms: Option<u64>) -> u64 {
    let digits = job.map(JobId::as_str).unwrap_or_default();
    let spread_s = match unanswered_ms {
        0..SPREAD_THRESHOLD_MS => 0,
        _ => digits.bytes().map(u64::from).sum::<u64>() % 2,
    };
    let delay_s = (unanswered_ms / 1_000 + 1).min(MAX_DELAY_S) + spread_s;
    let max_delay_s = wait_ms.map_or(u64::MAX, |wait_ms| wait_ms / 1_000);
    delay_s.min(max_delay_s).max(MIN_DELAY_S)
}
