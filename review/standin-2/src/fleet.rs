//! Machines, their executors, and what is known of jobs; judges what the executors and the consumers see.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use serde_json::json;
use serde_json::Value;

use crate::http::serve;
use crate::http::Reply;
use crate::http::Request;
use crate::table::Table;

const HOLD_MAX_MS: u64 = 10_000;
const GANG_MS: u64 = 3_000;
const MOVE_TIME: Duration = Duration::from_millis(1_500);
const UPKEEP_TIME: Duration = Duration::from_secs(2);
const BEAT: Duration = Duration::from_millis(1_500);
/// The time in ms by which a start may come before its due time.
const EARLY_MS: u64 = 250;
const MAX_ENDS: usize = 500;

/// A step of a job, as the consumer hands it in and as the executors run it.
#[derive(Clone, Debug, Default)]
pub struct Step {
    pub count: u32,
    pub cpu: u64,
    pub mem_mb: u64,
    pub work_ms: u64,
    /// How many times as long as the consumer's estimate a task takes; 0 counts as 1.
    pub longer: u64,
    pub after: Vec<u32>,
    pub gang: bool,
    pub max_per_server: u32,
}

/// A job as its consumer sees it.
#[derive(Clone, Debug, Default)]
pub struct Job {
    pub queue: usize,
    pub spec: String,
    pub steps: Vec<Step>,
    pub times: u32,
    pub first_ms: u64,
    pub interval_ms: u64,
    pub accepted: bool,
    pub state: String,
}

impl Job {
    pub fn body(&self) -> Value {
        let phases: Vec<_> = self.steps.iter().map(encode_step).collect();
        let mut body = json!({ "spec": self.spec, "phases": phases });
        if self.times > 0 {
            body["times"] = json!(self.times);
            body["first-ms"] = json!(self.first_ms);
            body["interval-ms"] = json!(self.interval_ms);
        }
        body
    }
}

fn encode_step(step: &Step) -> Value {
    let mut phase = json!({
        "count": step.count, "cpu": step.cpu, "mem-mb": step.mem_mb, "estimate-ms": step.work_ms,
    });
    if !step.after.is_empty() {
        phase["after"] = json!(step.after);
    }
    if step.gang {
        phase["gang"] = json!(true);
    }
    if step.max_per_server > 0 {
        phase["max-per-server"] = json!(step.max_per_server);
    }
    phase
}

/// A task's name: job, occurrence, step, index.
pub type TaskName = (String, u32, u32, u32);

fn parse_task(text: &str) -> Option<TaskName> {
    let mut parts = text.split('.');
    let job = parts.next()?.to_owned();
    let mut number = || parts.next()?.parse().ok();
    Some((job, number()?, number()?, number()?))
}

/// A run of a gang: job, occurrence, step and number of the run.
type GangRun = (String, u32, u32, u64);
/// Where a run is: the number of its machine and its position there.
type RunPlace = (usize, usize);

struct Run {
    task: String,
    name: TaskName,
    number: u64,
    started: Instant,
    /// When the work began: for a member of a gang, when all members were present.
    begun: Option<Instant>,
}

struct End {
    number: u64,
    task: String,
    run: u64,
    how: &'static str,
    /// The starts of the task until this end.
    starts: u32,
    /// The executor's lease lapsed after this end.
    is_lapsed: bool,
}

/// One life of a machine.
struct Executor {
    id: String,
    born: Instant,
    runs: Vec<Run>,
    ends: Vec<End>,
    next_end: u64,
    fence: u64,
    lease_end_ms: u64,
    /// The highest run of each task that was ended or stopped here.
    over: BTreeMap<String, u64>,
    next_beat: Instant,
    beats: u64,
}

