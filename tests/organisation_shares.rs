//! The choice of jobs among organisations. Guards against shares that ignore weights or resources,
//! and against jobs that are placed before those that should precede them.

#[path = "common/workflow.rs"]
mod fixtures;

use std::rc::Rc;

use fixtures::*;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use zincpier::workflow::select_deferred_jobs;
use zincpier::workflow::select_group_deferrals;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::GroupDemand;
use zincpier::workflow::GroupLoad;
use zincpier::workflow::JobDemand;
use zincpier::workflow::JobSpec;
use zincpier::workflow::Organisation;
use zincpier::workflow::ShareOrder;
use zincpier::workflow::ShareWeight;
use zincpier::workflow::WorkerResources;

const OTHER_QUEUE: &str = "r-two";

fn cpu(millis: u64) -> WorkerResources {
    WorkerResources {
        cpu_millis: millis,
        ..WorkerResources::default()
    }
}

fn random_demand(random: &mut SmallRng, groups: usize) -> GroupDemand {
    let work = random.random_range(1..2_000_000);
    GroupDemand {
        group: random.random_range(0..groups),
        job: JobDemand {
            slack_ms: random.random_range(0..2_000),
            work,
            priority_weight_percent: 20 * random.random_range(1..10),
        },
        work: cpu(work),
    }
}

/// Guards against a rule for organisations that serves a single one differently.
#[test]
fn single_group_is_deferred_as_without_groups() {
    for seed in 0..200 {
        let mut random = SmallRng::seed_from_u64(seed);
        let demands: Vec<_> = (0..120).map(|_| random_demand(&mut random, 1)).collect();
        let jobs: Vec<_> = demands.iter().map(|demand| demand.job).collect();

        let deferred = select_group_deferrals(&demands, &cpu(64_000), &[ShareWeight::new(3.0)]);

        assert_eq!(deferred, select_deferred_jobs(&jobs, 64_000), "seed {seed}");
    }
}

/// Guards against an organisation that loses jobs although its work up to each deadline is within its
/// weighted share, and against kept jobs that are too many.
#[test]
fn group_within_its_share_loses_no_job() {
    const CAPACITY: u64 = 20_000;
    let (mut losses, mut groups_within) = (0, 0);
    for seed in 0..300 {
        let mut random = SmallRng::seed_from_u64(seed);
        let weights = [1.0, 2.0, 5.0].map(ShareWeight::new);
        let mut demands: Vec<_> = (0..90).map(|_| random_demand(&mut random, 3)).collect();
        // The second group asks for little, so that it is within its share now and then.
        for demand in demands.iter_mut().filter(|demand| demand.group == 1) {
            demand.job.work /= 40;
            demand.work = cpu(demand.job.work);
        }
        demands.sort_by_key(|demand| (demand.job.slack_ms, demand.job.work));

        let deferred = select_group_deferrals(&demands, &cpu(CAPACITY), &weights);

        let kept = (0..demands.len()).filter(|position| !deferred.contains(position));
        let mut kept_work = 0;
        for position in kept {
            let job = &demands[position].job;
            assert!(kept_work <= CAPACITY * job.slack_ms, "seed {seed}");
            kept_work += job.work;
        }
        for (group, weight) in weights.iter().enumerate() {
            let mut sum = 0;
            let own = demands.iter().filter(|demand| demand.group == group);
            let is_within = own.clone().all(|demand| {
                sum += demand.job.work;
                let offered = (CAPACITY * demand.job.slack_ms) as f64;
                sum as f64 <= offered * weight.get() / 8.0
            });
            let lost = deferred
                .iter()
                .filter(|&&position| demands[position].group == group)
                .count();
            assert!(!is_within || lost == 0, "seed {seed}, group {group}");
            groups_within += u32::from(is_within);
            losses += lost;
        }
    }
    assert!(
        losses > 1_000 && groups_within > 50,
        "{losses}, {groups_within}"
    );
}

/// Guards against shares by CPU alone: the organisation that fills the memory is the one beyond its
/// share.
#[test]
fn shortage_of_memory_defers_jobs_of_the_group_that_uses_most_of_it() {
    let demand = |group, cpu_millis, memory_mb| GroupDemand {
        group,
        job: JobDemand {
            slack_ms: 100,
            work: cpu_millis,
            priority_weight_percent: 100,
        },
        work: WorkerResources {
            cpu_millis,
            memory_mb,
            gpus: 0,
        },
    };
    let mut demands = vec![demand(0, 1_000, 100); 8];
    demands.extend(vec![demand(1, 10, 3_000); 8]);
    let capacity = WorkerResources {
        cpu_millis: 100,
        memory_mb: 100,
        gpus: 0,
    };

    let deferred = select_group_deferrals(&demands, &capacity, &[ShareWeight::default(); 2]);

    assert!(deferred.len() >= 4, "{deferred:?}");
    assert!(deferred.iter().all(|&position| position >= 8));
}

