//! Executors and machines as the pages describe them, over the project's stand-in of the store.
//!
//! An executor reads the duration of a task from the job's `spec`: `{"ms":300}`, and `{"ms":null}` for one that
//! lasts. With `"crash-ms"`, the task crashes its executor that long after its start.

use std::collections::BTreeMap;
use std::io;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use platform_standin::PlatformSimulator;
use platform_standin::RowKey;
use serde_json::json;
use serde_json::Value;

use crate::fleet::Record;
use crate::http_server::HttpServer;
use crate::http_server::Request;

/// The bounds that concern executors, in ms.
const BEAT_MS: u64 = 1_500;
const HOLD_MAX_MS: u64 = 10_000;
const GANG_MS: u64 = 3_000;
const MAX_WAIT_MS: u64 = 2_000;

/// The memory of each executor, in MB.
const MEMORY_MB: u64 = 64_000;

/// The ends that an answer lists at most.
const MAX_ENDS: usize = 500;

/// One run of a task on one executor. Times are in ms since the start of the world.
#[derive(Clone, Debug)]
pub struct Run {
    pub task: String,
    pub run: u64,
    pub executor: String,
    pub cpu: u64,
    pub started_ms: u64,
    pub end: Option<(u64, &'static str)>,
    work_ms: Option<u64>,
    crash_ms: Option<u64>,
}

/// One life of a machine.
struct Executor {
    server: Arc<HttpServer>,
    born_ms: u64,
    is_alive: bool,
    ended_ms: u64,
    has_entry: bool,
    seq: u64,
    fence: u64,
    lease_ms: u64,
    rejected: BTreeMap<String, u64>,
    ends: Vec<(u64, usize)>,
    next_end: u64,
}

struct Machine {
    name: String,
    cpu: u64,
    executor: Option<String>,
    lives: u64,
    /// When the next life begins; `None` while it is up or if it is lost for good.
    back_ms: Option<u64>,
}

/// All that the executors know.
pub struct WorldState {
    pub service: String,
    pub runs: Vec<Run>,
    /// The number of tasks of each gang, by `ID.K.STEP`.
    pub gangs: BTreeMap<String, usize>,
    /// How long a machine is down after a task has crashed its executor, in ms.
    pub crash_down_ms: u64,
    /// The crashes by tasks: the task and when.
    pub crashes: Vec<(String, u64)>,
    machines: Vec<Machine>,
    executors: BTreeMap<String, Executor>,
    platform: Arc<PlatformSimulator>,
    record: Record,
    started: Instant,
}

/// The executors and the list of machines.
pub struct World {
    state: Arc<Mutex<WorldState>>,
    /// Serves the list of machines.
    pub cloud: HttpServer,
}

impl World {
    /// Starts machines of one pool, each with this CPU in thousandths of a core.
    pub fn start(
        platform: &Arc<PlatformSimulator>,
        record: &Record,
        service: &str,
        machines: &[u64],
    ) -> io::Result<Self> {
        let machines = machines.iter().enumerate().map(|(number, cpu)| Machine {
            name: format!("m-{}", number + 1),
            cpu: *cpu,
            executor: None,
            lives: 0,
            back_ms: Some(0),
        });
        let state = Arc::new(Mutex::new(WorldState {
            service: service.to_owned(),
            runs: Vec::new(),
            gangs: BTreeMap::new(),
            crash_down_ms: 3_000,
            crashes: Vec::new(),
            machines: machines.collect(),
            executors: BTreeMap::new(),
            platform: Arc::clone(platform),
            record: record.clone(),
            started: Instant::now(),
        }));
        let list = Arc::clone(&state);
        let cloud = HttpServer::start(Arc::new(move |request| {
            Some(list.lock().unwrap().answer_cloud(request))
        }))?;
        advance(&state);
        let ticking = Arc::clone(&state);
        thread::spawn(move || loop {
            advance(&ticking);
            sleep(Duration::from_millis(4));
        });
        Ok(Self { state, cloud })
    }

    /// Locks the state.
    pub fn state(&self) -> MutexGuard<'_, WorldState> {
        self.state.lock().unwrap()
    }
}

