//! Caps on what an organisation has running. Guards against starts above a cap and against work that
//! a cap holds back but that still counts for hosts or for the jobs of others.

#[path = "common/workflow.rs"]
mod fixtures;

use fixtures::*;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use zincpier::id::OrganisationId;
use zincpier::id::WorkerId;
use zincpier::process::boot_ms;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::CommandRefusal;
use zincpier::workflow::EndKind;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::FleetView;
use zincpier::workflow::JobPhase;
use zincpier::workflow::OperatorChange;
use zincpier::workflow::Organisation;
use zincpier::workflow::ResourceCap;
use zincpier::workflow::RunningTask;
use zincpier::workflow::ShareWeight;
use zincpier::workflow::StepSpec;
use zincpier::workflow::TaskName;
use zincpier::workflow::WorkerReport;
use zincpier::workflow::WorkerResources;

const OTHER_JOB: &str = "00000000000000b2";

/// Time for which a replaced version of the configuration may be in force, and 10 ms.
const OVERLAP_MS: u64 = 3_010;

/// Returns a fleet of workers with 8 cores each, of which one organisation may use `cores`.
fn capped_fleet(workers: usize, cores: u64) -> EngineFleet {
    let mut fleet = EngineFleet::new(workers);
    set_cap(&mut fleet, cores);
    fleet
}

/// Caps one of two organisations. It is entitled to all the jobs that the tests submit at once, so
/// that none of them is over its rate.
fn set_cap(fleet: &mut EngineFleet, cores: u64) {
    let north = Organisation {
        weight: ShareWeight::new(1_000.0),
        ..capped_organisation("north", cores)
    };
    fleet.set_organisations(vec![north, organisation("south", 1.0)]);
}

fn gang(tasks: u32) -> StepSpec {
    StepSpec {
        gang: true,
        ..step(tasks)
    }
}

fn id(name: &str) -> OrganisationId {
    name.parse().unwrap()
}

/// Sums up the cores of an organisation's placed tasks, without the engine's own count.
fn placed_cores(fleet: &EngineFleet, organisation: &str) -> u64 {
    placed_demand(fleet, organisation).cpu_millis / 1_000
}

fn placed_demand(fleet: &EngineFleet, organisation: &str) -> WorkerResources {
    let mut sum = WorkerResources::default();
    for name in fleet.placed_names() {
        let spec = &fleet.engine.jobs[&name.job].spec;
        if spec.organisation == Some(id(organisation)) {
            sum.add(&spec.steps[name.step as usize].demand);
        }
    }
    sum
}

fn used_cores(fleet: &EngineFleet, organisation: &str) -> u64 {
    let usage = fleet.engine.organisation_usage(&id(organisation));
    usage.cpu_millis / 1_000
}

/// Leaves the starts of all placed tasks unanswered.
fn lose_starts(fleet: &mut EngineFleet) {
    for name in fleet.placed_names() {
        let run = fleet.state(&name).last_run;
        let lost = CommandOutcome::Unknown("no answer".to_owned());
        fleet.engine.apply_start(&name, run, &lost, fleet.now_ms);
    }
}

/// Applies a report of a worker that lists `running` and nothing else.
fn report_running(fleet: &mut EngineFleet, worker: &WorkerId, running: &[(TaskName, u64)]) {
    fleet.advance(10);
    let running = running.iter().map(|(task, run)| RunningTask {
        task: task.clone(),
        run: *run,
        checkpoint: String::new(),
        percent: 100,
        load: 0,
    });
    let report = WorkerReport {
        clock_ms: fleet.now_ms,
        running: running.collect(),
        ..WorkerReport::default()
    };
    let now_ms = fleet.now_ms;
    fleet.engine.apply_report(worker, &report, now_ms, now_ms);
}

/// Guards against a wide step that starts above the cap, or not at all.
#[test]
fn step_wider_than_the_room_runs_in_parts() {
    let mut fleet = capped_fleet(3, 5);
    fleet.submit_for("north", JOB, vec![step(12)]);

    assert_eq!(fleet.start_all(), 5);
    fleet.end_first(EndKind::Done);
    assert_eq!(fleet.start_all(), 1);
    fleet.end_all(EndKind::Done);
    assert_eq!(fleet.start_all(), 5);
    fleet.end_all(EndKind::Done);
    assert_eq!(fleet.start_all(), 1);
    fleet.end_all(EndKind::Done);

    assert_eq!(fleet.phase(JOB), JobPhase::Complete);
    assert_eq!(used_cores(&fleet, "north"), 0);
}

