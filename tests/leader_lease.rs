//! Guards against a lease that is claimed as if there had been no earlier holder.

#[path = "common/fake_table.rs"]
mod fake_table;

#[path = "common/runtime.rs"]
mod runtime;

use serde_json::json;
use serde_json::Value;
use zincpier::workflow::LeaderLease;
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
