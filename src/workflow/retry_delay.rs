//! When a caller that was refused is told to come back.
//!
//! Load pattern: the table is away for some seconds of a queue's busiest time. All that is
//! submitted is refused, and a caller comes back only a few times: with a pause of a second
//! each time it has given up before the table is back.

use crate::id::JobId;

/// The shortest pause, in s, the least that the header can say.
const SHORTEST_S: u64 = 1;

/// The longest pause without its spread, in s: four returns after 1, 2, 4 and 4 s span an
/// outage of 11 s.
const LONGEST_S: u64 = 4;

/// The silence from which returns are spread over two seconds, in ms: after a shorter one
/// callers that came one after another also return so.
const SPREAD_MS: u64 = 1_500;

/// Returns the pause in s for the caller of `job`, who still waits for `wait_ms`, when the
/// table has been silent for `unanswered_ms`.
///
/// An outage that has lasted some time is likely to last as long again, so the pause is the
/// silence, rounded up; after a longer one half of the callers wait a second more, so that
/// they do not all return at once. Nobody is told to return after it has given up.
pub fn retry_delay_s(job: Option<&JobId>, unanswered_ms: u64, wait_ms: Option<u64>) -> u64 {
    let digits = job.map(JobId::as_str).unwrap_or_default();
    let spread_s = match unanswered_ms {
        0..SPREAD_MS => 0,
        _ => digits.bytes().map(u64::from).sum::<u64>() % 2,
    };
    let pause_s = (unanswered_ms / 1_000 + 1).min(LONGEST_S) + spread_s;
    let last_s = wait_ms.map_or(u64::MAX, |wait_ms| wait_ms / 1_000);
    pause_s.min(last_s).max(SHORTEST_S)
}