impl Executor {
    fn clock_ms(&self) -> u64 {
        400_000 + self.born.elapsed().as_millis() as u64
    }
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum State {
    Up,
    Down,
    Moving,
    Upkeep,
}

pub struct Machine {
    pub name: String,
    pub pool: usize,
    pub rack: String,
    pub cpu: u64,
    pub mem_mb: u64,
    address: SocketAddr,
    state: State,
    back_at: Option<Instant>,
    executor: Option<Executor>,
    /// The executor fails all that it starts until then.
    pub failing_until: Option<Instant>,
    /// Entries of executors that have gone silent, and when each is removed.
    stale_entries: Vec<(String, Instant)>,
}

#[derive(Clone, Debug)]
pub struct Pool {
    pub name: String,
    pub guards: bool,
    pub standby: bool,
}

#[derive(Clone, Debug)]
pub struct Queue {
    pub name: String,
    pub prefix: String,
    pub pool: usize,
    pub attempts: u32,
    pub priority: u32,
}

/// What happened to one task.
#[derive(Default)]
pub struct History {
    pub starts: u32,
    pub crashes: u32,
    pub ends: BTreeMap<&'static str, u32>,
    /// The runs that ended `failed`.
    failed_runs: BTreeSet<u64>,
    done: bool,
    /// A `done` end was taken note of.
    done_noted: bool,
    failed_noted: u32,
}

pub struct World {
    pub machines: Vec<Machine>,
    pub pools: Vec<Pool>,
    pub queues: Vec<Queue>,
    pub jobs: BTreeMap<String, Job>,
    pub tasks: BTreeMap<TaskName, History>,
    pub lines: Vec<String>,
    pub violations: Vec<String>,
    pub started: Instant,
    next_id: u64,
    table: Arc<Table>,
}

#[derive(Clone)]
pub struct Fleet {
    world: Arc<Mutex<World>>,
    pub hosts: SocketAddr,
}

pub fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

impl Fleet {
    /// Starts the executors of machines given by pool, rack and cpu, and the list of machines.
    pub fn start(
        table: &Arc<Table>,
        pools: Vec<Pool>,
        queues: Vec<Queue>,
        machines: &[(usize, String, u64)],
    ) -> Self {
        let world = Arc::new(Mutex::new(World {
            machines: Vec::new(),
            pools,
            queues,
            jobs: BTreeMap::new(),
            tasks: BTreeMap::new(),
            lines: Vec::new(),
            violations: Vec::new(),
            started: Instant::now(),
            next_id: 1,
            table: Arc::clone(table),
        }));
        for (number, (pool, rack, cpu)) in machines.iter().enumerate() {
            let shared = Arc::clone(&world);
            let address = serve(Arc::new(move |request: &Request| {
                handle_executor(&shared, number, request)
            }));
            let mut world = lock(&world);
            world.machines.push(Machine {
                name: format!("m-{number:03}"),
                pool: *pool,
                rack: rack.clone(),
                cpu: *cpu,
                mem_mb: 131_072,
                address,
                state: State::Down,
                back_at: Some(Instant::now()),
                executor: None,
                failing_until: None,
                stale_entries: Vec::new(),
            });
        }
        let shared = Arc::clone(&world);
        let hosts = serve(Arc::new(move |request: &Request| {
            handle_machines(&shared, request)
        }));
        let shared = Arc::clone(&world);
        std::thread::spawn(move || loop {
            lock(&shared).advance();
            sleep(Duration::from_millis(4));
        });
        Self { world, hosts }
    }

    pub fn lock(&self) -> MutexGuard<'_, World> {
        lock(&self.world)
    }
}

fn lock(world: &Arc<Mutex<World>>) -> MutexGuard<'_, World> {
    world.lock().expect("the world")
}

impl World {
    pub fn log(&mut self, line: String) {
        let ms = self.started.elapsed().as_millis() as u64;
        self.lines
            .push(format!("{:9.3} s  {line}", ms as f64 / 1_000.0));
    }

    fn violate(&mut self, rule: &str, line: String) {
        let line = format!("{rule}: {line}");
        self.log(format!("BROKEN {line}"));
        self.violations.push(line);
    }

    /// Ends the executor of a machine without a word; the machine is back after `time`.
    pub fn crash(&mut self, number: usize, time: Duration) {
        let name = self.machines[number].name.clone();
        self.log(format!("crash of the executor of {name}"));
        self.end_executor(number, State::Down, time, true);
    }