/// Advances the world to the present time.
fn advance(world: &Arc<Mutex<WorldState>>) {
    let mut state = world.lock().unwrap();
    state.advance();
    let now_ms = state.now_ms();
    for number in 0..state.machines.len() {
        let machine = &state.machines[number];
        if machine.back_ms.is_some_and(|back_ms| back_ms <= now_ms) {
            state.begin_life(number, world);
        }
    }
}

impl WorldState {
    /// Returns the time since the start of the world, in ms.
    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns the CPU in use and the CPU of all executors that are up.
    pub fn cpu(&self) -> (u64, u64) {
        let used = self.runs.iter().filter(|run| run.end.is_none());
        let up = self
            .machines
            .iter()
            .filter(|machine| machine.executor.is_some());
        (
            used.map(|run| run.cpu).sum(),
            up.map(|machine| machine.cpu).sum(),
        )
    }

    /// Returns the runs of a job.
    pub fn runs_of<'a>(&'a self, job: &'a str) -> impl Iterator<Item = &'a Run> {
        self.runs
            .iter()
            .filter(move |run| run.task.starts_with(job))
    }

    /// Records all runs.
    pub fn record_runs(&self) {
        for run in &self.runs {
            self.record.line(&format!(
                "run {} run-id={} executor={} started={} end={:?}",
                run.task, run.run, run.executor, run.started_ms, run.end
            ));
        }
    }

    /// Crashes the executor of a machine. The machine is back after `down_ms`, or never.
    pub fn crash_machine(&mut self, machine: &str, down_ms: Option<u64>) {
        let now_ms = self.now_ms();
        let Some(entry) = self.machines.iter_mut().find(|entry| entry.name == machine) else {
            return;
        };
        let Some(id) = entry.executor.take() else {
            return;
        };
        entry.back_ms = down_ms.map(|down_ms| now_ms + down_ms);
        self.record
            .line(&format!("executor {id} crashes; down for {down_ms:?} ms"));
        if let Some(executor) = self.executors.get_mut(&id) {
            executor.is_alive = false;
            executor.ended_ms = now_ms;
            executor.server.close();
        }
        let lost: Vec<_> = self.running_on(&id).collect();
        for index in lost {
            self.runs[index].end = Some((now_ms, "lost"));
            self.break_gang(index);
        }
    }

    /// Fails all that runs on an executor, which goes on after that.
    pub fn fail_runs(&mut self, executor: &str) {
        let failed: Vec<_> = self.running_on(executor).collect();
        self.record.line(&format!(
            "executor {executor} fails its {} runs",
            failed.len()
        ));
        for index in &failed {
            self.end_run(*index, "failed");
        }
        for index in failed {
            self.break_gang(index);
        }
    }

    /// Returns the machine of an executor.
    pub fn machine_of(&self, executor: &str) -> Option<String> {
        let mut machines = self.machines.iter();
        let machine = machines.find(|one| one.executor.as_deref() == Some(executor));
        machine.map(|machine| machine.name.clone())
    }

    fn running_on<'a>(&'a self, id: &'a str) -> impl Iterator<Item = usize> + 'a {
        let runs = self.runs.iter().enumerate();
        let running = runs.filter(move |(_, run)| run.executor == id && run.end.is_none());
        running.map(|(index, _)| index)
    }

    fn begin_life(&mut self, number: usize, world: &Arc<Mutex<WorldState>>) {
        let now_ms = self.now_ms();
        let machine = &mut self.machines[number];
        machine.back_ms = None;
        machine.lives += 1;
        let id = format!("x{}-{}", machine.name, machine.lives);
        machine.executor = Some(id.clone());
        let (shared, own) = (Arc::clone(world), id.clone());
        let server = HttpServer::start(Arc::new(move |request| {
            answer_executor(&shared, &own, request)
        }));
        let server = Arc::new(server.unwrap());
        let executor = Executor {
            server,
            born_ms: now_ms,
            is_alive: true,
            ended_ms: 0,
            has_entry: false,
            seq: 0,
            fence: 0,
            lease_ms: 0,
            rejected: BTreeMap::new(),
            ends: Vec::new(),
            next_end: 1,
        };
        self.record.line(&format!("executor {id} starts"));
        self.executors.insert(id, executor);
    }

