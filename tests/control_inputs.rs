//! Jobs, hosts and workers that are valid by themselves, but could keep control from all others.

#[path = "common/fake_fleet.rs"]
mod fake_fleet;

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/runtime.rs"]
mod runtime;

use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;
use zincpier::id::JobId;
use zincpier::provider::TableService;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::EndKind;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSchedule;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LookupOutcome;
use zincpier::workflow::StepSpec;
use zincpier::workflow::SubmitOutcome;
use zincpier::workflow::TaskEnd;
use zincpier::workflow::TaskName;
use zincpier::workflow::TaskPhase;
use zincpier::workflow::WorkerEntry;
use zincpier::workflow::WorkerReport;
use zincpier::workflow::WorkerResources;
use zincpier::workflow::LEADER_KEY;

use crate::fake_fleet::start_entry;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::fixtures::EngineFleet;
use crate::runtime::run;

const TIMEOUT: Duration = Duration::from_secs(10);

/// The name of the second job.
const OTHER_JOB: &str = "00000000000000ff";

/// The number of steps without a worker after which a pass ends.
const HOPELESS_JOBS: usize = 24;

fn small_step(tasks: u32) -> StepSpec {
    StepSpec {
        demand: WorkerResources {
            cpu_millis: 1,
            memory_mb: 1,
            gpus: 0,
        },
        ..fixtures::step(tasks)
    }
}

fn job_spec(steps: Vec<StepSpec>, times: u32) -> JobSpec {
    JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps,
        schedule: Some(JobSchedule {
            times,
            first_ms: 0,
            interval_ms: 0,
        }),
    }
}

/// A worker with the capacity for `millis` small tasks.
fn worker(id: &str, millis: u64) -> WorkerEntry {
    WorkerEntry {
        id: id.parse().unwrap(),
        capacity: WorkerResources {
            cpu_millis: millis,
            memory_mb: 128_000,
            gpus: 0,
        },
        ..fixtures::worker_entry(0)
    }
}

/// An engine with one worker, on which nothing runs.
fn fleet_of(worker: &WorkerEntry) -> EngineFleet {
    let mut fleet = EngineFleet::new(0);
    fleet.engine.set_worker(worker.clone(), fleet.now_ms);
    report(&mut fleet, worker, 0, Vec::new());
    fleet
}

/// Reports the end of the tasks `done` and all other placed tasks as running. `last` is the number of
/// the last end before. Returns the number of the last one now.
fn report(fleet: &mut EngineFleet, worker: &WorkerEntry, last: u64, done: Vec<TaskName>) -> u64 {
    let next = last + done.len() as u64;
    let names: BTreeSet<_> = done.iter().cloned().collect();
    let running = fleet.placed_names().into_iter();
    let running = running.filter(|name| !names.contains(name));
    let running = running.map(|name| zincpier::workflow::RunningTask {
        run: fleet.state(&name).last_run,
        task: name,
        checkpoint: String::new(),
        percent: 100,
        load: 0,
    });
    let running = running.collect();
    let ends = done
        .into_iter()
        .zip(last + 1..)
        .map(|(task, number)| TaskEnd {
            number,
            run: fleet.state(&task).last_run,
            task,
            kind: EndKind::Done,
            checkpoint: String::new(),
        });
    let report = WorkerReport {
        incarnation_start: None,
        clock_ms: fleet.now_ms,
        running,
        ends: ends.collect(),
        held_ends: Vec::new(),
        has_more_ends: false,
    };
    fleet.advance(10);
    let now_ms = fleet.now_ms;
    fleet
        .engine
        .apply_report(&worker.id, &report, now_ms, now_ms);
    next
}

/// Returns how many tasks of a job are placed.
fn placed_of(fleet: &EngineFleet, id: &str) -> usize {
    let job: JobId = id.parse().unwrap();
    let names = fleet.placed_names();
    names.iter().filter(|name| name.job == job).count()
}