    fn end_executor(&mut self, number: usize, state: State, time: Duration, is_crash: bool) {
        let machine = &mut self.machines[number];
        machine.state = state;
        machine.back_at = Some(Instant::now() + time);
        let Some(executor) = machine.executor.take() else {
            return;
        };
        // An executor that leaves removes its entry; a crashed one is missed after three beats.
        let removed_at = match is_crash {
            true => Instant::now() + BEAT * 3,
            false => Instant::now(),
        };
        machine.stale_entries.push((executor.id, removed_at));
        let machine = machine.name.clone();
        for run in executor.runs {
            if is_crash {
                self.tasks.entry(run.name.clone()).or_default().crashes += 1;
            }
            self.log(format!(
                "lost  {} run {} with {machine}",
                run.task, run.number
            ));
            self.break_gang(&run.name, run.number);
        }
    }

    /// Ends a run and, for a member of a gang that works or waits, those of the other members.
    fn end_run(&mut self, number: usize, position: usize, how: &'static str) {
        let machine = &mut self.machines[number];
        let Some(executor) = machine.executor.as_mut() else {
            return;
        };
        let run = executor.runs.remove(position);
        let over = executor.over.entry(run.task.clone()).or_default();
        *over = run.number.max(*over);
        let starts = self
            .tasks
            .get(&run.name)
            .map_or(0, |history| history.starts);
        executor.ends.push(End {
            number: executor.next_end,
            task: run.task.clone(),
            run: run.number,
            how,
            starts,
            is_lapsed: false,
        });
        executor.next_end += 1;
        let machine = machine.name.clone();
        let history = self.tasks.entry(run.name.clone()).or_default();
        *history.ends.entry(how).or_default() += 1;
        history.done |= how == "done";
        if how == "failed" {
            history.failed_runs.insert(run.number);
        }
        self.log(format!(
            "end   {} run {} on {machine}: {how}",
            run.task, run.number
        ));
        if how == "alone" {
            self.violate(
                "GANG",
                format!("{} run {} ended alone", run.task, run.number),
            );
        }
        if how != "done" && how != "broken" && how != "alone" {
            self.break_gang(&run.name, run.number);
        }
    }

    fn break_gang(&mut self, name: &TaskName, run: u64) {
        if !self.step(name).is_some_and(|step| step.gang) {
            return;
        }
        for number in 0..self.machines.len() {
            while let Some(position) = self.member(number, name, run) {
                self.end_run(number, position, "broken");
            }
        }
    }

    fn member(&self, number: usize, name: &TaskName, run: u64) -> Option<usize> {
        let executor = self.machines[number].executor.as_ref()?;
        executor.runs.iter().position(|other| {
            let (job, occurrence, step, _) = &other.name;
            (job, *occurrence, *step, other.number) == (&name.0, name.1, name.2, run)
        })
    }

    fn step(&self, name: &TaskName) -> Option<Step> {
        self.jobs.get(&name.0)?.steps.get(name.2 as usize).cloned()
    }

    fn advance(&mut self) {
        let now = Instant::now();
        for number in 0..self.machines.len() {
            self.advance_machine(number, now);
        }
        self.advance_gangs(now);
        for number in 0..self.machines.len() {
            self.advance_runs(number, now);
        }
        for executor in self
            .machines
            .iter_mut()
            .filter_map(|one| one.executor.as_mut())
        {
            if executor.clock_ms() > executor.lease_end_ms {
                executor
                    .ends
                    .iter_mut()
                    .for_each(|end| end.is_lapsed = true);
            }
        }
    }

    fn advance_machine(&mut self, number: usize, now: Instant) {
        let machine = &mut self.machines[number];
        let table = Arc::clone(&self.table);
        machine.stale_entries.retain(|(id, removed_at)| {
            let stays = now < *removed_at;
            if !stays {
                table.remove("servers", id);
            }
            stays
        });
        if machine.back_at.is_some_and(|back_at| now >= back_at) {
            machine.back_at = None;
            machine.state = State::Up;
            let id = format!("i-{:06x}", self.next_id * 7_919);
            self.next_id += 1;
            machine.executor = (!self.pools[machine.pool].standby).then(|| Executor {
                id,
                born: now,
                runs: Vec::new(),
                ends: Vec::new(),
                next_end: 1,
                fence: 0,
                lease_end_ms: 0,
                over: BTreeMap::new(),
                next_beat: now,
                beats: 0,
            });
        }
        let address = machine.address;
        let pool = self.pools[machine.pool].name.clone();
        let (cpu, mem_mb, rack) = (machine.cpu, machine.mem_mb, machine.rack.clone());
        if let Some(executor) = machine.executor.as_mut().filter(|one| now >= one.next_beat) {
            executor.next_beat = now + BEAT;
            executor.beats += 1;
            let entry = json!({
                "service": pool, "addr": address.to_string(), "zone": "hall-a", "version": "v1",
                "slots": 8, "state": "ready",
                "cold-left-ms": 0, "capacity": { "cpu": cpu, "mem-mb": mem_mb, "gpu": 0 },
                "labels": ["a", rack], "clock-ms": executor.clock_ms(), "seq": executor.beats,
            });
            table.put("servers", &executor.id, &entry);
        }
    }

