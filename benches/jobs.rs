//! Benchmarks job placement on simulated data and the start of urgent jobs with real processes.
//!
//! The simulated fleet has the size of the reference fleet, which the users' requirements give.
//! Each policy gets the same seeded arrivals, whose declared sizes and times are wrong. Run with
//! `cargo bench --bench jobs`; `-- --running` measures urgent starts with real processes,
//! `-- --slopes` only how planning time grows with the number of waiting and running jobs.

#[path = "../tests/common/mod.rs"]
mod common;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use serde_json::json;

use zincpier::id::HostId;
use zincpier::id::JobId;
use zincpier::id::TeamId;
use zincpier::job::JobDecision;
use zincpier::job::JobFleet;
use zincpier::job::JobPlanner;
use zincpier::job::JobSize;
use zincpier::job::JobSpec;
use zincpier::job::QuotaTracker;
use zincpier::job::SizeEstimator;
use zincpier::job::TaskView;
use zincpier::job::WaitingJob;
use zincpier::job::WorkerTrust;
use zincpier::job::WorkerView;
use zincpier::version::ServiceText;

use crate::common::call;
use crate::common::worker_text;
use crate::common::TestSystem;

const WORKERS: usize = 830;
/// Accelerators of all workers together.
const ACCELERATORS: u32 = 1_000;
const TEAMS: usize = 64;
/// Kinds of job in each team.
const KINDS: usize = 4;
const WORKER_CORES: u32 = 64;
const WORKER_MB: u32 = 128 * 1_024;
/// Workers with eight accelerators each; the others have none.
const ACCELERATED_WORKERS: usize = 125;
/// Simulated time between two passes of the planner.
const STEP_MS: u64 = 250;
const DURATION_MS: u64 = 20 * 60_000;
/// Simulated time before runs are counted.
const WARM_UP_MS: u64 = 8 * 60_000;
/// Work of all arrivals, as a share of what the fleet's cores can do in `DURATION_MS`.
const LOAD: f64 = 1.25;
const URGENT_SHARE: f64 = 0.02;
const CHECKPOINT_SHARE: f64 = 0.5;
/// Time for which a stopped run still occupies its worker, and the work that the planner assumes a
/// job with checkpoints to lose.
const CHECKPOINT_MS: u64 = 200;
const URGENT_JOB_COUNT: usize = 40;
const STEADY_DURATION: Duration = Duration::from_secs(10);

/// A placement policy.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Policy {
    /// The planner, with observed sizes.
    Observed,
    /// The planner, with declared sizes.
    Declared,
    /// First fit in the order of arrival, with declared sizes.
    ArrivalOrder,
}

#[derive(Clone, Debug)]
struct Job {
    spec: JobSpec,
    id: JobId,
    arrives_ms: u64,
    real_size: JobSize,
    real_ms: u64,
    /// Work saved by earlier runs, in milliseconds.
    done_ms: u64,
    /// Runs that ended because the worker's memory was exceeded.
    failures: u32,
}

#[derive(Clone, Debug)]
struct Run {
    job: usize,
    host: HostId,
    /// Estimated or declared size, which the planner reserves.
    reserved_size: JobSize,
    started_ms: u64,
    ends_ms: u64,
    stopping: bool,
}

#[derive(Default)]
struct BenchStats {
    /// Jobs that finished after the warm-up, and those still waiting at the end although their
    /// deadline has passed.
    jobs: usize,
    /// Jobs among these that missed their deadline.
    late: usize,
    /// Time to the first start of urgent jobs that arrived after the warm-up.
    urgent_waits_ms: Vec<u64>,
    /// The same for urgent jobs whose team was beyond its quota on arrival.
    borrowed_waits_ms: Vec<u64>,
    /// Cores in use after the warm-up, multiplied by time.
    used_core_ms: f64,
    /// Work of stopped or failed runs that was lost after the warm-up.
    wasted_core_ms: f64,
    decisions: u64,
    /// Total planning time.
    planning: Duration,
    /// Longest planning time of one pass.
    max_plan_time: Duration,
}

