//! Guards against long-running tasks that stay without a run because each of several waits is within
//! its own limit: the time from the loss of a run to the next start, with whole controllers.

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
use zincpier::process::ShutdownSignal;
use zincpier::provider::TableService;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LeaderRecord;
use zincpier::workflow::SubmitOutcome;
use zincpier::workflow::LEADER_KEY;

use crate::fake_fleet::start_entry_with;
use crate::fake_fleet::EntryOptions;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

const TIMEOUT: Duration = Duration::from_secs(20);

/// The platform counts a long-running task as lost from 6 s after its last run.
const MAX_GAP: Duration = Duration::from_millis(6_000);

/// Four attempts of a start, one long poll, a stop, and the calls between them.
const MAX_UNANSWERED_GAP: Duration = Duration::from_millis(2_500);

const ENTRY_HOSTS: usize = 5;

/// An entry host that may be stopped.
struct StoppableEntry {
    name: String,
    link: Rc<FakeLink>,
    shutdown: ShutdownSignal,
}

fn fleet() -> Rc<FakeFleet> {
    let workers = (0..3).map(fixtures::worker_entry).collect();
    let fleet = FakeFleet::new(fixtures::config(), workers);
    fleet.task_ms.set(3_600_000);
    fleet
}

fn start_entry(fleet: &Rc<FakeFleet>, number: usize) -> StoppableEntry {
    let (name, shutdown) = (format!("boston-{number}"), ShutdownSignal::new());
    let options = EntryOptions {
        shutdown: shutdown.clone(),
        ..EntryOptions::default()
    };
    let link = start_entry_with(fleet, &name, options);
    StoppableEntry {
        name,
        link,
        shutdown,
    }
}

async fn submit_long_task(link: &Rc<FakeLink>) {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    let spec = JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![fixtures::long_running(1, 1)],
        schedule: None,
    };
    let id = fixtures::JOB.parse().unwrap();
    let deadline = Instant::now() + TIMEOUT;
    let outcome = intake
        .submit(&id, &spec, &CallerScope::Everything, deadline)
        .await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
}

/// Waits until workers have carried out this many starts; panics after [`TIMEOUT`].
async fn wait_for_starts(fleet: &FakeFleet, count: usize) {
    let deadline = Instant::now() + TIMEOUT;
    while fleet.start_workers.borrow().len() < count {
        assert!(Instant::now() < deadline, "no start number {count}");
        sleep(Duration::from_millis(10)).await;
    }
}

async fn holder_name(link: &FakeLink) -> String {
    let rows = link.read(&[LEADER_KEY]).await.unwrap();
    let record: LeaderRecord = serde_json::from_value(rows[0].value.clone()).unwrap();
    record.holder
}

/// Cuts the worker of the only long-running task off, and stops the holder of the lease at each of these
/// times from then on, in ms. Returns the time to the next start.
async fn gap_with_stopped_holders(stopped_ms: &[u64]) -> Duration {
    let fleet = fleet();
    let entries: Vec<_> = (0..ENTRY_HOSTS)
        .map(|number| start_entry(&fleet, number))
        .collect();
    let observer = FakeLink::new(&fleet);
    submit_long_task(&observer).await;
    wait_for_starts(&fleet, 1).await;
    sleep(Duration::from_secs(1)).await;
    let lost = fleet.start_workers.borrow()[0].clone();

    let lost_at = Instant::now();
    for entry in &entries {
        entry.link.silent_workers.borrow_mut().insert(lost.clone());
    }
    for &at_ms in stopped_ms {
        sleep((lost_at + Duration::from_millis(at_ms)) - Instant::now()).await;
        let holder = holder_name(&observer).await;
        let holder = entries.iter().find(|entry| entry.name == holder).unwrap();
        holder.shutdown.close();
    }
    wait_for_starts(&fleet, 2).await;

    let gap = lost_at.elapsed();
    assert_eq!(fleet.concurrent_tasks.borrow().as_slice(), []);
    gap
}

/// The holder knows when the lease of a silent worker ends. One that doesn't pass it on makes the
/// task wait for the longest lease that it may have requested, counted from the takeover.
#[test]
fn lease_of_a_silent_worker_is_not_waited_for_anew_after_a_takeover() {
    run(async {
        let gap = gap_with_stopped_holders(&[1_000]).await;

        assert!(gap <= MAX_GAP, "{gap:?} without a run");
    });
}

/// Entry hosts are restarted one after another, 2 s apart: waits that begin anew with each holder would
/// add up to the length of the series.
#[test]
fn waits_for_a_silent_worker_do_not_add_up_over_holders_in_turn() {
    run(async {
        let gap = gap_with_stopped_holders(&[1_000, 2_800, 4_600]).await;

        assert!(gap <= MAX_GAP, "{gap:?} without a run");
    });
}

/// A worker with a start that it may or may not have carried out is asked what it runs, and asked again
/// after the stop: long polls, which wait for the end of a run, take almost a second each.
#[test]
fn unanswered_start_of_a_long_running_task_is_settled_without_long_polls() {
    run(async {
        // Arrange.
        let fleet = fleet();
        let entry = start_entry(&fleet, 0);
        while fleet.renewals.get() == 0 {
            sleep(Duration::from_millis(10)).await;
        }
        fleet.unreached_starts.set(4);

        // Act.
        let began_at = Instant::now();
        submit_long_task(&entry.link).await;
        wait_for_starts(&fleet, 1).await;

        // Assert.
        let gap = began_at.elapsed();
        assert!(gap <= MAX_UNANSWERED_GAP, "{gap:?} without a run");
    });
}
