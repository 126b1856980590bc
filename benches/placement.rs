//! Benchmarks a placement pass of the workflow engine at a demand peak, with and without
//! organisations. Run with `cargo bench --bench placement`.

#[path = "../tests/common/workflow.rs"]
mod fixtures;

use std::time::Duration;
use std::time::Instant;

use fixtures::organisation;
use fixtures::step;
use fixtures::step_after;
use fixtures::EngineFleet;

/// Workers of the target size.
const WORKERS: usize = 350;

/// Open jobs at a peak.
const JOBS: usize = 5_000;

/// Tasks of each job. The first 700 jobs fill the workers.
const TASKS: u32 = 4;

/// Time between two arrivals, in ms. The oldest jobs are then expired, others late or on time.
const ARRIVAL_MS: u64 = 1;

/// Workers and running jobs of two steps on a large fleet beside its peaks.
const LARGE_WORKERS: usize = 1_100;
const RUNNING_JOBS: usize = 800;

const PASSES: usize = 60;

fn main() {
    for organisations in [0, 1, 20] {
        let times = measure_passes(organisations);
        let median = times[times.len() / 2];
        let fastest = times[0];
        println!(
            "organisations={organisations} open_jobs={JOBS} median_us={} fastest_us={}",
            median.as_micros(),
            fastest.as_micros()
        );
    }
    let times = measure_waiting_steps();
    println!(
        "workers={LARGE_WORKERS} running_jobs={RUNNING_JOBS} median_us={} fastest_us={}",
        times[times.len() / 2].as_micros(),
        times[0].as_micros()
    );
}

/// Returns the durations of passes over jobs whose unplaced tasks all wait for a step that runs, in
/// ascending order.
fn measure_waiting_steps() -> Vec<Duration> {
    let mut fleet = EngineFleet::new(LARGE_WORKERS);
    for number in 0..RUNNING_JOBS {
        let steps = vec![step(TASKS), step_after(TASKS, 0)];
        fleet.submit(&format!("{number:016x}"), steps);
    }
    fleet.start_all();
    let mut times = Vec::with_capacity(PASSES);
    for _ in 0..PASSES {
        fleet.advance(8);
        let started = Instant::now();
        fleet.engine.place_tasks(fleet.now_ms, 0);
        times.push(started.elapsed());
    }
    times.sort();
    times
}

/// Returns the durations of passes over a full pool, in ascending order.
fn measure_passes(organisations: usize) -> Vec<Duration> {
    let mut fleet = EngineFleet::new(WORKERS);
    let name = |number: usize| format!("org-{number}");
    if organisations > 0 {
        let list =
            (0..organisations).map(|number| organisation(&name(number), 1.0 + number as f64));
        fleet.set_organisations(list.collect());
    }
    for number in 0..JOBS {
        let id = format!("{number:016x}");
        match number.checked_rem(organisations) {
            Some(owner) => fleet.submit_for(&name(owner), &id, vec![step(TASKS)]),
            None => fleet.submit(&id, vec![step(TASKS)]),
        }
        fleet.advance(ARRIVAL_MS);
    }
    fleet.engine.place_tasks(fleet.now_ms, 0);
    let mut times = Vec::with_capacity(PASSES);
    for _ in 0..PASSES {
        let started = Instant::now();
        fleet.engine.place_tasks(fleet.now_ms, 0);
        times.push(started.elapsed());
    }
    times.sort();
    times
}
