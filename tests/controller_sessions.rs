//! Runs controllers against an in-memory platform. Guards against tasks that are lost or run twice,
//! and against hosts that are taken down twice or while they run tasks, after takeovers, lost
//! answers and table outages.

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
use zincpier::workflow::SubmitOutcome;
use zincpier::workflow::WaveRequest;
use zincpier::workflow::LEADER_KEY;

use crate::fake_fleet::start_entry;
use crate::fake_fleet::start_entry_with;
use crate::fake_fleet::EntryOptions;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

const TIMEOUT: Duration = Duration::from_secs(15);

/// Time after which ended jobs are no longer among the rows that a takeover loads, with some
/// reserve.
const ARCHIVE_TIMEOUT: Duration = Duration::from_secs(25);

fn fleet() -> Rc<FakeFleet> {
    let workers = (0..4).map(fixtures::worker_entry).collect();
    FakeFleet::new(fixtures::config(), workers)
}

/// Like [`start_entry`], but the entry host stops with `shutdown`.
fn start_entry_until(fleet: &Rc<FakeFleet>, name: &str, shutdown: ShutdownSignal) -> Rc<FakeLink> {
    start_measured_entry(fleet, name, shutdown, Rc::new(EntryMetrics::new()))
}

/// Like [`start_entry_until`], with the entry host's metrics.
fn start_measured_entry(
    fleet: &Rc<FakeFleet>,
    name: &str,
    shutdown: ShutdownSignal,
    metrics: Rc<EntryMetrics>,
) -> Rc<FakeLink> {
    let options = EntryOptions {
        shutdown,
        metrics,
        ..EntryOptions::default()
    };
    start_entry_with(fleet, name, options)
}

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").parse().unwrap()
}

/// Submits jobs of five tasks each; known jobs are left unchanged.
async fn submit(link: &Rc<FakeLink>, jobs: usize) {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    for number in 0..jobs {
        let spec = JobSpec {
            queue: fixtures::QUEUE.to_owned(),
            organisation: None,
            payload: "text".to_owned(),
            steps: vec![fixtures::step(3), fixtures::step_after(2, 0)],
            schedule: None,
        };
        let deadline = Instant::now() + TIMEOUT;
        let outcome = intake
            .submit(&job_id(number), &spec, &CallerScope::Everything, deadline)
            .await;
        assert!(matches!(
            outcome,
            SubmitOutcome::Accepted | SubmitOutcome::Known
        ));
    }
}

/// Waits until the first `jobs` jobs are complete; panics after [`TIMEOUT`].
async fn wait_until_complete(link: &Rc<FakeLink>, jobs: usize) {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    let deadline = Instant::now() + TIMEOUT;
    for number in 0..jobs {
        loop {
            let found = intake
                .look_up(&job_id(number), &CallerScope::Everything)
                .await;
            if found == LookupOutcome::Found(JobPhase::Complete) {
                break;
            }
            assert!(
                Instant::now() < deadline,
                "job {number} not complete in time: {found:?}"
            );
            sleep(Duration::from_millis(50)).await;
        }
    }
}

/// Asserts that each task of the first `jobs` jobs was done once and never ran on two workers at
/// the same time.
fn assert_each_ran_once(fleet: &FakeFleet, jobs: usize) {
    assert!(fleet.concurrent_tasks.borrow().is_empty());
    let done_counts = fleet.done_counts.borrow();
    assert_eq!(done_counts.len(), jobs * 5);
    assert!(
        done_counts.values().all(|&times| times == 1),
        "{done_counts:?}"
    );
}

#[test]
fn jobs_complete_and_each_task_runs_once() {
    run(async {
        let fleet = fleet();
        let link = start_entry(&fleet, "boston-1");

        submit(&link, 10).await;

        wait_until_complete(&link, 10).await;
        assert_each_ran_once(&fleet, 10);
    });
}

#[test]
fn successor_finishes_jobs_of_a_disconnected_controller() {
    run(async {
        let fleet = fleet();
        fleet.task_ms.set(700);
        let first = start_entry(&fleet, "boston-1");
        submit(&first, 6).await;
        sleep(Duration::from_millis(400)).await;
        let second = start_entry(&fleet, "boston-2");

        first.is_disconnected.set(true);

        wait_until_complete(&second, 6).await;
        assert_each_ran_once(&fleet, 6);
    });
}

