//! Starts of gangs of which a member can't start. Guards against members that are left to wait for it, so that
//! they end alone without having worked (review/10).

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;

use zincpier::process::boot_ms;
use zincpier::process::EntryMetrics;
use zincpier::workflow::send_start;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::CommandPhase;
use zincpier::workflow::CommandRefusal;
use zincpier::workflow::ControllerTerm;
use zincpier::workflow::CordonReason;
use zincpier::workflow::HostCommands;
use zincpier::workflow::JobEngine;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LeaseRenewal;
use zincpier::workflow::RenewalOutcome;
use zincpier::workflow::StartCommand;
use zincpier::workflow::TaskName;
use zincpier::workflow::WorkerEntry;
use zincpier::workflow::WorkerGateway;
use zincpier::workflow::WorkerReport;

use crate::fixtures::gang;
use crate::fixtures::task;
use crate::fixtures::worker_entry;
use crate::fixtures::EngineFleet;
use crate::fixtures::JOB;
use crate::runtime::run;

const MEMBERS: u32 = 4;

/// What becomes of a member's start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum StartResult {
    Accepted,
    Refused,
    NotSent,
}

const RESULTS: [StartResult; 3] = [
    StartResult::Accepted,
    StartResult::Refused,
    StartResult::NotSent,
];

impl StartResult {
    fn outcome(self, now_ms: u64) -> CommandOutcome {
        match self {
            Self::Accepted => CommandOutcome::Accepted(now_ms),
            Self::Refused => CommandOutcome::Refused(CommandRefusal::NoRoom),
            Self::NotSent => CommandOutcome::NotSent("refused".to_owned()),
        }
    }
}

/// A worker that accepts all commands.
struct ObedientGateway;

impl WorkerGateway for ObedientGateway {
    async fn start_task(&self, _: &WorkerEntry, _: &StartCommand) -> CommandOutcome {
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

/// A term with one worker on which a gang is placed.
fn placed_term() -> Rc<ControllerTerm> {
    let now_ms = boot_ms();
    let worker = worker_entry(0);
    let mut engine = JobEngine::new(now_ms, 0);
    engine.config = Some(Rc::new(fixtures::config()));
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
        steps: vec![gang(MEMBERS, 1_000)],
        schedule: None,
    };
    engine.add_job(JOB.parse().unwrap(), spec, None, now_ms);
    engine.place_tasks(now_ms, 0);
    let commands = HostCommands::new(None, 0);
    let term = ControllerTerm::new(1, engine, commands, Rc::new(EntryMetrics::new()));
    term.record_worker_list();
    term
}

/// Returns the members that may start or run, and that no stop ends.
fn members_left(engine: &JobEngine) -> usize {
    let members = (0..MEMBERS).map(|index| task(JOB, index));
    let phases = members.filter_map(|name| engine.jobs[&name.job].task(&name)?.command_phase());
    let left =
        phases.filter(|phase| !matches!(phase, CommandPhase::Stopping | CommandPhase::Stopped(_)));
    left.count()
}

/// Guards against a host that is cordoned for a move between the starts of two members.
#[test]
fn gang_is_taken_back_whole_when_a_worker_is_cordoned_before_all_starts_are_sent() {
    run(async {
        for sent in 0..MEMBERS {
            let term = placed_term();
            let gateway = Rc::new(ObedientGateway);
            for index in 0..MEMBERS {
                if index == sent {
                    let cordon = CordonReason::Move("elsewhere".to_owned());
                    let mut engine = term.engine.borrow_mut();
                    engine.set_cordon(&worker_entry(0).id, Some(cordon));
                }
                let name = task(JOB, index);
                send_start(Rc::clone(&gateway), Rc::clone(&term), name, 1).await;
            }

            let left = members_left(&term.engine.borrow());

            assert_eq!(left, 0, "{sent} starts were sent");
        }
    });
}

/// Guards against any outcomes of the members' starts, in any order, that leave a part of a gang to wait.
#[test]
fn gang_starts_whole_or_is_taken_back_whole() {
    let combinations = RESULTS.len().pow(MEMBERS);
    for combination in 0..combinations {
        for first in 0..MEMBERS {
            let mut fleet = EngineFleet::new(1);
            fleet.submit(JOB, vec![gang(MEMBERS, 1_000)]);
            for name in fleet.place() {
                fleet.send(&name);
            }
            let mut results = Vec::new();
            for turn in 0..MEMBERS {
                let index = (first + turn) % MEMBERS;
                let digit = combination / RESULTS.len().pow(index) % RESULTS.len();
                let outcome = RESULTS[digit].outcome(fleet.now_ms);
                let name = task(JOB, index);
                fleet.engine.apply_start(&name, 1, &outcome, fleet.now_ms);
                results.push(RESULTS[digit]);
            }

            let left = members_left(&fleet.engine);

            let is_whole = results.iter().all(|one| *one == StartResult::Accepted);
            let expected = if is_whole { MEMBERS as usize } else { 0 };
            assert_eq!(left, expected, "{results:?}");
        }
    }
}
