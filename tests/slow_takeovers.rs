//! Guards against runs that are lost, or run twice, because a new holder takes longer to load the state than
//! a worker's lease lasts.

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
use zincpier::process::EntryMetrics;
use zincpier::process::ShutdownSignal;
use zincpier::provider::TableService;
use zincpier::provider::Transaction;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CancelOutcome;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LookupOutcome;
use zincpier::workflow::StepSpec;
use zincpier::workflow::SubmitOutcome;
use zincpier::workflow::LEADER_KEY;

use crate::fake_fleet::start_entry_with;
use crate::fake_fleet::EntryOptions;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Time for a page of rows. The state has two pages, and a worker's lease lasts 4.8 s.
const SLOW_PAGE_TIME: Duration = Duration::from_millis(3_200);

/// Longer than any task runs in these tests.
const LASTING_MS: u64 = 3_600_000;

const TASKS: u32 = 2;

/// The epoch of the second holder.
const NEXT_EPOCH: u64 = 2;

/// An entry host and what a test knows of it.
struct TestEntry {
    link: Rc<FakeLink>,
    metrics: Rc<EntryMetrics>,
    shutdown: ShutdownSignal,
}

fn start_entry(fleet: &Rc<FakeFleet>, name: &str) -> TestEntry {
    let (metrics, shutdown) = (Rc::new(EntryMetrics::new()), ShutdownSignal::new());
    let options = EntryOptions {
        metrics: Rc::clone(&metrics),
        shutdown: shutdown.clone(),
        ..EntryOptions::default()
    };
    TestEntry {
        link: start_entry_with(fleet, name, options),
        metrics,
        shutdown,
    }
}

fn intake(link: &Rc<FakeLink>) -> JobIntake<FakeLink> {
    JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()))
}

async fn wait_until(what: &str, is_so: impl Fn() -> bool) {
    let deadline = Instant::now() + TIMEOUT;
    while !is_so() {
        assert!(Instant::now() < deadline, "not in time: {what}");
        sleep(Duration::from_millis(10)).await;
    }
}

/// Starts a fleet whose first holder has started all tasks of a job with this step.
async fn busy_fleet(step: StepSpec, task_ms: u64) -> (Rc<FakeFleet>, TestEntry) {
    let workers = (0..3).map(fixtures::worker_entry).collect();
    let fleet = FakeFleet::new(fixtures::config(), workers);
    fleet.task_ms.set(task_ms);
    let first = start_entry(&fleet, "boston-1");
    let spec = JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![step],
        schedule: None,
    };
    let id = fixtures::JOB.parse().unwrap();
    let deadline = Instant::now() + TIMEOUT;
    let outcome = intake(&first.link)
        .submit(&id, &spec, &CallerScope::Everything, deadline)
        .await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    wait_until("starts", || {
        fleet.start_workers.borrow().len() == TASKS as usize
    })
    .await;
    (fleet, first)
}

/// Starts the next holder, whose load takes two pages, and kills the first one. Returns once the next
/// one has claimed the lease.
async fn kill_holder(fleet: &Rc<FakeFleet>, first: &TestEntry, page_time: Duration) -> TestEntry {
    sleep(Duration::from_millis(500)).await;
    fleet.page_time.set(page_time);
    let next = start_entry(fleet, "boston-2");
    first.link.is_disconnected.set(true);
    wait_for_claim(&next).await;
    next
}

async fn wait_for_claim(next: &TestEntry) {
    wait_until("a claim", || next.metrics.lease_epoch.get() > 0).await;
}

/// Waits for the first placement pass, which follows the load.
async fn wait_for_load(next: &TestEntry) {
    wait_until("a load", || next.metrics.open_jobs.get() > 0).await;
}

/// Ends the runs whose lease has expired, and returns how many are left.
fn live_runs(fleet: &FakeFleet) -> usize {
    (0..3).for_each(|index| fleet.advance(&fixtures::worker_entry(index).id));
    fleet.running_count()
}