fn team(number: usize) -> TeamId {
    format!("team-{number}").parse().unwrap()
}

/// A service text whose teams' quotas add up to the fleet's capacity.
fn text() -> ServiceText {
    let cores = WORKERS as u32 * WORKER_CORES / TEAMS as u32;
    let memory = (WORKERS as u64 * u64::from(WORKER_MB) / TEAMS as u64) as u32;
    let accelerators = ACCELERATORS / TEAMS as u32;
    let teams = (0..TEAMS).map(|number| {
        let name = team(number);
        format!("[[teams]]\nname = \"{name}\"\nquota = \"{cores}/{memory}/{accelerators}\"\n")
    });
    let text = format!("{}{}", common::small_text(), teams.collect::<String>());
    ServiceText::parse("bench", &text).unwrap()
}

fn workers() -> Vec<WorkerView> {
    let views = (0..WORKERS).map(|number| WorkerView {
        host: format!("w{number}").parse().unwrap(),
        service: "notices".parse().unwrap(),
        size: JobSize::new(
            WORKER_CORES,
            WORKER_MB,
            if number < ACCELERATED_WORKERS { 8 } else { 0 },
        ),
        open: true,
        closes_soon: false,
        trust: WorkerTrust::Trusted,
    });
    views.collect()
}

/// Arrivals whose real sizes and times add up to `LOAD`.
fn arrivals(seed: u64) -> Vec<Job> {
    let mut random = SmallRng::seed_from_u64(seed);
    // Declared size and time of each team and kind are wrong by a fixed factor.
    let error_factors = (0..TEAMS * KINDS)
        .map(|_| (random.random_range(0.3..2.0), random.random_range(0.3..3.0)))
        .collect::<Vec<(f64, f64)>>();
    let demand = LOAD * WORKERS as f64 * f64::from(WORKER_CORES) * DURATION_MS as f64;
    let mut work = 0.0;
    let mut jobs = Vec::new();
    while work < demand {
        let job = arrival(&mut random, &error_factors, jobs.len());
        work += f64::from(job.real_size.cores_milli) / 1_000.0 * job.real_ms as f64;
        jobs.push(job);
    }
    jobs.sort_by_key(|job| job.arrives_ms);
    jobs
}

/// Creates job `number`; its team and kind select the factors of its declared size and time.
fn arrival(random: &mut SmallRng, error_factors: &[(f64, f64)], number: usize) -> Job {
    let (team_number, kind) = (random.random_range(0..TEAMS), random.random_range(0..KINDS));
    let urgent = random.random_bool(URGENT_SHARE);
    let cores = [2, 4, 8, 16][kind];
    let accelerators = u32::from(kind == 3 && random.random_bool(0.2));
    let size = JobSize::new(cores, cores * 1_800, accelerators);
    let run_ms = [60_000, 120_000, 240_000, 300_000][kind];
    let (size_error, time_error) = error_factors[team_number * KINDS + kind];
    let noise = random.random_range(0.85..1.0);
    let arrives_ms = random.random_range(0..DURATION_MS);
    let real_ms = (run_ms as f64 * time_error * noise) as u64;
    Job {
        spec: JobSpec {
            team: team(team_number),
            service: "notices".parse().unwrap(),
            kind: format!("kind-{kind}"),
            size,
            run_ms,
            deadline_ms: arrives_ms + 3 * real_ms,
            urgent,
            repeatable: true,
            checkpoints: random.random_bool(CHECKPOINT_SHARE),
            work: String::new(),
        },
        id: format!("job-{number:06}").parse().unwrap(),
        arrives_ms,
        real_size: size.scaled(size_error * noise),
        real_ms,
        done_ms: 0,
        failures: 0,
    }
}

/// State of one simulation.
struct JobSimulation {
    policy: Policy,
    text: ServiceText,
    jobs: Vec<Job>,
    index: BTreeMap<JobId, usize>,
    waiting: BTreeSet<usize>,
    /// Urgent jobs whose teams were beyond their quotas on arrival.
    borrowing: BTreeSet<usize>,
    runs: BTreeMap<usize, Run>,
    estimator: SizeEstimator,
    stats: BenchStats,
}

