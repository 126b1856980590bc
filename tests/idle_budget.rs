//! The shared limit on idle connections of many clients.

use zincpier::connection::IdleBudget;

#[test]
fn permits_are_limited_and_released_on_drop() {
    let budget = IdleBudget::new(2);
    let first = budget.try_acquire();
    let second = budget.try_acquire();

    assert!(first.is_some() && second.is_some());
    assert!(budget.try_acquire().is_none());
    drop(first);
    assert!(budget.try_acquire().is_some());
}

#[test]
fn burst_to_thousands_of_servers_keeps_few_idle_connections() {
    // Arrange: two connections to each of 3,000 servers become idle.
    let budget = IdleBudget::new(600);

    // Act.
    let permits: Vec<_> = (0..6_000).filter_map(|_| budget.try_acquire()).collect();

    // Assert: with one lease renewal per server, fewer than 4,100 descriptors are in use.
    assert!(permits.len() + 3_000 < 4_100);
}

#[test]
fn reduced_budget_keeps_existing_permits_and_grants_no_more() {
    let budget = IdleBudget::new(3);
    let permits = [
        budget.try_acquire(),
        budget.try_acquire(),
        budget.try_acquire(),
    ];

    budget.set_max(2);

    assert!(permits.iter().all(Option::is_some));
    drop(permits);
    let reacquired: Vec<_> = (0..3).map(|_| budget.try_acquire()).collect();
    assert_eq!(reacquired.iter().flatten().count(), 2);
}