/// Guards against caps per job or per pass instead of per organisation.
#[test]
fn jobs_of_one_organisation_share_its_cap_and_others_do_not() {
    let mut fleet = capped_fleet(3, 5);
    fleet.submit_for("north", JOB, vec![step(4)]);
    fleet.submit_for("north", OTHER_JOB, vec![step(4)]);
    fleet.submit_for("south", "00000000000000c3", vec![step(9)]);
    fleet.submit("00000000000000d4", vec![step(4)]);

    fleet.start_all();

    assert_eq!(placed_cores(&fleet, "north"), 5);
    assert_eq!(placed_cores(&fleet, "south"), 9);
    assert_eq!(fleet.placed_names().len(), 18);
}

/// Guards against a gang that starts in part because the cap has room for some members only.
#[test]
fn gang_starts_only_if_all_of_it_fits_under_the_cap() {
    let mut fleet = capped_fleet(3, 6);
    fleet.submit_for("north", JOB, vec![step(3)]);
    fleet.start_all();
    fleet.submit_for("north", OTHER_JOB, vec![gang(4)]);

    assert_eq!(fleet.start_all(), 0);
    fleet.end_first(EndKind::Done);

    assert_eq!(fleet.start_all(), 4);
    assert_eq!(placed_cores(&fleet, "north"), 6);
}

/// Guards against a task or gang that can never run but asks for hosts, fails, or stops the jobs
/// behind it.
#[test]
fn work_larger_than_the_cap_waits_and_affects_nothing_else() {
    let large = StepSpec {
        demand: WorkerResources {
            cpu_millis: 7_000,
            ..WorkerResources::default()
        },
        ..step(1)
    };
    for oversized in [large, gang(7)] {
        let mut fleet = capped_fleet(3, 6);
        let empty = fleet.engine.pool_demands(fleet.now_ms);
        for number in 0..40 {
            let id = format!("{number:016x}");
            fleet.submit_for("north", &id, vec![oversized.clone()]);
        }
        fleet.start_all();
        let demands = fleet.engine.pool_demands(fleet.now_ms);
        fleet.submit_for("north", JOB, vec![step(2)]);
        fleet.submit_for("south", OTHER_JOB, vec![step(2)]);

        fleet.start_all();

        assert_eq!(placed_cores(&fleet, "north"), 2);
        assert_eq!(placed_cores(&fleet, "south"), 2);
        assert_eq!(demands, empty);
        assert!(!fleet.engine.has_waiting_tasks(), "no worker is missing");
        assert_eq!(fleet.phase(&format!("{:016x}", 0)), JobPhase::Queued);
    }
}

/// Guards against an organisation that gets more CPU time than its cap through backfill tasks, which
/// reserve none on their workers.
#[test]
fn backfill_counts_with_its_full_demand() {
    let mut fleet = capped_fleet(3, 4);
    let backfill = StepSpec {
        backfill: true,
        ..step(9)
    };
    fleet.submit_for("north", JOB, vec![backfill]);

    fleet.start_all();

    assert_eq!(placed_cores(&fleet, "north"), 4);
    assert_eq!(used_cores(&fleet, "north"), 4);
}

/// Guards against caps that limit CPU only.
#[test]
fn memory_is_capped_like_cpu() {
    let mut fleet = EngineFleet::new(3);
    let limits = WorkerResources {
        memory_mb: 3_500,
        ..WorkerResources::default()
    };
    let north = Organisation {
        cap: ResourceCap::new(limits),
        ..organisation("north", 1.0)
    };
    fleet.set_organisations(vec![north]);
    fleet.submit_for("north", JOB, vec![step(9)]);

    assert_eq!(fleet.start_all(), 3);
}

