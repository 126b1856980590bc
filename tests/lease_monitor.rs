//! Guards against claims of a lease that is still held, and against late claims of an expired or
//! released one.

use serde_json::json;
use zincpier::id::Revision;
use zincpier::provider::TableRow;
use zincpier::workflow::HostResources;
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
fn renewed_lease_may_not_be_claimed() {
    let mut monitor = LeaseMonitor::new(0);

    let claims = (0..20_u64).map(|read| {
        let row = leader_row(read, "boston-2", false);
        monitor.may_claim(Some(&row), "boston-1", 5, read * 300)
    });

    assert_eq!(claims.filter(|&claim| claim).count(), 0);
}

#[test]
fn unchanged_lease_may_be_claimed() {
    let mut monitor = LeaseMonitor::new(0);
    let row = leader_row(7, "boston-2", false);
    monitor.may_claim(Some(&row), "boston-1", 5, 0);

    assert!(!monitor.may_claim(Some(&row), "boston-1", 5, 900));
    assert!(monitor.may_claim(Some(&row), "boston-1", 5, 1_200));
}

#[test]
fn slow_table_extends_the_lease() {
    let mut monitor = LeaseMonitor::new(0);
    let row = leader_row(7, "boston-2", false);
    monitor.may_claim(Some(&row), "boston-1", 240, 0);

    assert!(!monitor.may_claim(Some(&row), "boston-1", 240, 2_000));
    assert!(monitor.may_claim(Some(&row), "boston-1", 240, 2_300));
}

#[test]
fn released_own_or_missing_lease_may_be_claimed_at_once() {
    let mut monitor = LeaseMonitor::new(0);
    let released = leader_row(7, "boston-2", true);
    let own = leader_row(7, "boston-1", false);

    assert!(monitor.may_claim(Some(&released), "boston-1", 5, 0));
    assert!(monitor.may_claim(Some(&own), "boston-1", 5, 0));
    assert!(monitor.may_claim(None, "boston-1", 5, 0));
}

#[test]
fn older_process_yields_a_released_lease_to_a_restarted_one() {
    let mut older = LeaseMonitor::new(0);
    let mut recent = LeaseMonitor::new(95_000);
    let row = leader_row(7, "boston-2", true);

    assert!(!older.may_claim(Some(&row), "boston-1", 5, 100_000));
    assert!(recent.may_claim(Some(&row), "boston-3", 5, 100_000));
    assert!(older.may_claim(Some(&row), "boston-1", 5, 100_500));
}

/// Guards against a controller on a host that can't carry the load that the last holder carried,
/// while others like the last one are there.
#[test]
fn host_with_less_processor_time_than_the_last_holder_claims_later() {
    let mut equal = LeaseMonitor::new(0).with_processor_millis(Some(500));
    let mut weaker = LeaseMonitor::new(0).with_processor_millis(Some(250));
    let mut expired = leader_row(7, "boston-2", false);
    expired.value["processor_millis"] = json!(500);
    equal.may_claim(Some(&expired), "boston-1", 5, 0);
    weaker.may_claim(Some(&expired), "boston-3", 5, 0);

    assert!(equal.may_claim(Some(&expired), "boston-1", 5, 1_200));
    assert!(!weaker.may_claim(Some(&expired), "boston-3", 5, 1_200));
    assert!(weaker.may_claim(Some(&expired), "boston-3", 5, 1_500));
}

/// Guards against a first controller on a host that happens to read the table first.
#[test]
fn first_lease_goes_to_the_host_with_the_most_processor_time() {
    let first_claim_ms = |processor_millis| {
        let mut monitor = LeaseMonitor::new(0).with_processor_millis(Some(processor_millis));
        let mut reads = (0..20).map(|read| read * 100);
        reads.find(|&now_ms| monitor.may_claim(None, "boston-1", 5, now_ms))
    };

    let (strong_ms, weak_ms) = (first_claim_ms(500), first_claim_ms(250));

    // Apart by more than the interval at which the row is read.
    assert!(
        strong_ms.unwrap() + 300 < weak_ms.unwrap(),
        "{strong_ms:?} {weak_ms:?}"
    );
}

/// Guards against lists of hosts that fill a thin link, beside which leases are renewed too late.
#[test]
fn lists_of_hosts_take_a_tenth_of_the_link_at_most() {
    let interval = |link_mbps| {
        let resources = HostResources {
            link_mbps,
            memory_mb: None,
            ..HostResources::default()
        };
        resources.host_list_interval(132).as_millis()
    };

    assert_eq!(interval(Some(2.0)), 1_056, "26,400 bytes take 106 ms");
    assert!(interval(Some(200.0)) < 20);
    assert_eq!(interval(None), 0);
}

#[test]
fn host_with_a_thin_link_leaves_the_lease_to_others() {
    let mut fit = LeaseMonitor::new(0);
    let thin = HostResources {
        processor_share: Some(0.5),
        link_mbps: Some(10.0),
        memory_mb: None,
    };
    let mut thin = LeaseMonitor::new(0).with_claim_delay(thin.claim_delay_ms());
    let expired = leader_row(7, "boston-2", false);
    fit.may_claim(Some(&expired), "boston-1", 5, 0);
    thin.may_claim(Some(&expired), "boston-3", 5, 0);

    assert!(fit.may_claim(Some(&expired), "boston-1", 5, 1_200));
    assert!(!thin.may_claim(Some(&expired), "boston-3", 5, 1_200));
    assert!(thin.may_claim(Some(&expired), "boston-3", 5, 1_800));
}

#[test]
fn restarted_host_with_little_processor_time_leaves_a_released_lease_to_others() {
    let slow = HostResources {
        processor_share: Some(0.12),
        link_mbps: Some(200.0),
        memory_mb: None,
    };
    let mut slow = LeaseMonitor::new(95_000).with_claim_delay(slow.claim_delay_ms());
    let row = leader_row(7, "boston-2", true);

    assert!(!slow.may_claim(Some(&row), "boston-3", 5, 100_000));
    assert!(slow.may_claim(Some(&row), "boston-3", 5, 100_700));
}

#[test]
fn host_of_unknown_resources_claims_without_delay() {
    assert_eq!(HostResources::default().claim_delay_ms(), 0);
}

#[test]
fn starts_on_their_way_together_fit_the_link() {
    let bytes = |link_mbps| {
        let resources = HostResources {
            link_mbps,
            memory_mb: None,
            ..HostResources::default()
        };
        resources.start_bytes()
    };

    assert_eq!(bytes(None), 125_000);
    assert_eq!(bytes(Some(2.0)), 25_000);
    assert_eq!(bytes(Some(10.0)), 125_000);
    assert_eq!(bytes(Some(200.0)), 2_500_000);
}
