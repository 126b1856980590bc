//! Archives ended jobs after changes of the controller that left their rows half moved. Guards
//! against jobs that run again and against rows that stay for ever.

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
use serde_json::json;
use zincpier::id::JobId;
use zincpier::id::Revision;
use zincpier::process::EntryMetrics;
use zincpier::process::ShutdownSignal;
use zincpier::provider::Transaction;
use zincpier::workflow::cancel_key;
use zincpier::workflow::ended_key;
use zincpier::workflow::job_key;
use zincpier::workflow::ArchivedJobs;
use zincpier::workflow::CallerScope;
use zincpier::workflow::Controller;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::FleetView;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LookupOutcome;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

/// Time after which ended jobs have left the loaded rows, with some reserve.
const ARCHIVE_TIMEOUT: Duration = Duration::from_secs(25);

fn fleet() -> Rc<FakeFleet> {
    let workers = (0..4).map(fixtures::worker_entry).collect();
    FakeFleet::new(fixtures::config(), workers)
}

fn start_entry(fleet: &Rc<FakeFleet>) -> Rc<FakeLink> {
    let link = FakeLink::new(fleet);
    let controller = Controller::new(
        Rc::clone(&link),
        FleetView::new(),
        "boston-1".to_owned(),
        Rc::new(EntryMetrics::new()),
        Rc::new(CountFreshness::new()),
        ShutdownSignal::new(),
    );
    monoio::spawn(async move { controller.run().await });
    link
}

/// Returns the id of a job; all are in the same partition.
fn job_id(number: usize) -> JobId {
    format!("{number:015x}5").parse().unwrap()
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

fn with_submission(rows: Transaction, id: &JobId) -> Transaction {
    rows.with_write(job_key(id), serde_json::to_value(spec()).unwrap())
}

fn with_progress(rows: Transaction, id: &JobId) -> Transaction {
    let progress = json!({ "phase": "complete", "tasks": [] });
    rows.with_write(format!("progress/{id}"), progress)
}

/// Adds the move of an ended job, without its progress row.
fn with_move(rows: Transaction, id: &JobId) -> Transaction {
    rows.with_delete(job_key(id))
        .with_delete(cancel_key(id))
        .with_write(ended_key(id), json!("complete"))
}

async fn wait_until_no_job_is_loaded(fleet: &FakeFleet) {
    let count = || (fleet.count_rows("jobs@"), fleet.count_rows("progress/"));
    let deadline = Instant::now() + ARCHIVE_TIMEOUT;
    while count() != (0, 0) && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(count(), (0, 0));
}

async fn assert_complete(link: &Rc<FakeLink>, jobs: usize) {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    for number in 0..jobs {
        let found = intake
            .look_up(&job_id(number), &CallerScope::Everything)
            .await;
        assert_eq!(found, LookupOutcome::Found(JobPhase::Complete), "{number}");
    }
}

/// Progress rows without submissions would be loaded by all later controllers.
#[test]
fn progress_of_jobs_that_an_earlier_controller_moved_is_deleted() {
    run(async {
        // Arrange.
        let fleet = fleet();
        let left = |rows, number| with_move(with_progress(rows, &job_id(number)), &job_id(number));
        fleet.commit(&(0..5).fold(Transaction::new(), left));

        // Act.
        let link = start_entry(&fleet);

        // Assert.
        wait_until_no_job_is_loaded(&fleet).await;
        assert_complete(&link, 5).await;
        assert!(fleet.done_counts.borrow().is_empty());
    });
}

/// The table may carry out a move of an earlier controller after its successor has loaded the job.
/// The successor's own move of that job then fails, and must not hold up those of other jobs.
#[test]
fn jobs_moved_by_an_earlier_controller_after_the_load_hold_up_no_others() {
    run(async {
        // Arrange: a successor has loaded ten ended jobs.
        let fleet = fleet();
        let ended =
            |rows, number| with_submission(with_progress(rows, &job_id(number)), &job_id(number));
        fleet.commit(&(0..10).fold(Transaction::new(), ended));
        let link = start_entry(&fleet);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(fleet.count_rows("control/leader"), 1);

        // Act.
        let moved = |rows, number| with_move(rows, &job_id(number));
        fleet.commit(&(3..6).fold(Transaction::new(), moved));

        // Assert.
        wait_until_no_job_is_loaded(&fleet).await;
        assert_complete(&link, 10).await;
        assert!(fleet.done_counts.borrow().is_empty());
    });
}

/// A batch of moves is stored as a whole or not at all, and the rest of its partition waits behind it.
#[test]
fn ended_row_that_the_table_refuses_keeps_no_others_loaded() {
    run(async {
        // Arrange: more ended jobs than one move takes.
        let fleet = fleet();
        let ended =
            |rows, number| with_submission(with_progress(rows, &job_id(number)), &job_id(number));
        fleet.commit(&(0..40).fold(Transaction::new(), ended));
        fleet.refuse_rows(&ended_key(&job_id(3)), 0, 400);

        // Act.
        let link = start_entry(&fleet);
        let count = || (fleet.count_rows("jobs@"), fleet.count_rows("progress/"));
        let deadline = Instant::now() + ARCHIVE_TIMEOUT;
        while count() != (1, 1) && Instant::now() < deadline {
            sleep(Duration::from_millis(20)).await;
        }

        // Assert.
        assert_eq!(count(), (1, 1));
        assert_complete(&link, 40).await;
        assert!(fleet.done_counts.borrow().is_empty());
    });
}

/// A feed whose history is lost is read again from its start, and may deliver a submission that is
/// archived at the same time.
#[test]
fn archived_submission_that_is_read_again_does_not_run() {
    let mut fleet = fixtures::EngineFleet::new(2);
    let id = job_id(1);
    fleet.engine.archive_job(&id, fleet.now_ms);

    fleet.engine.add_job(id.clone(), spec(), None, fleet.now_ms);
    fleet.engine.set_submitted_revision(&id, Revision::new(7));

    assert!(fleet.place().is_empty());
    assert!(!fleet.engine.jobs.contains_key(&id));
}

#[test]
fn archived_jobs_expire_when_callers_may_no_longer_look_them_up() {
    let mut archived = ArchivedJobs::new();
    archived.insert(job_id(1), 1_000);
    archived.insert(job_id(2), 2_000);
    archived.insert(job_id(1), 90_000);

    assert!(archived.expired(121_000).is_empty());
    assert!(archived.expired(151_000).is_empty());
    assert_eq!(archived.expired(151_001), [job_id(1)]);
    archived.remove(&job_id(1));
    assert_eq!(archived.expired(152_001), [job_id(2)]);
}