    fn advance(&mut self) {
        let now_ms = self.now_ms();
        let ids: Vec<_> = self.executors.keys().cloned().collect();
        for id in ids {
            self.beat(&id, now_ms);
            let executor = &self.executors[&id];
            if !executor.is_alive {
                continue;
            }
            let is_lapsed = now_ms > executor.lease_ms;
            let running: Vec<_> = self.running_on(&id).collect();
            for index in running {
                let run = &self.runs[index];
                let age_ms = now_ms - run.started_ms;
                if run.crash_ms.is_some_and(|crash_ms| age_ms >= crash_ms) {
                    let (task, down_ms) = (run.task.clone(), self.crash_down_ms);
                    self.crashes.push((task, now_ms));
                    if let Some(machine) = self.machine_of(&id) {
                        self.crash_machine(&machine, Some(down_ms));
                    }
                    break;
                }
                if is_lapsed {
                    self.end_run(index, "lapsed");
                    self.break_gang(index);
                } else {
                    self.advance_run(index, now_ms);
                }
            }
        }
    }

    fn advance_run(&mut self, index: usize, now_ms: u64) {
        let run = &self.runs[index];
        if run.end.is_some() {
            return;
        }
        let mut work_started_ms = run.started_ms;
        if let Some(count) = self.gangs.get(step_of(&run.task)) {
            let members = self.members(index);
            if members.len() < *count {
                if now_ms >= run.started_ms + GANG_MS {
                    self.end_run(index, "alone");
                }
                return;
            }
            let starts = members.iter().map(|member| self.runs[*member].started_ms);
            work_started_ms = starts.max().unwrap_or(work_started_ms);
        }
        if run
            .work_ms
            .is_some_and(|work_ms| now_ms >= work_started_ms + work_ms)
        {
            match self.gangs.contains_key(step_of(&run.task)) {
                true => {
                    for member in self.members(index) {
                        self.end_run(member, "done");
                    }
                }
                false => self.end_run(index, "done"),
            }
        }
    }

    /// Returns the runs at work that belong to the gang run of a run.
    fn members(&self, index: usize) -> Vec<usize> {
        let own = &self.runs[index];
        let runs = self.runs.iter().enumerate();
        let same = runs.filter(|(_, run)| {
            run.end.is_none() && run.run == own.run && step_of(&run.task) == step_of(&own.task)
        });
        same.map(|(index, _)| index).collect()
    }

    /// Ends the other members of a gang whose run has ended.
    fn break_gang(&mut self, index: usize) {
        if !self.gangs.contains_key(step_of(&self.runs[index].task)) {
            return;
        }
        for member in self.members(index) {
            self.end_run(member, "broken");
        }
    }

    fn end_run(&mut self, index: usize, how: &'static str) {
        let now_ms = self.now_ms();
        let run = &mut self.runs[index];
        if run.end.is_some() {
            return;
        }
        run.end = Some((now_ms, how));
        let (task, number) = (run.task.clone(), run.run);
        if let Some(executor) = self.executors.get_mut(&run.executor) {
            let rejected = executor.rejected.entry(task).or_default();
            *rejected = number.max(*rejected);
            executor.ends.push((executor.next_end, index));
            executor.next_end += 1;
        }
    }

