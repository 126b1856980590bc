//! When the controller's lease may be claimed.

use serde_json::json;
use zincpier::id::Revision;
use zincpier::provider::TableRow;
use zincpier::workflow::LeaseMonitor;
use zincpier::workflow::LEADER_KEY;

fn leader_row(revision: u64, holder: &str, released: bool) -> TableRow {
    TableRow {
        key: LEADER_KEY.to_owned(),
        revision: Revision::new(revision),
        value: json!({ "epoch": 1, "holder": holder, "commit": 3, "released": released }),
    }
}

#[test]
fn a_lease_that_is_renewed_may_not_be_claimed() {
    let mut monitor = LeaseMonitor::new(0);

    let claims = (0..20_u64).map(|look| {
        let row = leader_row(look, "boston-2", false);
        monitor.may_claim(Some(&row), "boston-1", 5, look * 300)
    });

    assert_eq!(claims.filter(|&claim| claim).count(), 0);
}

#[test]
fn a_lease_that_stays_unchanged_may_be_claimed() {
    let mut monitor = LeaseMonitor::new(0);
    let row = leader_row(7, "boston-2", false);
    monitor.may_claim(Some(&row), "boston-1", 5, 0);

    assert!(!monitor.may_claim(Some(&row), "boston-1", 5, 900));
    assert!(monitor.may_claim(Some(&row), "boston-1", 5, 1_200));
}

#[test]
fn a_slow_table_gives_the_holder_more_time() {
    let mut monitor = LeaseMonitor::new(0);
    let row = leader_row(7, "boston-2", false);
    monitor.may_claim(Some(&row), "boston-1", 240, 0);

    assert!(!monitor.may_claim(Some(&row), "boston-1", 240, 2_000));
    assert!(monitor.may_claim(Some(&row), "boston-1", 240, 2_300));
}

#[test]
fn a_released_lease_or_ones_own_may_be_claimed_at_once() {
    let mut monitor = LeaseMonitor::new(0);
    let released = leader_row(7, "boston-2", true);
    let own = leader_row(7, "boston-1", false);

    assert!(monitor.may_claim(Some(&released), "boston-1", 5, 0));
    assert!(monitor.may_claim(Some(&own), "boston-1", 5, 0));
    assert!(monitor.may_claim(None, "boston-1", 5, 0));
}

#[test]
fn an_older_process_leaves_a_released_lease_to_a_restarted_one() {
    let mut old = LeaseMonitor::new(0);
    let mut young = LeaseMonitor::new(95_000);
    let row = leader_row(7, "boston-2", true);

    assert!(!old.may_claim(Some(&row), "boston-1", 5, 100_000));
    assert!(young.may_claim(Some(&row), "boston-3", 5, 100_000));
    assert!(old.may_claim(Some(&row), "boston-1", 5, 100_500));
}