    /// Lets gangs begin whose members are all present.
    fn advance_gangs(&mut self, now: Instant) {
        let mut present: BTreeMap<GangRun, Vec<RunPlace>> = BTreeMap::new();
        for (number, machine) in self.machines.iter().enumerate() {
            let runs = machine
                .executor
                .iter()
                .flat_map(|one| one.runs.iter().enumerate());
            for (position, run) in runs.filter(|(_, run)| run.begun.is_none()) {
                let (job, occurrence, step, _) = run.name.clone();
                let gang = present
                    .entry((job, occurrence, step, run.number))
                    .or_default();
                gang.push((number, position));
            }
        }
        for ((job, _, step, _), members) in present {
            let count = self
                .jobs
                .get(&job)
                .map(|job| job.steps[step as usize].count);
            if count != Some(members.len() as u32) {
                continue;
            }
            for (number, position) in members {
                if let Some(executor) = self.machines[number].executor.as_mut() {
                    executor.runs[position].begun = Some(now);
                }
            }
        }
    }

    fn advance_runs(&mut self, number: usize, now: Instant) {
        loop {
            let machine = &self.machines[number];
            let Some(executor) = &machine.executor else {
                return;
            };
            let is_failing = machine.failing_until.is_some_and(|until| now < until);
            let is_lapsed = executor.clock_ms() > executor.lease_end_ms;
            let mut ended = None;
            for (position, run) in executor.runs.iter().enumerate() {
                let step = self.step(&run.name).unwrap_or_default();
                let work = Duration::from_millis(step.work_ms * step.longer.max(1));
                let is_done = run.begun.is_some_and(|begun| now >= begun + work);
                let waits =
                    run.begun.is_none() && run.started.elapsed().as_millis() as u64 >= GANG_MS;
                let how = match (is_failing, is_lapsed, is_done, waits) {
                    (true, ..) => "failed",
                    (_, true, ..) => "lapsed",
                    (_, _, true, _) => "done",
                    (_, _, _, true) => "alone",
                    _ => continue,
                };
                ended = Some((position, how));
                break;
            }
            let Some((position, how)) = ended else {
                return;
            };
            self.end_run(number, position, how);
        }
    }

