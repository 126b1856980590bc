//! Controllers over a platform in memory: calm, takeovers, lost answers, outages, waves.

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
use zincpier::process::EntryMetrics;
use zincpier::process::ShutdownSignal;
use zincpier::workflow::Controller;
use zincpier::workflow::FleetView;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LookupOutcome;
use zincpier::workflow::SubmitOutcome;
use zincpier::workflow::WaveRequest;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

const WAIT: Duration = Duration::from_secs(15);

fn fleet() -> Rc<FakeFleet> {
    let workers = (0..4).map(fixtures::worker_entry).collect();
    FakeFleet::new(fixtures::config(), workers)
}

/// Starts the controller of an entry host and returns its link.
fn start_entry(fleet: &Rc<FakeFleet>, name: &str) -> Rc<FakeLink> {
    start_entry_until(fleet, name, ShutdownSignal::new())
}

/// Does the same; the entry host ends with `shutdown`.
fn start_entry_until(fleet: &Rc<FakeFleet>, name: &str, shutdown: ShutdownSignal) -> Rc<FakeLink> {
    let link = FakeLink::new(fleet);
    let view = FleetView::new();
    let followed = (Rc::clone(&link), Rc::clone(&view));
    monoio::spawn(async move { followed.1.watch(followed.0.as_ref()).await });
    let controller = Controller::new(
        Rc::clone(&link),
        view,
        name.to_owned(),
        Rc::new(EntryMetrics::new()),
        shutdown,
    );
    monoio::spawn(async move { controller.run().await });
    link
}

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").parse().unwrap()
}

async fn submit(link: &Rc<FakeLink>, jobs: usize) {
    let intake = JobIntake::new(Rc::clone(link));
    for number in 0..jobs {
        let spec = JobSpec {
            queue: fixtures::QUEUE.to_owned(),
            payload: "text".to_owned(),
            steps: vec![fixtures::step(3), fixtures::step_after(2, 0)],
            schedule: None,
        };
        let deadline = Instant::now() + WAIT;
        let outcome = intake.submit(&job_id(number), &spec, deadline).await;
        assert!(matches!(
            outcome,
            SubmitOutcome::Accepted | SubmitOutcome::Known
        ));
    }
}

/// Waits until all jobs are complete.
async fn complete(link: &Rc<FakeLink>, jobs: usize) {
    let intake = JobIntake::new(Rc::clone(link));
    let deadline = Instant::now() + WAIT;
    for number in 0..jobs {
        loop {
            let found = intake.look_up(&job_id(number)).await;
            if found == LookupOutcome::Found(JobPhase::Complete) {
                break;
            }
            assert!(Instant::now() < deadline, "job {number} is {found:?}");
            sleep(Duration::from_millis(50)).await;
        }
    }
}

fn assert_each_ran_once(fleet: &FakeFleet, jobs: usize) {
    assert!(fleet.doubled.borrow().is_empty());
    let done = fleet.done.borrow();
    assert_eq!(done.len(), jobs * 5);
    assert!(done.values().all(|&times| times == 1), "{done:?}");
}

#[test]
fn jobs_complete_and_each_task_runs_once() {
    run(async {
        let fleet = fleet();
        let link = start_entry(&fleet, "boston-1");

        submit(&link, 10).await;

        complete(&link, 10).await;
        assert_each_ran_once(&fleet, 10);
    });
}

#[test]
fn a_successor_finishes_what_a_cut_controller_began() {
    run(async {
        let fleet = fleet();
        fleet.task_ms.set(700);
        let first = start_entry(&fleet, "boston-1");
        submit(&first, 6).await;
        sleep(Duration::from_millis(400)).await;
        let second = start_entry(&fleet, "boston-2");

        first.cut.set(true);

        complete(&second, 6).await;
        assert_each_ran_once(&fleet, 6);
    });
}

#[test]
fn commits_whose_answers_are_lost_take_effect_once() {
    run(async {
        let fleet = fleet();
        let link = start_entry(&fleet, "boston-1");
        submit(&link, 2).await;

        fleet.lost_commits.set(8);
        submit(&link, 8).await;

        complete(&link, 8).await;
        assert_each_ran_once(&fleet, 8);
    });
}

