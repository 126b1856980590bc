//! Guards against a lease that is claimed as if there had been no earlier holder, and against claims
//! that are taken for failed.

#[path = "common/fake_table.rs"]
mod fake_table;

#[path = "common/runtime.rs"]
mod runtime;

use std::time::Duration;

use futures::join;
use monoio::time::sleep;
use monoio::time::timeout;
use serde_json::json;
use serde_json::Value;
use zincpier::workflow::LeaderLease;
use zincpier::workflow::LeaseLost;
use zincpier::workflow::COMMANDS_KEY;
use zincpier::workflow::INHERITED_RUN_MS;
use zincpier::workflow::LEADER_KEY;

use crate::fake_table::FakeTable;
use crate::runtime::run;

/// Claims the lease whose row is `value`. Returns its epoch and the time for which runs of earlier
/// holders may continue unobserved.
fn claim(value: Option<Value>) -> (u64, u64) {
    let table = FakeTable::default();
    // Other rows were written before, as by earlier holders.
    (0..40).for_each(|number| table.store("queues/r-one", json!(number)));
    if let Some(value) = value {
        table.store(LEADER_KEY, value);
    }
    let row = table.row(LEADER_KEY);
    let lease = run(async { LeaderLease::claim(&table, row.as_ref(), "boston-1").await });
    let lease = lease.unwrap();
    (lease.epoch(), lease.inherited_ms())
}

#[test]
fn first_holder_has_epoch_one_and_inherits_nothing() {
    assert_eq!(claim(None), (1, 0));
}

#[test]
fn epoch_follows_that_of_the_row() {
    let record = json!({ "epoch": 7, "holder": "boston-2", "commit": 3, "released": false });

    assert_eq!(claim(Some(record)), (8, INHERITED_RUN_MS));
}

/// Workers refuse commands with a lower epoch than before, and tasks of a holder that is not known
/// would be started again while they run.
#[test]
fn unreadable_row_is_not_taken_for_the_first_term() {
    let unreadable = json!({ "term": 7, "holder": "boston-2" });

    let (epoch, inherited_ms) = claim(Some(unreadable));

    // Each term takes a transaction, so no epoch exceeds the row's revision.
    assert!(epoch > 41, "{epoch}");
    assert_eq!(inherited_ms, INHERITED_RUN_MS);
}

/// Workers keep the highest epoch that they have seen, so that they would refuse all commands of the first
/// epochs after the row was deleted, and their tasks would be started again while they run.
#[test]
fn deleted_leader_row_does_not_begin_with_epoch_one_again() {
    for trace in [COMMANDS_KEY, "progress/00000000000000a1"] {
        let table = FakeTable::default();
        (0..40).for_each(|number| table.store("queues/r-one", json!(number)));
        table.store(trace, json!({}));

        let lease = run(async { LeaderLease::claim(&table, None, "boston-1").await });

        // Each term takes a transaction, so no epoch exceeds the table's revision.
        let lease = lease.unwrap();
        assert!(lease.epoch() > 41, "{trace}: {}", lease.epoch());
        assert_eq!(lease.inherited_ms(), INHERITED_RUN_MS);
    }
}

/// The holder would try to renew its lease without end, and the only entry host would never claim it again.
#[test]
fn holder_whose_row_is_deleted_does_not_wait_for_it() {
    run(async {
        let table = FakeTable::default();
        let lease = LeaderLease::claim(&table, None, "boston-1").await;
        let mut lease = lease.unwrap();

        table.remove(LEADER_KEY);
        let commit = lease.commit(&table, Vec::new(), None);
        let outcome = timeout(Duration::from_secs(2), commit).await;

        assert_eq!(outcome.ok(), Some(Err(LeaseLost)));
    });
}

/// Returns the epoch of a lease that is claimed on `table`, and the one that the row then states.
fn claimed_epochs(table: &FakeTable) -> (Option<u64>, Option<u64>) {
    let lease = run(async { LeaderLease::claim(table, None, "boston-1").await });
    let row = table.row(LEADER_KEY);
    let stored = row.and_then(|row| row.value["epoch"].as_u64());
    (lease.map(|lease| lease.epoch()), stored)
}

/// The next claim would take another epoch, and the lease would pass on without end where each answer
/// is lost.
#[test]
fn claim_whose_answer_is_lost_is_not_taken_for_failed() {
    let table = FakeTable::default();
    table.lost_answers.set(1);

    assert_eq!(claimed_epochs(&table), (Some(1), Some(1)));
}

#[test]
fn claim_on_a_table_that_is_slower_than_the_time_limit_is_not_taken_for_failed() {
    let table = FakeTable::default();
    table.late_time.set(Some(Duration::from_millis(700)));

    assert_eq!(claimed_epochs(&table), (Some(1), Some(1)));
}

/// The lease would stay free for as long as the claim is waited for.
#[test]
fn claim_that_the_table_did_not_receive_is_sent_again() {
    let table = FakeTable::default();
    table.lost_requests.set(1);

    assert_eq!(claimed_epochs(&table), (Some(1), Some(1)));
}

/// Two hosts would act as holders.
#[test]
fn claim_without_an_answer_is_given_up_once_another_host_holds_the_lease() {
    run(async {
        // Arrange.
        let table = FakeTable::default();
        table.late_time.set(Some(Duration::from_millis(700)));
        let other = json!({ "epoch": 1, "holder": "boston-2", "commit": 0, "released": false });

        // Act: another host's claim is committed first.
        let store = async {
            sleep(Duration::from_millis(300)).await;
            table.store(LEADER_KEY, other.clone());
        };
        let (lease, ()) = join!(LeaderLease::claim(&table, None, "boston-1"), store);

        // Assert.
        assert!(lease.is_none());
    });
}

/// A host that claims the lease counts from the commit, so that commands of two holders to a host would
/// follow each other too soon.
#[test]
fn commit_whose_answer_is_lost_does_not_prolong_the_lease() {
    run(async {
        // Arrange.
        let table = FakeTable::default();
        let mut lease = LeaderLease::claim(&table, None, "boston-1").await.unwrap();
        table.lost_answers.set(1);

        // Act: a later read shows that it was committed.
        let refused = lease.commit(&table, Vec::new(), None).await;

        // Assert.
        assert_eq!(refused, Ok(Vec::new()));
        let (confirmed_ms, committed_ms) = (lease.confirmed_ms(), table.committed_ms.get());
        assert!(
            confirmed_ms <= committed_ms,
            "{confirmed_ms} {committed_ms}"
        );
    });
}
