//! The shared limit on idle connections of many clients.

use zincpier::connection::IdleBudget;

/// Guards against permits above the limit, and against permits that are never returned.
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

/// Guards against running out of file descriptors when a burst of commands opens connections to
/// every server and all of them become idle.
#[test]
fn burst_to_thousands_of_servers_keeps_few_idle_connections() {
    // Arrange: two connections to each of 3,000 servers become idle.
    let budget = IdleBudget::new(600);

    // Act.
    let permits: Vec<_> = (0..6_000).filter_map(|_| budget.try_acquire()).collect();

    // Assert: with one connection per server for its lease renewal, fewer than 4,100 descriptors
    // are in use.
    assert!(permits.len() + 3_000 < 4_100);
}

/// Guards against a lower limit that revokes permits in use or is ignored by later ones.
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

/// Guards against clients that get no permit for their only idle connection, and against such
/// permits beyond the limit, of which there would be too many in a fleet that grows.
#[test]
fn permits_are_left_for_first_connections_within_the_limit() {
    let budget = IdleBudget::new(3);
    budget.set_clients(2);

    let permits = [
        budget.try_acquire(),
        budget.try_acquire(),
        budget.try_acquire_first(),
        budget.try_acquire_first(),
        budget.try_acquire_first(),
    ];

    let granted = permits.map(|permit| permit.is_some());
    assert_eq!(granted, [true, false, true, true, false]);
}
