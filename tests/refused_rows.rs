//! Rows that the table refuses for a reason that nobody foresaw. Guards against a row of one job that
//! ends each term, so that nothing runs for anybody, and against effects of decisions that are not
//! durable.

#[path = "common/fake_fleet.rs"]
mod fake_fleet;

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use monoio::time::sleep;
use monoio::time::Instant;
use serde_json::json;
use zincpier::id::JobId;
use zincpier::provider::TableService;
use zincpier::provider::Transaction;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LookupOutcome;
use zincpier::workflow::SubmitOutcome;
use zincpier::workflow::WaveRequest;
use zincpier::workflow::LEADER_KEY;

use crate::fake_fleet::start_entry;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Answers that don't change if the same transaction is sent again.
const LASTING_STATUSES: [u16; 5] = [400, 403, 404, 413, 422];

/// The number of the job whose row the table refuses.
const REFUSED: usize = 1;

/// Tasks of each job.
const TASKS: u32 = 3;

/// The size from which even the smallest row of a job's progress is refused.
const ANY_SIZE: usize = 0;

/// Rows that the table refuses while it accepts as many others, in a test of the search for them.
const SEARCHED_ROWS: usize = 40;

/// Time that a slow table takes for a commit.
const SLOW_COMMIT: Duration = Duration::from_millis(450);

/// Most of the time that the search for these rows takes on that table, and more than workers' leases
/// last without a confirmed lease.
const SEARCH_TIME: Duration = Duration::from_secs(19);

/// Time within which a job starts whose row is stored: several commits of that table.
const STARTS_TIME: Duration = Duration::from_secs(6);

/// More than the leader row without backlogs and limits, less than the one with them.
const ROW_WITH_BACKLOGS: usize = 160;

/// More than the row of an ended job without tasks, less than that of a job with tasks.
const ROW_WITH_TASKS: usize = 40;

fn fleet() -> Rc<FakeFleet> {
    let workers = (0..4).map(fixtures::worker_entry).collect();
    FakeFleet::new(fixtures::config(), workers)
}

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").parse().unwrap()
}

fn progress_key(number: usize) -> String {
    format!("progress/{}", job_id(number))
}

fn intake(link: &Rc<FakeLink>) -> JobIntake<FakeLink> {
    JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()))
}

async fn submit(link: &Rc<FakeLink>, number: usize) {
    let spec = JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![fixtures::step(TASKS)],
        schedule: None,
    };
    let deadline = Instant::now() + TIMEOUT;
    let scope = CallerScope::Everything;
    let id = job_id(number);
    let outcome = intake(link).submit(&id, &spec, &scope, deadline).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
}

async fn look_up(link: &Rc<FakeLink>, number: usize) -> LookupOutcome {
    let scope = CallerScope::Everything;
    intake(link).look_up(&job_id(number), &scope).await
}

/// Returns whether the job is shown in `phase` within `limit`.
async fn reaches(link: &Rc<FakeLink>, number: usize, phase: JobPhase, limit: Duration) -> bool {
    let deadline = Instant::now() + limit;
    while Instant::now() < deadline {
        if look_up(link, number).await == LookupOutcome::Found(phase) {
            return true;
        }
        sleep(Duration::from_millis(50)).await;
    }
    false
}

async fn lease_epoch(link: &Rc<FakeLink>) -> u64 {
    let rows = link.read(&[LEADER_KEY]).await.unwrap();
    rows[0].value["epoch"].as_u64().unwrap()
}

/// Asserts that no task was started before its placement was durable, and that none ran twice.
fn assert_no_task_ran_twice(fleet: &FakeFleet) {
    assert!(fleet.uncommitted_starts.borrow().is_empty());
    assert!(fleet.concurrent_tasks.borrow().is_empty());
    let done_counts = fleet.done_counts.borrow();
    let twice: Vec<_> = done_counts
        .iter()
        .filter(|(_, times)| **times > 1)
        .collect();
    assert!(twice.is_empty(), "{twice:?}");
}

#[test]
fn refused_row_of_one_job_does_not_stop_all_others() {
    for status in LASTING_STATUSES {
        run(async {
            // Arrange.
            let fleet = fleet();
            fleet.refuse_rows(&progress_key(REFUSED), ANY_SIZE, status);
            let link = start_entry(&fleet, "boston-1");
            start_entry(&fleet, "boston-2");

            // Act.
            submit(&link, REFUSED).await;
            sleep(Duration::from_millis(500)).await;
            submit(&link, 2).await;
            let is_complete = reaches(&link, 2, JobPhase::Complete, Duration::from_secs(4)).await;

            // Assert: the refused job has no effects, since none of its decisions is durable.
            let results = (is_complete, lease_epoch(&link).await);
            assert_eq!(results, (true, 1), "status {status}");
            assert_no_task_ran_twice(&fleet);
            assert_eq!(fleet.done_counts.borrow().len(), TASKS as usize);
        });
    }
}

