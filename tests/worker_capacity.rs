//! Workers whose capacity shrinks while they run, and that start whatever they are told to.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/restarts.rs"]
mod restarts;

#[path = "common/runtime.rs"]
mod runtime;

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use zincpier::process::boot_ms;
use zincpier::process::EntryMetrics;
use zincpier::workflow::send_start;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::ControllerTerm;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::HostCommands;
use zincpier::workflow::JobEngine;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LeaseRenewal;
use zincpier::workflow::PoolConfig;
use zincpier::workflow::RenewalOutcome;
use zincpier::workflow::RunningTask;
use zincpier::workflow::StartCommand;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskName;
use zincpier::workflow::WorkerEntry;
use zincpier::workflow::WorkerGateway;
use zincpier::workflow::WorkerReport;

use crate::fixtures::step;
use crate::fixtures::task;
use crate::fixtures::worker_entry;
use crate::fixtures::EngineFleet;
use crate::fixtures::JOB;
use crate::restarts::RestartFleet;
use crate::restarts::NEW;
use crate::runtime::run;

const OTHER_JOB: &str = "00000000000000b1";

/// A job that the controller does not know.
const UNKNOWN_JOB: &str = "00000000000000f9";

/// The time for which a list of workers counts as recent, and some more.
const STALE_LIST: Duration = Duration::from_millis(3_200);

/// A worker that accepts each start, and may lose the answers to the first ones.
#[derive(Default)]
struct ObedientGateway {
    starts: Cell<u32>,
    lost_starts: Cell<u32>,
}

impl WorkerGateway for ObedientGateway {
    async fn start_task(&self, _: &WorkerEntry, _: &StartCommand) -> CommandOutcome {
        self.starts.set(self.starts.get() + 1);
        sleep(Duration::from_millis(20)).await;
        if self.lost_starts.get() > 0 {
            self.lost_starts.set(self.lost_starts.get() - 1);
            return CommandOutcome::Unknown("lost".to_owned());
        }
        CommandOutcome::Accepted(boot_ms())
    }

