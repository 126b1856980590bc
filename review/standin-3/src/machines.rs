//! Machines with their executors, and the platform's list of machines. An upkeep takes 2 s, and one that
//! is done already is not done again.

use std::collections::BTreeSet;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform_standin::PlatformSimulator;
use platform_standin::RowKey;
use platform_standin::StartOutcome;
use platform_standin::TaskRun;
use platform_standin::WorkerSimulator;
use serde_json::json;
use serde_json::Value;

use crate::Record;

/// `upkeep-s`.
const UPKEEP: Duration = Duration::from_secs(2);

struct Machine {
    name: String,
    address: SocketAddr,
    executor: Option<WorkerSimulator>,
    lives: u32,
    /// When the upkeep ends.
    down_until: Option<Instant>,
    done_waves: BTreeSet<u64>,
}

/// All machines of one pool, and what became of the executors that are gone.
pub struct Machines {
    pub list_address: SocketAddr,
    platform: Arc<PlatformSimulator>,
    record: Arc<Record>,
    pool: String,
    cores: u64,
    started: Instant,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    machines: Vec<Machine>,
    ended: Vec<WorkerSimulator>,
    /// Runs that an upkeep has ended, by machine and wave.
    interrupted: Vec<String>,
}

impl Machines {
    pub fn start(
        platform: Arc<PlatformSimulator>,
        record: Arc<Record>,
        pool: &str,
        count: usize,
        cores: u64,
    ) -> io::Result<Arc<Self>> {
        let list = TcpListener::bind("127.0.0.1:0")?;
        let machines = Arc::new(Self {
            list_address: list.local_addr()?,
            platform,
            record,
            pool: pool.to_owned(),
            cores,
            started: Instant::now(),
            state: Mutex::default(),
        });
        let server = Arc::clone(&machines);
        serve(list, move |request| server.answer_platform(request));
        for number in 1..=count {
            let listener = TcpListener::bind("127.0.0.1:0")?;
            let machine = Machine {
                name: format!("m-{number}"),
                address: listener.local_addr()?,
                executor: None,
                lives: 0,
                down_until: None,
                done_waves: BTreeSet::new(),
            };
            let index = number - 1;
            machines.state().machines.push(machine);
            machines.bring_up(index);
            let server = Arc::clone(&machines);
            serve(listener, move |request| {
                server.answer_executor(index, request)
            });
        }
        let ticking = Arc::clone(&machines);
        thread::spawn(move || loop {
            thread::sleep(Duration::from_millis(5));
            ticking.tick();
        });
        Ok(machines)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }

    /// Returns all runs so far, and the descriptions of those that an upkeep has ended.
    pub fn runs(&self) -> (Vec<TaskRun>, Vec<String>) {
        let state = self.state();
        let live = state
            .machines
            .iter()
            .filter_map(|machine| machine.executor.as_ref());
        let runs = state
            .ended
            .iter()
            .chain(live)
            .flat_map(|executor| executor.runs.clone());
        (runs.collect(), state.interrupted.clone())
    }

    /// Returns the numbers of the machines whose executors run tasks.
    pub fn busy_machines(&self) -> Vec<usize> {
        let state = self.state();
        let is_busy = |machine: &Machine| {
            let executor = machine.executor.as_ref();
            executor.is_some_and(|executor| executor.running().next().is_some())
        };
        let numbered = state.machines.iter().zip(1..);
        numbered
            .filter(|(machine, _)| is_busy(machine))
            .map(|(_, number)| number)
            .collect()
    }

    fn tick(&self) {
        let now_ms = self.now_ms();
        let mut due = Vec::new();
        for (index, machine) in self.state().machines.iter_mut().enumerate() {
            if let Some(executor) = &mut machine.executor {
                executor.advance(now_ms);
            }
            if machine
                .down_until
                .is_some_and(|until| Instant::now() >= until)
            {
                due.push(index);
            }
        }
        due.into_iter().for_each(|index| self.bring_up(index));
    }

