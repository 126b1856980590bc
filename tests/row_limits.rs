//! Jobs whose progress needs as much as a row of the table holds. Guards against a row that the table
//! refuses: each holder of the lease meets it again, so that no job runs any more.

#[path = "common/fake_fleet.rs"]
mod fake_fleet;

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;
use serde_json::json;
use serde_json::Value;
use zincpier::id::JobId;
use zincpier::process::EntryMetrics;
use zincpier::process::ShutdownSignal;
use zincpier::provider::TableService;
use zincpier::workflow::CallerScope;
use zincpier::workflow::Controller;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::EndKind;
use zincpier::workflow::FleetView;
use zincpier::workflow::JobEngine;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSchedule;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LookupOutcome;
use zincpier::workflow::RowLimit;
use zincpier::workflow::SpecError;
use zincpier::workflow::StepSpec;
use zincpier::workflow::SubmitOutcome;
use zincpier::workflow::TaskEnd;
use zincpier::workflow::WaveRequest;
use zincpier::workflow::WorkerEntry;
use zincpier::workflow::WorkerReport;
use zincpier::workflow::WorkerResources;
use zincpier::workflow::LEADER_KEY;

use crate::fake_fleet::start_entry;
use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::fake_fleet::MAX_ROW_BYTES;
use crate::fixtures::EngineFleet;
use crate::runtime::run;

const TIMEOUT: Duration = Duration::from_secs(20);

/// The most tasks that an occurrence may have, and the most occurrences with that many.
const OCCURRENCE_TASKS: u32 = 700;
const OCCURRENCES: u32 = 10;

/// More hosts than the row of a wave holds if it names each of them twice.
const WAVE_HOSTS: usize = 1_500;

/// About as many hosts as the row of a wave holds if their names are as long as possible.
const LONG_NAMED_HOSTS: usize = 725;

/// The longest id of a worker.
const LONG_ID_CHARS: usize = 64;

/// A worker with room for all tasks, and with an id as long as the platform's.
fn large_worker(index: usize) -> WorkerEntry {
    WorkerEntry {
        id: format!("i-{index:010}").parse().unwrap(),
        capacity: WorkerResources {
            cpu_millis: 64_000,
            memory_mb: 128_000,
            gpus: 0,
        },
        ..fixtures::worker_entry(index)
    }
}

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

fn job_spec(steps: Vec<StepSpec>, schedule: Option<JobSchedule>) -> JobSpec {
    JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps,
        schedule,
    }
}

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").parse().unwrap()
}

async fn submit(link: &Rc<FakeLink>, number: usize, spec: &JobSpec) {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    let deadline = Instant::now() + TIMEOUT;
    let scope = CallerScope::Everything;
    let outcome = intake.submit(&job_id(number), spec, &scope, deadline).await;
    assert_eq!(outcome, SubmitOutcome::Accepted);
}