impl JobSimulation {
    fn new(policy: Policy, jobs: Vec<Job>) -> Self {
        let index = jobs.iter().enumerate();
        Self {
            policy,
            text: text(),
            index: index
                .map(|(number, job)| (job.id.clone(), number))
                .collect(),
            jobs,
            waiting: BTreeSet::new(),
            borrowing: BTreeSet::new(),
            runs: BTreeMap::new(),
            estimator: SizeEstimator::new(),
            stats: BenchStats::default(),
        }
    }

    fn run(mut self) -> BenchStats {
        let mut next = 0;
        for now in (0..DURATION_MS).step_by(STEP_MS as usize) {
            while next < self.jobs.len() && self.jobs[next].arrives_ms <= now {
                self.waiting.insert(next);
                next += 1;
            }
            self.end_runs(now);
            self.fail_out_of_memory(now);
            self.share_cores(now);
            let decisions = self.decide(now);
            self.stats.decisions += decisions.len() as u64;
            for decision in decisions {
                self.apply(decision, now);
            }
        }
        // A waiting job counts as late if its deadline was before the end of the simulation.
        let late = |job: usize| self.jobs[job].spec.deadline_ms < DURATION_MS;
        self.stats.late += self.waiting.iter().filter(|job| late(**job)).count();
        self.stats.jobs += self.waiting.iter().filter(|job| late(**job)).count();
        self.stats
    }

    fn size(&self, job: &Job) -> JobSize {
        let size = match self.policy {
            Policy::Observed => self.estimator.size(&job.spec),
            Policy::Declared | Policy::ArrivalOrder => job.spec.size,
        };
        // The memory doubles with each failure of a job that exceeded it.
        JobSize {
            memory_mb: (size.memory_mb << job.failures.min(4)).min(WORKER_MB),
            ..size
        }
    }

    fn end_runs(&mut self, now: u64) {
        let ended = self.runs.iter().filter(|(_, run)| run.ends_ms <= now);
        for number in ended.map(|(number, _)| *number).collect::<Vec<_>>() {
            let run = self.runs.remove(&number).unwrap();
            let job = &mut self.jobs[number];
            let ran_ms = run.ends_ms - run.started_ms;
            let cores = f64::from(job.real_size.cores_milli) / 1_000.0;
            let counted = now >= WARM_UP_MS;
            if run.stopping {
                let kept = if job.spec.checkpoints { ran_ms } else { 0 };
                job.done_ms += kept;
                if counted {
                    self.stats.wasted_core_ms += cores * (ran_ms - kept) as f64;
                }
                self.waiting.insert(number);
                continue;
            }
            if self.policy == Policy::Observed {
                let total_ms = job.done_ms + ran_ms;
                self.estimator
                    .record_run(&job.spec, job.real_size, total_ms);
            }
            if counted {
                self.stats.jobs += 1;
                self.stats.late += usize::from(now > job.spec.deadline_ms);
            }
        }
    }

    /// Ends the latest runs on workers whose memory is exceeded.
    fn fail_out_of_memory(&mut self, now: u64) {
        let mut memory = BTreeMap::<HostId, u64>::new();
        let mut by_start = self
            .runs
            .iter()
            .map(|(number, run)| (run.started_ms, *number));
        let mut by_start = by_start.by_ref().collect::<Vec<_>>();
        by_start.sort_unstable();
        for (started_ms, number) in by_start {
            let run = &self.runs[&number];
            let job = &mut self.jobs[number];
            let used = memory.entry(run.host.clone()).or_default();
            if *used + u64::from(job.real_size.memory_mb) <= u64::from(WORKER_MB) {
                *used += u64::from(job.real_size.memory_mb);
                continue;
            }
            if now >= WARM_UP_MS {
                let cores = f64::from(job.real_size.cores_milli) / 1_000.0;
                self.stats.wasted_core_ms += cores * (now - started_ms) as f64;
            }
            job.failures += 1;
            self.runs.remove(&number);
            self.waiting.insert(number);
        }
    }

