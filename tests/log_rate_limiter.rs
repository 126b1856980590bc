//! Tests the rate limit of log lines.

use zincpier::process::LineDecision;
use zincpier::process::LogRateLimiter;

/// A line logged in a loop would flood the log; if suppressed lines were not counted, the log would
/// hide how often it occurred.
#[test]
fn lines_over_the_limit_are_suppressed_and_counted() {
    // Arrange.
    let mut limiter = LogRateLimiter::new();

    // Act: far more lines within one second than the limit, and one in the next second.
    let decisions: Vec<_> = (0..10_000)
        .map(|_| limiter.check("submit", 5_000))
        .collect();
    let next = limiter.check("submit", 6_000);

    // Assert: the lines written and the suppressed count reported add up to all lines.
    let written = decisions
        .iter()
        .filter(|decision| **decision == LineDecision::Write(0))
        .count() as u64;
    assert!(written < 1_000, "{written} lines written in one second");
    assert_eq!(next, LineDecision::Write(10_000 - written));
}

/// Frequent lines of one kind would suppress a rare line of another, such as a lost lease.
#[test]
fn one_kind_does_not_use_the_limit_of_another() {
    let mut limiter = LogRateLimiter::new();
    for _ in 0..10_000 {
        limiter.check("submit", 5_000);
    }

    assert_eq!(limiter.check("lease_lost", 5_000), LineDecision::Write(0));
}

/// Lines whose kinds are all different would each get a limit of their own and pass unlimited.
#[test]
fn kinds_over_the_maximum_share_one_limit() {
    let mut limiter = LogRateLimiter::new();

    let written = (0..10_000)
        .map(|number| limiter.check(&format!("kind-{number}"), 5_000))
        .filter(|decision| matches!(decision, LineDecision::Write(_)));

    assert!(written.count() < 1_000);
}

#[test]
fn kind_of_a_line_is_its_event() {
    assert_eq!(LogRateLimiter::kind_of("event=submit job=1"), "submit");
    assert_eq!(LogRateLimiter::kind_of("event=stop"), "stop");
    assert_eq!(LogRateLimiter::kind_of("something else"), "other");
}