#[test]
fn steps_that_fit_nowhere_do_not_keep_later_jobs_from_free_workers() {
    // Arrange: long-running jobs, which come first, need a label that no worker has.
    let mut fleet = EngineFleet::new(4);
    for number in 0..HOPELESS_JOBS {
        let step = StepSpec {
            required_label: Some("unknown".to_owned()),
            ..fixtures::long_running(1, 0)
        };
        fleet.submit(&format!("{number:016x}"), vec![step]);
    }
    fleet.submit(OTHER_JOB, vec![fixtures::step(3)]);

    // Act.
    fleet.start_all();

    // Assert.
    assert_eq!(placed_of(&fleet, OTHER_JOB), 3);
}

#[test]
fn gang_of_a_job_with_many_occurrences_gets_a_run() {
    // Arrange.
    let mut fleet = fleet_of(&worker("i-0000000001", 64_000));
    let gang = StepSpec {
        gang: true,
        ..small_step(700)
    };
    let spec = job_spec(vec![gang], 10);
    assert_eq!(spec.first_error(), None);

    // Act.
    let id = fixtures::JOB.parse().unwrap();
    fleet.engine.add_job(id, spec, None, fleet.now_ms);
    fleet.start_all();

    // Assert.
    let placed = placed_of(&fleet, fixtures::JOB);
    assert!(placed >= 700, "{placed} placed");
}

#[test]
fn long_running_tasks_of_a_job_with_many_others_all_run_or_are_refused() {
    // Arrange: each occurrence has long-running tasks and others, which end.
    let worker = worker("i-0000000001", 64_000);
    let mut fleet = fleet_of(&worker);
    let long = StepSpec {
        long_running: true,
        ..small_step(70)
    };
    let spec = job_spec(vec![long, small_step(630)], 10);
    if spec.first_error().is_some() {
        return;
    }

    // Act.
    let id = fixtures::JOB.parse().unwrap();
    fleet.engine.add_job(id, spec, None, fleet.now_ms);
    let mut last = 0;
    for _ in 0..40 {
        fleet.start_all();
        let names = fleet.placed_names().into_iter();
        last = report(
            &mut fleet,
            &worker,
            last,
            names.filter(|name| name.step == 1).collect(),
        );
    }

    // Assert.
    let done = fleet.task_phases(fixtures::JOB);
    let done = done.iter().filter(|phase| **phase == TaskPhase::Done);
    let counts = (placed_of(&fleet, fixtures::JOB), done.count());
    assert_eq!(counts, (700, 6_300));
}

#[test]
fn job_with_a_full_row_does_not_slow_down_each_pass() {
    // Arrange: all occurrences are due, and more tasks wait than the row holds.
    let mut fleet = fleet_of(&worker("i-0000000001", 64_000));
    let spec = job_spec(vec![small_step(1)], 7_000);
    assert_eq!(spec.first_error(), None);
    let id = fixtures::JOB.parse().unwrap();
    fleet.engine.add_job(id, spec, None, fleet.now_ms);
    fleet.start_all();

    // Act.
    let started = std::time::Instant::now();
    fleet.engine.place_tasks(fleet.now_ms, 0);
    let elapsed = started.elapsed();

    // Assert: a pass is much shorter than the time in which the lease is renewed.
    println!("placed {} in {elapsed:?}", placed_of(&fleet, fixtures::JOB));
    assert!(elapsed < Duration::from_millis(100), "{elapsed:?}");
}

#[test]
fn estimate_of_any_length_does_not_end_the_process() {
    // Arrange: a caller states an estimate, which nothing limits.
    let mut fleet = EngineFleet::new(4);
    let step = StepSpec {
        estimate_ms: u64::MAX,
        ..fixtures::step(3)
    };
    let spec = job_spec(vec![step.clone()], 1);
    assert_eq!(spec.first_error(), None);
    fleet.submit(fixtures::JOB, vec![step]);
    fleet.submit(OTHER_JOB, vec![fixtures::step(40)]);

    // Act: the products of estimates must not overflow.
    fleet.start_all();
    let now_ms = fleet.now_ms;
    fleet.engine.queue_backlogs(0, now_ms);
    fleet.engine.pool_demands(now_ms);

    // Assert.
    assert!(placed_of(&fleet, OTHER_JOB) > 0);
}