#[test]
fn refused_rows_cost_few_further_commits() {
    run(async {
        // Arrange.
        let fleet = fleet();
        fleet.refuse_rows(&progress_key(REFUSED), ANY_SIZE, 400);
        let link = start_entry(&fleet, "boston-1");

        // Act.
        submit(&link, REFUSED).await;
        for number in 2..20 {
            submit(&link, number).await;
        }
        sleep(Duration::from_secs(5)).await;

        // Assert: it isn't tried with each of hundreds of commits.
        let refused = fleet.refused_commits.get();
        assert!((2..40).contains(&refused), "{refused} refused");
        assert_eq!(lease_epoch(&link).await, 1);
    });
}

/// Ends that are acknowledged before they are durable are known to nobody after a takeover, and the
/// tasks run again.
#[test]
fn takeover_while_a_row_is_refused_runs_no_task_twice() {
    run(async {
        // Arrange: a job's tasks end while its row is refused.
        let fleet = fleet();
        fleet.task_ms.set(800);
        let first = start_entry(&fleet, "boston-1");
        submit(&first, REFUSED).await;
        submit(&first, 2).await;
        sleep(Duration::from_millis(500)).await;
        fleet.refuse_rows(&progress_key(REFUSED), ANY_SIZE, 400);
        let is_complete = reaches(&first, 2, JobPhase::Complete, TIMEOUT).await;
        assert!(is_complete);
        assert_eq!(fleet.done_counts.borrow().len(), 2 * TASKS as usize);

        // Act.
        let second = start_entry(&fleet, "boston-2");
        first.is_disconnected.set(true);
        fleet.row_refusals.borrow_mut().clear();
        let is_complete = reaches(&second, REFUSED, JobPhase::Complete, TIMEOUT).await;

        // Assert.
        assert!(is_complete);
        assert_no_task_ran_twice(&fleet);
        assert_eq!(lease_epoch(&second).await, 2);
    });
}

#[test]
fn job_goes_on_once_its_row_is_accepted() {
    run(async {
        // Arrange.
        let fleet = fleet();
        fleet.refuse_rows(&progress_key(REFUSED), ANY_SIZE, 400);
        let link = start_entry(&fleet, "boston-1");
        submit(&link, REFUSED).await;
        sleep(Duration::from_millis(1_500)).await;

        // Act.
        fleet.row_refusals.borrow_mut().clear();
        let is_complete = reaches(&link, REFUSED, JobPhase::Complete, Duration::from_secs(8)).await;

        // Assert.
        assert!(is_complete);
        assert_no_task_ran_twice(&fleet);
    });
}

/// Unacknowledged ends of one job fill what a worker lists, so that the ends of others stay unknown.
#[test]
fn job_that_cannot_be_stored_fails_and_frees_its_workers() {
    run(async {
        // Arrange: a worker lists few ends, and those of a refused job come first.
        let fleet = fleet();
        fleet.task_ms.set(800);
        fleet.max_listed_ends.set(1);
        let link = start_entry(&fleet, "boston-1");
        submit(&link, REFUSED).await;
        sleep(Duration::from_millis(500)).await;
        fleet.refuse_rows(&progress_key(REFUSED), ROW_WITH_TASKS, 400);

        // Act.
        submit(&link, 2).await;
        let has_failed = reaches(&link, REFUSED, JobPhase::Failed, TIMEOUT).await;
        let is_complete = reaches(&link, 2, JobPhase::Complete, TIMEOUT).await;

        // Assert.
        let results = (has_failed, is_complete, lease_epoch(&link).await);
        assert_eq!(results, (true, true, 1));
        assert_no_task_ran_twice(&fleet);
    });
}

#[test]
fn refused_parts_of_the_leader_row_do_not_end_each_term() {
    run(async {
        // Arrange: the row with the backlogs of queues is larger than the one without.
        let fleet = fleet();
        fleet.task_ms.set(2_000);
        fleet.refuse_rows(LEADER_KEY, ROW_WITH_BACKLOGS, 413);
        let link = start_entry(&fleet, "boston-1");
        start_entry(&fleet, "boston-2");

        // Act: far more tasks than the workers have room for.
        for number in 0..30 {
            submit(&link, number).await;
        }
        let is_complete = reaches(&link, 0, JobPhase::Complete, TIMEOUT).await;
        sleep(Duration::from_secs(2)).await;

        // Assert.
        assert!(fleet.refused_commits.get() > 0);
        let results = (is_complete, lease_epoch(&link).await);
        assert_eq!(results, (true, 1));
    });
}

#[test]
fn refused_count_of_a_queue_does_not_stop_jobs() {
    run(async {
        // Arrange: jobs wait for long enough to be counted.
        let fleet = fleet();
        fleet.workers_hidden.set(true);
        fleet.refuse_rows("queues/", ANY_SIZE, 400);
        let link = start_entry(&fleet, "boston-1");
        start_entry(&fleet, "boston-2");
        submit(&link, 2).await;
        sleep(Duration::from_secs(3)).await;

        // Act.
        fleet.workers_hidden.set(false);
        let is_complete = reaches(&link, 2, JobPhase::Complete, TIMEOUT).await;

        // Assert: a count that isn't published is not stated to be fresh.
        let rows = link.read(&[LEADER_KEY]).await.unwrap();
        let results = (is_complete, rows[0].value["epoch"].as_u64().unwrap());
        assert_eq!(results, (true, 1));
        let age_ms = rows[0].value["counts"]["age_ms"].as_u64();
        assert!(age_ms.is_none_or(|age_ms| age_ms > 2_000), "{age_ms:?}");
    });
}