    /// Delays runs on workers with too few cores, and adds up the cores in use.
    fn share_cores(&mut self, now: u64) {
        let mut demand = BTreeMap::<HostId, u32>::new();
        for (number, run) in &self.runs {
            *demand.entry(run.host.clone()).or_default() +=
                self.jobs[*number].real_size.cores_milli;
        }
        let total = f64::from(WORKER_CORES * 1_000);
        for run in self.runs.values_mut() {
            let demand = f64::from(demand[&run.host]);
            if demand > total {
                run.ends_ms += (STEP_MS as f64 * (1.0 - total / demand)) as u64;
            }
        }
        if now >= WARM_UP_MS {
            let used = demand.values().map(|demand| f64::from(*demand).min(total));
            self.stats.used_core_ms += used.sum::<f64>() / 1_000.0 * STEP_MS as f64;
        }
    }

    fn decide(&mut self, now: u64) -> Vec<JobDecision> {
        let mut fleet = JobFleet::new(workers());
        let mut quotas = QuotaTracker::new(&self.text);
        for (number, run) in &self.runs {
            let spec = &self.jobs[*number].spec;
            if !run.stopping {
                quotas.add(&spec.team, &run.reserved_size);
            }
            fleet.add(TaskView {
                job: self.jobs[*number].id.clone(),
                host: run.host.clone(),
                team: spec.team.clone(),
                size: run.reserved_size,
                urgent: spec.urgent,
                stopping: run.stopping,
                loss_ms: Some(if spec.checkpoints {
                    CHECKPOINT_MS
                } else {
                    now - run.started_ms
                }),
            });
        }
        for number in &self.waiting {
            let job = &self.jobs[*number];
            let arrived_urgent = now - job.arrives_ms < STEP_MS && job.spec.urgent;
            if arrived_urgent && !quotas.allows(&job.spec.team, &self.size(job)) {
                self.borrowing.insert(*number);
            }
        }
        let waiting = self.waiting.iter().map(|number| self.waiting_job(*number));
        let waiting = waiting.collect::<Vec<_>>();
        if self.policy == Policy::ArrivalOrder {
            return self.first_fit(&waiting);
        }
        let started = Instant::now();
        let decisions = JobPlanner::new(fleet, quotas).plan(waiting);
        let elapsed = started.elapsed();
        self.stats.planning += elapsed;
        self.stats.max_plan_time = self.stats.max_plan_time.max(elapsed);
        decisions
    }

    fn waiting_job(&self, number: usize) -> WaitingJob {
        let job = &self.jobs[number];
        let run_ms = match self.policy {
            Policy::Observed => self.estimator.run_ms(&job.spec),
            Policy::Declared | Policy::ArrivalOrder => job.spec.run_ms,
        };
        WaitingJob {
            id: job.id.clone(),
            team: job.spec.team.clone(),
            service: job.spec.service.clone(),
            size: self.size(job),
            run_ms,
            deadline_ms: job.spec.deadline_ms,
            urgent: job.spec.urgent,
            can_move: true,
            avoided: BTreeSet::new(),
        }
    }

    fn first_fit(&self, waiting: &[WaitingJob]) -> Vec<JobDecision> {
        let mut free = workers()
            .into_iter()
            .map(|worker| (worker.host, worker.size))
            .collect::<BTreeMap<_, _>>();
        for run in self.runs.values() {
            let capacity = free.get_mut(&run.host).unwrap();
            *capacity = capacity.minus(&run.reserved_size);
        }
        let mut decisions = Vec::new();
        for job in waiting {
            let Some((host, capacity)) = free
                .iter_mut()
                .find(|(_, capacity)| job.size.fits(capacity))
            else {
                break;
            };
            *capacity = capacity.minus(&job.size);
            let (job, host) = (job.id.clone(), host.clone());
            decisions.push(JobDecision::Place { job, host });
        }
        decisions
    }

