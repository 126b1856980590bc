//! A replay of jobs on simulated workers, some of which are slow, unreachable, hanging or failing.
//!
//! Workers, calls and commits take simulated time; all randomness comes from the seed, so that a
//! replay gives the same placements each time.

#![allow(dead_code)] // Each test file uses only some of the fixtures.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::sync::Once;

use zincpier::id::JobId;
use zincpier::id::WorkerId;
use zincpier::workflow::CommandOutcome;
use zincpier::workflow::CommandPhase;
use zincpier::workflow::CommandRefusal;
use zincpier::workflow::CommitEffect;
use zincpier::workflow::EndKind;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::JobEngine;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::RunningTask;
use zincpier::workflow::StepSpec;
use zincpier::workflow::StopRequest;
use zincpier::workflow::TaskEnd;
use zincpier::workflow::TaskName;
use zincpier::workflow::WorkerEntry;
use zincpier::workflow::WorkerReport;

/// The length of one step of simulated time.
pub(crate) const TICK_MS: u64 = 10;
/// The time at which each replay starts.
pub(crate) const START_MS: u64 = 1_000_000;
/// The time from a placement to its start on the worker: a commit and a call.
const START_DELAY_MS: u64 = 30;
/// The time after which an unanswered call counts as lost.
const CALL_TIMEOUT_MS: u64 = 150;
/// The attempts of a start command.
const START_ATTEMPTS: u32 = 4;
/// The interval of reports without a task end: the long poll.
const REPORT_INTERVAL_MS: u64 = 900;
/// The length of a worker's lease.
const LEASE_MS: u64 = 4_800;
/// Half of the period of a flapping worker.
const FLAP_MS: u64 = 500;
/// The work between two checkpoints.
const CHECKPOINT_MS: u64 = 100;
/// The mean time from the start of a run that resumes to its first progress.
const RESUME_MS: u64 = 350;

/// What is wrong with a worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum WorkerFault {
    /// Its tasks take this many times as long.
    Slow(u64),
    /// It answers no calls in every other half second; its tasks go on.
    Flapping,
    /// Its tasks make no progress, while it answers all calls.
    Hanging,
    /// This many of a hundred runs fail.
    Failing(u64),
    /// Its reports are sent this much later, in ms; its tasks are not affected.
    LateReports(u64),
}

/// A fault and the time from the start of the replay in which it lasts, in ms.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FaultPeriod {
    pub(crate) fault: WorkerFault,
    pub(crate) from_ms: u64,
    pub(crate) until_ms: u64,
}

/// A job of a replay.
pub(crate) struct ReplayJob {
    /// The time of its arrival from the start of the replay.
    pub(crate) arrives_ms: u64,
    pub(crate) spec: JobSpec,
    /// The work of each task, by step and index, in ms on a worker as fast as expected.
    pub(crate) work_ms: Vec<Vec<u64>>,
    /// All runs of the job's tasks fail.
    pub(crate) is_faulty: bool,
}

struct SimulatedRun {
    run: u64,
    total_ms: u64,
    /// The work that is left, in tenths of ms of work, so that slow workers progress each tick.
    left: u64,
    checkpointable: bool,
    fails: bool,
    /// When a stop takes effect.
    stops_ms: Option<u64>,
}

struct SimulatedWorker {
    entry: WorkerEntry,
    periods: Vec<FaultPeriod>,
    runs: BTreeMap<TaskName, SimulatedRun>,
    /// The highest run of each task that was stopped. Starts of this or a lower run are refused.
    stopped_runs: BTreeMap<TaskName, u64>,
    ends: Vec<(u64, TaskEnd)>,
    last_end: u64,
    reported_ms: u64,
}

enum Command {
    Start(TaskName, u64, WorkerId, u32),
    Stop(StopRequest),
}

