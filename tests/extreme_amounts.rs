//! Guards against sums and products of amounts that a caller, a stored row or the settings may state and
//! that end the process, or come out small, because no number holds them.

#[path = "common/workflow.rs"]
mod fixtures;

use std::time::Duration;

use zincpier::provider::TableClock;
use zincpier::workflow::choose_moves;
use zincpier::workflow::HostResources;
use zincpier::workflow::PoolView;
use zincpier::workflow::StepSpec;
use zincpier::workflow::WorkerResources;

use crate::fixtures::step;
use crate::fixtures::EngineFleet;
use crate::fixtures::SERVICE;

/// The largest task that a caller may ask for, for longer than any estimate holds.
fn largest_step(tasks: u32) -> StepSpec {
    StepSpec {
        demand: WorkerResources {
            cpu_millis: 10_000_000,
            memory_mb: 10_000_000,
            gpus: 10_000_000,
        },
        estimate_ms: u64::MAX,
        ..step(tasks)
    }
}

#[test]
fn demand_of_many_largest_jobs_can_be_planned_with() {
    // Arrange.
    let mut fleet = EngineFleet::new(1);
    for number in 0..500 {
        fleet.submit(&format!("{number:016x}"), vec![largest_step(700)]);
    }

    // Act.
    let demands = fleet.engine.pool_demands(fleet.now_ms);
    let demand_millis = demands[&SERVICE.parse().unwrap()];
    let pool = PoolView {
        name: SERVICE.to_owned(),
        standby: false,
        demand_millis,
        spare_ms: 0,
        hosts: Vec::new(),
    };
    choose_moves(&[pool], u64::MAX / 2);

    // Assert.
    assert!(demand_millis > 1_000_000_000_000, "{demand_millis}");
    fleet.engine.queue_backlogs(0, fleet.now_ms);
    fleet.place();
}

/// A stored job of an older version may have more tasks than are accepted today.
#[test]
fn work_of_a_stored_job_of_the_largest_size_can_be_added_up() {
    let mut fleet = EngineFleet::new(1);
    fleet.submit(&format!("{:016x}", 1), vec![largest_step(90_000)]);

    let demands = fleet.engine.pool_demands(fleet.now_ms);

    assert!(demands[&SERVICE.parse().unwrap()] > 0);
    fleet.engine.queue_backlogs(0, fleet.now_ms);
    fleet.place();
}

#[test]
fn table_time_beyond_all_clocks_is_ignored() {
    let clock = TableClock::new();
    clock.record(5_000, 1_000);

    for table_ms in [u64::MAX, 1 << 63, u64::MAX / 2] {
        TableClock::new().record(table_ms, 1_000);
        clock.record((1 << 63) + 1, 1_000);
    }

    assert_eq!(clock.table_ms(2_000), Some(6_000));
}

#[test]
fn bandwidth_near_zero_gives_an_interval() {
    let resources = HostResources {
        processor_share: None,
        link_mbps: Some(f64::MIN_POSITIVE),
        memory_mb: None,
    };

    let interval = resources.host_list_interval(1_000);

    assert_eq!(interval, Duration::from_millis(1_500));
}
