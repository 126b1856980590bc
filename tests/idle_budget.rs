//! How many idle connections many clients keep together.

use zincpier::connection::IdleBudget;

#[test]
fn places_are_taken_up_to_the_budget_and_come_back() {
    let budget = IdleBudget::new(2);
    let first = budget.take();
    let second = budget.take();

    assert!(first.is_some() && second.is_some());
    assert!(budget.take().is_none());
    drop(first);
    assert!(budget.take().is_some());
}

#[test]
fn a_burst_to_thousands_of_servers_leaves_few_connections_open() {
    // Arrange: two connections to each of 3,000 servers have answered.
    let budget = IdleBudget::new(600);

    // Act.
    let kept: Vec<_> = (0..6_000).filter_map(|_| budget.take()).collect();

    // Assert: with a renewal at each server they stay below 4,100 descriptors.
    assert!(kept.len() + 3_000 < 4_100);
}

#[test]
fn a_smaller_budget_keeps_what_is_kept_and_takes_no_more() {
    let budget = IdleBudget::new(3);
    let kept = [budget.take(), budget.take(), budget.take()];

    budget.set_most(2);

    assert!(kept.iter().all(Option::is_some));
    drop(kept);
    let places: Vec<_> = (0..3).map(|_| budget.take()).collect();
    assert_eq!(places.iter().flatten().count(), 2);
}
