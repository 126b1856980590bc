//! Guards against upkeeps that end tasks because their hosts were not kept free of them.

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
use zincpier::id::HostId;
use zincpier::id::WorkerId;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobSpec;
use zincpier::workflow::WaveRequest;

use crate::fake_fleet::start_entry;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

/// Time within which a controller begins, or another one takes over and may command all hosts.
const TIMEOUT: Duration = Duration::from_secs(12);

/// Longer than a test takes.
const TASK_MS: u64 = 60_000;

/// Time of a task that runs when the next controller may command all hosts.
const SHORT_TASK_MS: u64 = 5_000;

fn host() -> HostId {
    "host-w-0".parse().unwrap()
}

fn worker() -> WorkerId {
    "w-0".parse().unwrap()
}

fn wave() -> WaveRequest {
    WaveRequest {
        wave: "1".parse().unwrap(),
        hosts: vec![host()],
        unreadable_hosts: 0,
        deadline_ms: TASK_MS,
        max_down: 1,
    }
}

/// Submits a job of `tasks` tasks, each of an eighth of a host.
async fn submit(link: &Rc<FakeLink>, tasks: u32) {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    let spec = JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![fixtures::step(tasks)],
        schedule: None,
    };
    let id = fixtures::JOB.parse().unwrap();
    let deadline = Instant::now() + TIMEOUT;
    intake
        .submit(&id, &spec, &CallerScope::Everything, deadline)
        .await;
}

/// Waits until `is_met`. Returns whether it is within [`TIMEOUT`].
async fn wait_until<F: Fn() -> bool>(is_met: F) -> bool {
    let deadline = Instant::now() + TIMEOUT;
    while !is_met() && Instant::now() < deadline {
        sleep(Duration::from_millis(10)).await;
    }
    is_met()
}

fn count_starts(fleet: &FakeFleet, worker: &str) -> usize {
    let start_workers = fleet.start_workers.borrow();
    let on_worker = start_workers.iter().filter(|id| id.as_str() == worker);
    on_worker.count()
}

/// Starts a controller that is lost while the upkeep of the first of two hosts is not answered.
async fn lose_controller(fleet: &Rc<FakeFleet>) -> bool {
    fleet.silent_hosts.borrow_mut().insert(host());
    fleet.task_ms.set(TASK_MS);
    let lost = start_entry(fleet, "boston-1");
    fleet.start_wave(wave());
    let is_commanded = wait_until(|| !fleet.unanswered.borrow().is_empty()).await;
    lost.is_disconnected.set(true);
    fleet.silent_hosts.borrow_mut().clear();
    is_commanded
}

/// The next controller doesn't know that a host was emptied for its upkeep, starts tasks there and ends
/// all of them with the upkeep that it sends again.
#[test]
fn upkeep_that_the_next_controller_sends_again_ends_no_tasks() {
    run(async {
        // Arrange.
        let entries = (0..2).map(fixtures::worker_entry).collect();
        let fleet = FakeFleet::new(fixtures::config(), entries);
        let is_commanded = lose_controller(&fleet).await;
        fleet.task_ms.set(SHORT_TASK_MS);

        // Act: the job needs both hosts.
        let next = start_entry(&fleet, "boston-2");
        submit(&next, 12).await;
        let is_resent = wait_until(|| !fleet.upkeeps.borrow().is_empty()).await;

        // Assert.
        assert!(is_commanded);
        assert!(is_resent);
        assert_eq!(fleet.upkeep_runs.borrow()[0], 0, "the upkeep ends tasks");
    });
}

/// Tasks that start on a host between two commands for its upkeep would be ended, or delay the wave.
#[test]
fn host_stays_empty_until_its_upkeep_is_sent_again() {
    run(async {
        // Arrange: the next controller may not command the host yet.
        let entries = (0..2).map(fixtures::worker_entry).collect();
        let fleet = FakeFleet::new(fixtures::config(), entries);
        let is_commanded = lose_controller(&fleet).await;
        let next = start_entry(&fleet, "boston-2");
        let is_active = || {
            let orders = fleet.carried_orders.borrow();
            orders.iter().any(|order| order.epoch == 2)
        };
        let has_successor = wait_until(is_active).await;
        sleep(Duration::from_secs(1)).await;
        let resent_before = fleet.upkeeps.borrow().len();

        // Act: the job needs both hosts.
        submit(&next, 12).await;
        let is_resent = wait_until(|| !fleet.upkeeps.borrow().is_empty()).await;
        let starts = count_starts(&fleet, "w-0");
        let is_used_again = wait_until(|| count_starts(&fleet, "w-0") == 4).await;

        // Assert.
        assert!(is_commanded && has_successor && is_resent);
        assert_eq!(resent_before, 0);
        assert_eq!(starts, 0, "tasks start on the host before its upkeep");
        assert!(is_used_again, "nothing starts on the host after its upkeep");
    });
}

/// A host may list its worker before the list of workers does. It would look empty, and tasks that start
/// once the worker is listed would be ended by an upkeep that was decided before.
#[test]
fn upkeep_decided_before_the_worker_is_listed_ends_no_tasks() {
    run(async {
        // Arrange: the upkeep of a host whose worker is not listed yet is on its way.
        let entries = (0..2).map(fixtures::worker_entry).collect();
        let fleet = FakeFleet::new(fixtures::config(), entries);
        fleet.late_workers.borrow_mut().insert(worker());
        fleet.silent_hosts.borrow_mut().insert(host());
        fleet.task_ms.set(TASK_MS);
        let link = start_entry(&fleet, "boston-1");
        fleet.start_wave(wave());
        let is_commanded = wait_until(|| !fleet.unanswered.borrow().is_empty()).await;

        // Act.
        fleet.late_workers.borrow_mut().clear();
        submit(&link, 12).await;
        let is_full = wait_until(|| count_starts(&fleet, "w-1") == 8).await;
        sleep(Duration::from_secs(1)).await;

        // Assert.
        assert!(is_commanded);
        assert!(is_full);
        assert_eq!(count_starts(&fleet, "w-0"), 0);
    });
}

/// The next controller may know a run's worker from the host only. The host would look empty, and its
/// upkeep would end the run.
#[test]
fn upkeep_ends_no_tasks_of_an_earlier_controller_on_a_worker_that_is_not_listed() {
    run(async {
        // Arrange: both hosts run tasks of a controller that is lost.
        let entries = (0..2).map(fixtures::worker_entry).collect();
        let fleet = FakeFleet::new(fixtures::config(), entries);
        fleet.task_ms.set(TASK_MS);
        let lost = start_entry(&fleet, "boston-1");
        submit(&lost, 16).await;
        let is_full = wait_until(|| fleet.running_count() == 16).await;
        sleep(Duration::from_millis(1_500)).await;
        lost.is_disconnected.set(true);
        fleet.late_workers.borrow_mut().insert(worker());

        // Act.
        fleet.start_wave(wave());
        let _next = start_entry(&fleet, "boston-2");
        let is_commanded = wait_until(|| !fleet.upkeeps.borrow().is_empty()).await;

        // Assert.
        assert!(is_full);
        assert!(!is_commanded || fleet.upkeep_runs.borrow()[0] == 0);
    });
}