fn next_holders_orders(fleet: &FakeFleet) -> Vec<&'static str> {
    let orders = fleet.carried_orders.borrow();
    let of_next = orders.iter().filter(|order| order.epoch == NEXT_EPOCH);
    of_next.map(|order| order.kind).collect()
}

fn assert_runs_were_kept(fleet: &FakeFleet) {
    assert_eq!(live_runs(fleet), TASKS as usize);
    assert!(fleet.lapsed_workers.borrow().is_empty());
    let starts = fleet.start_workers.borrow().len();
    assert_eq!(starts, TASKS as usize, "a task was started again");
    assert!(!next_holders_orders(fleet).contains(&"stop"));
}

/// On a thin host the load outlasts the workers' leases: all runs would lapse.
#[test]
fn runs_of_a_slow_takeover_keep_their_leases() {
    run(async {
        let (fleet, first) = busy_fleet(fixtures::long_running(TASKS, 1), LASTING_MS).await;

        let next = kill_holder(&fleet, &first, SLOW_PAGE_TIME).await;
        wait_for_load(&next).await;
        sleep(Duration::from_secs(2)).await;

        assert_runs_were_kept(&fleet);
    });
}

/// A run that the new holder doesn't know yet would be stopped, or its end forgotten.
#[test]
fn workers_are_given_no_order_but_renewals_until_the_state_is_loaded() {
    run(async {
        let (fleet, first) = busy_fleet(fixtures::step(TASKS), 4_000).await;

        let next = kill_holder(&fleet, &first, SLOW_PAGE_TIME).await;
        sleep(SLOW_PAGE_TIME + SLOW_PAGE_TIME / 2).await;
        let orders = next_holders_orders(&fleet);
        let done_in_load = fleet.done_counts.borrow().len();
        let is_loaded = next.metrics.open_jobs.get() > 0;

        assert!(!is_loaded, "the load is over too early for this test");
        assert!(!orders.is_empty(), "no worker was called");
        assert!(orders.iter().all(|kind| *kind == "renewal"), "{orders:?}");
        assert_eq!(done_in_load, TASKS as usize);
    });
}

/// An end that is listed while the state is loaded is only in the workers' lists: if it were acknowledged,
/// its task would run again.
#[test]
fn ends_listed_during_the_load_are_applied_after_it() {
    run(async {
        let (fleet, first) = busy_fleet(fixtures::step(TASKS), 4_000).await;

        let next = kill_holder(&fleet, &first, SLOW_PAGE_TIME).await;
        let id = fixtures::JOB.parse().unwrap();
        let deadline = Instant::now() + TIMEOUT;
        let phase = LookupOutcome::Found(JobPhase::Complete);
        let intake = intake(&next.link);
        while intake.look_up(&id, &CallerScope::Everything).await != phase {
            assert!(Instant::now() < deadline, "the job is not complete");
            sleep(Duration::from_millis(20)).await;
        }

        assert_eq!(fleet.start_workers.borrow().len(), TASKS as usize);
        let done = fleet.done_counts.borrow();
        assert!(done.values().all(|&times| times == 1), "{done:?}");
    });
}

/// An entry host that has lost the lease would renew the workers' leases on.
#[test]
fn workers_are_not_called_after_the_lease_is_lost_during_the_load() {
    run(async {
        // Arrange: the next holder can't load the state.
        let (fleet, first) = busy_fleet(fixtures::long_running(TASKS, 1), LASTING_MS).await;
        fleet.jobs_hidden.set(true);
        let next = kill_holder(&fleet, &first, Duration::ZERO).await;
        wait_until("renewals", || !next_holders_orders(&fleet).is_empty()).await;

        // Act: another host takes the lease and keeps it.
        let observer = FakeLink::new(&fleet);
        for commit in 0..15 {
            let record = json!({
                "epoch": 9, "holder": "boston-3", "commit": commit, "released": false,
            });
            let renewal = Transaction::new().with_write(LEADER_KEY, record);
            observer.transact(&renewal).await.unwrap();
            sleep(Duration::from_millis(100)).await;
        }
        let renewals = fleet.renewals.get();
        sleep(Duration::from_millis(300)).await;

        // Assert.
        assert_eq!(next.metrics.lease_epoch.get(), 0);
        assert_eq!(fleet.renewals.get(), renewals);
    });
}

