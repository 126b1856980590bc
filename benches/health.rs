//! Benchmarks what learnt speed and health of workers cost the workflow engine: the regular check of
//! all workers, and a placement pass at a demand peak with some slow workers. Run with `cargo bench
//! --bench health`.

#[path = "../tests/common/workflow.rs"]
mod fixtures;

use std::time::Duration;
use std::time::Instant;

use fixtures::step;
use fixtures::EngineFleet;
use zincpier::workflow::CommandPhase;
use zincpier::workflow::EndKind;

/// Workers of the largest installation.
const WORKERS: usize = 1_100;

/// Jobs that arrive at a peak, a third more than the workers hold.
const JOBS: usize = 1_500;

/// Tasks of each job.
const TASKS: u32 = 8;

/// The time between two checks of all workers, in ms.
const CHECK_MS: u64 = 250;

/// Tasks that end before, and how long they take in ms, so that durations are expected.
const ENDED_TASKS: usize = 16;
const HISTORY_MS: u64 = 500;

const PASSES: usize = 100;

fn main() {
    let mut idle = EngineFleet::new(WORKERS);
    print("check, idle workers", &measure_checks(&mut idle));
    for slow in [0, 1, 20] {
        let mut fleet = busy_fleet(slow);
        let name = format!("check, {slow} slow workers");
        print(&name, &measure_checks(&mut fleet));
        let name = format!("placement pass, {slow} slow workers");
        print(&name, &measure_passes(&mut fleet));
    }
}

fn print(name: &str, times: &[Duration]) {
    let (median, fastest) = (times[times.len() / 2], times[0]);
    println!(
        "{name}: median_us={} fastest_us={}",
        median.as_micros(),
        fastest.as_micros()
    );
}

/// Returns a fleet that is full of running tasks while others wait.
fn busy_fleet(slow: usize) -> EngineFleet {
    let mut fleet = EngineFleet::new(WORKERS);
    for number in 0..JOBS {
        fleet.submit(&format!("{number:016x}"), vec![step(TASKS)]);
    }
    fleet.engine.place_tasks(fleet.now_ms, 0);
    fleet.engine.take_changes();
    start_again(&mut fleet);
    fleet.advance(HISTORY_MS);
    for _ in 0..ENDED_TASKS {
        fleet.end_first(EndKind::Done);
    }
    let now_ms = fleet.now_ms;
    let workers = fleet.engine.workers.values_mut();
    for worker in workers.take(slow) {
        for _ in 0..4 {
            worker.health.pace.record_end(6_000, 500, now_ms);
        }
    }
    fleet
}

/// Lets all placed tasks start now.
fn start_again(fleet: &mut EngineFleet) {
    for name in fleet.placed_names() {
        let job = fleet.engine.jobs.get_mut(&name.job).unwrap();
        let state = job.task_mut(&name).unwrap();
        state.set_sent(fleet.now_ms);
        state.set_command_phase(CommandPhase::Running);
    }
}

/// Checks tasks that are younger than expected.
fn measure_checks(fleet: &mut EngineFleet) -> Vec<Duration> {
    measure(|| {
        start_again(fleet);
        fleet.advance(CHECK_MS);
        let started = Instant::now();
        fleet.engine.release_stalled(fleet.now_ms);
        started.elapsed()
    })
}

fn measure_passes(fleet: &mut EngineFleet) -> Vec<Duration> {
    measure(|| {
        let started = Instant::now();
        fleet.engine.place_tasks(fleet.now_ms, 0);
        started.elapsed()
    })
}

/// Returns the durations in ascending order.
fn measure(mut pass: impl FnMut() -> Duration) -> Vec<Duration> {
    let mut times: Vec<_> = (0..PASSES).map(|_| pass()).collect();
    times.sort();
    times
}