/// A holder whose first job runs, and that then searches for refused rows: every other one of many rows that
/// change together, on a table that takes long for each commit.
async fn start_search() -> (Rc<FakeFleet>, Rc<FakeLink>) {
    let workers = (0..SEARCHED_ROWS).map(fixtures::worker_entry).collect();
    let fleet = FakeFleet::new(fixtures::config(), workers);
    fleet.task_ms.set(60_000);
    let link = start_entry(&fleet, "boston-1");
    submit(&link, 0).await;
    sleep(Duration::from_millis(500)).await;
    assert_eq!(fleet.running_count(), TASKS as usize);
    fleet.commit_time.set(SLOW_COMMIT);
    let numbers = 1..=2 * SEARCHED_ROWS;
    for number in numbers.clone().step_by(2) {
        fleet.refuse_rows(&progress_key(number), ANY_SIZE, 400);
    }
    join_all(numbers.map(|number| submit(&link, number))).await;
    (fleet, link)
}

/// The search takes longer than workers' leases are renewed without a confirmed lease, although each of its
/// commits renews the lease.
#[test]
fn search_for_refused_rows_does_not_end_the_runs_of_others() {
    run(async {
        // Arrange.
        let (fleet, link) = start_search().await;

        // Act.
        sleep(SEARCH_TIME).await;

        // Assert.
        let ids = (0..SEARCHED_ROWS).map(|number| fixtures::worker_entry(number).id);
        ids.for_each(|id| fleet.advance(&id));
        let lapsed = fleet.lapsed_workers.borrow().clone();
        assert!(fleet.refused_commits.get() > SEARCHED_ROWS as u32);
        assert_eq!((lapsed.len(), lease_epoch(&link).await), (0, 1));
    });
}

/// Jobs whose rows are stored wait for the end of the search, beside idle workers.
#[test]
fn search_for_refused_rows_does_not_hold_back_the_starts_of_others() {
    run(async {
        // Arrange.
        let (fleet, _link) = start_search().await;

        // Act.
        sleep(STARTS_TIME).await;

        // Assert.
        assert!(fleet.refused_commits.get() > 0);
        let running = fleet.running_count();
        assert!(running > TASKS as usize, "{running} run");
    });
}

/// A successor that doesn't know of an upkeep takes down more hosts than the wave allows.
#[test]
fn refused_row_of_a_wave_holds_back_its_commands_only() {
    run(async {
        // Arrange.
        let fleet = fleet();
        fleet.refuse_rows("waves/", ANY_SIZE, 400);
        let link = start_entry(&fleet, "boston-1");
        start_entry(&fleet, "boston-2");

        // Act.
        fleet.start_wave(WaveRequest {
            wave: "1".parse().unwrap(),
            hosts: (0..4)
                .map(|index| format!("host-w-{index}").parse().unwrap())
                .collect(),
            unreadable_hosts: 0,
            deadline_ms: 20_000,
            max_down: 1,
        });
        submit(&link, 2).await;
        let is_complete = reaches(&link, 2, JobPhase::Complete, TIMEOUT).await;
        sleep(Duration::from_secs(2)).await;

        // Assert.
        let results = (is_complete, lease_epoch(&link).await);
        assert_eq!(results, (true, 1));
        assert!(fleet.upkeeps.borrow().is_empty());
        fleet.row_refusals.borrow_mut().clear();
        let deadline = Instant::now() + TIMEOUT;
        while fleet.upkeeps.borrow().is_empty() && Instant::now() < deadline {
            sleep(Duration::from_millis(50)).await;
        }
        assert!(!fleet.upkeeps.borrow().is_empty());
    });
}

/// Workers refuse the first epochs after later ones, so that nothing would run for anybody until they are
/// restarted.
#[test]
fn deleted_leader_row_does_not_stop_all_jobs() {
    run(async {
        // Arrange: the workers have seen the epoch of a third holder.
        let fleet = fleet();
        let record = json!({ "epoch": 2, "holder": "boston-9", "commit": 1, "released": true });
        let store = Transaction::new().with_write(LEADER_KEY, record);
        fleet.commit(&store);
        let link = start_entry(&fleet, "boston-1");
        submit(&link, 1).await;
        let is_begun = reaches(&link, 1, JobPhase::Complete, Duration::from_secs(8)).await;

        // Act.
        fleet.commit(&Transaction::new().with_delete(LEADER_KEY));
        sleep(Duration::from_millis(500)).await;
        submit(&link, 2).await;
        let is_complete = reaches(&link, 2, JobPhase::Complete, Duration::from_secs(8)).await;

        // Assert.
        assert_eq!((is_begun, is_complete), (true, true));
        assert_no_task_ran_twice(&fleet);
    });
}