/// Guards against a new controller that doesn't count the starts of the one before: those that are
/// unanswered, and those on workers that it has not listed yet.
#[test]
fn takeover_at_the_cap_with_unanswered_starts_starts_nothing_above_it() {
    let mut fleet = capped_fleet(3, 4);
    fleet.submit_for("north", JOB, vec![step(9)]);
    assert_eq!(fleet.place().len(), 4);
    lose_starts(&mut fleet);

    let mut next = fleet.successor_without_workers();
    assert_eq!(used_cores(&next, "north"), 4, "no worker is known yet");
    assert!(next.place().is_empty());
    next.list_and_report_running();
    assert!(next.place().is_empty(), "the starts were executed");
    assert_eq!(used_cores(&next, "north"), 4);
    next.end_first(EndKind::Done);

    assert_eq!(next.start_all(), 1);
    assert_eq!(placed_cores(&next, "north"), 4);
}

/// Guards against starts of a new controller beside those that its predecessor may still have on
/// their way to workers that have not answered.
#[test]
fn takeover_counts_unanswered_starts_until_their_worker_reports() {
    let mut fleet = capped_fleet(3, 4);
    fleet.submit_for("north", JOB, vec![step(9)]);
    fleet.place();
    lose_starts(&mut fleet);
    let worker = fleet.worker_of(&task(JOB, 0));

    let mut next = fleet.successor();
    next.report_empty_but(&worker);
    assert!(next.place().is_empty());
    next.report_empty();
    next.advance(10);

    assert_eq!(next.place().len(), 4, "the worker lists none of the runs");
    assert_eq!(placed_cores(&next, "north"), 4);
}

/// Guards against a lowered cap that stops running tasks, or that is applied only to the jobs that
/// arrive later.
#[test]
fn cap_lowered_below_the_usage_stops_nothing_and_starts_nothing() {
    let mut fleet = capped_fleet(3, 8);
    fleet.submit_for("north", JOB, vec![step(12)]);
    fleet.start_all();
    fleet.report_all();

    set_cap(&mut fleet, 3);
    assert_eq!(fleet.start_all(), 0);
    assert!(fleet.engine.take_stops().is_empty());
    assert_eq!(placed_cores(&fleet, "north"), 8);
    for expected in [0, 0, 0, 0, 0, 1] {
        fleet.end_first(EndKind::Done);
        assert_eq!(fleet.start_all(), expected);
    }

    assert_eq!(placed_cores(&fleet, "north"), 3);
}

/// Guards against starts above a lower cap that is still in force elsewhere.
#[test]
fn raised_cap_applies_once_the_version_before_is_out_of_force() {
    let mut fleet = capped_fleet(3, 3);
    fleet.submit_for("north", JOB, vec![step(12)]);
    fleet.start_all();

    set_cap(&mut fleet, 6);
    assert_eq!(fleet.start_all(), 0);
    set_cap(&mut fleet, 5);
    fleet.advance(OVERLAP_MS);
    fleet.report_all();

    assert_eq!(fleet.start_all(), 2);
}

/// Guards against a new controller that takes a raised cap for the only one in force.
#[test]
fn raised_cap_is_known_to_be_new_after_a_takeover() {
    let mut fleet = capped_fleet(3, 3);
    fleet.now_ms = boot_ms();
    let view = FleetView::new();
    let config = |fleet: &EngineFleet| FleetConfig::clone(fleet.engine.config.as_ref().unwrap());
    view.accept(OperatorChange::Config(config(&fleet)));
    set_cap(&mut fleet, 6);
    view.accept(OperatorChange::Config(config(&fleet)));
    fleet.submit_for("north", JOB, vec![step(12)]);

    let mut next = fleet.successor();
    next.engine.adopt_caps(&view);
    next.report_empty();
    let soon = next.start_all();
    next.advance(OVERLAP_MS);
    next.report_all();

    assert_eq!((soon, next.start_all()), (3, 3));
}

/// Guards against starts of a controller that can't know of a lower cap, since it has not been able
/// to read the configuration.
#[test]
fn organisation_with_a_cap_starts_nothing_while_the_configuration_may_be_old() {
    let mut fleet = capped_fleet(3, 6);
    fleet.submit_for("north", JOB, vec![step(4)]);
    fleet.submit_for("south", OTHER_JOB, vec![step(4)]);

    fleet.engine.is_config_recent = false;
    fleet.start_all();
    assert_eq!(placed_cores(&fleet, "north"), 0);
    assert_eq!(placed_cores(&fleet, "south"), 4);
    fleet.engine.is_config_recent = true;
    fleet.start_all();

    assert_eq!(placed_cores(&fleet, "north"), 4);
}