/// A holder that is cut off from the table learns of its successor only from the workers. Until it
/// ends its term, both could act.
#[test]
fn holder_that_is_cut_off_gives_no_orders_once_it_doubts_its_lease() {
    run(async {
        // Arrange: tasks run on all workers.
        let fleet = fleet();
        fleet.task_ms.set(2_500);
        let first = start_entry(&fleet, "boston-1");
        submit(&first, 20).await;
        sleep(Duration::from_millis(500)).await;
        let second = start_entry(&fleet, "boston-2");

        // Act: the successor can't call one worker, which goes on to accept the last holder's orders.
        let silent = fixtures::worker_entry(3).id;
        second.silent_workers.borrow_mut().insert(silent.clone());
        first.is_table_cut.set(true);
        sleep(Duration::from_secs(6)).await;
        let refused_at = fleet.first_refused_at.get();
        second.silent_workers.borrow_mut().clear();
        let reached_at = Instant::now();
        wait_until_complete(&second, 20).await;

        // Assert: those on their way when the doubt arose may still arrive. The successor allows for
        // renewals of leases until it reaches the worker.
        let refused_at = refused_at.unwrap();
        let orders = fleet.carried_orders.borrow();
        let last_at = |kind| match kind {
            "renewal" => reached_at + Duration::from_secs(1),
            _ => refused_at + Duration::from_millis(50),
        };
        let late = orders
            .iter()
            .filter(|order| order.epoch == 1 && order.at > last_at(order.kind));
        let late: Vec<_> = late
            .map(|order| (order.kind, order.at - refused_at))
            .collect();
        assert!(late.is_empty(), "{late:?}");
        assert!(orders.iter().any(|order| order.epoch == 2));
        assert_each_ran_once(&fleet, 20);
    });
}

/// A load that waits while the lease is renewed takes several times as long on a slow table, and
/// its answers come too late when they are read only after the renewal.
#[test]
fn renewals_on_a_slow_table_do_not_hold_up_a_takeover() {
    run(async {
        // Arrange: 32 pages of 40 ms, which take 1.3 s one after another.
        let fleet = fleet();
        let link = FakeLink::new(&fleet);
        submit(&link, 48).await;
        fleet.max_page_rows.set(2);
        fleet.page_time.set(Duration::from_millis(40));
        fleet.commit_time.set(Duration::from_millis(400));

        // Act.
        let started = Instant::now();
        start_entry(&fleet, "boston-1");
        let deadline = started + TIMEOUT;
        while fleet.renewals.get() == 0 && Instant::now() < deadline {
            sleep(Duration::from_millis(5)).await;
        }
        let elapsed = started.elapsed();

        // Assert: the first contact with workers comes after the load.
        assert!(elapsed < Duration::from_millis(2_800), "{elapsed:?}");
    });
}

/// Starts that are all sent at once fill a slow link for seconds, in which neither they nor the
/// renewals of the lease are answered in time: the lease is lost soon after a takeover.
#[test]
fn burst_of_starts_leaves_room_for_renewals_of_the_lease() {
    run(async {
        // Arrange: 600 tasks that fit at once, with a payload of 2 KB each.
        let payload_bytes = 2_000;
        let fleet = fleet();
        let link = FakeLink::new(&fleet);
        let mut step = fixtures::step(600);
        step.demand.cpu_millis = 10;
        step.demand.memory_mb = 1;
        let spec = JobSpec {
            queue: fixtures::QUEUE.to_owned(),
            organisation: None,
            payload: "x".repeat(payload_bytes),
            steps: vec![step],
            schedule: None,
        };
        let intake = JobIntake::new(Rc::clone(&link), Rc::new(CountFreshness::new()));
        let deadline = Instant::now() + TIMEOUT;
        intake
            .submit(&job_id(0), &spec, &CallerScope::Everything, deadline)
            .await;

        // Act.
        start_entry(&fleet, "boston-1");
        wait_until_complete(&link, 1).await;

        // Assert: a link of 10 Mbit/s carries 125 KB in a tenth of a second.
        let most_bytes = fleet.most_starts_in_flight.get() * payload_bytes;
        assert!(
            most_bytes <= 125_000,
            "{most_bytes} bytes of starts at once"
        );
        assert_eq!(fleet.done_counts.borrow().len(), 600);
    });
}