/// What a replay counted.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReplayCounts {
    /// Jobs that ended as complete within their objective.
    pub(crate) on_time: usize,
    /// The same by their arrival, for each two seconds.
    pub(crate) on_time_by_arrival: Vec<usize>,
    /// Jobs that ended as complete within three times their objective.
    pub(crate) useful: usize,
    /// Jobs that ended as complete.
    pub(crate) complete: usize,
    /// Jobs that ended as failed.
    pub(crate) failed: usize,
    /// All jobs.
    pub(crate) jobs: usize,
    /// Starts that were sent to a worker during its fault, by the fault's name.
    pub(crate) bad_starts: BTreeMap<&'static str, usize>,
    /// All starts that were sent.
    pub(crate) starts: usize,
    /// Stops that were requested, by reason.
    pub(crate) stops: BTreeMap<&'static str, usize>,
    /// Log lines by event.
    pub(crate) events: BTreeMap<String, usize>,
    /// Runs of a task that began while another run of it was going on.
    pub(crate) double_runs: usize,
    /// A hash of all placements with their times.
    pub(crate) digest: u64,
}

impl ReplayCounts {
    /// Returns the number of log lines of an event, whatever their cause.
    pub(crate) fn event(&self, name: &str) -> usize {
        let events = self.events.iter();
        let matching = events.filter(|(event, _)| event.split(':').next() == Some(name));
        matching.map(|(_, count)| count).sum()
    }

    pub(crate) fn all_bad_starts(&self) -> usize {
        self.bad_starts.values().sum()
    }
}

/// An engine, simulated workers and the jobs that arrive.
pub(crate) struct WorkerReplay {
    pub(crate) engine: JobEngine,
    pub(crate) now_ms: u64,
    pub(crate) counts: ReplayCounts,
    workers: BTreeMap<WorkerId, SimulatedWorker>,
    jobs: Vec<ReplayJob>,
    /// The number of jobs that have arrived.
    arrived: usize,
    commands: Vec<(u64, Command)>,
    random: u64,
}

impl WorkerReplay {
    /// Creates a replay of `jobs`, sorted by arrival, on `workers`.
    pub(crate) fn new(
        seed: u64,
        config: FleetConfig,
        workers: Vec<(WorkerEntry, Vec<FaultPeriod>)>,
        jobs: Vec<ReplayJob>,
    ) -> Self {
        count_log_lines();
        let mut engine = JobEngine::new(START_MS, 0);
        engine.config = Some(Rc::new(config));
        for (entry, _) in &workers {
            engine.set_worker(entry.clone(), START_MS);
        }
        let simulated = |(entry, periods): (WorkerEntry, Vec<FaultPeriod>)| {
            let id = entry.id.clone();
            let worker = SimulatedWorker {
                entry,
                periods,
                runs: BTreeMap::new(),
                stopped_runs: BTreeMap::new(),
                ends: Vec::new(),
                last_end: 0,
                reported_ms: 0,
            };
            (id, worker)
        };
        Self {
            engine,
            now_ms: START_MS,
            counts: ReplayCounts {
                jobs: jobs.len(),
                digest: 0xcbf2_9ce4_8422_2325,
                ..ReplayCounts::default()
            },
            workers: workers.into_iter().map(simulated).collect(),
            jobs,
            arrived: 0,
            commands: Vec::new(),
            random: seed,
        }
    }

    /// Runs the replay until `until_ms` from its start.
    pub(crate) fn run(&mut self, until_ms: u64) {
        while self.elapsed_ms() < until_ms {
            self.add_arrivals();
            self.advance_runs();
            self.deliver_commands();
            self.report();
            self.pass();
            self.now_ms += TICK_MS;
        }
        self.counts.events = EVENTS.with(|events| events.borrow().clone());
        self.count_jobs();
    }

    pub(crate) fn elapsed_ms(&self) -> u64 {
        self.now_ms - START_MS
    }

    /// Returns the number of runs on a worker.
    pub(crate) fn runs_on(&self, id: &WorkerId) -> usize {
        self.workers[id].runs.len()
    }

    fn add_arrivals(&mut self) {
        let elapsed_ms = self.elapsed_ms();
        while let Some(job) = self.jobs.get(self.arrived) {
            if job.arrives_ms > elapsed_ms {
                return;
            }
            let id = job_id(self.arrived);
            self.engine.add_job(id, job.spec.clone(), None, self.now_ms);
            self.arrived += 1;
        }
    }