    fn apply(&mut self, decision: JobDecision, now: u64) {
        match decision {
            JobDecision::Place { job, host } => {
                let number = self.index[&job];
                self.waiting.remove(&number);
                let job = &self.jobs[number];
                let first = job.done_ms == 0 && job.failures == 0;
                if job.spec.urgent && first && job.arrives_ms >= WARM_UP_MS {
                    let wait = now.saturating_sub(job.arrives_ms);
                    match self.borrowing.contains(&number) {
                        true => self.stats.borrowed_waits_ms.push(wait),
                        false => self.stats.urgent_waits_ms.push(wait),
                    }
                }
                let run = Run {
                    job: number,
                    host,
                    reserved_size: self.size(job),
                    started_ms: now,
                    ends_ms: now + job.real_ms.saturating_sub(job.done_ms).max(1),
                    stopping: false,
                };
                self.runs.insert(run.job, run);
            }
            JobDecision::Stop { job, .. } => {
                let number = self.index[&job];
                if let Some(run) = self.runs.get_mut(&number) {
                    run.stopping = true;
                    run.ends_ms = now + CHECKPOINT_MS;
                }
            }
            JobDecision::Refuse { job, .. } => {
                self.waiting.remove(&self.index[&job]);
            }
        }
    }
}

fn percentile(values: &mut [u64], share: f64) -> u64 {
    values.sort_unstable();
    let last = values.len().saturating_sub(1);
    let index = (last as f64 * share).round() as usize;
    values.get(index).copied().unwrap_or(0)
}

fn compare_policies() {
    println!("{WORKERS} workers, {ACCELERATORS} accelerators, {TEAMS} teams, load {LOAD}");
    for policy in [Policy::Observed, Policy::Declared, Policy::ArrivalOrder] {
        let mut stats = JobSimulation::new(policy, arrivals(7)).run();
        let measured_ms = (DURATION_MS - WARM_UP_MS) as f64;
        let cores = WORKERS as f64 * f64::from(WORKER_CORES);
        println!(
            "{:<13} jobs {:>6} in time {:>5.1}% urgent start p50 {:>5} ms p99 {:>7} ms, beyond quota p99 {:>7} ms, use {:>4.1}% wasted {:>4.1}% longest plan {:>6.1} ms, {:>7.0} decisions/s",
            format!("{policy:?}"),
            stats.jobs,
            100.0 * (stats.jobs - stats.late) as f64 / stats.jobs.max(1) as f64,
            percentile(&mut stats.urgent_waits_ms, 0.5),
            percentile(&mut stats.urgent_waits_ms, 0.99),
            percentile(&mut stats.borrowed_waits_ms, 0.99),
            100.0 * stats.used_core_ms / cores / measured_ms,
            100.0 * stats.wasted_core_ms / cores / measured_ms,
            stats.max_plan_time.as_secs_f64() * 1_000.0,
            stats.decisions as f64 / stats.planning.as_secs_f64().max(1e-9),
        );
    }
}

/// Measures planning time by the number of waiting jobs, on empty workers.
fn print_planning_times() {
    for waiting in [100, 1_000, 10_000] {
        let mut simulation = JobSimulation::new(Policy::Declared, arrivals(7));
        simulation.waiting = (0..waiting).collect();
        let decisions = simulation.decide(0).len();
        println!(
            "{waiting:>6} waiting for empty workers: {decisions} decisions in {:.1} ms",
            simulation.stats.max_plan_time.as_secs_f64() * 1_000.0
        );
    }
}

/// Measures planning time by the number of running jobs, with ten waiting jobs.
fn print_running_times() {
    for running in [1_000, 4_000, 13_000] {
        let mut simulation = JobSimulation::new(Policy::Declared, arrivals(7));
        let hosts = workers();
        for number in 0..running {
            let run = Run {
                job: number,
                host: hosts[number % WORKERS].host.clone(),
                reserved_size: JobSize::new(1, 1_024, 0),
                started_ms: 0,
                ends_ms: DURATION_MS,
                stopping: false,
            };
            simulation.runs.insert(number, run);
        }
        simulation.waiting = (running..running + 10).collect();
        let started = Instant::now();
        let decisions = simulation.decide(0).len();
        println!(
            "{running:>6} running, 10 waiting: {decisions} decisions in {:.1} ms",
            started.elapsed().as_secs_f64() * 1_000.0
        );
    }
}

