//! Guards against metrics that keep the values of a term that has ended, and against starts that
//! wait within a term.

#[path = "common/fake_fleet.rs"]
mod fake_fleet;

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/runtime.rs"]
mod runtime;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::timeout;
use zincpier::process::boot_ms;
use zincpier::process::EntryMetrics;
use zincpier::workflow::send_start;
use zincpier::workflow::send_stop;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::CommandPhase;
use zincpier::workflow::ControllerTerm;
use zincpier::workflow::HostCommands;
use zincpier::workflow::JobEngine;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LeaseRenewal;
use zincpier::workflow::RenewalOutcome;
use zincpier::workflow::RunningTask;
use zincpier::workflow::StartCommand;
use zincpier::workflow::StepSpec;
use zincpier::workflow::StopRequest;
use zincpier::workflow::TaskName;
use zincpier::workflow::TaskPhase;
use zincpier::workflow::WorkerEntry;
use zincpier::workflow::WorkerGateway;
use zincpier::workflow::WorkerReport;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

/// How long a worker takes to answer a start.
const START_TIME: Duration = Duration::from_millis(20);

/// How long the start in these tests waits.
const WAIT_FOR_START: Duration = Duration::from_millis(300);

fn empty_report() -> WorkerReport {
    WorkerReport {
        incarnation_start: None,
        clock_ms: 1_000_000,
        running: Vec::new(),
        ends: Vec::new(),
        held_ends: Vec::new(),
        has_more_ends: false,
    }
}

/// An entry host that has lost the lease would report its open jobs for ever, besides those of the
/// holder.
#[test]
fn ended_term_reports_no_lease_and_no_open_jobs() {
    let metrics = Rc::new(EntryMetrics::new());
    let commands = HostCommands::new(None, 0);
    let term = ControllerTerm::new(3, JobEngine::new(0, 0), commands, Rc::clone(&metrics));
    metrics.open_jobs.set(12);
    assert_eq!(metrics.lease_epoch.get(), 3);

    term.end("the test ends it");

    assert_eq!(metrics.lease_epoch.get(), 0);
    assert_eq!(metrics.open_jobs.get(), 0);
}

/// A start that waits for others would count as a run that takes long, and be stopped as stalled.
#[test]
fn time_until_a_start_is_sent_does_not_count_as_running_time() {
    run(async {
        // Arrange: a task is placed, and its start waits.
        let fleet = FakeFleet::new(fixtures::config(), vec![fixtures::worker_entry(0)]);
        let worker = fixtures::worker_entry(0);
        let placed_ms = boot_ms();
        let mut engine = JobEngine::new(placed_ms, 0);
        engine.config = Some(Rc::new(fixtures::config()));
        engine.set_worker(worker.clone(), placed_ms);
        engine.apply_report(&worker.id, &empty_report(), placed_ms, placed_ms);
        let spec = JobSpec {
            queue: fixtures::QUEUE.to_owned(),
            organisation: None,
            payload: "text".to_owned(),
            steps: vec![fixtures::step(1)],
            schedule: None,
        };
        engine.add_job(fixtures::JOB.parse().unwrap(), spec, None, placed_ms);
        engine.place_tasks(placed_ms, 0);
        let commands = HostCommands::new(None, placed_ms);
        let term = ControllerTerm::new(1, engine, commands, Rc::new(EntryMetrics::new()));
        sleep(WAIT_FOR_START).await;

        // Act.
        let task = fixtures::task(fixtures::JOB, 0);
        send_start(FakeLink::new(&fleet), Rc::clone(&term), task.clone(), 1).await;

        // Assert.
        let engine = term.engine.borrow();
        let state = engine.jobs[&task.job].task(&task).unwrap();
        let TaskPhase::Placed { since_ms, .. } = state.phase else {
            panic!("not placed: {:?}", state.phase);
        };
        assert!(since_ms >= placed_ms + WAIT_FOR_START.as_millis() as u64);
    });
}

/// Bytes of starts that may be on their way in these tests, and of a payload that fills them.
const START_LIMIT: usize = 8_000;

fn spec(payload_bytes: usize, step: StepSpec) -> JobSpec {
    JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "x".repeat(payload_bytes),
        steps: vec![step],
        schedule: None,
    }
}