    fn fault(&self, id: &WorkerId) -> Option<WorkerFault> {
        let elapsed_ms = self.elapsed_ms();
        let periods = self.workers[id].periods.iter();
        let mut active = periods
            .filter(|period| (period.from_ms..period.until_ms).contains(&elapsed_ms))
            .map(|period| period.fault);
        active.next()
    }

    fn is_down(&self, id: &WorkerId) -> bool {
        self.fault(id) == Some(WorkerFault::Flapping) && self.elapsed_ms() / FLAP_MS % 2 == 0
    }

    fn advance_runs(&mut self) {
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for id in ids {
            let progress = match self.fault(&id) {
                Some(WorkerFault::Hanging) => 0,
                Some(WorkerFault::Slow(factor)) => TICK_MS * 10 / factor,
                _ => TICK_MS * 10,
            };
            let now_ms = self.now_ms;
            let worker = self.workers.get_mut(&id).unwrap();
            let mut ended = Vec::new();
            for (task, run) in &mut worker.runs {
                run.left = run.left.saturating_sub(progress);
                let stopped = run.stops_ms.is_some_and(|stops_ms| stops_ms <= now_ms);
                if run.left == 0 {
                    let kind = match run.fails {
                        true => EndKind::Failed,
                        false => EndKind::Done,
                    };
                    ended.push((task.clone(), kind));
                } else if stopped {
                    ended.push((task.clone(), EndKind::Stopped));
                }
            }
            for (task, kind) in ended {
                let run = worker.runs.remove(&task).unwrap();
                worker.last_end += 1;
                let end = TaskEnd {
                    number: worker.last_end,
                    task,
                    run: run.run,
                    kind,
                    checkpoint: checkpoint(&run),
                };
                worker.ends.push((now_ms, end));
            }
        }
    }

    fn deliver_commands(&mut self) {
        let now_ms = self.now_ms;
        let commands = std::mem::take(&mut self.commands);
        let (due, later) = commands
            .into_iter()
            .partition(|(due_ms, _)| *due_ms <= now_ms);
        self.commands = later;
        let due: Vec<(u64, Command)> = due;
        for (_, command) in due {
            match command {
                Command::Start(task, run, worker, attempt) => {
                    self.deliver_start(task, run, worker, attempt);
                }
                Command::Stop(request) => self.deliver_stop(request),
            }
        }
    }

    fn deliver_start(&mut self, task: TaskName, run: u64, id: WorkerId, attempt: u32) {
        if self.is_down(&id) {
            if attempt < START_ATTEMPTS {
                let command = Command::Start(task, run, id, attempt + 1);
                self.commands.push((self.now_ms + CALL_TIMEOUT_MS, command));
                return;
            }
            let outcome = CommandOutcome::Unknown("no answer".to_owned());
            self.engine.apply_start(&task, run, &outcome, self.now_ms);
            return;
        }
        let stopped_run = self.workers[&id].stopped_runs.get(&task);
        if stopped_run.is_some_and(|stopped| run <= *stopped) {
            let outcome = CommandOutcome::Refused(CommandRefusal::OldRun);
            self.engine.apply_start(&task, run, &outcome, self.now_ms);
            return;
        }
        let running = self
            .workers
            .values()
            .filter(|worker| worker.runs.contains_key(&task));
        self.counts.double_runs += running.count();
        let number = usize::from_str_radix(task.job.as_str(), 16).unwrap();
        let job = &self.jobs[number];
        let step = &job.spec.steps[task.step as usize];
        let total_ms = job.work_ms[task.step as usize][task.index as usize];
        let state = self.engine.jobs[&task.job].task(&task).unwrap();
        let done_ms: u64 = state.checkpoint.parse().unwrap_or(0);
        let resume_ms = match done_ms {
            0 => 0,
            _ => RESUME_MS,
        };
        let checkpointable = step.checkpointable;
        let is_faulty = job.is_faulty;
        let fails = match self.fault(&id) {
            Some(WorkerFault::Failing(percent)) => self.next_random() % 100 < percent,
            _ => is_faulty,
        };
        let simulated = SimulatedRun {
            run,
            total_ms,
            left: (total_ms - done_ms + resume_ms) * 10,
            checkpointable,
            fails,
            stops_ms: None,
        };
        let worker = self.workers.get_mut(&id).unwrap();
        worker.runs.insert(task.clone(), simulated);
        let outcome = CommandOutcome::Accepted(self.now_ms);
        self.engine.apply_start(&task, run, &outcome, self.now_ms);
    }