/// Measures the time from the submission of an urgent job to its start, on nearly full workers.
fn measure_urgent_starts() {
    let system = TestSystem::start_ready(
        &worker_text(),
        "1",
        &[("entry-1", "east"), ("entry-2", "east")],
    );
    let job = |team: &str, kind: &str, cores: u32, run_ms: u64, urgent: bool| {
        json!({
            "team": team, "service": "notices", "kind": kind,
            "size": { "cores_milli": cores * 1_000, "memory_mb": 256, "accelerators": 0 },
            "run_ms": run_ms, "deadline_ms": 4_000_000_000_000_u64, "urgent": urgent,
            "repeatable": true, "checkpoints": !urgent,
            "work": json!({ "run_ms": run_ms }).to_string(),
        })
    };
    let submit = |daemon: usize, key: &str, job: &serde_json::Value| {
        let to = system.daemons[daemon].callers;
        let headers = [("idempotency-key", key)];
        let answer = call(to, "POST", "/zincpier/jobs", &headers, &job.to_string());
        answer.json()["id"].as_str().unwrap().to_owned()
    };
    let starts = || call(system.platform, "GET", "/tasks/starts", &[], "").body;
    // Fifteen of sixteen cores are in use, mostly by a team beyond its quota.
    for number in 0..15 {
        let team = if number < 2 { "bays" } else { "digests" };
        submit(
            0,
            &format!("long-{number}"),
            &job(team, "long", 1, 600_000, false),
        );
    }
    thread::sleep(Duration::from_secs(4));
    let before = platform_counts(&system);
    thread::sleep(STEADY_DURATION);
    let steady = platform_counts(&system);
    print_counts(
        "per second while every job runs",
        &before,
        &steady,
        STEADY_DURATION.as_secs_f64(),
    );
    let mut waits = Vec::new();
    for number in 0..URGENT_JOB_COUNT {
        let urgent = job("bays", "red-tags", 4, 300, true);
        let submitted_at = Instant::now();
        let id = submit(number % 2, &format!("urgent-{number}"), &urgent);
        while !starts().contains(&id) {
            thread::sleep(Duration::from_millis(5));
        }
        waits.push(submitted_at.elapsed().as_millis() as u64);
        thread::sleep(Duration::from_millis(900));
    }
    let after = platform_counts(&system);
    print_counts(
        "per urgent job that preempts others",
        &steady,
        &after,
        URGENT_JOB_COUNT as f64,
    );
    println!(
        "urgent start with 94% of cores in use, {URGENT_JOB_COUNT} jobs: p50 {} ms p99 {} ms",
        percentile(&mut waits, 0.5),
        percentile(&mut waits, 0.99)
    );
}

/// Number of calls that the platform has answered, by kind.
fn platform_counts(system: &TestSystem) -> BTreeMap<String, u64> {
    let answer = call(system.platform, "GET", "/counts", &[], "");
    serde_json::from_str(&answer.body).unwrap()
}

fn print_counts(
    label: &str,
    before: &BTreeMap<String, u64>,
    after: &BTreeMap<String, u64>,
    divisor: f64,
) {
    let counts = after.iter().map(|(kind, count)| {
        let earlier = before.get(kind).copied().unwrap_or(0);
        format!("{kind} {:.1}", (count - earlier) as f64 / divisor)
    });
    println!(
        "calls of both daemons, {label}: {}",
        counts.collect::<Vec<_>>().join(", ")
    );
}

fn main() {
    if std::env::args().any(|argument| argument == "--running") {
        return measure_urgent_starts();
    }
    if !std::env::args().any(|argument| argument == "--slopes") {
        compare_policies();
    }
    print_planning_times();
    print_running_times();
}