    /// Starts the machine's next executor, and lets it register.
    fn bring_up(&self, index: usize) {
        let mut state = self.state();
        let machine = &mut state.machines[index];
        machine.down_until = None;
        machine.lives += 1;
        let id = format!("i-{}-{}", machine.name, machine.lives);
        let executor = WorkerSimulator::new(&id, &machine.name, &self.pool, self.cores);
        machine.executor = Some(executor);
        let entry = json!({
            "service": self.pool, "addr": machine.address, "zone": "hall-a", "version": "v1", "slots": 8,
            "state": "ready", "cold-left-ms": 0, "seq": 1, "labels": ["a", format!("r{}-1", index / 4)],
            "capacity": { "cpu": self.cores, "mem-mb": 131_072, "gpu": 0 },
        });
        drop(state);
        self.record.line(&format!("{id} has registered"));
        self.platform
            .state()
            .write_row("servers", &id, entry.to_string().as_bytes());
    }

    fn answer_platform(&self, request: &Message) -> (u16, Value) {
        if request.method == "GET" {
            let state = self.state();
            let list = state.machines.iter().map(|machine| {
                json!({
                    "machine": machine.name, "pool": self.pool, "zone": "hall-a", "labels": ["a", "r1-1"],
                    "state": if machine.down_until.is_some() { "upkeep" } else { "up" },
                    "capacity": { "cpu": self.cores, "mem-mb": 131_072, "gpu": 0 },
                    "id": machine.executor.as_ref().map(|executor| executor.id.clone()),
                })
            });
            let list = list.collect::<Vec<_>>();
            drop(state);
            return (200, json!({ "machines": list, "next-token": "" }));
        }
        if request.path != "/v1/machine-upkeep" {
            return (400, json!({}));
        }
        self.begin_upkeep(request)
    }

    fn begin_upkeep(&self, request: &Message) -> (u16, Value) {
        let now_ms = self.now_ms();
        let name = request.body["machine"]
            .as_str()
            .unwrap_or_default()
            .to_owned();
        let wave = request.body["wave"].as_u64().unwrap_or(0);
        let holder = request.header("x-lease-holder");
        let order = self
            .platform
            .state()
            .read_row("op", &format!("wave/{wave}"));
        let mut state = self.state();
        let State {
            machines,
            ended,
            interrupted,
        } = &mut *state;
        let Some(machine) = machines.iter_mut().find(|machine| machine.name == name) else {
            return (400, json!({}));
        };
        let is_due = order.is_some_and(|order| {
            let names = order["machines"].as_array().cloned().unwrap_or_default();
            names.iter().any(|one| *one == json!(name))
        });
        if !is_due {
            return (409, json!({ "reason": "wave" }));
        }
        if machine.done_waves.contains(&wave) {
            return (200, json!({}));
        }
        if machine.down_until.is_some() {
            return (409, json!({ "reason": "busy" }));
        }
        machine.done_waves.insert(wave);
        machine.down_until = Some(Instant::now() + UPKEEP);
        let Some(mut executor) = machine.executor.take() else {
            return (200, json!({}));
        };
        executor.advance(now_ms);
        let running: Vec<_> = executor
            .running()
            .map(|run| format!("{} run {}", run.task, run.run))
            .collect();
        executor.terminate(now_ms);
        let id = executor.id.clone();
        ended.push(executor);
        self.record.line(&format!(
            "upkeep of {name} for wave {wave}, ordered by {holder}: {id} ends with {} runs {running:?}",
            running.len()
        ));
        interrupted.extend(
            running
                .into_iter()
                .map(|run| format!("{run} on {id}, wave {wave}")),
        );
        drop(state);
        let row = RowKey {
            table: "servers".to_owned(),
            part: String::new(),
            key: id,
        };
        self.platform.state().table.transact(&[], &[], &[row]);
        (200, json!({}))
    }