    fn start_run(&mut self, number: usize, body: &Value) -> Reply {
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_owned();
        let field = |name: &str| body[name].as_u64().unwrap_or(0);
        let (task, run, fence) = (text("task"), field("run-id"), field("fence-token"));
        let Some(executor) = self.machines[number].executor.as_mut() else {
            return Reply::Close;
        };
        let clock_ms = executor.clock_ms();
        let refuse =
            |reason: &str| Reply::Json(409, json!({ "clock-ms": clock_ms, "reason": reason }));
        let accept = || Reply::Json(200, json!({ "clock-ms": clock_ms }));
        if fence < executor.fence {
            return refuse("fence");
        }
        executor.fence = fence;
        let deadline_ms = field("deadline-ms");
        if deadline_ms <= clock_ms {
            return refuse("late");
        }
        extend_lease(executor, deadline_ms);
        let same = |one: &&Run| one.task == task;
        if let Some(active) = executor.runs.iter().find(same) {
            return match active.number == run {
                true => accept(),
                false => refuse("old"),
            };
        }
        if run <= executor.over.get(&task).copied().unwrap_or(0) {
            return refuse("old");
        }
        let Some(name) = parse_task(&task) else {
            return Reply::Json(400, json!({}));
        };
        let (id, pool) = (executor.id.clone(), self.machines[number].pool);
        let step = self.step(&name);
        let Some((step, job)) = step.zip(self.jobs.get(&name.0).cloned()) else {
            self.violate("UNASKED", format!("start of {task}, which nobody sent"));
            return accept();
        };
        let used = |take: fn(&Step) -> u64| -> u64 {
            let runs = self.machines[number]
                .executor
                .iter()
                .flat_map(|one| &one.runs);
            runs.filter_map(|run| self.step(&run.name))
                .map(|step| take(&step))
                .sum()
        };
        let over = used(|step| step.cpu) + step.cpu > self.machines[number].cpu
            || used(|step| step.mem_mb) + step.mem_mb > self.machines[number].mem_mb;
        if over && self.pools[pool].guards {
            return refuse("room");
        }
        let machine = self.machines[number].name.clone();
        self.log(format!(
            "start {task} run {run} on {machine} ({id}) fence {fence}"
        ));
        if over {
            self.violate(
                "LIMIT",
                format!("start of {task} run {run} on {machine} ({id})"),
            );
        }
        self.judge_start(number, &name, run, &step, &job, &text("spec"));
        let history = self.tasks.entry(name.clone()).or_default();
        history.starts += 1;
        let now = Instant::now();
        let is_gang = step.gang && step.count > 1;
        if let Some(executor) = self.machines[number].executor.as_mut() {
            executor.runs.push(Run {
                task,
                name,
                number: run,
                started: now,
                begun: (!is_gang).then_some(now),
            });
        }
        accept()
    }

    fn judge_start(
        &mut self,
        number: usize,
        name: &TaskName,
        run: u64,
        step: &Step,
        job: &Job,
        spec: &str,
    ) {
        let text = format!("{}.{}.{}.{} run {run}", name.0, name.1, name.2, name.3);
        let runs = self.machines.iter().flat_map(|machine| &machine.executor);
        let runs = runs.flat_map(|executor| &executor.runs);
        if runs.clone().any(|other| other.name == *name) {
            self.violate("TWICE", format!("{text} starts beside another run"));
        }
        let history = self.tasks.entry(name.clone()).or_default();
        let (done_noted, failed) = (history.done_noted, history.failed_noted);
        if done_noted {
            self.violate(
                "TWICE",
                format!("{text} starts after a done end that was taken note of"),
            );
        }
        let attempts = self.queues[job.queue].attempts;
        if failed >= attempts {
            self.violate(
                "BUDGET",
                format!("{text} starts after {failed} failed runs"),
            );
        }
        if spec != job.spec {
            self.violate("UNASKED", format!("{text} starts with another spec"));
        }
        if self.machines[number].pool != self.queues[job.queue].pool {
            self.violate("ROUTE", format!("{text} starts in another pool"));
        }
        let here = self.machines[number]
            .executor
            .iter()
            .flat_map(|one| &one.runs);
        let siblings = here.filter(|other| {
            (&other.name.0, other.name.1, other.name.2) == (&name.0, name.1, name.2)
        });
        if step.max_per_server > 0 && siblings.count() as u32 >= step.max_per_server {
            self.violate("ROUTE", format!("{text} starts beyond max-per-server"));
        }
        let due_ms = job.first_ms + u64::from(name.1) * job.interval_ms;
        if job.times > 0 && unix_ms() + EARLY_MS < due_ms {
            self.violate("ORDER", format!("{text} starts before its time"));
        }
        for &before in &step.after {
            let tasks = (0..job.steps[before as usize].count)
                .map(|index| (name.0.clone(), name.1, before, index));
            let is_gang = job.steps[before as usize].gang;
            let done = |task: TaskName| self.tasks.get(&task).is_some_and(|one| one.done);
            let done: Vec<_> = tasks.map(done).collect();
            let all = done.iter().all(|done| *done) || (is_gang && done.contains(&true));
            if !all {
                self.violate(
                    "ORDER",
                    format!("{text} starts before step {before} is done"),
                );
            }
        }
    }

