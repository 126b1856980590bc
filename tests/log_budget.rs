//! How log lines are bounded.

use zincpier::process::LineVerdict;
use zincpier::process::LogBudget;

#[test]
fn a_kind_beyond_its_budget_is_suppressed_and_counted() {
    // Arrange.
    let mut budget = LogBudget::new();

    // Act: a second with far more lines than any kind may have, and the next one.
    let verdicts: Vec<_> = (0..10_000).map(|_| budget.judge("submit", 5_000)).collect();
    let next = budget.judge("submit", 6_000);

    // Assert: what was written and what is reported make up all.
    let written = verdicts
        .iter()
        .filter(|verdict| **verdict == LineVerdict::Write(0))
        .count() as u64;
    assert!(written < 1_000, "{written}");
    assert_eq!(next, LineVerdict::Write(10_000 - written));
}

#[test]
fn one_kind_costs_no_other() {
    let mut budget = LogBudget::new();
    for _ in 0..10_000 {
        budget.judge("submit", 5_000);
    }

    assert_eq!(budget.judge("lease_lost", 5_000), LineVerdict::Write(0));
}

#[test]
fn endless_kinds_share_a_budget() {
    let mut budget = LogBudget::new();

    let written = (0..10_000)
        .map(|number| budget.judge(&format!("kind-{number}"), 5_000))
        .filter(|verdict| matches!(verdict, LineVerdict::Write(_)));

    assert!(written.count() < 1_000);
}

#[test]
fn a_lines_kind_is_its_event() {
    assert_eq!(LogBudget::kind_of("event=submit job=1"), "submit");
    assert_eq!(LogBudget::kind_of("event=stop"), "stop");
    assert_eq!(LogBudget::kind_of("something else"), "other");
}