/// The runs of a job that is cancelled during the load would go on, or start again.
#[test]
fn runs_of_a_job_that_is_cancelled_during_the_load_are_stopped_after_it() {
    run(async {
        let (fleet, first) = busy_fleet(fixtures::long_running(TASKS, 1), LASTING_MS).await;
        let next = kill_holder(&fleet, &first, SLOW_PAGE_TIME).await;

        sleep(Duration::from_secs(1)).await;
        let id = fixtures::JOB.parse().unwrap();
        let deadline = Instant::now() + TIMEOUT;
        let outcome = intake(&next.link)
            .cancel(&id, &CallerScope::Everything, deadline)
            .await;
        let runs_in_load = live_runs(&fleet);
        wait_until("stops", || live_runs(&fleet) == 0).await;
        sleep(Duration::from_millis(500)).await;

        assert_eq!(outcome, CancelOutcome::Accepted);
        assert_eq!(runs_in_load, TASKS as usize);
        assert_eq!(fleet.start_workers.borrow().len(), TASKS as usize);
        assert!(fleet.lapsed_workers.borrow().is_empty());
    });
}

/// The time for which runs of a holder that released its lease may go on unobserved ends before a lease
/// that was requested during the load: a task would run twice.
#[test]
fn task_of_a_worker_that_falls_silent_during_the_load_waits_for_the_lease_requested_then() {
    run(async {
        // Arrange: the first holder releases its lease.
        let (fleet, first) = busy_fleet(fixtures::long_running(TASKS, 1), LASTING_MS).await;
        sleep(Duration::from_millis(500)).await;
        fleet.page_time.set(SLOW_PAGE_TIME);
        let next = start_entry(&fleet, "boston-2");
        first.shutdown.close();
        wait_for_claim(&next).await;

        // Act.
        sleep(Duration::from_secs(5)).await;
        let lost = fleet.start_workers.borrow()[0].clone();
        next.link.silent_workers.borrow_mut().insert(lost);
        wait_for_load(&next).await;
        let restarted = || fleet.start_workers.borrow().len() > TASKS as usize;
        wait_until("a start elsewhere", restarted).await;

        // Assert.
        assert_eq!(fleet.concurrent_tasks.borrow().as_slice(), []);
    });
}

/// A worker that leaves the list keeps its runs until they have moved.
#[test]
fn runs_of_workers_that_leave_the_list_during_the_load_are_kept() {
    run(async {
        let (fleet, first) = busy_fleet(fixtures::long_running(TASKS, 1), LASTING_MS).await;

        let next = kill_holder(&fleet, &first, SLOW_PAGE_TIME).await;
        sleep(Duration::from_secs(2)).await;
        fleet.workers_unlisted.set(true);
        wait_for_load(&next).await;
        sleep(Duration::from_secs(2)).await;

        assert_runs_were_kept(&fleet);
    });
}

/// The list of workers may come later than the jobs that are placed on them.
#[test]
fn runs_of_workers_that_are_listed_after_the_load_are_kept() {
    run(async {
        let (fleet, first) = busy_fleet(fixtures::long_running(TASKS, 1), LASTING_MS).await;

        fleet.workers_hidden.set(true);
        let next = kill_holder(&fleet, &first, Duration::from_millis(200)).await;
        wait_for_load(&next).await;
        fleet.workers_hidden.set(false);
        sleep(Duration::from_secs(2)).await;

        assert_runs_were_kept(&fleet);
    });
}
