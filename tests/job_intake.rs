//! Submits, looks up and cancels jobs while the controller moves them to the table of ended jobs.
//! Guards against callers that lose sight of a job and against jobs that are accepted twice.

#[path = "common/fake_table.rs"]
mod fake_table;

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/runtime.rs"]
mod runtime;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::Instant;
use serde_json::json;
use zincpier::error::Result;
use zincpier::id::JobId;
use zincpier::provider::RowCheck;
use zincpier::provider::TableRow;
use zincpier::provider::TableService;
use zincpier::provider::Transaction;
use zincpier::provider::TransactionOutcome;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CancelOutcome;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LookupOutcome;
use zincpier::workflow::SubmitOutcome;

use crate::fake_table::FakeTable;
use crate::runtime::run;

const JOB: &str = "00000000000000a7";
const SUBMISSION_KEY: &str = "jobs@7/00000000000000a7";
const CANCEL_KEY: &str = "jobs@7/00000000000000a7.cancel";
const ENDED_KEY: &str = "ended@7/00000000000000a7";
const PROGRESS_KEY: &str = "progress/00000000000000a7";

/// More calls than any request makes.
const CALLS: u32 = 6;

/// A table in which a controller changes the rows of [`JOB`] between the calls of a request.
struct ChangingTable {
    table: FakeTable,
    calls: Cell<u32>,
    /// The calls before which the job completes, is moved to the ended jobs, and loses its
    /// progress row.
    complete_before: u32,
    move_before: u32,
    forget_before: u32,
}

impl ChangingTable {
    fn new(complete_before: u32, move_before: u32, forget_before: u32) -> Rc<Self> {
        let table = FakeTable::default();
        table.store(SUBMISSION_KEY, json!({}));
        Rc::new(Self {
            table,
            calls: Cell::new(0),
            complete_before,
            move_before,
            forget_before,
        })
    }

    /// Applies the changes that are due before the next call.
    fn advance(&self) {
        let call = self.calls.get();
        self.calls.set(call + 1);
        if call == self.complete_before {
            let progress = json!({ "phase": "complete", "tasks": [] });
            self.table.store(PROGRESS_KEY, progress);
        }
        if call == self.move_before {
            self.table.remove(SUBMISSION_KEY);
            self.table.remove(CANCEL_KEY);
            self.table.store(ENDED_KEY, json!("complete"));
        }
        if call == self.forget_before {
            self.table.remove(PROGRESS_KEY);
        }
    }
}

impl TableService for ChangingTable {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome> {
        self.advance();
        self.table.transact(transaction).await
    }

    async fn read(&self, keys: &[&str]) -> Result<Vec<TableRow>> {
        self.advance();
        self.table.read(keys).await
    }

    async fn revisions(&self, keys: &[&str]) -> Result<Vec<RowCheck>> {
        self.table.revisions(keys).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<TableRow>> {
        self.table.scan(prefix, after, limit).await
    }
}

/// Returns all orders of the three changes, each before any of the first [`CALLS`] calls.
fn all_interleavings() -> impl Iterator<Item = (u32, u32, u32)> {
    (0..CALLS).flat_map(|complete| {
        (complete..CALLS).flat_map(move |moved| {
            (moved..CALLS).map(move |forgotten| (complete, moved, forgotten))
        })
    })
}

fn job_id() -> JobId {
    JOB.parse().unwrap()
}

fn spec() -> JobSpec {
    JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![fixtures::step(1)],
        schedule: None,
    }
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

#[test]
fn look_up_never_loses_sight_of_a_job_that_is_moved() {
    run(async {
        for (complete, moved, forgotten) in all_interleavings() {
            let table = ChangingTable::new(complete, moved, forgotten);
            let intake = JobIntake::new(Rc::clone(&table), Rc::new(CountFreshness::new()));

            let found = intake.look_up(&job_id(), &CallerScope::Everything).await;

            // It is queued only if it was when the look-up started.
            let is_right = match found {
                LookupOutcome::Found(JobPhase::Complete) => true,
                LookupOutcome::Found(JobPhase::Queued) => complete > 0,
                _ => false,
            };
            assert!(is_right, "{found:?} ({complete}, {moved}, {forgotten})");
        }
    });
}

#[test]
fn look_up_shows_the_phase_of_each_archived_job() {
    run(async {
        for phase in [JobPhase::Complete, JobPhase::Failed, JobPhase::Cancelled] {
            let table = Rc::new(FakeTable::default());
            table.store(ENDED_KEY, json!(phase.as_str()));

            let found = JobIntake::new(table, Rc::new(CountFreshness::new()))
                .look_up(&job_id(), &CallerScope::Everything)
                .await;

            assert_eq!(found, LookupOutcome::Found(phase));
        }
    });
}

#[test]
fn archived_job_with_an_unreadable_phase_is_not_reported_as_missing() {
    run(async {
        let table = Rc::new(FakeTable::default());
        table.store(ENDED_KEY, json!({ "phase": 7 }));

        let found = JobIntake::new(table, Rc::new(CountFreshness::new()))
            .look_up(&job_id(), &CallerScope::Everything)
            .await;

        assert_eq!(found, LookupOutcome::Unknown);
    });
}

#[test]
fn archived_job_is_not_accepted_again() {
    run(async {
        let table = Rc::new(FakeTable::default());
        table.store(ENDED_KEY, json!("complete"));

        let intake = JobIntake::new(Rc::clone(&table), Rc::new(CountFreshness::new()));
        let outcome = intake
            .submit(&job_id(), &spec(), &CallerScope::Everything, deadline())
            .await;

        assert_eq!(outcome, SubmitOutcome::Known);
        assert!(table.row(SUBMISSION_KEY).is_none());
    });
}

#[test]
fn cancel_of_a_job_that_is_moved_is_acknowledged_and_leaves_no_row() {
    run(async {
        for (complete, moved, forgotten) in all_interleavings() {
            let table = ChangingTable::new(complete, moved, forgotten);
            let intake = JobIntake::new(Rc::clone(&table), Rc::new(CountFreshness::new()));

            let outcome = intake
                .cancel(&job_id(), &CallerScope::Everything, deadline())
                .await;
            (0..CALLS).for_each(|_| table.advance());

            assert_eq!(
                outcome,
                CancelOutcome::Accepted,
                "({complete}, {moved}, {forgotten})"
            );
            assert!(table.table.row(CANCEL_KEY).is_none());
        }
    });
}
