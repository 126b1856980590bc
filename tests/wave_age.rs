//! The age of waves, from which the time until their deadline follows. It must not begin anew when
//! another entry host becomes the controller, or the same one after a restart.

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
use zincpier::workflow::CallerScope;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobSpec;
use zincpier::workflow::WaveRequest;

use crate::fake_fleet::start_entry_with;
use crate::fake_fleet::EntryOptions;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

const TIMEOUT: Duration = Duration::from_secs(5);
const DEADLINE_MS: u64 = 60_000;
/// So long before the deadline tasks are stopped instead of waited for.
const LATE_AGE_MS: u64 = DEADLINE_MS - 4_000;

/// Starts an entry host that has read nothing yet. Returns its connection.
fn start_entry(fleet: &Rc<FakeFleet>, name: &str, shutdown: ShutdownSignal) -> Rc<FakeLink> {
    let options = EntryOptions {
        shutdown,
        ..EntryOptions::default()
    };
    start_entry_with(fleet, name, options)
}

/// Submits a job whose task runs on the only host until long after the deadline.
async fn submit_long_job(fleet: &Rc<FakeFleet>, link: &Rc<FakeLink>) {
    fleet.task_ms.set(10 * DEADLINE_MS);
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    let spec = JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![fixtures::step(1)],
        schedule: None,
    };
    let id = "00000000000000aa".parse().unwrap();
    let deadline = Instant::now() + TIMEOUT;
    intake
        .submit(&id, &spec, &CallerScope::Everything, deadline)
        .await;
    sleep(Duration::from_millis(500)).await;
}

/// Guards against a wave that misses its deadline because a new controller counts the time from its
/// own first read of the wave.
#[test]
fn successor_keeps_the_deadline_of_the_wave() {
    run(async {
        // Arrange: the first controller waits for the task.
        let fleet = FakeFleet::new(fixtures::config(), vec![fixtures::worker_entry(0)]);
        let shutdown = ShutdownSignal::new();
        let first = start_entry(&fleet, "boston-1", shutdown.clone());
        submit_long_job(&fleet, &first).await;
        fleet.start_wave(WaveRequest {
            wave: "1".parse().unwrap(),
            hosts: vec!["host-w-0".parse().unwrap()],
            unreadable_hosts: 0,
            deadline_ms: DEADLINE_MS,
            max_down: 1,
        });
        sleep(Duration::from_millis(1_500)).await;
        let upkeeps_before = fleet.upkeeps.borrow().len();
        shutdown.close();

        // Act.
        fleet.clock_ahead_ms.set(LATE_AGE_MS);
        let _second = start_entry(&fleet, "boston-2", ShutdownSignal::new());
        let deadline = Instant::now() + TIMEOUT;
        while fleet.upkeeps.borrow().is_empty() && Instant::now() < deadline {
            sleep(Duration::from_millis(10)).await;
        }

        // Assert.
        assert_eq!(upkeeps_before, 0);
        assert_eq!(fleet.upkeeps.borrow().len(), 1);
    });
}