/// A long-running task that was stopped for a drain would wait behind thousands of starts of a peak
/// on a thin link, while its users are without service.
#[test]
fn start_of_a_long_running_task_does_not_wait_behind_a_peak() {
    run(async {
        // Arrange: starts fill the link, and another one waits for it.
        let (ordinary, long_running) = (fixtures::JOB, "00000000000000b1");
        let mut engine = JobEngine::new(0, 0);
        let peak = spec(START_LIMIT, fixtures::step(2));
        engine.add_job(ordinary.parse().unwrap(), peak, None, 0);
        let lasting = spec(4, fixtures::long_running(1, 1));
        engine.add_job(long_running.parse().unwrap(), lasting, None, 0);
        let commands = HostCommands::new(None, 0);
        let metrics = Rc::new(EntryMetrics::new());
        let term = ControllerTerm::with_start_limit(1, engine, commands, metrics, START_LIMIT);
        let _permit = term.start_permit(&fixtures::task(ordinary, 0)).await;

        // Act.
        let next = fixtures::task(ordinary, 1);
        let next = timeout(WAIT_FOR_START, term.start_permit(&next)).await;
        let task = fixtures::task(long_running, 0);
        let start = timeout(WAIT_FOR_START, term.start_permit(&task)).await;

        // Assert.
        assert!(next.is_err(), "the link is full");
        assert!(start.is_ok());
    });
}

/// Workers that accept each command, as those do that the next holder of the lease has not called yet.
#[derive(Default)]
struct CountingGateway {
    starts: Cell<u32>,
    /// Number of upcoming starts whose answers are lost.
    lost_starts: Cell<u32>,
    stops: Cell<u32>,
}

impl WorkerGateway for CountingGateway {
    async fn start_task(&self, _: &WorkerEntry, _: &StartCommand) -> CommandOutcome {
        sleep(START_TIME).await;
        let lost = self.lost_starts.get();
        if lost > 0 {
            self.lost_starts.set(lost - 1);
            return CommandOutcome::Unknown("lost".to_owned());
        }
        self.starts.set(self.starts.get() + 1);
        CommandOutcome::Accepted(boot_ms())
    }

    async fn stop_task(&self, _: &WorkerEntry, _: &TaskName, _: u64, _: u64) -> CommandOutcome {
        self.stops.set(self.stops.get() + 1);
        CommandOutcome::Accepted(boot_ms())
    }

    async fn renew_lease(&self, _: &WorkerEntry, _: &LeaseRenewal) -> RenewalOutcome {
        RenewalOutcome::Unknown("not simulated".to_owned())
    }

    async fn set_task_pace(
        &self,
        _: &WorkerEntry,
        _: &TaskName,
        _: u64,
        _: u32,
        _: u64,
    ) -> CommandOutcome {
        CommandOutcome::Unknown("not simulated".to_owned())
    }
}

/// A term in which another worker has refused the epoch, and a stop of a task that runs.
async fn doubted_term() -> (Rc<ControllerTerm>, StopRequest) {
    let now_ms = boot_ms();
    let worker = fixtures::worker_entry(0);
    let mut engine = JobEngine::new(now_ms, 0);
    engine.config = Some(Rc::new(fixtures::config()));
    engine.set_worker(worker.clone(), now_ms);
    engine.apply_report(&worker.id, &empty_report(), now_ms, now_ms);
    let spec = spec(4, fixtures::long_running(1, 1));
    engine.add_job(fixtures::JOB.parse().unwrap(), spec, None, now_ms);
    engine.place_tasks(now_ms, 0);
    let task = fixtures::task(fixtures::JOB, 0);
    let running = RunningTask {
        task: task.clone(),
        run: 1,
        checkpoint: String::new(),
        percent: 100,
        load: 0,
    };
    let state = engine.jobs.get_mut(&task.job).unwrap();
    state.task_mut(&task).unwrap().set_sent(now_ms);
    let report = WorkerReport {
        running: vec![running],
        ..empty_report()
    };
    engine.apply_report(&worker.id, &report, now_ms, now_ms);
    engine.drain_worker(&worker.id, false);
    let request = engine.take_stops().pop().unwrap();
    let commands = HostCommands::new(None, 0);
    let term = ControllerTerm::new(1, engine, commands, Rc::new(EntryMetrics::new()));
    sleep(Duration::from_millis(5)).await;
    term.doubt_lease(&fixtures::worker_entry(1).id);
    assert!(term.is_doubted());
    (term, request)
}