/// A task that moves on while its placement is being committed must not be started by that commit:
/// a successor doesn't know of a run whose placement isn't committed, and starts it again.
#[test]
fn task_placed_again_during_a_slow_commit_is_not_started_early() {
    run(async {
        // Arrange: the first placement's worker ends while the commit is under way.
        let fleet = fleet();
        let link = FakeLink::new(&fleet);
        let spec = JobSpec {
            queue: fixtures::QUEUE.to_owned(),
            organisation: None,
            payload: "text".to_owned(),
            steps: vec![fixtures::step(1)],
            schedule: None,
        };
        let intake = JobIntake::new(Rc::clone(&link), Rc::new(CountFreshness::new()));
        let deadline = Instant::now() + TIMEOUT;
        intake
            .submit(&job_id(0), &spec, &CallerScope::Everything, deadline)
            .await;
        fleet.commit_time.set(Duration::from_millis(1_500));
        fleet.end_next_placed_worker.set(true);

        // Act.
        start_entry(&fleet, "boston-1");
        wait_until_complete(&link, 1).await;

        // Assert.
        assert!(!fleet.end_next_placed_worker.get());
        let early = fleet.uncommitted_starts.borrow();
        assert!(early.is_empty(), "{early:?}");
    });
}

#[test]
fn commits_with_lost_answers_take_effect_once() {
    run(async {
        let fleet = fleet();
        let link = start_entry(&fleet, "boston-1");
        submit(&link, 2).await;

        fleet.lost_commits.set(8);
        submit(&link, 8).await;

        wait_until_complete(&link, 8).await;
        assert_each_ran_once(&fleet, 8);
        let leader = link.read(&[LEADER_KEY]).await.unwrap();
        assert_eq!(leader[0].value["epoch"], 1);
    });
}

#[test]
fn starts_with_lost_answers_do_not_run_twice() {
    run(async {
        let fleet = fleet();
        let link = start_entry(&fleet, "boston-1");
        fleet.lost_starts.set(7);

        submit(&link, 6).await;

        wait_until_complete(&link, 6).await;
        assert_each_ran_once(&fleet, 6);
    });
}

#[test]
fn table_outage_loses_no_running_work() {
    run(async {
        let fleet = fleet();
        fleet.task_ms.set(5_500);
        let link = start_entry(&fleet, "boston-1");
        submit(&link, 2).await;
        sleep(Duration::from_millis(500)).await;

        fleet.table_down.set(true);
        sleep(Duration::from_secs(6)).await;
        fleet.table_down.set(false);

        wait_until_complete(&link, 2).await;
        assert_each_ran_once(&fleet, 2);
    });
}

/// Returns the numbers of rows of submissions, with their cancellations, and of progress: all that
/// a takeover loads for jobs.
fn count_loaded_rows(fleet: &FakeFleet) -> (usize, usize) {
    (fleet.count_rows("jobs@"), fleet.count_rows("progress/"))
}

