//! How log lines are bounded.

use zincpier::process::LineDecision;
use zincpier::process::LogRateLimiter;

#[test]
fn a_kind_beyond_its_budget_is_suppressed_and_counted() {
    // Arrange.
    let mut budget = LogRateLimiter::new();

    // Act: a second with far more lines than any kind may have, and the next one.
    let verdicts: Vec<_> = (0..10_000).map(|_| budget.check("submit", 5_000)).collect();
    let next = budget.check("submit", 6_000);

    // Assert: what was written and what is reported make up all.
    let written = verdicts
        .iter()
        .filter(|verdict| **verdict == LineDecision::Write(0))
        .count() as u64;
    assert!(written < 1_000, "{written}");
    assert_eq!(next, LineDecision::Write(10_000 - written));
}

#[test]
fn one_kind_costs_no_other() {
    let mut budget = LogRateLimiter::new();
    for _ in 0..10_000 {
        budget.check("submit", 5_000);
    }

    assert_eq!(budget.check("lease_lost", 5_000), LineDecision::Write(0));
}

#[test]
fn endless_kinds_share_a_budget() {
    let mut budget = LogRateLimiter::new();

    let written = (0..10_000)
        .map(|number| budget.check(&format!("kind-{number}"), 5_000))
        .filter(|verdict| matches!(verdict, LineDecision::Write(_)));

    assert!(written.count() < 1_000);
}

#[test]
fn a_lines_kind_is_its_event() {
    assert_eq!(LogRateLimiter::kind_of("event=submit job=1"), "submit");
    assert_eq!(LogRateLimiter::kind_of("event=stop"), "stop");
    assert_eq!(LogRateLimiter::kind_of("something else"), "other");
}