/// Guards against starts beside a run that was believed not to have started: its start got no answer,
/// its worker did not list it and accepted a stop, and it began all the same.
#[test]
fn late_start_counts_while_its_worker_lists_it() {
    for late_ms in [2_000, 12_000] {
        // Arrange.
        let mut fleet = capped_fleet(2, 1);
        fleet.submit_for("north", JOB, vec![step(1)]);
        fleet.place();
        lose_starts(&mut fleet);
        let late = task(JOB, 0);
        let worker = fleet.worker_of(&late);
        fleet.advance(100);
        fleet.report_empty();
        assert_eq!(used_cores(&fleet, "north"), 1, "the stop is unanswered");
        let stop = fleet.engine.take_stops().remove(0);
        let accepted = CommandOutcome::Accepted(1);
        fleet.engine.apply_stop(&stop, &accepted, fleet.now_ms);
        fleet.advance(10);
        fleet.report_empty();
        fleet.engine.cancel_job(&late.job, fleet.now_ms);
        assert_eq!(used_cores(&fleet, "north"), 0);

        // Act.
        fleet.advance(late_ms);
        let ended = fleet.engine.archivable_jobs(fleet.now_ms);
        for job in &ended {
            fleet.engine.archive_job(&job.id, fleet.now_ms);
        }
        report_running(&mut fleet, &worker, &[(late.clone(), 1)]);
        fleet.submit_for("north", OTHER_JOB, vec![step(2)]);
        let beside = fleet.start_all();
        let stops = fleet.engine.take_stops();
        report_running(&mut fleet, &worker, &[]);
        let after = fleet.start_all();

        // Assert.
        assert_eq!(!ended.is_empty(), late_ms > 10_000);
        assert_eq!(beside, 0, "{late_ms}");
        assert!(stops.iter().any(|stop| stop.task == late && stop.run == 1));
        assert_eq!(after, 1, "{late_ms}");
        assert_eq!(used_cores(&fleet, "north"), 1);
    }
}

/// Guards against a late run that counts for ever because its worker is gone.
#[test]
fn late_start_counts_until_the_lease_of_a_silent_worker_has_expired() {
    let mut fleet = capped_fleet(2, 1);
    fleet.submit_for("north", JOB, vec![step(1)]);
    let worker = worker_entry(0).id;
    report_running(&mut fleet, &worker, &[(task(JOB, 0), 7)]);
    fleet.engine.workers.get_mut(&worker).unwrap().lease_end_ms = fleet.now_ms + LEASE_MS;

    fleet.mark_unresponsive_by_id(&worker);
    fleet.unlist_worker(0);
    fleet.advance(LEASE_MS / 2);
    fleet.engine.expire_workers(fleet.now_ms);
    assert_eq!(used_cores(&fleet, "north"), 1);
    fleet.advance(LEASE_MS);
    fleet.engine.expire_workers(fleet.now_ms);

    assert_eq!(used_cores(&fleet, "north"), 0);
}

/// Guards against hosts that are moved, and jobs of others that are refused, for work that the cap
/// does not let run.
#[test]
fn demand_and_backlogs_count_only_what_the_cap_allows() {
    let demand_of = |cores: u64| {
        let mut fleet = capped_fleet(1, cores);
        fleet.start_all();
        let service = SERVICE.parse().unwrap();
        let idle = fleet.engine.pool_demands(fleet.now_ms)[&service];
        assert_eq!(idle, 0);
        for number in 0..60 {
            fleet.submit_for("north", &format!("{number:016x}"), vec![step(8)]);
        }
        fleet.start_all();
        let demand = fleet.engine.pool_demands(fleet.now_ms)[&service];
        let backlogs = fleet.engine.queue_backlogs(0, fleet.now_ms);
        (demand, backlogs.get(QUEUE).map(|backlog| backlog.wait_ms))
    };

    let (demand, wait_ms) = demand_of(4);
    let (uncapped_demand, uncapped_wait_ms) = demand_of(0);

    assert!(
        demand <= 4_400,
        "{demand} millicores under a cap of 4 cores"
    );
    assert_eq!(wait_ms, None);
    assert!(uncapped_demand > 100_000, "{uncapped_demand}");
    assert!(uncapped_wait_ms > Some(20_000), "{uncapped_wait_ms:?}");
}