    /// Writes the executor's entry about every `BEAT_MS`; it is gone three of them after a crash.
    fn beat(&mut self, id: &str, now_ms: u64) {
        let machine = self
            .machines
            .iter()
            .find(|one| one.executor.as_deref() == Some(id));
        let cpu = machine.map_or(0, |machine| machine.cpu);
        let service = self.service.clone();
        let Some(executor) = self.executors.get_mut(id) else {
            return;
        };
        if !executor.is_alive {
            if executor.has_entry && now_ms > executor.ended_ms + 3 * BEAT_MS {
                executor.has_entry = false;
                let key = RowKey {
                    table: "servers".to_owned(),
                    part: String::new(),
                    key: id.to_owned(),
                };
                self.platform.state().table.transact(&[], &[], &[key]);
            }
            return;
        }
        if now_ms < executor.born_ms + executor.seq * BEAT_MS {
            return;
        }
        executor.seq += 1;
        executor.has_entry = true;
        let entry = json!({
            "service": service,
            "addr": executor.server.address.to_string(),
            "zone": "hall-a", "version": "v1", "slots": 8, "state": "ready", "cold-left-ms": 0,
            "capacity": { "cpu": cpu, "mem-mb": MEMORY_MB },
            "labels": ["a", "r1-1"],
            "seq": executor.seq,
        });
        let mut platform = self.platform.state();
        platform.write_row("servers", id, entry.to_string().as_bytes());
    }

    fn answer_cloud(&mut self, request: &Request) -> (u16, Value) {
        if request.method != "GET" {
            self.record
                .line(&format!("order {} {}", request.path, request.body));
            return (409, json!({ "reason": "busy" }));
        }
        let machines = self.machines.iter().map(|machine| {
            let mut entry = json!({
                "machine": machine.name, "pool": self.service, "zone": "hall-a", "labels": ["a", "r1-1"],
                "capacity": { "cpu": machine.cpu, "mem-mb": MEMORY_MB },
                "state": if machine.executor.is_some() { "up" } else { "down" },
            });
            if let Some(id) = &machine.executor {
                entry["id"] = json!(id);
            }
            entry
        });
        (200, json!({ "machines": machines.collect::<Vec<_>>() }))
    }

    fn start_run(&mut self, id: &str, body: &Value, clock_ms: u64) -> (u16, Value) {
        let now_ms = self.now_ms();
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run-id"].as_u64().unwrap_or(0);
        let deadline_ms = body["deadline-ms"].as_u64().unwrap_or(0);
        let spec: Value =
            serde_json::from_str(body["spec"].as_str().unwrap_or("")).unwrap_or(Value::Null);
        let machine = self
            .machines
            .iter()
            .find(|one| one.executor.as_deref() == Some(id));
        let room = machine.map_or(0, |machine| machine.cpu);
        let used: u64 = self.running_on(id).map(|index| self.runs[index].cpu).sum();
        let refusal = |reason: &str| (409, json!({ "clock-ms": clock_ms, "reason": reason }));
        let is_running = self.running_on(id).any(|index| {
            let run = &self.runs[index];
            run.task == task && run.run == number
        });
        let is_active = self
            .running_on(id)
            .any(|index| self.runs[index].task == task);
        let Some(executor) = self.executors.get_mut(id) else {
            return (421, json!({}));
        };
        if body["fence-token"].as_u64().unwrap_or(0) < executor.fence {
            return refusal("fence");
        }
        executor.fence = body["fence-token"].as_u64().unwrap_or(0);
        let lease_ms = executor.born_ms + deadline_ms.min(clock_ms + HOLD_MAX_MS);
        if lease_ms <= now_ms {
            return refusal("late");
        }
        executor.lease_ms = executor.lease_ms.max(lease_ms);
        if is_running {
            return (200, json!({ "clock-ms": clock_ms }));
        }
        if is_active || number <= executor.rejected.get(&task).copied().unwrap_or(0) {
            return refusal("old");
        }
        let cpu = spec["cpu"].as_u64().unwrap_or(0);
        if used + cpu > room {
            return refusal("room");
        }
        self.runs.push(Run {
            task,
            run: number,
            executor: id.to_owned(),
            cpu,
            started_ms: now_ms,
            end: None,
            work_ms: spec["ms"].as_u64(),
            crash_ms: spec["crash-ms"].as_u64(),
        });
        (200, json!({ "clock-ms": clock_ms }))
    }