/// Submits a job to the first queue; returns whether it is complete within [`TIMEOUT`].
async fn completes(link: &Rc<FakeLink>, config: &FleetConfig) -> bool {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    let deadline = Instant::now() + TIMEOUT;
    let scope = CallerScope::Everything;
    let id = fixtures::JOB.parse().unwrap();
    let spec = JobSpec {
        queue: config.queues[0].name.clone(),
        schedule: None,
        ..job_spec(vec![fixtures::step(3)], 1)
    };
    let outcome = intake.submit(&id, &spec, &scope, deadline).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
    while Instant::now() < deadline {
        let found = intake.look_up(&id, &scope).await;
        if found == LookupOutcome::Found(JobPhase::Complete) {
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

#[test]
fn worker_that_refuses_every_epoch_does_not_end_each_term() {
    run(async {
        // Arrange: a worker answers each controller that it knows of a later one.
        let workers: Vec<_> = (0..4).map(fixtures::worker_entry).collect();
        let config = fixtures::config();
        let fleet = FakeFleet::new(config.clone(), workers.clone());
        fleet.refuse_epochs(&workers[0].id);
        let link = start_entry(&fleet, "boston-1");
        start_entry(&fleet, "boston-2");

        // Act.
        let is_complete = completes(&link, &config).await;

        // Assert.
        let epoch = lease_epoch(&link).await;
        assert!(is_complete, "not complete, epoch {epoch}");
        assert!(epoch <= 2, "epoch {epoch}");
    });
}

#[test]
fn worker_that_refuses_every_epoch_is_called_seldom_and_soon_again() {
    run(async {
        // Arrange: the only worker refuses each epoch.
        let worker = fixtures::worker_entry(0);
        let config = fixtures::config();
        let fleet = FakeFleet::new(config.clone(), vec![worker.clone()]);
        fleet.refuse_epochs(&worker.id);
        let link = start_entry(&fleet, "boston-1");

        // Act.
        sleep(Duration::from_secs(13)).await;
        let calls = fleet.refused_renewals.get();
        fleet.accept_epochs(&worker.id);
        let is_complete = completes(&link, &config).await;

        // Assert.
        assert!((4..=9).contains(&calls), "{calls} calls");
        assert!(is_complete);
    });
}

#[test]
fn queue_with_a_long_name_does_not_end_each_term() {
    run(async {
        // Arrange: the key of the queue's count is longer than the table allows.
        let mut config = fixtures::config();
        config.queues[0].name = "r".repeat(201);
        let workers = (0..4).map(fixtures::worker_entry).collect();
        let fleet = FakeFleet::new(config.clone(), workers);
        let link = start_entry(&fleet, "boston-1");
        start_entry(&fleet, "boston-2");

        // Act: the job waits for long enough to be counted.
        fleet.workers_hidden.set(true);
        let fleet_later = Rc::clone(&fleet);
        monoio::spawn(async move {
            sleep(Duration::from_secs(3)).await;
            fleet_later.workers_hidden.set(false);
        });
        let is_complete = completes(&link, &config).await;

        // Assert.
        let results = (is_complete, lease_epoch(&link).await);
        assert_eq!(results, (true, 1));
    });
}

/// Returns the epoch after a time of a single entry host on a table whose commits take longer than a
/// doubt about the lease may last. `is_refused` tells whether one worker refuses every epoch.
async fn epoch_on_slow_table(is_refused: bool) -> u64 {
    let workers: Vec<_> = (0..4).map(fixtures::worker_entry).collect();
    let fleet = FakeFleet::new(fixtures::config(), workers.clone());
    if is_refused {
        fleet.refuse_epochs(&workers[0].id);
    }
    fleet.commit_time.set(Duration::from_millis(1_200));
    let link = start_entry(&fleet, "boston-1");
    sleep(TIMEOUT).await;
    lease_epoch(&link).await
}

/// The doubt is settled by a commit, which a slow table takes longer for than the doubt may last.
#[test]
fn worker_that_refuses_every_epoch_does_not_end_each_term_on_a_slow_table() {
    run(async {
        // Act.
        let (without, with) = (
            epoch_on_slow_table(false).await,
            epoch_on_slow_table(true).await,
        );

        // Assert: no other host claims the lease, so a term ends only by itself.
        assert_eq!((without, with), (1, 1));
    });
}

/// All runs would end, because one worker refuses an epoch while no commit can confirm the lease.
#[test]
fn worker_that_refuses_the_epoch_in_an_outage_of_the_table_does_not_end_the_runs_of_others() {
    run(async {
        // Arrange: a task runs on each worker, for longer than the outage.
        let workers: Vec<_> = (0..4).map(fixtures::worker_entry).collect();
        let fleet = FakeFleet::new(fixtures::config(), workers.clone());
        fleet.task_ms.set(60_000);
        let link = start_entry(&fleet, "boston-1");
        let intake = JobIntake::new(Rc::clone(&link), Rc::new(CountFreshness::new()));
        let wide = StepSpec {
            max_per_worker: 1,
            ..fixtures::step(4)
        };
        let spec = JobSpec {
            schedule: None,
            ..job_spec(vec![wide], 1)
        };
        let id = fixtures::JOB.parse().unwrap();
        let deadline = Instant::now() + TIMEOUT;
        let scope = CallerScope::Everything;
        let outcome = intake.submit(&id, &spec, &scope, deadline).await;
        assert_eq!(outcome, SubmitOutcome::Accepted);
        sleep(Duration::from_secs(3)).await;
        assert_eq!(fleet.running_count(), 4);

        // Act.
        fleet.table_down.set(true);
        fleet.refuse_epochs(&workers[0].id);
        sleep(Duration::from_secs(8)).await;

        // Assert: only the worker that can't be reached has lost its run.
        for worker in &workers[1..] {
            fleet.advance(&worker.id);
        }
        let lapsed = fleet.lapsed_workers.borrow();
        assert!(lapsed.iter().all(|id| *id == workers[0].id), "{lapsed:?}");
    });
}

/// Returns the time in which a report with these checkpoints of all placed tasks is applied.
fn time_of_report(fleet: &mut EngineFleet, worker: &WorkerEntry, checkpoint: &str) -> Duration {
    let names = fleet.placed_names().into_iter();
    let running = names.map(|name| zincpier::workflow::RunningTask {
        run: fleet.state(&name).last_run,
        task: name,
        checkpoint: checkpoint.to_owned(),
        percent: 100,
        load: 0,
    });
    let report = WorkerReport {
        incarnation_start: None,
        clock_ms: fleet.now_ms,
        running: running.collect(),
        ends: Vec::new(),
        held_ends: Vec::new(),
        has_more_ends: false,
    };
    fleet.advance(10);
    let now_ms = fleet.now_ms;
    let started = std::time::Instant::now();
    fleet
        .engine
        .apply_report(&worker.id, &report, now_ms, now_ms);
    started.elapsed()
}

/// The room of the row would be counted over all tasks of the job for each checkpoint.
#[test]
fn new_checkpoints_of_a_job_with_many_tasks_do_not_slow_down_each_report() {
    // Arrange: as many tasks run as the row holds, and checkpoints are longer than is reserved.
    let worker = worker("i-0000000001", 64_000);
    let mut fleet = fleet_of(&worker);
    let spec = job_spec(vec![small_step(1)], 7_000);
    let id = fixtures::JOB.parse().unwrap();
    fleet.engine.add_job(id, spec, None, fleet.now_ms);
    fleet.start_all();

    // Act.
    let without: Vec<_> = (0..5)
        .map(|_| time_of_report(&mut fleet, &worker, ""))
        .collect();
    let with: Vec<_> = (0..5)
        .map(|round| time_of_report(&mut fleet, &worker, &format!("{round:030}")))
        .collect();

    // Assert.
    let (without, with) = (without.iter().min(), with.iter().min());
    println!("without {without:?}, with {with:?}");
    assert!(with < without.map(|time| *time * 10).as_ref());
}