#[test]
fn starts_whose_answers_are_lost_do_not_run_twice() {
    run(async {
        let fleet = fleet();
        let link = start_entry(&fleet, "boston-1");
        fleet.lost_starts.set(7);

        submit(&link, 6).await;

        complete(&link, 6).await;
        assert_each_ran_once(&fleet, 6);
    });
}

#[test]
fn an_outage_of_the_table_costs_no_running_work() {
    run(async {
        let fleet = fleet();
        fleet.task_ms.set(5_500);
        let link = start_entry(&fleet, "boston-1");
        submit(&link, 2).await;
        sleep(Duration::from_millis(500)).await;

        fleet.table_down.set(true);
        sleep(Duration::from_secs(6)).await;
        fleet.table_down.set(false);

        complete(&link, 2).await;
        assert_each_ran_once(&fleet, 2);
    });
}

/// A wave of all four hosts, one at a time.
fn wave_of_four() -> WaveRequest {
    WaveRequest {
        wave: "1".parse().unwrap(),
        hosts: (0..4)
            .map(|index| format!("host-w-{index}").parse().unwrap())
            .collect(),
        deadline_ms: 20_000,
        max_down: 1,
    }
}

/// Waits until so many upkeeps were ordered.
async fn upkeeps(fleet: &FakeFleet, count: usize) {
    let deadline = Instant::now() + WAIT;
    while fleet.upkeeps.borrow().len() < count && Instant::now() < deadline {
        sleep(Duration::from_millis(10)).await;
    }
    assert!(fleet.upkeeps.borrow().len() >= count);
}

#[test]
fn a_successor_goes_on_with_other_hosts_at_once() {
    run(async {
        // Arrange: a wave is under way when its controller is stopped.
        let fleet = fleet();
        let shutdown = ShutdownSignal::new();
        let _first = start_entry_until(&fleet, "boston-1", shutdown.clone());
        fleet.begin_wave(wave_of_four());
        upkeeps(&fleet, 1).await;
        let _second = start_entry(&fleet, "boston-2");
        shutdown.close();
        let before = fleet.upkeeps.borrow().len();
        let stopped = Instant::now();

        // Act.
        upkeeps(&fleet, before + 1).await;

        // Assert: the platform's 3 s between two holders' orders for one host do not delay
        // orders for others.
        let passed = stopped.elapsed();
        assert!(passed < Duration::from_millis(3_000), "{passed:?}");
        let last = fleet.upkeeps.borrow().last().map(|(epoch, _)| *epoch);
        assert_eq!(last, Some(2));
    });
}

#[test]
fn a_successor_that_knows_no_workers_takes_no_host_down() {
    run(async {
        // Arrange: tasks run on all hosts, and the new controller cannot read the workers.
        let fleet = fleet();
        fleet.task_ms.set(60_000);
        let first = start_entry(&fleet, "boston-1");
        submit(&first, 8).await;
        sleep(Duration::from_millis(500)).await;
        fleet.workers_hidden.set(true);
        first.cut.set(true);
        let _second = start_entry(&fleet, "boston-2");

        // Act.
        fleet.begin_wave(wave_of_four());
        sleep(Duration::from_millis(3_500)).await;

        // Assert.
        assert!(fleet.upkeeps.borrow().is_empty());
    });
}

#[test]
fn a_wave_takes_each_host_down_once_through_a_change_of_the_controller() {
    run(async {
        let fleet = fleet();
        let first = start_entry(&fleet, "boston-1");
        fleet.begin_wave(wave_of_four());
        upkeeps(&fleet, 2).await;
        let second = start_entry(&fleet, "boston-2");
        first.cut.set(true);

        let deadline = Instant::now() + Duration::from_secs(20);
        while !fleet.wave_complete.get() && Instant::now() < deadline {
            sleep(Duration::from_millis(50)).await;
        }

        assert!(fleet.wave_complete.get());
        assert!(!second.cut.get());
        let upkeeps = fleet.upkeeps.borrow();
        let epochs: Vec<_> = upkeeps.iter().map(|(epoch, _)| *epoch).collect();
        assert!(epochs.contains(&1) && epochs.contains(&2), "{epochs:?}");
        assert!(
            epochs.windows(2).all(|pair| pair[0] <= pair[1]),
            "{epochs:?}"
        );
        let mut hosts: Vec<_> = upkeeps.iter().map(|(_, host)| host).collect();
        hosts.sort();
        hosts.dedup();
        assert_eq!(hosts.len(), 4);
    });
}
