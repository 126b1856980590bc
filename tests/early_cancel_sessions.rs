//! Controllers that find records of cancellations of unknown jobs. Guards against records that stay for ever,
//! that a takeover forgets, or that keep another organisation's job of the same id from running.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/fake_fleet.rs"]
mod fake_fleet;

#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;
use zincpier::id::JobId;
use zincpier::id::Revision;
use zincpier::process::boot_ms;
use zincpier::provider::Transaction;
use zincpier::provider::TransactionOutcome;
use zincpier::workflow::cancel_key;
use zincpier::workflow::ended_key;
use zincpier::workflow::job_key;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CancelOutcome;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::EarlyCancel;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LookupOutcome;
use zincpier::workflow::SubmitOutcome;

use crate::fake_fleet::start_entry;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

/// Time after which an archiver has passed, with some reserve.
const PASS_TIMEOUT: Duration = Duration::from_secs(20);

fn fleet() -> Rc<FakeFleet> {
    let workers = (0..4).map(fixtures::worker_entry).collect();
    FakeFleet::new(fixtures::config(), workers)
}

fn job_id(number: usize) -> JobId {
    format!("{number:015x}5").parse().unwrap()
}

fn organisation(name: &str) -> CallerScope {
    CallerScope::Organisation(name.parse().unwrap())
}

fn spec(scope: &CallerScope) -> JobSpec {
    JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: scope.organisation().cloned(),
        payload: "text".to_owned(),
        steps: vec![fixtures::step(1)],
        schedule: None,
    }
}

fn intake(link: &Rc<FakeLink>) -> JobIntake<FakeLink> {
    JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()))
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(2)
}

/// Adds the rows of a record that was written `age_ms` ago.
fn with_record(rows: Transaction, id: &JobId, age_ms: u64) -> Transaction {
    let recorded_ms = Some(boot_ms().saturating_sub(age_ms));
    let record = EarlyCancel::new(recorded_ms).with_caller(&CallerScope::Everything, recorded_ms);
    let value = serde_json::to_value(record).unwrap();
    rows.with_write(ended_key(id), value.clone())
        .with_write(cancel_key(id), value)
}

async fn wait_until(is_met: impl Fn() -> bool) {
    let deadline = Instant::now() + PASS_TIMEOUT;
    while !is_met() && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }
    assert!(is_met());
}

/// Guards against a submission that is carried out after a holder has started from the table, and against
/// records that each takeover keeps for their whole time again.
#[test]
fn records_hold_through_a_takeover_and_are_deleted_in_time() {
    run(async {
        // Arrange: records of which only some are old.
        let fleet = fleet();
        fleet.clock_ahead_ms.set(400_000);
        let rows = (0..40).fold(Transaction::new(), |rows, number| {
            with_record(rows, &job_id(number), 0)
        });
        fleet.commit(&rows);
        let fresh = JobIntake::new(FakeLink::new(&fleet), Rc::new(CountFreshness::new()));
        let outcome = fresh
            .cancel(&job_id(50), &CallerScope::Everything, deadline())
            .await;
        assert_eq!(outcome, CancelOutcome::NoJob);

        // Act.
        let link = start_entry(&fleet, "boston-1");
        wait_until(|| fleet.count_rows("ended@") == 1 && fleet.count_rows("jobs@") == 1).await;

        // Assert.
        let submission = Transaction::new()
            .with_check(job_key(&job_id(50)), Revision::new(0))
            .with_check(ended_key(&job_id(50)), Revision::new(0))
            .with_write(
                job_key(&job_id(50)),
                serde_json::to_value(spec(&CallerScope::Everything)).unwrap(),
            );
        let late = fleet.commit(&submission);
        assert!(matches!(late, TransactionOutcome::Conflict(_)));
        assert!(fleet.done_counts.borrow().is_empty());
        drop(link);
    });
}

/// Guards against a holder that takes a record for an archived job and leaves out the job that replaced it.
#[test]
fn job_that_replaces_a_record_runs_and_ends() {
    run(async {
        // Arrange.
        let fleet = fleet();
        let link = start_entry(&fleet, "boston-1");
        wait_until(|| fleet.count_rows("control/leader") == 1).await;
        let (owner, other) = (organisation("north"), organisation("south"));
        let id = job_id(1);
        let cancelled = intake(&link).cancel(&id, &other, deadline()).await;
        assert_eq!(cancelled, CancelOutcome::NoJob);
        sleep(Duration::from_secs(1)).await;

        // Act.
        let outcome = intake(&link)
            .submit(&id, &spec(&owner), &owner, deadline())
            .await;

        // Assert.
        assert_eq!(outcome, SubmitOutcome::Accepted);
        wait_until(|| fleet.done_counts.borrow().len() == 1).await;
        wait_until(|| fleet.count_rows("progress/") == 0 && fleet.count_rows("jobs@") == 0).await;
        let found = intake(&link).look_up(&id, &owner).await;
        assert_eq!(found, LookupOutcome::Found(JobPhase::Complete));
        let foreign = intake(&link).look_up(&id, &other).await;
        assert_eq!(foreign, LookupOutcome::NoJob);
    });
}