/// Waits until a takeover loads `open` jobs only; panics after [`ARCHIVE_TIMEOUT`].
async fn wait_until_loaded_rows_are(fleet: &FakeFleet, open: usize) {
    let deadline = Instant::now() + ARCHIVE_TIMEOUT;
    while count_loaded_rows(fleet) != (open, open) && Instant::now() < deadline {
        sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(count_loaded_rows(fleet), (open, open));
}

/// A takeover that loads all jobs of the last minutes takes longer the more of them have ended.
#[test]
fn takeover_reads_open_jobs_not_all_ended_ones() {
    run(async {
        // Arrange: 30 jobs have ended, and two run on.
        let fleet = fleet();
        let first = start_entry(&fleet, "boston-1");
        submit(&first, 30).await;
        wait_until_complete(&first, 30).await;
        fleet.task_ms.set(60_000);
        submit(&first, 32).await;

        // Act.
        wait_until_loaded_rows_are(&fleet, 2).await;
        let second = start_entry(&fleet, "boston-2");
        first.is_disconnected.set(true);
        sleep(Duration::from_secs(4)).await;
        submit(&second, 30).await;
        let intake = JobIntake::new(Rc::clone(&second), Rc::new(CountFreshness::new()));
        let deadline = Instant::now() + TIMEOUT;
        let cancelled = intake
            .cancel(&job_id(7), &CallerScope::Everything, deadline)
            .await;
        sleep(Duration::from_secs(1)).await;

        // Assert: the ended jobs stay ended, and none is loaded again.
        assert_eq!(cancelled, CancelOutcome::Accepted);
        assert_eq!(count_loaded_rows(&fleet), (2, 2));
        wait_until_complete(&second, 30).await;
        assert_each_ran_once(&fleet, 30);
    });
}

/// A move of ended jobs whose answer is lost may have taken effect. Taking such a job for an open
/// one would run it again, and repeating the move without end would keep the others loaded.
#[test]
fn ended_jobs_leave_the_loaded_rows_despite_lost_answers() {
    run(async {
        // Arrange.
        let fleet = fleet();
        let first = start_entry(&fleet, "boston-1");
        submit(&first, 20).await;
        wait_until_complete(&first, 20).await;

        // Act: lose answers once the first jobs have been moved, and change the controller.
        let deadline = Instant::now() + ARCHIVE_TIMEOUT;
        while fleet.count_rows("jobs@") == 20 && Instant::now() < deadline {
            sleep(Duration::from_millis(1)).await;
        }
        fleet.lost_commits.set(6);
        sleep(Duration::from_millis(300)).await;
        let second = start_entry(&fleet, "boston-2");
        first.is_disconnected.set(true);

        // Assert.
        wait_until_loaded_rows_are(&fleet, 0).await;
        submit(&second, 20).await;
        wait_until_complete(&second, 20).await;
        assert_each_ran_once(&fleet, 20);
    });
}

#[test]
fn a_worker_that_is_listed_again_gets_tasks() {
    run(async {
        // Arrange: idle workers leave the list for longer than an idle worker's check takes to come.
        let fleet = fleet();
        let link = start_entry(&fleet, "boston-1");
        submit(&link, 1).await;
        wait_until_complete(&link, 1).await;
        fleet.workers_unlisted.set(true);
        sleep(Duration::from_millis(1_500)).await;

        // Act.
        fleet.workers_unlisted.set(false);
        submit(&link, 2).await;

        // Assert.
        wait_until_complete(&link, 2).await;
        assert_each_ran_once(&fleet, 2);
    });
}

/// Returns a wave of all four hosts, one down at a time.
fn wave_of_four() -> WaveRequest {
    WaveRequest {
        wave: "1".parse().unwrap(),
        hosts: (0..4)
            .map(|index| format!("host-w-{index}").parse().unwrap())
            .collect(),
        unreadable_hosts: 0,
        deadline_ms: 20_000,
        max_down: 1,
    }
}

/// Waits until at least `count` upkeeps were commanded; panics after [`TIMEOUT`].
async fn wait_for_upkeeps(fleet: &FakeFleet, count: usize) {
    let deadline = Instant::now() + TIMEOUT;
    while fleet.upkeeps.borrow().len() < count && Instant::now() < deadline {
        sleep(Duration::from_millis(10)).await;
    }
    assert!(fleet.upkeeps.borrow().len() >= count);
}

#[test]
fn successor_continues_with_other_hosts_at_once() {
    run(async {
        // Arrange: the controller shuts down during a wave.
        let fleet = fleet();
        let shutdown = ShutdownSignal::new();
        let _first = start_entry_until(&fleet, "boston-1", shutdown.clone());
        fleet.start_wave(wave_of_four());
        wait_for_upkeeps(&fleet, 1).await;
        let _second = start_entry(&fleet, "boston-2");
        shutdown.close();
        let before = fleet.upkeeps.borrow().len();
        let shutdown_at = Instant::now();

        // Act.
        wait_for_upkeeps(&fleet, before + 1).await;

        // Assert: commands to other hosts are not delayed by the 3 s that the platform requires
        // between two holders' commands to the same host.
        let elapsed = shutdown_at.elapsed();
        assert!(elapsed < Duration::from_millis(3_000), "{elapsed:?}");
        let last = fleet.upkeeps.borrow().last().map(|(epoch, _)| *epoch);
        assert_eq!(last, Some(2));
    });
}

#[test]
fn successor_without_worker_list_takes_no_host_down() {
    run(async {
        // Arrange: tasks run on all hosts, and the successor cannot read the list of workers, so
        // every host looks empty to it.
        let fleet = fleet();
        fleet.task_ms.set(60_000);
        let first = start_entry(&fleet, "boston-1");
        submit(&first, 8).await;
        sleep(Duration::from_millis(500)).await;
        fleet.workers_hidden.set(true);
        first.is_disconnected.set(true);
        let _second = start_entry(&fleet, "boston-2");

        // Act.
        fleet.start_wave(wave_of_four());
        sleep(Duration::from_millis(3_500)).await;

        // Assert.
        assert!(fleet.upkeeps.borrow().is_empty());
    });
}

#[test]
fn wave_takes_each_host_down_once_across_a_controller_change() {
    run(async {
        let fleet = fleet();
        let first = start_entry(&fleet, "boston-1");
        fleet.start_wave(wave_of_four());
        wait_for_upkeeps(&fleet, 2).await;
        let second = start_entry(&fleet, "boston-2");
        first.is_disconnected.set(true);

        let deadline = Instant::now() + Duration::from_secs(20);
        while !fleet.wave_complete.get() && Instant::now() < deadline {
            sleep(Duration::from_millis(50)).await;
        }

        assert!(fleet.wave_complete.get());
        assert!(!second.is_disconnected.get());
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

/// A host that the list cannot show may still need its upkeep.
#[test]
fn wave_with_an_unreadable_host_is_not_complete() {
    run(async {
        // Arrange.
        let fleet = fleet();
        fleet.unreadable_hosts.set(1);
        let _link = start_entry(&fleet, "boston-1");

        // Act.
        fleet.start_wave(wave_of_four());
        wait_for_upkeeps(&fleet, 3).await;
        sleep(Duration::from_millis(1_500)).await;

        // Assert.
        assert!(!fleet.wave_complete.get());
        fleet.unreadable_hosts.set(0);
        wait_for_upkeeps(&fleet, 4).await;
        let deadline = Instant::now() + TIMEOUT;
        while !fleet.wave_complete.get() && Instant::now() < deadline {
            sleep(Duration::from_millis(50)).await;
        }
        assert!(fleet.wave_complete.get());
    });
}

/// Takes the lease for another holder and renews it, until the last one has noticed.
async fn take_lease(link: &FakeLink) {
    for commit in 0..15 {
        let record = json!({
            "epoch": 9, "holder": "boston-2", "commit": commit, "released": false,
        });
        let renewal = Transaction::new().with_write(LEADER_KEY, record);
        link.transact(&renewal).await.unwrap();
        sleep(Duration::from_millis(100)).await;
    }
}

/// The alert on missing controllers would stay silent while no takeover succeeds.
#[test]
fn lease_lost_while_loading_is_not_reported_as_held() {
    run(async {
        // Arrange: the entry host claims the lease and cannot load the state.
        let fleet = fleet();
        fleet.jobs_hidden.set(true);
        let metrics = Rc::new(EntryMetrics::new());
        let shutdown = ShutdownSignal::new();
        let link = start_measured_entry(&fleet, "boston-1", shutdown, Rc::clone(&metrics));
        let deadline = Instant::now() + TIMEOUT;
        while metrics.lease_epoch.get() == 0 && Instant::now() < deadline {
            sleep(Duration::from_millis(10)).await;
        }

        // Act.
        take_lease(&link).await;

        // Assert.
        assert_eq!(metrics.lease_epoch.get(), 0);
    });
}

/// A last placement pass after the end of the term would report the open jobs again.
#[test]
fn open_jobs_are_not_reported_after_the_lease_is_lost() {
    run(async {
        // Arrange: no worker takes the jobs, so the lease is renewed between placement passes.
        let fleet = FakeFleet::new(fixtures::config(), Vec::new());
        let metrics = Rc::new(EntryMetrics::new());
        let shutdown = ShutdownSignal::new();
        let link = start_measured_entry(&fleet, "boston-1", shutdown, Rc::clone(&metrics));
        submit(&link, 2).await;
        let deadline = Instant::now() + TIMEOUT;
        while metrics.open_jobs.get() == 0 && Instant::now() < deadline {
            sleep(Duration::from_millis(10)).await;
        }
        assert_eq!(metrics.open_jobs.get(), 2);

        // Act.
        take_lease(&link).await;

        // Assert.
        assert_eq!(metrics.open_jobs.get(), 0);
    });
}
