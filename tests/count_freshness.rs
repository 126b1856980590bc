//! Guards against counts of pending jobs that are given although they are too old, and against
//! current ones that are refused.

#[path = "common/fake_table.rs"]
mod fake_table;

#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;

use serde_json::json;
use serde_json::Value;
use zincpier::id::Revision;
use zincpier::process::boot_ms;
use zincpier::provider::TableRow;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::JobIntake;
use zincpier::workflow::LeaderRecord;
use zincpier::workflow::PendingOutcome;
use zincpier::workflow::PublishedCounts;
use zincpier::workflow::LEADER_KEY;
use zincpier::workflow::MAX_COUNT_AGE_MS;

use crate::fake_table::FakeTable;
use crate::runtime::run;

const QUEUE: &str = "r-one";
const QUEUE_KEY: &str = "queues/r-one";

/// The age that the holder states in these tests, in ms.
const STATED_AGE_MS: u64 = 400;

fn row(key: &str, revision: u64, value: Value) -> TableRow {
    TableRow {
        key: key.to_owned(),
        revision: Revision::new(revision),
        value,
    }
}

/// Returns the row of a holder that claimed the lease with revision 5.
fn counting_row(revision: u64) -> TableRow {
    let counts = json!({ "age_ms": STATED_AGE_MS, "claimed": 5 });
    let record = json!({
        "epoch": 2, "holder": "boston-2", "commit": revision, "released": false, "counts": counts,
    });
    row(LEADER_KEY, revision, record)
}

/// Returns the row of a holder that renews its lease but has not counted, or of an earlier version.
fn silent_row(revision: u64) -> TableRow {
    let record = json!({
        "epoch": 3, "holder": "boston-3", "commit": revision, "released": false,
    });
    row(LEADER_KEY, revision, record)
}

fn counted_ms(freshness: &CountFreshness) -> Option<u64> {
    freshness.published().map(|counts| counts.counted_ms)
}

/// Returns counts that are current, of a holder that claimed the lease with `claimed`.
fn fresh_counts(claimed: u64) -> PublishedCounts {
    PublishedCounts {
        counted_ms: boot_ms(),
        epoch: 2,
        claimed: Revision::new(claimed),
    }
}

/// Returns the outcome for a queue whose row is `value`, with revision 1.
fn outcome(counts: Option<PublishedCounts>, value: Option<Value>) -> PendingOutcome {
    let table = Rc::new(FakeTable::default());
    if let Some(value) = value {
        table.store(QUEUE_KEY, value);
    }
    let freshness = Rc::new(CountFreshness::new());
    if let Some(counts) = counts {
        freshness.record_commit(counts);
    }
    run(async move { JobIntake::new(table, freshness).pending(QUEUE).await })
}

#[test]
fn record_of_an_earlier_version_states_no_counts() {
    let record: LeaderRecord = serde_json::from_value(silent_row(1).value).unwrap();

    assert_eq!(record.counts, None);
    assert_eq!(record.epoch, 3);
}

/// The holder of a row that is read for the first time may be gone for long.
#[test]
fn row_that_was_not_seen_to_change_proves_no_age() {
    let freshness = CountFreshness::new();

    (0..10).for_each(|read| freshness.record_read(Some(&counting_row(7)), 10_000 + read * 300));

    assert_eq!(freshness.published(), None);
}

/// A changed row may have been written right after the read before.
#[test]
fn age_includes_the_time_since_the_read_before_the_change() {
    let freshness = CountFreshness::new();
    freshness.record_read(Some(&counting_row(7)), 10_000);
    freshness.record_read(Some(&counting_row(7)), 10_300);

    freshness.record_read(Some(&counting_row(8)), 10_600);

    assert_eq!(counted_ms(&freshness), Some(10_300 - STATED_AGE_MS));
}