    async fn stop_task(&self, _: &WorkerEntry, _: &TaskName, _: u64, _: u64) -> CommandOutcome {
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

/// Returns the entry of the first worker with so many cores.
fn entry_with_cores(cores: u64) -> WorkerEntry {
    let mut entry = worker_entry(0);
    entry.capacity.cpu_millis = cores * 1_000;
    entry
}

/// A configuration whose workers start whatever they are told to.
fn unguarded_config() -> FleetConfig {
    let mut config = fixtures::config();
    let pools = config.pools.into_iter().map(|pool| PoolConfig {
        rejects_overload: false,
        ..pool
    });
    config.pools = pools.collect();
    config
}

/// A term with one worker of 8 cores on which the tasks of `step` are placed.
fn placed_term(step: StepSpec) -> Rc<ControllerTerm> {
    let now_ms = boot_ms();
    let worker = worker_entry(0);
    let mut engine = JobEngine::new(now_ms, 0);
    engine.config = Some(Rc::new(unguarded_config()));
    engine.set_worker(worker.clone(), now_ms);
    let report = WorkerReport {
        clock_ms: now_ms,
        ..WorkerReport::default()
    };
    engine.apply_report(&worker.id, &report, now_ms, now_ms);
    let spec = JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![step],
        schedule: None,
    };
    engine.add_job(JOB.parse().unwrap(), spec, None, now_ms);
    engine.place_tasks(now_ms, 0);
    let commands = HostCommands::new(None, 0);
    let term = ControllerTerm::new(1, engine, commands, Rc::new(EntryMetrics::new()));
    term.record_worker_list();
    term
}

fn set_cores(term: &ControllerTerm, cores: u64) {
    let mut engine = term.engine.borrow_mut();
    engine.set_worker(entry_with_cores(cores), boot_ms());
}

async fn start_all(term: &Rc<ControllerTerm>, gateway: &Rc<ObedientGateway>, tasks: u32) {
    for index in 0..tasks {
        let name = task(JOB, index);
        send_start(Rc::clone(gateway), Rc::clone(term), name, 1).await;
    }
}

fn report_with(running: Vec<RunningTask>, clock_ms: u64) -> WorkerReport {
    WorkerReport {
        clock_ms,
        running,
        ..WorkerReport::default()
    }
}

fn run_of(task: TaskName, run: u64) -> RunningTask {
    RunningTask {
        task,
        run,
        checkpoint: String::new(),
        percent: 100,
        load: 0,
    }
}

/// A start waits for its commit, which takes seconds during an outage; what was free then may be gone.
#[test]
fn starts_placed_before_the_capacity_shrank_keep_within_it() {
    run(async {
        let term = placed_term(step(8));
        let gateway = Rc::new(ObedientGateway::default());

        set_cores(&term, 3);
        start_all(&term, &gateway, 8).await;

        assert_eq!(gateway.starts.get(), 3);
    });
}

/// The first attempt may not have arrived, so the second would be the start that exceeds the capacity.
#[test]
fn unanswered_start_is_not_sent_again_to_a_worker_whose_capacity_shrank() {
    run(async {
        let term = placed_term(step(1));
        let gateway = Rc::new(ObedientGateway::default());
        gateway.lost_starts.set(3);

        let (sender, waiting) = (Rc::clone(&gateway), Rc::clone(&term));
        let start = monoio::spawn(send_start(sender, waiting, task(JOB, 0), 1));
        sleep(Duration::from_millis(10)).await;
        set_cores(&term, 0);
        start.await;

        assert_eq!(gateway.starts.get(), 1);
    });
}

/// A gang of which only some members start ends without having worked.
#[test]
fn gang_is_not_started_in_part_when_the_capacity_shrank() {
    run(async {
        let gang = StepSpec {
            gang: true,
            ..step(4)
        };
        let term = placed_term(gang);
        let gateway = Rc::new(ObedientGateway::default());

        set_cores(&term, 3);
        start_all(&term, &gateway, 4).await;

        assert_eq!(gateway.starts.get(), 0);
    });
}

/// While the table is away a worker can't say that its capacity has shrunk; the placements of that time
/// are committed when it is back.
#[test]
fn worker_that_does_not_guard_its_capacity_gets_no_start_on_an_old_list() {
    run(async {
        let term = placed_term(step(2));
        let gateway = Rc::new(ObedientGateway::default());

        sleep(STALE_LIST).await;
        start_all(&term, &gateway, 1).await;
        let starts_on_old_list = gateway.starts.get();
        term.record_worker_list();
        let name = task(JOB, 1);
        send_start(Rc::clone(&gateway), Rc::clone(&term), name, 1).await;

        assert_eq!((starts_on_old_list, gateway.starts.get()), (0, 1));
    });
}

/// A start that was executed late, or by an earlier controller, takes capacity without a placed task.
#[test]
fn capacity_of_runs_without_a_placed_task_is_not_given_to_others() {
    let mut fleet = EngineFleet::new(1);
    fleet.engine.config = Some(Rc::new(unguarded_config()));
    fleet.submit(JOB, vec![step(6)]);
    let worker = worker_entry(0).id;
    let late = (0..6).map(|index| run_of(task(JOB, index), 9)).collect();

    let report = report_with(late, fleet.now_ms);
    let now_ms = fleet.now_ms;
    fleet.engine.apply_report(&worker, &report, now_ms, now_ms);
    let placed = fleet.place().len();
    fleet.report_empty();
    let placed_later = fleet.place().len();

    assert_eq!((placed, placed_later), (2, 4));
}

/// The demand of a run whose job is not known is not known either.
#[test]
fn worker_with_a_run_of_an_unknown_job_gets_no_tasks_until_the_run_is_over() {
    let mut fleet = EngineFleet::new(1);
    fleet.engine.config = Some(Rc::new(unguarded_config()));
    fleet.submit(JOB, vec![step(1)]);
    let worker = worker_entry(0).id;

    let report = report_with(vec![run_of(task(UNKNOWN_JOB, 0), 1)], fleet.now_ms);
    let now_ms = fleet.now_ms;
    fleet.engine.apply_report(&worker, &report, now_ms, now_ms);
    let placed = fleet.place().len();
    fleet.report_empty();
    let placed_later = fleet.place().len();

    assert_eq!((placed, placed_later), (0, 1));
}

/// A worker that starts again may be of another kind, with less capacity than its last entry says.
#[test]
fn restarted_worker_gets_no_tasks_until_its_new_entry_shows_its_capacity() {
    let mut fleet = RestartFleet::new(1);
    fleet.engine.config = Some(Rc::new(unguarded_config()));

    fleet.answer(&restarts::report(NEW));
    fleet.place_and_send();
    let placed_on_old_entry = fleet.is_placed(0);
    fleet.list(NEW);
    fleet.place_and_send();

    assert_eq!((placed_on_old_entry, fleet.is_placed(0)), (false, true));
}

/// A capacity that shrinks is no reason to end work that runs, and what is being stopped still counts.
#[test]
fn tasks_that_exceed_a_shrunken_capacity_run_on_and_count_until_they_are_gone() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(JOB, vec![step(6)]);
    fleet.start_all();
    fleet.report_all();
    fleet.submit(OTHER_JOB, vec![step(2)]);

    fleet.engine.set_worker(entry_with_cores(4), fleet.now_ms);
    let placed_over_capacity = fleet.place().len();
    let stops = fleet.engine.take_stops().len();
    fleet.engine.cancel_job(&JOB.parse().unwrap(), fleet.now_ms);
    let placed_while_stopping = fleet.place().len();

    assert_eq!(
        (placed_over_capacity, stops, placed_while_stopping),
        (0, 0, 0)
    );
}