    fn deliver_stop(&mut self, request: StopRequest) {
        if self.is_down(&request.worker) {
            let outcome = CommandOutcome::Unknown("no answer".to_owned());
            self.engine.apply_stop(&request, &outcome, self.now_ms);
            return;
        }
        // A stop takes 200 to 900 ms.
        let stops_ms = self.now_ms + 200 + self.next_random() % 700;
        let worker = self.workers.get_mut(&request.worker).unwrap();
        let stopped = worker.stopped_runs.entry(request.task.clone());
        let stopped = stopped.or_default();
        *stopped = request.run.max(*stopped);
        if let Some(run) = worker.runs.get_mut(&request.task) {
            if run.run == request.run {
                run.stops_ms = run.stops_ms.or(Some(stops_ms));
            }
        }
        let outcome = CommandOutcome::Accepted(self.now_ms);
        self.engine.apply_stop(&request, &outcome, self.now_ms);
    }

    fn report(&mut self) {
        let ids: Vec<_> = self.workers.keys().cloned().collect();
        for id in ids {
            let now_ms = self.now_ms;
            let known = &self.engine.workers[&id];
            let busy = !known.tasks.is_empty() || !known.has_accepted_epoch;
            let delay_ms = match self.fault(&id) {
                Some(WorkerFault::LateReports(delay_ms)) => delay_ms,
                _ => 0,
            };
            let is_down = self.is_down(&id);
            let worker = self.workers.get_mut(&id).unwrap();
            let has_ends = worker
                .ends
                .iter()
                .any(|(ended_ms, _)| ended_ms + delay_ms <= now_ms);
            if is_down {
                let due = now_ms >= worker.reported_ms + CALL_TIMEOUT_MS;
                if busy && due {
                    worker.reported_ms = now_ms;
                    let known = self.engine.workers.get_mut(&id).unwrap();
                    known.record_unresponsive(now_ms);
                }
                continue;
            }
            let due = now_ms >= worker.reported_ms + REPORT_INTERVAL_MS;
            let is_silent = known.unresponsive_since_ms > 0;
            if !(busy && (due || has_ends || is_silent) || has_ends) {
                continue;
            }
            worker.reported_ms = now_ms;
            let ends = worker.ends.iter();
            let (reported, held): (Vec<_>, Vec<_>) =
                ends.partition(|(ended_ms, _)| ended_ms + delay_ms <= now_ms);
            // A run whose end is not reported yet is still listed.
            let unreported = held
                .iter()
                .map(|(_, end)| running_task(&end.task, end.run, ""));
            let running = worker
                .runs
                .iter()
                .map(|(task, run)| running_task(task, run.run, &checkpoint(run)));
            let report = WorkerReport {
                incarnation_start: None,
                clock_ms: now_ms,
                running: running.chain(unreported).collect(),
                ends: reported.iter().map(|(_, end)| end.clone()).collect(),
                held_ends: Vec::new(),
                has_more_ends: false,
            };
            let known = self.engine.workers.get_mut(&id).unwrap();
            if let Some(end_ms) = known.next_lease_end_ms(LEASE_MS, now_ms) {
                known.lease_end_ms = known.lease_end_ms.max(end_ms);
            }
            self.engine.apply_report(&id, &report, now_ms, now_ms);
        }
    }