/// Guards against jobs of others that are deferred for work that the cap does not let run.
#[test]
fn flood_of_a_capped_organisation_defers_no_job_of_others() {
    let mut fleet = capped_fleet(3, 2);
    for number in 0..400 {
        let id = format!("f{number:015x}");
        fleet.submit_for("north", &id, vec![step(1)]);
    }
    // The largest job would be the first one to be deferred.
    fleet.submit_for("south", JOB, vec![step(20)]);
    fleet.submit_for("south", OTHER_JOB, vec![step(2)]);

    fleet.start_all();

    assert_eq!(placed_cores(&fleet, "north"), 2);
    assert_eq!(placed_cores(&fleet, "south"), 22);
}

/// Plays random events over several terms. Guards against a count that drifts from what is placed,
/// and against starts above a cap that may be in force.
#[test]
fn usage_equals_the_placed_tasks_through_random_events() {
    for seed in 0..60 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut fleet = capped_fleet(3, 6);
        let mut caps = vec![(0, 6)];
        let mut jobs = 0;
        for round in 0..120 {
            fleet.advance(random.random_range(1..600));
            let mut before = placed_cores(&fleet, "north");
            match random.random_range(0..14) {
                0..=2 => {
                    jobs += 1;
                    let organisation = ["north", "south"][random.random_range(0..2)];
                    let mut steps = vec![step(random.random_range(1..6))];
                    steps[0].gang = random.random_bool(0.2);
                    steps[0].backfill = random.random_bool(0.2);
                    steps[0].long_running = random.random_bool(0.1);
                    steps.push(step_after(2, 0));
                    fleet.submit_for(organisation, &format!("{jobs:016x}"), steps);
                }
                3 => {
                    fleet.start_all();
                }
                4 => {
                    fleet.place();
                    lose_starts(&mut fleet);
                }
                5 => {
                    for name in fleet.place() {
                        let refused = CommandOutcome::Refused(CommandRefusal::NoRoom);
                        let run = fleet.state(&name).last_run;
                        fleet.engine.apply_start(&name, run, &refused, fleet.now_ms);
                    }
                }
                6 | 7 if !fleet.placed_names().is_empty() => {
                    let kinds = [EndKind::Done, EndKind::Done, EndKind::Failed];
                    fleet.end_first(kinds[random.random_range(0..3)]);
                    // The members of a gang end one report after the first one here, and until then
                    // they count as runs without a placed task.
                    fleet.report_all();
                }
                8 => fleet.report_all(),
                9 => {
                    fleet.report_empty();
                    for stop in fleet.engine.take_stops() {
                        let accepted = CommandOutcome::Accepted(1);
                        fleet.engine.apply_stop(&stop, &accepted, fleet.now_ms);
                    }
                }
                10 if jobs > 0 => {
                    let job = format!("{:016x}", random.random_range(1..=jobs));
                    let now_ms = fleet.now_ms;
                    fleet.engine.cancel_job(&job.parse().unwrap(), now_ms);
                }
                11 => {
                    fleet.mark_unresponsive(random.random_range(0..3));
                    fleet.advance(LEASE_MS * 2);
                    fleet.engine.expire_workers(fleet.now_ms);
                }
                12 => {
                    fleet = match random.random_bool(0.5) {
                        true => fleet.successor(),
                        false => fleet.successor_without_workers(),
                    };
                    // A new controller counts tasks that are held back for a lost worker's report.
                    before = placed_cores(&fleet, "north");
                    fleet.list_and_report_running();
                }
                _ => {
                    let cores = random.random_range(1..9);
                    caps.push((fleet.now_ms, cores));
                    set_cap(&mut fleet, cores);
                }
            }
            fleet.start_all();

            for name in ["north", "south"] {
                let usage = fleet.engine.organisation_usage(&id(name));
                let placed = placed_demand(&fleet, name);
                assert_eq!(usage, placed, "seed {seed}, round {round}, {name}");
            }
            let after = placed_cores(&fleet, "north");
            let cap = caps.last().unwrap().1;
            assert!(
                after <= before || after <= cap,
                "seed {seed}, round {round}: {before} cores, then {after} under a cap of {cap}"
            );
        }
    }
}