/// Returns whether the job is complete within [`TIMEOUT`].
async fn completes(link: &Rc<FakeLink>, number: usize) -> bool {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    let deadline = Instant::now() + TIMEOUT;
    let scope = CallerScope::Everything;
    while Instant::now() < deadline {
        let found = intake.look_up(&job_id(number), &scope).await;
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

/// Applies a report of the first large worker, on which nothing runs any more.
fn report_ends(fleet: &mut EngineFleet, ends: Vec<TaskEnd>) {
    let report = WorkerReport {
        incarnation_start: None,
        clock_ms: fleet.now_ms,
        running: Vec::new(),
        ends,
        held_ends: Vec::new(),
        has_more_ends: false,
    };
    let now_ms = fleet.now_ms;
    let worker = large_worker(0).id;
    fleet.engine.apply_report(&worker, &report, now_ms, now_ms);
}

/// Returns the content bytes of the job's durable row.
fn row_bytes(fleet: &EngineFleet) -> usize {
    let job = &fleet.engine.jobs[&fixtures::JOB.parse().unwrap()];
    job.to_value().to_string().len()
}

#[test]
fn overlapping_occurrences_of_one_job_do_not_stop_all_others() {
    run(async {
        // Arrange: all occurrences of a job are due, and all of their tasks have room.
        let workers = (0..4).map(large_worker).collect();
        let fleet = FakeFleet::new(fixtures::config(), workers);
        fleet.task_ms.set(400);
        let link = start_entry(&fleet, "boston-1");
        start_entry(&fleet, "boston-2");
        let schedule = JobSchedule {
            times: OCCURRENCES,
            first_ms: 1,
            interval_ms: 1,
        };
        let wide = job_spec(vec![small_step(OCCURRENCE_TASKS)], Some(schedule));
        let plain = job_spec(vec![fixtures::step(3)], None);

        // Act.
        submit(&link, 1, &wide).await;
        sleep(Duration::from_secs(1)).await;
        submit(&link, 2, &plain).await;
        let are_complete = (completes(&link, 2).await, completes(&link, 1).await);

        // Assert.
        let epoch = lease_epoch(&link).await;
        assert_eq!((are_complete, epoch), ((true, true), 1));
        assert!(fleet.concurrent_tasks.borrow().is_empty());
    });
}

#[test]
fn long_checkpoints_of_workers_do_not_outgrow_a_row() {
    // Arrange: the most tasks that run at once, on one worker.
    let mut fleet = EngineFleet::new(0);
    fleet.engine.set_worker(large_worker(0), fleet.now_ms);
    report_ends(&mut fleet, Vec::new());
    fleet.submit(fixtures::JOB, vec![small_step(OCCURRENCE_TASKS)]);
    fleet.start_all();
    let placed = fleet.placed_names();
    assert_eq!(placed.len() as u32, OCCURRENCE_TASKS);

    // Act: each run is stopped, with a checkpoint.
    let ends = placed.iter().zip(1..).map(|(name, number)| TaskEnd {
        number,
        task: name.clone(),
        run: 1,
        kind: EndKind::Stopped,
        checkpoint: "c".repeat(200),
    });
    report_ends(&mut fleet, ends.collect());
    fleet.place();

    // Assert.
    let bytes = row_bytes(&fleet);
    assert!(bytes <= MAX_ROW_BYTES, "{bytes} bytes");
}

#[test]
fn gang_with_a_long_checkpoint_does_not_outgrow_a_row() {
    // Arrange: the members of a gang run.
    let mut fleet = EngineFleet::new(0);
    fleet.engine.set_worker(large_worker(0), fleet.now_ms);
    report_ends(&mut fleet, Vec::new());
    let step = StepSpec {
        gang: true,
        ..small_step(100)
    };
    fleet.submit(fixtures::JOB, vec![step]);
    fleet.start_all();
    let placed = fleet.placed_names();

    // Act: all are stopped; the last one names a checkpoint that fits once, but not for each member.
    let ends = placed.iter().zip(1..).map(|(name, number)| TaskEnd {
        number,
        task: name.clone(),
        run: 1,
        kind: EndKind::Stopped,
        checkpoint: match number {
            100 => "c".repeat(2_000),
            _ => "c".repeat(16),
        },
    });
    report_ends(&mut fleet, ends.collect());
    fleet.place();

    // Assert: the gang runs again.
    let bytes = row_bytes(&fleet);
    assert!(bytes <= MAX_ROW_BYTES, "{bytes} bytes");
    assert_eq!(fleet.placed_names().len(), 100);
}

#[test]
fn long_running_tasks_that_can_never_run_together_are_refused() {
    let step = StepSpec {
        long_running: true,
        ..small_step(100)
    };
    let schedule = |times| JobSchedule {
        times,
        first_ms: 1,
        interval_ms: 1,
    };

    let fits = job_spec(vec![step.clone()], Some(schedule(7)));
    let does_not_fit = job_spec(vec![step], Some(schedule(8)));

    assert_eq!(fits.first_error(), None);
    let error = does_not_fit.first_error();
    assert_eq!(error, Some(SpecError::TooManyLongRunning(800, 700)));
}

#[test]
fn tasks_without_room_in_their_row_take_no_workers_from_other_jobs() {
    // Arrange: the row of a job holds few of its tasks, since the worker's id is long.
    let worker = WorkerEntry {
        id: "i".repeat(LONG_ID_CHARS).parse().unwrap(),
        capacity: WorkerResources {
            cpu_millis: 800,
            ..large_worker(0).capacity
        },
        ..large_worker(0)
    };
    let mut fleet = EngineFleet::new(0);
    fleet.engine.set_worker(worker.clone(), fleet.now_ms);
    let report = WorkerReport {
        clock_ms: fleet.now_ms,
        ..WorkerReport::default()
    };
    let now_ms = fleet.now_ms;
    fleet
        .engine
        .apply_report(&worker.id, &report, now_ms, now_ms);
    let long = StepSpec {
        long_running: true,
        ..small_step(OCCURRENCE_TASKS)
    };
    fleet.submit(fixtures::JOB, vec![long]);
    fleet.start_all();
    let placed = fleet.placed_names().len();
    assert!(placed < 600, "{placed} placed");

    // Act.
    fleet.submit("00000000000000ff", vec![small_step(200)]);
    fleet.start_all();

    // Assert: the worker has room for them.
    assert_eq!(fleet.placed_names().len(), placed + 200);
}

#[test]
fn wave_of_many_hosts_does_not_end_each_term() {
    run(async {
        // Arrange.
        let workers = (0..WAVE_HOSTS).map(large_worker).collect();
        let fleet = FakeFleet::new(fixtures::config(), workers);
        let link = start_entry(&fleet, "boston-1");
        start_entry(&fleet, "boston-2");
        let hosts = (0..WAVE_HOSTS).map(|index| format!("host-{}", large_worker(index).id));
        let hosts = hosts.map(|host| host.parse().unwrap());

        // Act.
        fleet.start_wave(WaveRequest {
            wave: "7".parse().unwrap(),
            hosts: hosts.collect(),
            unreadable_hosts: 0,
            deadline_ms: 60_000,
            max_down: 300,
        });
        let deadline = Instant::now() + TIMEOUT;
        while !fleet.wave_complete.get() && Instant::now() < deadline {
            sleep(Duration::from_millis(50)).await;
        }

        // Assert.
        let results = (fleet.wave_complete.get(), lease_epoch(&link).await);
        assert_eq!(results, (true, 1));
    });
}

/// The row of command ages names each host that was commanded lately, by any number of waves and moves.
#[test]
fn commands_to_many_hosts_at_once_do_not_outgrow_a_row() {
    run(async {
        // Arrange: the names of hosts are as long as possible.
        let entry = |index| WorkerEntry {
            id: format!("{index:059}").parse().unwrap(),
            ..large_worker(index)
        };
        let workers: Vec<_> = (0..LONG_NAMED_HOSTS).map(entry).collect();
        let hosts = workers.iter().map(|worker| format!("host-{}", worker.id));
        let hosts = hosts.map(|host| host.parse().unwrap()).collect();
        let fleet = FakeFleet::new(fixtures::config(), workers);
        let link = start_entry(&fleet, "boston-1");
        start_entry(&fleet, "boston-2");

        // Act.
        fleet.start_wave(WaveRequest {
            wave: "7".parse().unwrap(),
            hosts,
            unreadable_hosts: 0,
            deadline_ms: 2_000,
            max_down: LONG_NAMED_HOSTS,
        });
        let deadline = Instant::now() + TIMEOUT;
        while !fleet.wave_complete.get() && Instant::now() < deadline {
            sleep(Duration::from_millis(50)).await;
        }

        // Assert.
        let results = (fleet.wave_complete.get(), lease_epoch(&link).await);
        assert_eq!(results, (true, 1));
    });
}

/// Without a word about it, tasks that wait for their job's row look as if they waited for workers.
#[test]
fn job_that_waits_for_its_row_is_reported() {
    run(async {
        // Arrange.
        let workers = (0..4).map(large_worker).collect();
        let fleet = FakeFleet::new(fixtures::config(), workers);
        fleet.task_ms.set(10_000);
        let link = FakeLink::new(&fleet);
        let view = FleetView::new();
        let watched = (Rc::clone(&link), Rc::clone(&view));
        monoio::spawn(async move { watched.1.watch(watched.0.as_ref()).await });
        let metrics = Rc::new(EntryMetrics::new());
        let controller = Controller::new(
            Rc::clone(&link),
            view,
            "boston-1".to_owned(),
            Rc::clone(&metrics),
            Rc::new(CountFreshness::new()),
            ShutdownSignal::new(),
        );
        monoio::spawn(async move { controller.run().await });
        let schedule = JobSchedule {
            times: OCCURRENCES,
            first_ms: 1,
            interval_ms: 1,
        };

        // Act.
        let wide = job_spec(vec![small_step(OCCURRENCE_TASKS)], Some(schedule));
        submit(&link, 1, &wide).await;
        sleep(Duration::from_secs(3)).await;

        // Assert.
        let text = metrics.to_text();
        assert!(text.contains("zincpier_full_row_jobs 1"), "{text}");
    });
}

/// An earlier build limited neither runs nor checkpoints by the row of their job.
#[test]
fn checkpoints_of_a_row_from_an_earlier_build_do_not_outgrow_it() {
    // Arrange: more tasks run than this build starts, none with a checkpoint.
    let mut fleet = EngineFleet::new(0);
    fleet.engine.set_worker(large_worker(0), fleet.now_ms);
    let schedule = JobSchedule {
        times: OCCURRENCES,
        first_ms: 0,
        interval_ms: 0,
    };
    let spec = job_spec(vec![small_step(OCCURRENCE_TASKS)], Some(schedule));
    let worker = large_worker(0).id;
    let task = |number: u32| match number < 1_150 {
        true => json!([1, 0, "", worker.as_str()]),
        false => json!(0),
    };
    let tasks: Vec<Value> = (0..OCCURRENCE_TASKS * OCCURRENCES).map(task).collect();
    let progress = json!({ "phase": "running", "tasks": tasks });
    let id: JobId = fixtures::JOB.parse().unwrap();
    let now_ms = fleet.now_ms;
    fleet.engine.add_job(id, spec, Some(&progress), now_ms);
    assert!(row_bytes(&fleet) <= MAX_ROW_BYTES);

    // Act: each run is stopped, with a checkpoint, and started again.
    let placed = fleet.placed_names();
    assert_eq!(placed.len(), 1_150);
    let ends = placed.iter().zip(1..).map(|(name, number)| TaskEnd {
        number,
        task: name.clone(),
        run: 1,
        kind: EndKind::Stopped,
        checkpoint: "c".repeat(16),
    });
    report_ends(&mut fleet, ends.collect());
    let ended_bytes = row_bytes(&fleet);
    fleet.place();

    // Assert: tasks run again, as many as the row holds.
    let bytes = row_bytes(&fleet).max(ended_bytes);
    assert!(bytes <= MAX_ROW_BYTES, "{bytes} bytes");
    assert!(fleet.placed_names().len() > 100);
}

#[test]
fn job_keeps_within_a_smaller_limit_on_rows() {
    // Arrange: the row holds fewer tasks than a job may have.
    let limit = RowLimit::new(12_000);
    let mut fleet = EngineFleet::new(0);
    let engine = std::mem::replace(&mut fleet.engine, JobEngine::new(0, 0));
    fleet.engine = engine.with_row_limit(limit);
    fleet.engine.set_worker(large_worker(0), fleet.now_ms);
    report_ends(&mut fleet, Vec::new());

    // Act.
    fleet.submit(fixtures::JOB, vec![small_step(OCCURRENCE_TASKS)]);
    fleet.start_all();

    // Assert.
    let placed = fleet.placed_names().len();
    let bytes = row_bytes(&fleet);
    assert!(bytes <= limit.get(), "{bytes} bytes");
    assert!(placed > 200, "{placed} placed");
    let now_ms = fleet.now_ms;
    assert_eq!(fleet.engine.check_full_rows(now_ms), 1);
}