    fn pass(&mut self) {
        let now_ms = self.now_ms;
        self.engine.expire_workers(now_ms);
        self.engine.release_stalled(now_ms);
        self.engine.place_tasks(now_ms, 0);
        let (_, effects) = self.engine.take_changes();
        for effect in effects {
            match effect {
                CommitEffect::Start(task, run) => self.send_start(task, run),
                CommitEffect::Acknowledge(id, _, last_end, _) => {
                    let known = self.engine.workers.get_mut(&id).unwrap();
                    known.durable_end = known.durable_end.max(last_end);
                    let worker = self.workers.get_mut(&id).unwrap();
                    worker.ends.retain(|(_, end)| end.number > last_end);
                }
            }
        }
        for stop in self.engine.take_stops() {
            *self.counts.stops.entry(stop.reason).or_default() += 1;
            let delay_ms = match self.is_down(&stop.worker) {
                true => CALL_TIMEOUT_MS,
                false => TICK_MS,
            };
            self.commands.push((now_ms + delay_ms, Command::Stop(stop)));
        }
    }

    /// Sends a start as the controller does after the commit.
    fn send_start(&mut self, task: TaskName, run: u64) {
        let now_ms = self.now_ms;
        let state = self.engine.jobs[&task.job].task(&task).unwrap();
        if state.command_phase() != Some(CommandPhase::Committing) || state.last_run != run {
            return;
        }
        let id = state.worker().unwrap().clone();
        let known = self.engine.workers.get_mut(&id).unwrap();
        if !known.accepts_tasks(now_ms) {
            let outcome = CommandOutcome::NotSent("the worker accepts no tasks".to_owned());
            self.engine.apply_start(&task, run, &outcome, now_ms);
            return;
        }
        known.lease_end_ms = known.lease_end_ms.max(now_ms + LEASE_MS);
        let job = self.engine.jobs.get_mut(&task.job).unwrap();
        job.task_mut(&task).unwrap().set_sent(now_ms);
        self.record_start(&task, &id);
        let command = Command::Start(task, run, id, 1);
        self.commands.push((now_ms + START_DELAY_MS, command));
    }

    fn record_start(&mut self, task: &TaskName, id: &WorkerId) {
        let line = format!("{} {task} {id}\n", self.elapsed_ms());
        for byte in line.bytes() {
            self.counts.digest ^= u64::from(byte);
            self.counts.digest = self.counts.digest.wrapping_mul(0x0100_0000_01b3);
        }
        self.counts.starts += 1;
        let name = match self.fault(id) {
            None => return,
            Some(WorkerFault::Slow(_)) => "slow",
            Some(WorkerFault::Flapping) => "flapping",
            Some(WorkerFault::Hanging) => "hanging",
            Some(WorkerFault::Failing(_)) => "failing",
            Some(WorkerFault::LateReports(_)) => "late",
        };
        *self.counts.bad_starts.entry(name).or_default() += 1;
    }

    fn count_jobs(&mut self) {
        self.counts.on_time = 0;
        self.counts.on_time_by_arrival.clear();
        self.counts.useful = 0;
        self.counts.complete = 0;
        self.counts.failed = 0;
        for (number, job) in self.jobs.iter().enumerate() {
            let Some(state) = self.engine.jobs.get(&job_id(number)) else {
                continue;
            };
            self.counts.failed += usize::from(state.phase == JobPhase::Failed);
            if state.phase != JobPhase::Complete {
                continue;
            }
            let path_ms: u64 = job
                .work_ms
                .iter()
                .map(|step| step.iter().max().unwrap())
                .sum();
            let objective_ms = path_ms * 16 / 10 + 600;
            let took_ms = state.ended_ms - state.first_read_ms;
            self.counts.complete += 1;
            let is_on_time = took_ms <= objective_ms;
            self.counts.on_time += usize::from(is_on_time);
            let period = (job.arrives_ms / 2_000) as usize;
            let periods = &mut self.counts.on_time_by_arrival;
            periods.resize(periods.len().max(period + 1), 0);
            periods[period] += usize::from(is_on_time);
            self.counts.useful += usize::from(took_ms <= 3 * objective_ms);
        }
    }

    fn next_random(&mut self) -> u64 {
        next_random(&mut self.random)
    }
}