/// A stop that waits while the lease is doubted would be sent once it is known that another holder
/// decides, and end a run that this holder keeps.
#[test]
fn stop_that_waited_for_a_doubt_is_not_sent_after_the_term_ended() {
    run(async {
        // Arrange: another worker knows of a later holder when a task is to be stopped.
        let (term, request) = doubted_term().await;
        let gateway = Rc::new(CountingGateway::default());
        let stop = send_stop(Rc::clone(&gateway), Rc::clone(&term), request);
        let stop = monoio::spawn(stop);
        sleep(WAIT_FOR_START).await;
        assert_eq!(gateway.stops.get(), 0);

        // Act: a commit finds that the lease has passed on.
        term.end("the controller's lease is lost");
        stop.await;

        // Assert.
        assert_eq!(gateway.stops.get(), 0);
    });
}

/// A stop that waited would be forgotten, and the run go on.
#[test]
fn stop_that_waited_for_a_doubt_is_sent_once_the_lease_is_confirmed() {
    run(async {
        // Arrange.
        let (term, request) = doubted_term().await;
        let phase = |term: &ControllerTerm| {
            let engine = term.engine.borrow();
            let state = engine.jobs[&request.task.job].task(&request.task);
            state.and_then(|state| state.command_phase())
        };
        let gateway = Rc::new(CountingGateway::default());
        let stop = send_stop(Rc::clone(&gateway), Rc::clone(&term), request.clone());
        let stop = monoio::spawn(stop);
        sleep(WAIT_FOR_START).await;
        assert_eq!(phase(&term), Some(CommandPhase::Stopping));

        // Act.
        term.record_confirmed(boot_ms());
        stop.await;

        // Assert.
        assert_eq!(gateway.stops.get(), 1);
        assert!(matches!(phase(&term), Some(CommandPhase::Stopped(_))));
    });
}

/// Each report lists such a run again, and hundreds of stops would be sent at once after an outage.
#[test]
fn stops_of_one_run_do_not_pile_up_during_a_doubt() {
    run(async {
        // Arrange: a worker lists a run that no job has.
        let (term, _) = doubted_term().await;
        let worker = fixtures::worker_entry(0).id;
        let unknown = RunningTask {
            task: fixtures::task("00000000000000b1", 0),
            run: 1,
            checkpoint: String::new(),
            percent: 100,
            load: 0,
        };
        let report = WorkerReport {
            running: vec![unknown],
            ..empty_report()
        };

        // Act: it does so in each report until the doubt ends.
        let gateway = Rc::new(CountingGateway::default());
        for _ in 0..20 {
            let now_ms = boot_ms();
            let stops = {
                let mut engine = term.engine.borrow_mut();
                engine.apply_report(&worker, &report, now_ms, now_ms);
                engine.take_stops().into_iter()
            };
            for stop in stops.filter(|stop| stop.task == report.running[0].task) {
                monoio::spawn(send_stop(Rc::clone(&gateway), Rc::clone(&term), stop));
            }
            sleep(Duration::from_millis(5)).await;
        }
        term.record_confirmed(boot_ms());
        sleep(WAIT_FOR_START).await;

        // Assert.
        assert_eq!(gateway.stops.get(), 1);
    });
}

/// Workers' leases would expire although a successor allows for their renewal, and each refusal of the
/// same worker would put off the end of the doubt on a slow table.
#[test]
fn doubt_lasts_until_a_later_commit_and_leaves_leases_alone() {
    run(async {
        // Arrange.
        let commands = HostCommands::new(None, 0);
        let engine = JobEngine::new(0, 0);
        let term = ControllerTerm::new(1, engine, commands, Rc::new(EntryMetrics::new()));
        let worker = fixtures::worker_entry(0).id;
        let before_ms = boot_ms();
        sleep(Duration::from_millis(5)).await;

        // Act: the worker refuses again while the commit that will settle the doubt is on its way.
        term.doubt_lease(&worker);
        sleep(Duration::from_millis(5)).await;
        let sent_ms = boot_ms();
        sleep(Duration::from_millis(1_100)).await;
        term.doubt_lease(&worker);
        term.record_confirmed(before_ms);
        let permissions = (term.is_active(), term.may_renew(), term.may_direct_runs());
        let may_command = term.may_command();
        term.record_confirmed(sent_ms);

        // Assert.
        assert_eq!((permissions, may_command), ((true, true, false), false));
        assert!(!term.is_doubted() && term.may_direct_runs());
    });
}

