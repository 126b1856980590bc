//! Tests job submissions against an in-memory table.

#[path = "common/fake_table.rs"]
mod fake_table;
#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;

use zincpier::id::JobId;
use zincpier::job::open_key;
use zincpier::job::JobRecord;
use zincpier::job::JobSize;
use zincpier::job::JobSpec;
use zincpier::job::JobStore;

use crate::fake_table::FakeTable;
use crate::runtime::run;

fn spec(kind: &str) -> JobSpec {
    JobSpec {
        team: "bays".parse().unwrap(),
        service: "notices".parse().unwrap(),
        kind: kind.to_owned(),
        size: JobSize::new(1, 1, 0),
        run_ms: 1,
        deadline_ms: 1,
        urgent: false,
        repeatable: false,
        checkpoints: false,
        work: String::new(),
    }
}

/// Guards against returning another caller's job with the same id: its row appears while the
/// submission is retried because the table does not respond.
#[test]
fn conflicting_row_of_another_caller_is_not_taken_as_own_submission() {
    run(async {
        let table = Rc::new(FakeTable::default());
        let store = JobStore::new(Rc::clone(&table));
        let id = "same".parse::<JobId>().unwrap();
        table.unresponsive.set(true);
        let rival = async {
            sleep(Duration::from_millis(150)).await;
            let record = JobRecord::new(id.clone(), spec("theirs"), 1);
            table.store(&open_key(&id), serde_json::to_value(record).unwrap());
            table.unresponsive.set(false);
        };

        let submitted = store.submit(id.clone(), spec("mine"));
        let (submitted, ()) = futures::future::join(submitted, rival).await;

        assert_eq!(submitted.unwrap(), None);
    });
}

/// Guards against a second record or an error when a submission was committed, but the response was
/// lost and the submission is retried.
#[test]
fn submission_with_lost_answer_is_recorded_once() {
    run(async {
        let table = Rc::new(FakeTable::default());
        let store = JobStore::new(Rc::clone(&table));
        let id = "lost".parse::<JobId>().unwrap();
        table.lost_answers.set(1);

        let submitted = store.submit(id.clone(), spec("mine")).await.unwrap();

        assert_eq!(submitted.map(|record| record.id), Some(id.clone()));
        assert_eq!(table.rows_with_prefix("job/open/").len(), 1);
    });
}