/// Returns the next number of a xorshift generator.
pub(crate) fn next_random(state: &mut u64) -> u64 {
    *state ^= *state << 13;
    *state ^= *state >> 7;
    *state ^= *state << 17;
    *state >> 8
}

pub(crate) fn job_id(number: usize) -> JobId {
    format!("{number:016x}").parse().unwrap()
}

fn running_task(task: &TaskName, run: u64, checkpoint: &str) -> RunningTask {
    RunningTask {
        task: task.clone(),
        run,
        checkpoint: checkpoint.to_owned(),
        percent: 100,
        load: 0,
    }
}

/// Returns the work done at the last checkpoint in ms, as text; empty before the first.
fn checkpoint(run: &SimulatedRun) -> String {
    let done_ms = run.total_ms.saturating_sub(run.left.div_ceil(10));
    match run.checkpointable && done_ms >= CHECKPOINT_MS {
        true => (done_ms - done_ms % CHECKPOINT_MS).to_string(),
        false => String::new(),
    }
}

thread_local! {
    /// The log lines of this thread by event. Each test runs in a thread of its own.
    static EVENTS: RefCell<BTreeMap<String, usize>> = const { RefCell::new(BTreeMap::new()) };
}

struct EventCounter;

impl log::Log for EventCounter {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        let line = record.args().to_string();
        let event = line.split_whitespace().next().unwrap_or_default();
        let mut event = event.trim_start_matches("event=").to_owned();
        let mut fields = line.split_whitespace();
        if let Some(cause) = fields.find_map(|field| field.strip_prefix("cause=")) {
            event = format!("{event}:{cause}");
        }
        EVENTS.with(|events| *events.borrow_mut().entry(event).or_default() += 1);
    }

    fn flush(&self) {}
}

/// Starts to count the log lines of this thread anew.
fn count_log_lines() {
    static INSTALL: Once = Once::new();
    INSTALL.call_once(|| {
        log::set_logger(&EventCounter).unwrap();
        log::set_max_level(log::LevelFilter::Info);
    });
    EVENTS.with(|events| events.borrow_mut().clear());
}

/// Generates jobs of 1 to 8 tasks in one or two steps, `per_second` a second for `length_ms`. Tasks
/// take about 600 ms; a tenth of the jobs has tasks of about 3 s that write checkpoints.
pub(crate) fn generate_jobs(
    seed: u64,
    per_second: u64,
    length_ms: u64,
    queue: &str,
) -> Vec<ReplayJob> {
    let mut state = seed;
    let count = per_second * length_ms / 1_000;
    let job = |number: u64| {
        let is_long = next_random(&mut state) % 10 == 0;
        let mean_ms = if is_long { 3_000 } else { 600 };
        let steps = 1 + u64::from(next_random(&mut state) % 4 == 0);
        let mut specs = Vec::new();
        let mut work_ms = Vec::new();
        for number in 0..steps {
            let tasks = match is_long {
                true => 1,
                false => 1 + next_random(&mut state) % 8,
            };
            let mut work = Vec::new();
            for _ in 0..tasks {
                work.push(mean_ms * (60 + next_random(&mut state) % 81) / 100);
            }
            work_ms.push(work);
            let error = 50 + next_random(&mut state) % 101;
            let mut spec = crate::fixtures::step(tasks as u32);
            spec.estimate_ms = mean_ms * error / 100;
            spec.checkpointable = is_long;
            if number > 0 {
                spec.after = vec![0];
            }
            specs.push(spec);
        }
        let queue = match is_long {
            true => format!("{queue}-long"),
            false => queue.to_owned(),
        };
        ReplayJob {
            arrives_ms: number * 1_000 / per_second,
            spec: job_spec(queue, specs),
            work_ms,
            is_faulty: false,
        }
    };
    (0..count).map(job).collect()
}

pub(crate) fn job_spec(queue: String, steps: Vec<StepSpec>) -> JobSpec {
    JobSpec {
        queue,
        organisation: None,
        payload: "text".to_owned(),
        steps,
        schedule: None,
    }
}