    fn stop_run(&mut self, id: &str, body: &Value, clock_ms: u64) -> (u16, Value) {
        let task = body["task"].as_str().unwrap_or_default().to_owned();
        let number = body["run-id"].as_u64().unwrap_or(0);
        let Some(executor) = self.executors.get_mut(id) else {
            return (421, json!({}));
        };
        if body["fence-token"].as_u64().unwrap_or(0) < executor.fence {
            return (409, json!({ "clock-ms": clock_ms, "reason": "fence" }));
        }
        executor.fence = body["fence-token"].as_u64().unwrap_or(0);
        let rejected = executor.rejected.entry(task.clone()).or_default();
        *rejected = number.max(*rejected);
        let running: Vec<_> = self.running_on(id).collect();
        for index in running {
            if self.runs[index].task == task && self.runs[index].run == number {
                self.end_run(index, "stopped");
                self.break_gang(index);
            }
        }
        (200, json!({ "clock-ms": clock_ms }))
    }

    /// Takes a call of `hold`. Returns the refusal, if it has a lower fence number.
    fn take_hold(&mut self, id: &str, body: &Value, clock_ms: u64) -> Option<(u16, Value)> {
        let executor = self.executors.get_mut(id)?;
        if body["fence-token"].as_u64().unwrap_or(0) < executor.fence {
            return Some((409, json!({ "clock-ms": clock_ms, "reason": "fence" })));
        }
        executor.fence = body["fence-token"].as_u64().unwrap_or(0);
        if let Some(deadline_ms) = body["deadline-ms"].as_u64() {
            let lease_ms = executor.born_ms + deadline_ms.min(clock_ms + HOLD_MAX_MS);
            executor.lease_ms = executor.lease_ms.max(lease_ms);
        }
        let last_seen = body["last-seen"].as_u64().unwrap_or(0);
        executor.ends.retain(|(number, _)| *number > last_seen);
        None
    }

    fn report(&self, id: &str, clock_ms: u64) -> (u16, Value) {
        let running = self.running_on(id).map(|index| {
            let run = &self.runs[index];
            json!([run.task, run.run, "", 100, run.cpu])
        });
        let running: Vec<_> = running.collect();
        let ends = self.executors[id]
            .ends
            .iter()
            .take(MAX_ENDS)
            .map(|(number, index)| {
                let run = &self.runs[*index];
                json!([
                    number,
                    run.task,
                    run.run,
                    run.end.map_or("", |(_, how)| how),
                    ""
                ])
            });
        let ends: Vec<_> = ends.collect();
        (
            200,
            json!({ "clock-ms": clock_ms, "running": running, "finished": ends }),
        )
    }
}

/// Returns `ID.K.STEP` of a task.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

fn answer_executor(
    world: &Arc<Mutex<WorldState>>,
    id: &str,
    request: &Request,
) -> Option<(u16, Value)> {
    let mut state = world.lock().unwrap();
    state.advance();
    let is_alive = state
        .executors
        .get(id)
        .is_some_and(|executor| executor.is_alive);
    if !is_alive {
        return None;
    }
    let clock_ms = state.now_ms() - state.executors[id].born_ms;
    if request
        .expected_instance
        .as_deref()
        .is_some_and(|expected| expected != id)
    {
        return Some((421, json!({ "clock-ms": clock_ms })));
    }
    match request.path.as_str() {
        "/v1/run-start" => Some(state.start_run(id, &request.body, clock_ms)),
        "/v1/run-stop" => Some(state.stop_run(id, &request.body, clock_ms)),
        "/v1/hold" => {
            if let Some(refusal) = state.take_hold(id, &request.body, clock_ms) {
                return Some(refusal);
            }
            let wait_ms = request.body["wait-ms"]
                .as_u64()
                .unwrap_or(0)
                .min(MAX_WAIT_MS);
            let until = Instant::now() + Duration::from_millis(wait_ms);
            loop {
                let executor = state
                    .executors
                    .get(id)
                    .filter(|executor| executor.is_alive)?;
                let clock_ms = state.now_ms() - executor.born_ms;
                if !executor.ends.is_empty() || Instant::now() >= until {
                    return Some(state.report(id, clock_ms));
                }
                drop(state);
                sleep(Duration::from_millis(4));
                state = world.lock().unwrap();
            }
        }
        "/healthz" => Some((200, json!({}))),
        _ => Some((404, json!({}))),
    }
}
