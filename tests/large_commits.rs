//! Changes of more rows than one transaction holds, on a slow table.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/fake_fleet.rs"]
mod fake_fleet;

#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use monoio::time::sleep;
use monoio::time::Instant;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobSpec;
use zincpier::workflow::SubmitOutcome;

use crate::fake_fleet::start_entry;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

const TIMEOUT: Duration = Duration::from_secs(15);

/// Jobs of one task each: the rows of four transactions.
const JOBS: usize = 340;

/// Time that the table takes for a commit.
const COMMIT_TIME: Duration = Duration::from_millis(400);

async fn submit(link: &Rc<FakeLink>, number: usize) {
    let spec = JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![fixtures::step(1)],
        schedule: None,
    };
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    let id = format!("{number:016x}").parse().unwrap();
    let deadline = Instant::now() + TIMEOUT;
    let scope = CallerScope::Everything;
    let outcome = intake.submit(&id, &spec, &scope, deadline).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
}

/// Waits until at least `count` tasks run.
async fn wait_for_running(fleet: &FakeFleet, count: usize) -> Instant {
    let deadline = Instant::now() + TIMEOUT;
    while fleet.running_count() < count && Instant::now() < deadline {
        sleep(Duration::from_millis(10)).await;
    }
    assert!(fleet.running_count() >= count);
    Instant::now()
}

/// Guards against starts that wait for the transactions of other jobs' rows although their own are stored.
#[test]
fn starts_of_stored_rows_do_not_wait_for_the_rest_of_the_commit() {
    run(async {
        // Arrange.
        let workers = (0..60).map(fixtures::worker_entry).collect();
        let fleet = FakeFleet::new(fixtures::config(), workers);
        fleet.task_ms.set(60_000);
        let link = start_entry(&fleet, "boston-1");
        submit(&link, 0).await;
        wait_for_running(&fleet, 1).await;
        fleet.commit_time.set(COMMIT_TIME);

        // Act.
        join_all((1..JOBS).map(|number| submit(&link, number))).await;
        let first = wait_for_running(&fleet, 2).await;
        let last = wait_for_running(&fleet, JOBS).await;

        // Assert.
        assert!(last - first >= 2 * COMMIT_TIME, "{:?}", last - first);
        assert!(fleet.uncommitted_starts.borrow().is_empty());
    });
}