    fn answer_executor(&self, index: usize, request: &Message) -> (u16, Value) {
        let wait_ms = request.body["wait-ms"].as_u64().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            let answer = self.call_executor(index, request, Instant::now() >= until);
            if let Some(answer) = answer {
                return answer;
            }
            thread::sleep(Duration::from_millis(3));
        }
    }

    fn call_executor(
        &self,
        index: usize,
        request: &Message,
        is_late: bool,
    ) -> Option<(u16, Value)> {
        let now_ms = self.now_ms();
        let mut state = self.state();
        let expected = request.header("x-expect-instance");
        let executor = state.machines[index].executor.as_mut();
        let Some(executor) = executor.filter(|executor| executor.id == expected) else {
            return Some((421, json!({})));
        };
        executor.advance(now_ms);
        let body = &request.body;
        let number = |name: &str| body[name].as_u64().unwrap_or(0);
        let task = body["task"].as_str().unwrap_or_default();
        let lease = executor.platform_ms(number("deadline-ms"));
        let fence = number("fence-token");
        let clock = json!({ "clock-ms": executor.clock_ms(now_ms) });
        let refuse = |reason: &str| (409, json!({ "clock-ms": now_ms, "reason": reason }));
        Some(match request.path.as_str() {
            "/v1/run-start" => {
                let spec = body["spec"].as_str().unwrap_or_default();
                let spec: Value = serde_json::from_str(spec).unwrap_or(Value::Null);
                let run = TaskRun {
                    task: task.to_owned(),
                    run: number("run-id"),
                    cpu_millis: spec["cpu"].as_u64().unwrap_or(0),
                    started_ms: now_ms,
                    work_ms: spec["ms"].as_u64(),
                    end: None,
                };
                match executor.start(run, lease, fence, now_ms) {
                    StartOutcome::Started => (200, clock),
                    StartOutcome::Fenced => refuse("fence"),
                    StartOutcome::Old => refuse("old"),
                    StartOutcome::Late => refuse("late"),
                    StartOutcome::NoRoom => refuse("room"),
                }
            }
            "/v1/run-stop" => match executor.stop(task, number("run-id"), fence, now_ms) {
                true => (200, clock),
                false => refuse("fence"),
            },
            "/v1/hold" => {
                let lease = body["deadline-ms"].as_u64().map(|_| lease);
                if !executor.renew_lease(lease, number("last-seen"), fence, now_ms) {
                    return Some(refuse("fence"));
                }
                if !is_late && executor.reported_ends().next().is_none() {
                    return None;
                }
                let running = executor.running();
                let running: Vec<_> = running
                    .map(|run| json!([run.task, run.run, "", 100, run.cpu_millis]))
                    .collect();
                let ends = executor.reported_ends();
                let ends: Vec<_> = ends
                    .map(|(number, run)| {
                        let how = run.end.map_or("", |(_, end)| end.as_str());
                        json!([number, run.task, run.run, how, ""])
                    })
                    .collect();
                (
                    200,
                    json!({ "clock-ms": now_ms, "running": running, "finished": ends }),
                )
            }
            _ => (404, json!({})),
        })
    }
}

/// A request with a JSON body.
pub struct Message {
    pub method: String,
    pub path: String,
    pub body: Value,
    head: String,
}

impl Message {
    fn header(&self, name: &str) -> String {
        let value = self.head.lines().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name)
                .then(|| value.trim().to_owned())
        });
        value.unwrap_or_default()
    }
}

/// Serves each channel of a listener on a thread of its own.
fn serve<F>(listener: TcpListener, answer: F)
where
    F: Fn(&Message) -> (u16, Value) + Send + Sync + 'static,
{
    let answer = Arc::new(answer);
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let answer = Arc::clone(&answer);
            thread::spawn(move || serve_channel(client, answer.as_ref()));
        }
    });
}

fn serve_channel(mut client: TcpStream, answer: &dyn Fn(&Message) -> (u16, Value)) {
    let _ = client.set_nodelay(true);
    let mut received = Vec::new();
    while let Some(request) = read_request(&mut client, &mut received) {
        let (status, body) = answer(&request);
        let body = body.to_string();
        let text = format!(
            "HTTP/1.1 {status} Status\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        if client.write_all(text.as_bytes()).is_err() {
            return;
        }
    }
}

fn read_request(client: &mut TcpStream, received: &mut Vec<u8>) -> Option<Message> {
    let mut buffer = [0; 8192];
    loop {
        let end = received.windows(4).position(|window| window == b"\r\n\r\n");
        if let Some(end) = end {
            let head = String::from_utf8_lossy(&received[..end]).into_owned();
            let length = head.lines().find_map(|line| {
                let (name, value) = line.split_once(':')?;
                let is_length = name.eq_ignore_ascii_case("content-length");
                is_length.then(|| value.trim().parse::<usize>().ok())?
            });
            let total = end + 4 + length.unwrap_or(0);
            if received.len() >= total {
                let body = serde_json::from_slice(&received[end + 4..total]).unwrap_or(Value::Null);
                received.drain(..total);
                let mut words = head.split_whitespace();
                let method = words.next().unwrap_or_default().to_owned();
                let path = words.next().unwrap_or_default().to_owned();
                return Some(Message {
                    method,
                    path,
                    body,
                    head,
                });
            }
        }
        let count = client.read(&mut buffer).ok()?;
        if count == 0 {
            return None;
        }
        received.extend_from_slice(&buffer[..count]);
    }
}
