//! Which hosts a controller may give orders after it has taken over.

use zincpier::id::HostId;
use zincpier::workflow::CommandAges;
use zincpier::workflow::HostCommands;

/// The platform's bound for orders of two holders for one host, in ms.
const BOUND_MS: u64 = 3_000;

fn host(number: usize) -> HostId {
    format!("host-{number}").parse().unwrap()
}

fn commands() -> HostCommands {
    HostCommands::new(Some(&CommandAges::new()), 0)
}

#[test]
fn a_successor_in_a_rise_may_move_all_hosts_but_those_ordered_lately() {
    // Arrange: a rise has begun, and the controller has moved 4 of 48 hosts when it is lost.
    let mut before = commands();
    for number in 0..4 {
        before.record_pending(&host(number));
        before.record_resolved(&host(number), 10_000);
    }
    let ages = before.ages(10_400);

    // Act.
    let after = HostCommands::new(ages.as_ref(), 11_600);

    // Assert.
    let free = (0..48).filter(|number| after.may_command(&host(*number), 11_600));
    assert_eq!(free.count(), 44);
    assert!(after.is_inherited(&host(0), 11_600));
}

#[test]
fn an_order_of_the_predecessor_keeps_its_host_for_the_bound() {
    let mut before = commands();
    before.record_resolved(&host(0), 10_000);
    let ages = before.ages(10_000);

    let after = HostCommands::new(ages.as_ref(), 10_000);

    assert!(!after.may_command(&host(0), 10_000 + BOUND_MS));
    assert!(after.may_command(&host(0), 10_000 + BOUND_MS + 200));
}

#[test]
fn an_order_under_way_has_no_age() {
    let mut before = commands();
    before.record_pending(&host(0));

    let ages = before.ages(60_000).unwrap();

    assert_eq!(ages[&host(0)], 0);
}

#[test]
fn a_successor_hands_on_what_it_inherited() {
    // Arrange: two changes of the controller within the bound.
    let mut first = commands();
    first.record_resolved(&host(0), 1_000);
    let mut second = HostCommands::new(first.ages(1_000).as_ref(), 1_500);

    // Act.
    let ages = second.ages(2_500).unwrap();

    // Assert: counted from the first holder's commit at the latest.
    assert_eq!(ages[&host(0)], 1_000);
}

#[test]
fn nothing_is_ordered_for_the_bound_after_a_holder_that_told_nothing() {
    let mut after = HostCommands::new(None, 1_000);

    assert!(!after.may_command(&host(0), 1_000 + BOUND_MS));
    assert_eq!(after.ages(1_000 + BOUND_MS), None);
    assert!(after.may_command(&host(0), 1_000 + BOUND_MS + 200));
}

#[test]
fn a_controllers_own_orders_never_wait() {
    let mut own = commands();
    own.record_pending(&host(0));
    own.record_resolved(&host(0), 100);

    assert!(own.may_command(&host(0), 150));
}