/// A term whose first worker has `step` placed, and the tasks of it.
fn placed_term(step: StepSpec) -> (Rc<ControllerTerm>, Vec<TaskName>) {
    let now_ms = boot_ms();
    let worker = fixtures::worker_entry(0);
    let mut engine = JobEngine::new(now_ms, 0);
    engine.config = Some(Rc::new(fixtures::config()));
    engine.set_worker(worker.clone(), now_ms);
    engine.apply_report(&worker.id, &empty_report(), now_ms, now_ms);
    let tasks = (0..step.tasks).map(|index| fixtures::task(fixtures::JOB, index));
    let tasks = tasks.collect();
    engine.add_job(fixtures::JOB.parse().unwrap(), spec(4, step), None, now_ms);
    engine.place_tasks(now_ms, 0);
    let commands = HostCommands::new(None, 0);
    let term = ControllerTerm::new(1, engine, commands, Rc::new(EntryMetrics::new()));
    (term, tasks)
}

fn phase_of(term: &ControllerTerm, task: &TaskName) -> Option<CommandPhase> {
    let engine = term.engine.borrow();
    let state = engine.jobs[&task.job].task(task);
    state.and_then(|state| state.command_phase())
}

/// The other members would wait for one whose start was withdrawn, and end alone.
#[test]
fn gang_is_not_started_in_part_during_a_doubt() {
    run(async {
        // Arrange: the first member is started.
        let gang = StepSpec {
            gang: true,
            ..fixtures::step(2)
        };
        let (term, tasks) = placed_term(gang);
        let gateway = Rc::new(CountingGateway::default());
        let first = send_start(Rc::clone(&gateway), Rc::clone(&term), tasks[0].clone(), 1);
        first.await;
        sleep(Duration::from_millis(5)).await;

        // Act: another worker refuses the epoch, and a commit confirms the lease.
        term.doubt_lease(&fixtures::worker_entry(1).id);
        let second = send_start(Rc::clone(&gateway), Rc::clone(&term), tasks[1].clone(), 1);
        let second = monoio::spawn(second);
        sleep(WAIT_FOR_START).await;
        let starts_in_doubt = gateway.starts.get();
        term.record_confirmed(boot_ms());
        second.await;

        // Assert.
        assert_eq!((starts_in_doubt, gateway.starts.get()), (1, 2));
        let phases = tasks.iter().map(|task| phase_of(&term, task));
        let is_accepted = |phase| matches!(phase, Some(CommandPhase::Accepted(_)));
        assert!(phases.into_iter().all(is_accepted));
    });
}

/// A start that is not sent again would have to be stopped and released, which takes seconds.
#[test]
fn start_whose_answer_is_lost_is_sent_again_after_a_doubt() {
    run(async {
        // Arrange: the answer to a start is lost.
        let (term, tasks) = placed_term(fixtures::step(1));
        let gateway = Rc::new(CountingGateway::default());
        gateway.lost_starts.set(1);
        sleep(Duration::from_millis(5)).await;
        let start = send_start(Rc::clone(&gateway), Rc::clone(&term), tasks[0].clone(), 1);
        let start = monoio::spawn(start);
        sleep(START_TIME / 2).await;

        // Act: the lease is doubted meanwhile, and then confirmed.
        term.doubt_lease(&fixtures::worker_entry(1).id);
        sleep(WAIT_FOR_START).await;
        let starts_in_doubt = gateway.starts.get();
        term.record_confirmed(boot_ms());
        start.await;

        // Assert.
        assert_eq!((starts_in_doubt, gateway.starts.get()), (0, 1));
        let phase = phase_of(&term, &tasks[0]);
        assert!(
            matches!(phase, Some(CommandPhase::Accepted(_))),
            "{phase:?}"
        );
    });
}