#[test]
fn counts_age_while_the_holder_is_silent() {
    let freshness = CountFreshness::new();
    freshness.record_read(Some(&counting_row(7)), 10_000);
    freshness.record_read(Some(&counting_row(8)), 10_300);
    let counted_ms = 10_000 - STATED_AGE_MS;

    (1..20).for_each(|read| freshness.record_read(Some(&counting_row(8)), 10_300 + read * 300));

    let counts = freshness.published().unwrap();
    assert_eq!(counts.counted_ms, counted_ms);
    assert!(counts.is_fresh(counted_ms + MAX_COUNT_AGE_MS));
    assert!(!counts.is_fresh(counted_ms + MAX_COUNT_AGE_MS + 1));
}

/// A new holder renews the lease while it loads the state, but has counted nothing.
#[test]
fn renewals_without_counts_do_not_make_earlier_counts_fresh() {
    let freshness = CountFreshness::new();
    freshness.record_read(Some(&counting_row(7)), 10_000);
    freshness.record_read(Some(&counting_row(8)), 10_300);
    let before = freshness.published();

    (1..20)
        .for_each(|read| freshness.record_read(Some(&silent_row(8 + read)), 10_300 + read * 300));

    assert_eq!(freshness.published(), before);
}

/// Between two reads that are far apart, the row may have been written at any time.
#[test]
fn gap_between_reads_counts_as_age() {
    let freshness = CountFreshness::new();
    freshness.record_read(Some(&counting_row(7)), 10_000);

    freshness.record_read(Some(&counting_row(8)), 16_000);

    assert!(!freshness.published().unwrap().is_fresh(16_000));
    freshness.record_read(Some(&counting_row(9)), 16_300);
    assert!(freshness.published().unwrap().is_fresh(16_300));
}

/// After its own term, an entry host does not know when the row of the next holder was written.
#[test]
fn first_read_after_an_own_term_proves_no_age() {
    let freshness = CountFreshness::new();
    freshness.record_read(Some(&counting_row(7)), 10_000);
    let own = PublishedCounts {
        counted_ms: 20_000,
        epoch: 3,
        claimed: Revision::new(8),
    };
    freshness.record_commit(own);

    freshness.record_read(Some(&counting_row(30)), 26_000);

    assert_eq!(freshness.published(), Some(own));
}

#[test]
fn count_is_unknown_before_anything_was_counted() {
    assert_eq!(outcome(None, Some(json!(4))), PendingOutcome::Unknown);
    assert_eq!(outcome(None, None), PendingOutcome::Unknown);
}

#[test]
fn old_count_is_unknown() {
    let mut counts = fresh_counts(0);
    counts.counted_ms -= MAX_COUNT_AGE_MS + 1;

    assert_eq!(
        outcome(Some(counts), Some(json!(4))),
        PendingOutcome::Unknown
    );
    assert_eq!(outcome(Some(counts), None), PendingOutcome::Unknown);
}

#[test]
fn current_count_is_known() {
    assert_eq!(
        outcome(Some(fresh_counts(0)), Some(json!(4))),
        PendingOutcome::Known(4)
    );
}

/// Every queue with pending jobs has a row once the holder has counted.
#[test]
fn missing_row_is_zero_while_counts_are_current() {
    assert_eq!(
        outcome(Some(fresh_counts(0)), None),
        PendingOutcome::Known(0)
    );
}

/// A holder does not rewrite the rows of queues that it knows nothing of.
#[test]
fn row_of_an_earlier_holder_is_not_given() {
    assert_eq!(
        outcome(Some(fresh_counts(5)), Some(json!(4))),
        PendingOutcome::Known(0)
    );
}

#[test]
fn unreadable_row_is_unknown() {
    assert_eq!(
        outcome(Some(fresh_counts(0)), Some(json!("four"))),
        PendingOutcome::Unknown
    );
}

#[test]
fn count_is_unknown_while_the_table_does_not_answer() {
    let table = Rc::new(FakeTable::default());
    table.unresponsive.set(true);
    let freshness = Rc::new(CountFreshness::new());
    freshness.record_commit(fresh_counts(0));

    let pending = run(async move { JobIntake::new(table, freshness).pending(QUEUE).await });

    assert_eq!(pending, PendingOutcome::Unknown);
}
