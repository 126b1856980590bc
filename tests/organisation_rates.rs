//! Marks of jobs that their organisation submitted beyond its rate.

#[path = "common/workflow.rs"]
mod fixtures;

use std::rc::Rc;

use fixtures::config;
use fixtures::step;
use fixtures::EngineFleet;
use fixtures::QUEUE;
use zincpier::id::JobId;
use zincpier::workflow::JobSchedule;
use zincpier::workflow::JobSpec;
use zincpier::workflow::Organisation;
use zincpier::workflow::OrganisationDirectory;
use zincpier::workflow::ResourceCap;
use zincpier::workflow::ShareWeight;
use zincpier::workflow::StepSpec;

/// Jobs per second that the organisations of these tests are entitled to.
const WEIGHT: f64 = 4.0;

fn organisation(id: &str) -> Organisation {
    Organisation {
        id: id.parse().unwrap(),
        keys: Vec::new(),
        priority: 0,
        weight: ShareWeight::new(WEIGHT),
        cap: ResourceCap::default(),
    }
}

fn fleet_with(organisations: &[&str]) -> EngineFleet {
    let mut fleet = EngineFleet::new(1);
    let organisations = organisations.iter().map(|id| organisation(id)).collect();
    let mut config = config();
    config.organisations = Some(OrganisationDirectory::new(organisations));
    fleet.engine.config = Some(Rc::new(config));
    fleet
}

fn spec(organisation: &str, step: StepSpec) -> JobSpec {
    JobSpec {
        queue: QUEUE.to_owned(),
        organisation: Some(organisation.parse().unwrap()),
        payload: String::new(),
        steps: vec![step],
        schedule: None,
    }
}

fn job_id(number: u64) -> JobId {
    format!("{number:016x}").parse().unwrap()
}

/// Adds `count` jobs that the engine reads now; returns how many are marked as over rate.
fn add_jobs(fleet: &mut EngineFleet, spec: &JobSpec, count: u64) -> usize {
    let first = fleet.engine.jobs.len() as u64;
    let ids: Vec<_> = (first..first + count).map(job_id).collect();
    for id in &ids {
        let now_ms = fleet.now_ms;
        fleet.engine.add_job(id.clone(), spec.clone(), None, now_ms);
    }
    let is_over_rate = |id: &&JobId| fleet.engine.jobs[*id].is_over_rate;
    ids.iter().filter(is_over_rate).count()
}

/// Guards against a surge whose jobs all count as within the rate, and against one organisation's
/// surge that marks the jobs of another.
#[test]
fn jobs_beyond_one_second_of_the_weight_are_over_rate() {
    let mut fleet = fleet_with(&["north", "south"]);

    let surge = add_jobs(&mut fleet, &spec("north", step(1)), 30);
    let other = add_jobs(&mut fleet, &spec("south", step(1)), 4);

    assert_eq!(surge, 30 - WEIGHT as usize);
    assert_eq!(other, 0);
}

/// Guards against an entitlement that is lost for good after a surge, and against one that is saved
/// up for longer than a second.
#[test]
fn entitlement_returns_at_the_weight_and_is_not_saved_up() {
    let mut fleet = fleet_with(&["north"]);
    add_jobs(&mut fleet, &spec("north", step(1)), 30);

    fleet.advance(500);
    let after_half_a_second = add_jobs(&mut fleet, &spec("north", step(1)), 5);
    fleet.advance(60_000);
    let after_a_minute = add_jobs(&mut fleet, &spec("north", step(1)), 10);

    assert_eq!(after_half_a_second, 5 - 2);
    assert_eq!(after_a_minute, 10 - WEIGHT as usize);
}

/// Guards against jobs that are placed last after a takeover because all of them are read at once.
#[test]
fn restored_job_is_not_over_rate() {
    let mut fleet = fleet_with(&["north"]);
    let spec = spec("north", step(1));
    add_jobs(&mut fleet, &spec, 30);
    let progress = fleet.engine.jobs[&job_id(29)].to_value();
    let mut next = fleet_with(&["north"]);

    for number in 0..30 {
        let id = job_id(number);
        let now_ms = next.now_ms;
        let spec = spec.clone();
        next.engine.add_job(id, spec, Some(&progress), now_ms);
    }

    assert!(next.engine.jobs.values().all(|job| !job.is_over_rate));
}

/// Guards against long-running and scheduled jobs that wait behind all others, and against jobs of
/// public queues or of a configuration without organisations that are marked.
#[test]
fn exempt_jobs_are_not_over_rate() {
    let mut fleet = fleet_with(&["north"]);
    let long_running = StepSpec {
        long_running: true,
        ..step(1)
    };
    let scheduled = JobSpec {
        schedule: Some(JobSchedule {
            times: 2,
            first_ms: 0,
            interval_ms: 1_000,
        }),
        ..spec("north", step(1))
    };
    let public = JobSpec {
        organisation: None,
        ..spec("north", step(1))
    };

    let long_running = add_jobs(&mut fleet, &spec("north", long_running), 20);
    let scheduled = add_jobs(&mut fleet, &scheduled, 20);
    let public = add_jobs(&mut fleet, &public, 20);
    let ordinary = add_jobs(&mut fleet, &spec("north", step(1)), 4);
    let mut without = EngineFleet::new(1);
    let unconfigured = add_jobs(&mut without, &spec("north", step(1)), 20);

    assert_eq!([long_running, scheduled, public, ordinary], [0; 4]);
    assert_eq!(unconfigured, 0);
}