    fn stop_run(&mut self, number: usize, body: &Value) -> Reply {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let field = |name: &str| body[name].as_u64().unwrap_or(0);
        let (run, fence) = (field("run-id"), field("fence-token"));
        let Some(executor) = self.machines[number].executor.as_mut() else {
            return Reply::Close;
        };
        let clock_ms = executor.clock_ms();
        if fence < executor.fence {
            return Reply::Json(409, json!({ "clock-ms": clock_ms, "reason": "fence" }));
        }
        executor.fence = fence;
        let over = executor.over.entry(task.clone()).or_default();
        *over = run.max(*over);
        let is_active = |one: &Run| one.task == task && one.number == run;
        if let Some(position) = executor.runs.iter().position(is_active) {
            self.end_run(number, position, "stopped");
        }
        Reply::Json(200, json!({ "clock-ms": clock_ms }))
    }

    /// Answers a renewal; `None` while it has nothing to tell and may wait.
    fn hold(
        &mut self,
        number: usize,
        body: &Value,
        is_first: bool,
        may_wait: bool,
    ) -> Option<Reply> {
        let fence = body["fence-token"].as_u64().unwrap_or(0);
        let Some(executor) = self.machines[number].executor.as_mut() else {
            return Some(Reply::Close);
        };
        let clock_ms = executor.clock_ms();
        if fence < executor.fence {
            return Some(Reply::Json(
                409,
                json!({ "clock-ms": clock_ms, "reason": "fence" }),
            ));
        }
        executor.fence = fence;
        if is_first {
            if let Some(deadline_ms) = body["deadline-ms"].as_u64() {
                extend_lease(executor, deadline_ms);
            }
            let seen = body["last-seen"].as_u64().unwrap_or(0);
            let noted = executor.ends.iter().filter(|end| end.number <= seen);
            let noted = noted.map(|end| (end.task.clone(), end.how, end.starts, end.is_lapsed));
            let noted: Vec<_> = noted.collect();
            executor.ends.retain(|end| end.number > seen);
            self.record_noted(&noted);
        }
        let executor = self.machines[number].executor.as_ref()?;
        if executor.ends.is_empty() && may_wait {
            return None;
        }
        let running = executor.runs.iter().map(|run| {
            let cpu = self.step(&run.name).map_or(0, |step| step.cpu);
            json!([run.task, run.number, "", 100, cpu])
        });
        let running: Vec<_> = running.collect();
        let finished = executor.ends.iter().take(MAX_ENDS);
        let finished = finished.map(|end| json!([end.number, end.task, end.run, end.how, ""]));
        let finished: Vec<_> = finished.collect();
        let report = json!({ "clock-ms": clock_ms, "running": running, "finished": finished });
        Some(Reply::Json(200, report))
    }