/// Guards against capacity that is kept for an organisation which does not ask for it.
#[test]
fn unused_part_of_a_share_is_within_the_shares_of_others() {
    let load = |weight, running, ready| GroupLoad {
        weight: ShareWeight::new(weight),
        running: cpu(running),
        ready: cpu(ready),
    };
    let loads = [
        load(1.0, 1_000, 0),
        load(1.0, 2_000, 9_000),
        load(2.0, 0, 9_000),
    ];
    let mut order = ShareOrder::new(&cpu(10_000), &loads);

    // Of 9 cores that are left by the first, the second may use 3 and the third 6.
    let second: Vec<_> = (0..3).map(|_| order.grant(1, &cpu(1_000))).collect();
    let third: Vec<_> = (0..8).map(|_| order.grant(2, &cpu(1_000))).collect();

    assert_eq!(second, [false, true, true]);
    assert_eq!(third.iter().filter(|is_beyond| !**is_beyond).count(), 6);
}

/// Guards against over-rate jobs that take capacity from others, or that wait for expired ones.
#[test]
fn over_rate_jobs_come_after_useful_ones_and_before_expired_ones() {
    let mut fleet = EngineFleet::new(1);
    fleet.set_organisations(vec![organisation("north", 1.0), organisation("south", 1.0)]);
    let ids = ["0000000000000001", "0000000000000002", "0000000000000003"];
    fleet.submit_for("south", ids[0], vec![step(4)]);
    fleet.advance(20_000);
    fleet.submit_for("north", ids[1], vec![step(4)]);
    let over_rate = ids[1].parse().unwrap();
    fleet.engine.jobs.get_mut(&over_rate).unwrap().is_over_rate = true;
    fleet.advance(1_000);
    fleet.submit_for("south", ids[2], vec![step(2)]);
    fleet.report_empty();

    let placed = fleet.place();

    let of = |id: &str| placed.iter().filter(|name| name.job.as_str() == id).count();
    assert_eq!(ids.map(of), [2, 4, 2]);
}

/// Guards against hosts that are moved for jobs beyond the rate of their organisation.
#[test]
fn over_rate_jobs_request_no_hosts() {
    let mut fleet = EngineFleet::new(1);
    fleet.start_all();
    let service = SERVICE.parse().unwrap();
    for number in 0..40 {
        fleet.submit_for("north", &format!("{number:016x}"), vec![step(8)]);
    }
    let all = fleet.engine.pool_demands(fleet.now_ms)[&service];
    let jobs = fleet.engine.jobs.values_mut();
    jobs.for_each(|job| job.is_over_rate = true);

    let without = fleet.engine.pool_demands(fleet.now_ms)[&service];

    // The forecast has counted the arrivals, which were not marked yet.
    let waiting_millis = 40 * 8 * 1_000 * 500 / 1_200;
    assert!(all - without > waiting_millis * 9 / 10, "{all}, {without}");
}

/// Submits one job on each of two queues for each of two organisations, and returns the jobs by the
/// order in which they are placed.
fn placement_order(priorities: [u32; 2], other_queue_priority: u32) -> Vec<String> {
    let mut fleet = EngineFleet::new(4);
    let names = ["north", "south"];
    let organisations = names
        .iter()
        .zip(priorities)
        .map(|(name, priority)| Organisation {
            priority,
            // More than the jobs that are submitted at once, so that none is over the rate.
            ..organisation(name, 10.0)
        });
    fleet.set_organisations(organisations.collect());
    let mut config = FleetConfig::clone(fleet.engine.config.as_ref().unwrap());
    config.queues[0].priority = 1;
    let mut other = config.queues[0].clone();
    other.name = OTHER_QUEUE.to_owned();
    other.priority = other_queue_priority;
    config.queues.push(other);
    fleet.engine.config = Some(Rc::new(config));
    for (number, queue) in [QUEUE, OTHER_QUEUE].iter().enumerate() {
        for (owner, name) in names.iter().enumerate() {
            let spec = JobSpec {
                queue: (*queue).to_owned(),
                organisation: Some(name.parse().unwrap()),
                payload: String::new(),
                steps: vec![step(1)],
                schedule: None,
            };
            let id = format!("{:016x}", number * 2 + owner).parse().unwrap();
            fleet.engine.add_job(id, spec, None, fleet.now_ms);
        }
    }
    fleet.engine.place_tasks(fleet.now_ms, 0);
    let (_, effects) = fleet.engine.take_changes();
    let started = effects.iter().filter_map(|effect| match effect {
        zincpier::workflow::CommitEffect::Start(name, _) => {
            Some(name.job.as_str()[15..].to_owned())
        }
        _ => None,
    });
    started.collect()
}

/// Guards against an organisation's priority that precedes the priority of queues.
#[test]
fn priority_of_the_organisation_decides_after_that_of_the_queue() {
    assert_eq!(placement_order([0, 0], 0), ["2", "3", "0", "1"]);
    assert_eq!(placement_order([1, 0], 0), ["3", "2", "1", "0"]);
    assert_eq!(placement_order([1, 0], 1), ["1", "3", "0", "2"]);
}

/// Guards against an organisation whose jobs fit nowhere and end the pass for the others.
#[test]
fn jobs_that_fit_nowhere_do_not_keep_those_of_others_from_being_tried() {
    let mut fleet = EngineFleet::new(2);
    fleet.set_organisations(vec![organisation("north", 1.0), organisation("south", 1.0)]);
    let mut unfit = step(1);
    unfit.required_label = Some("absent".to_owned());
    for number in 0..60 {
        fleet.submit_for("north", &format!("{number:016x}"), vec![unfit.clone()]);
    }
    fleet.submit_for("south", "f000000000000001", vec![step(3)]);

    assert_eq!(fleet.place().len(), 3);
}