    fn record_noted(&mut self, ends: &[(String, &'static str, u32, bool)]) {
        for (task, how, starts, is_lapsed) in ends {
            let Some(name) = parse_task(task) else {
                continue;
            };
            let history = self.tasks.entry(name).or_default();
            history.failed_noted += u32::from(*how == "failed");
            let is_done = *how == "done" && !is_lapsed;
            history.done_noted |= is_done;
            if is_done && history.starts > *starts {
                self.violate(
                    "TWICE",
                    format!("{task} was started after its end, noted now"),
                );
            }
        }
    }

    /// Returns the names of a job's tasks.
    pub fn task_names(&self, id: &str) -> BTreeSet<TaskName> {
        let tasks = self.tasks.keys().filter(|name| name.0 == id);
        tasks.cloned().collect()
    }

    /// Records a job's state as a consumer was told, and judges it.
    pub fn record_state(&mut self, id: &str, state: &str) {
        let Some(job) = self.jobs.get_mut(id) else {
            return;
        };
        if job.state == state {
            return;
        }
        job.state = state.to_owned();
        let job = job.clone();
        self.log(format!("state {id}: {state}"));
        match state {
            "complete" => self.judge_complete(id, &job),
            "failed" => self.judge_failed(id, &job),
            "aborted" => {
                self.violate(
                    "LOST",
                    format!("{id} is shown as aborted and nobody cancelled it"),
                );
            }
            "410" => {
                self.violate("LOST", format!("{id} was accepted and isn't known"));
            }
            _ => {}
        }
    }

    fn judge_complete(&mut self, id: &str, job: &Job) {
        for occurrence in 0..job.times.max(1) {
            for (number, step) in job.steps.iter().enumerate() {
                let names =
                    (0..step.count).map(|index| (id.to_owned(), occurrence, number as u32, index));
                let done = names.map(|name| self.tasks.get(&name).is_some_and(|one| one.done));
                let done: Vec<_> = done.collect();
                let all = done.iter().all(|done| *done) || (step.gang && done.contains(&true));
                if !all {
                    self.violate(
                        "MIXED",
                        format!("{id} is complete, but not {occurrence}.{number}"),
                    );
                }
            }
        }
    }

    /// A job may be shown as failed once a task, or a gang, has failed `attempts` times, or two executors
    /// have crashed under one task.
    fn judge_failed(&mut self, id: &str, job: &Job) {
        let attempts = self.queues[job.queue].attempts;
        let names = self.task_names(id);
        // The members of a gang share the numbers of their runs.
        let mut failed_runs: BTreeMap<TaskName, BTreeSet<u64>> = BTreeMap::new();
        for name in &names {
            let is_gang = self.step(name).is_some_and(|step| step.gang);
            let index = if is_gang { 0 } else { name.3 };
            let unit = (name.0.clone(), name.1, name.2, index);
            let runs = self.tasks.get(name).map(|one| one.failed_runs.clone());
            failed_runs
                .entry(unit)
                .or_default()
                .extend(runs.unwrap_or_default());
        }
        let most_failed = failed_runs.values().map(BTreeSet::len).max().unwrap_or(0) as u32;
        let crashes = names.iter().filter_map(|name| self.tasks.get(name));
        let most_crashes = crashes.map(|one| one.crashes).max().unwrap_or(0);
        let runs = names.iter().filter_map(|name| self.tasks.get(name));
        let most_runs = runs.map(|one| one.starts).max().unwrap_or(0);
        if most_failed < attempts && most_crashes < 2 {
            self.violate(
                "LOST",
                format!(
                    "{id} is shown as failed: attempts {attempts}, most failed runs of one task or gang {most_failed}, most runs of one task {most_runs}, most executors that crashed under one task {most_crashes}"
                ),
            );
        }
    }

    /// Returns the numbers of the machines of a pool that are up.
    pub fn up_machines(&self, pool: usize) -> Vec<usize> {
        let machines = self.machines.iter().enumerate();
        let up = machines.filter(|(_, one)| one.pool == pool && one.executor.is_some());
        up.map(|(number, _)| number).collect()
    }

    /// Returns the share of a pool's cpu that is in use, in percent.
    pub fn used_percent(&self, pool: usize) -> u64 {
        let machines = self.machines.iter();
        let machines: Vec<_> = machines.filter(|one| one.pool == pool).collect();
        let runs = machines.iter().flat_map(|machine| &machine.executor);
        let runs = runs.flat_map(|executor| &executor.runs);
        let used: u64 = runs
            .filter_map(|run| self.step(&run.name))
            .map(|step| step.cpu)
            .sum();
        let cpu: u64 = machines.iter().map(|machine| machine.cpu).sum();
        used * 100 / cpu.max(1)
    }

    /// Records that a job has had nothing running for 3 s, while its turn has come and its pool is idle.
    pub fn record_idle(&mut self, id: &str) {
        let job = &self.jobs[id];
        let (state, pool) = (job.state.clone(), self.queues[job.queue].pool);
        let used = self.used_percent(pool);
        self.violate(
            "LOST",
            format!("{id} is shown as {state} and has had nothing running for 3 s, {used}% of its pool is in use"),
        );
    }

    /// Returns the rack with the most machines that run tasks of a job.
    pub fn busiest_rack(&self, id: &str) -> String {
        let mut counts: BTreeMap<&str, usize> = BTreeMap::new();
        for number in self.machines_of(id) {
            *counts.entry(&self.machines[number].rack).or_default() += 1;
        }
        let busiest = counts.iter().max_by_key(|(_, count)| **count);
        busiest.map_or(String::new(), |(rack, _)| (*rack).to_owned())
    }

    pub fn rack_machines(&self, rack: &str) -> Vec<usize> {
        let machines = self.machines.iter().enumerate();
        let machines = machines.filter(|(_, one)| one.rack == rack);
        machines.map(|(number, _)| number).collect()
    }

    /// Returns the numbers of the machines that run tasks of a job.
    pub fn machines_of(&self, id: &str) -> Vec<usize> {
        let machines = self.machines.iter().enumerate();
        let runs = machines.filter(|(_, machine)| {
            let runs = machine.executor.iter().flat_map(|one| &one.runs);
            runs.into_iter().any(|run| run.name.0 == id)
        });
        runs.map(|(number, _)| number).collect()
    }
}

fn extend_lease(executor: &mut Executor, deadline_ms: u64) {
    let deadline_ms = deadline_ms.min(executor.clock_ms() + HOLD_MAX_MS);
    executor.lease_end_ms = executor.lease_end_ms.max(deadline_ms);
}

fn handle_executor(world: &Arc<Mutex<World>>, number: usize, request: &Request) -> Reply {
    let expected = request.header("x-expect-instance").map(ToOwned::to_owned);
    let deadline =
        Instant::now() + Duration::from_millis(request.body["wait-ms"].as_u64().unwrap_or(0));
    let mut is_first = true;
    loop {
        {
            let mut world = lock(world);
            world.advance();
            let Some(executor) = &world.machines[number].executor else {
                return Reply::Close;
            };
            if expected
                .as_ref()
                .is_some_and(|expected| *expected != executor.id)
            {
                return Reply::Json(421, json!({}));
            }
            let may_wait = Instant::now() < deadline;
            let reply = match request.path.as_str() {
                "/v1/run-start" => Some(world.start_run(number, &request.body)),
                "/v1/run-stop" => Some(world.stop_run(number, &request.body)),
                "/v1/hold" => world.hold(number, &request.body, is_first, may_wait),
                "/healthz" => Some(Reply::Json(200, json!({}))),
                _ => Some(Reply::Json(404, json!({}))),
            };
            if let Some(reply) = reply {
                return reply;
            }
        }
        is_first = false;
        sleep(Duration::from_millis(3));
    }
}

fn handle_machines(world: &Arc<Mutex<World>>, request: &Request) -> Reply {
    let mut world = lock(world);
    world.advance();
    if request.path == "/v1/machines" {
        let machines = world.machines.iter().map(|machine| {
            let state = match machine.state {
                State::Up => "up",
                State::Down => "down",
                State::Moving => "moving",
                State::Upkeep => "upkeep",
            };
            json!({
                "machine": machine.name, "pool": world.pools[machine.pool].name, "state": state,
                "zone": "hall-a", "labels": ["a", machine.rack],
                "capacity": { "cpu": machine.cpu, "mem-mb": machine.mem_mb, "gpu": 0 },
                "id": machine.executor.as_ref().map(|one| &one.id),
            })
        });
        let machines: Vec<_> = machines.collect();
        return Reply::Json(200, json!({ "machines": machines, "next-token": null }));
    }
    let name = request.body["machine"].as_str().unwrap_or_default();
    let Some(number) = world.machines.iter().position(|one| one.name == name) else {
        return Reply::Json(400, json!({}));
    };
    let pool = request.body["pool"].as_str();
    let pool = pool.and_then(|pool| world.pools.iter().position(|one| one.name == pool));
    if pool == Some(world.machines[number].pool) {
        return Reply::Json(200, json!({}));
    }
    if world.machines[number].state != State::Up {
        return Reply::Json(409, json!({ "reason": "busy" }));
    }
    let holder = request
        .header("x-lease-holder")
        .unwrap_or_default()
        .to_owned();
    let fence = request
        .header("x-fence-token")
        .unwrap_or_default()
        .to_owned();
    let name = name.to_owned();
    match pool {
        Some(pool) => {
            let to = world.pools[pool].name.clone();
            world.log(format!("move  {name} to {to} by {holder} fence {fence}"));
            world.end_executor(number, State::Moving, MOVE_TIME, false);
            world.machines[number].pool = pool;
        }
        None => {
            world.log(format!("upkeep {name} by {holder} fence {fence}"));
            world.end_executor(number, State::Upkeep, UPKEEP_TIME, false);
        }
    }
    Reply::Json(200, json!({}))
}
