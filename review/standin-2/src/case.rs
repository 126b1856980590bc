//! The cases: what consumers send, the disruption, and when to judge.

use std::collections::BTreeSet;
use std::fs;
use std::process::ExitCode;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::sleep;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::entries::end_after;
use crate::entries::Entry;
use crate::fleet::unix_ms;
use crate::fleet::Fleet;
use crate::fleet::Job;
use crate::fleet::Pool;
use crate::fleet::Queue;
use crate::fleet::Step;
use crate::http::send;
use crate::http::serve;
use crate::http::Request;
use crate::table::Table;

const HOST: &str = "jobs.example";
const ENTRIES: usize = 3;
const CALL_TIME: Duration = Duration::from_secs(3);
const RETRIES: u32 = 6;
/// Large jobs a second, evenly and in a queue's turn; the length of a turn and how much of it has jobs.
const EVEN_PER_S: f64 = 6.0;
const PEAK_PER_S: f64 = 10.0;
const TURN_S: f64 = 4.5;
const PEAK_SHARE: f64 = 0.6;
const TURNS_TIME_S: f64 = 70.0;
/// How many times as long as estimated the task of the long job takes.
const LONGER: u64 = 6;
/// `memory-mb` of the site's entry hosts, and how many scheduled jobs are handed in.
const MEMORY_MB: u64 = 260;
const SCHEDULED_JOBS: u32 = 200;
/// The limit on a whole run.
const MAX_TIME: Duration = Duration::from_secs(115);
/// The time after the end of the traffic after which no job may be idle: `finish_s`.
const FINISH_TIME: Duration = Duration::from_secs(14);

/// A small random number generator.
pub struct Draw(u64);

impl Draw {
    pub fn next(&mut self, below: u64) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        (self.0 >> 16) % below.max(1)
    }
}

/// The deployment of a case while it runs.
pub struct Stage {
    pub fleet: Fleet,
    pub entries: Vec<Entry>,
    pub draw: Draw,
    pub has_trouble: bool,
    is_over: Arc<AtomicBool>,
}

fn config(version: u64, pools: &[Pool], queues: &[Queue]) -> serde_json::Value {
    let routes = queues.iter().map(|queue| {
        json!({
            "name": queue.name, "host": HOST, "prefix": queue.prefix, "type": "mutating",
            "timeout-ms": 3_000, "slo-ms": 600, "priority": queue.priority,
            "service": pools[queue.pool].name, "attempts": queue.attempts, "stretch": 1.6,
        })
    });
    let services = pools.iter().map(|pool| {
        json!({
            "name": pool.name, "health-path": "/healthz", "max-conns": 64, "protocol": "h1",
            "tls": false, "rejects-overload": pool.guards, "standby": pool.standby,
        })
    });
    json!({
        "version": version, "routes": routes.collect::<Vec<_>>(),
        "services": services.collect::<Vec<_>>(),
        "limits": {
            "max-header-bytes": 16_384, "max-body-bytes": 262_144,
            "header-timeout-ms": 3_000, "idle-timeout-ms": 15_000,
        },
    })
}

impl Stage {
    /// Starts platform, executors and entry hosts; `None` if they don't get ready.
    fn start(
        directory: &std::path::Path,
        pools: &[Pool],
        queues: &[Queue],
        machines: &[(usize, String, u64)],
    ) -> Option<Self> {
        let table = Table::new();
        table.put("op", "config", &config(7, pools, queues));
        let shared = Arc::clone(&table);
        let address = serve(Arc::new(move |request: &Request| shared.handle(request)));
        let fleet = Fleet::start(&table, pools.to_vec(), queues.to_vec(), machines);
        let entries: Vec<_> = (1..=ENTRIES)
            .map(|number| Entry::start(directory, number, address, fleet.hosts))
            .collect();
        let limit = Duration::from_secs(15);
        if !entries.iter().all(|entry| entry.wait_ready(limit)) {
            return None;
        }
        // As on the platform, traffic starts some seconds after the entry hosts.
        sleep(Duration::from_secs(6));
        let seed = std::env::var("SEED")
            .ok()
            .and_then(|seed| seed.parse().ok());
        let seed = seed.unwrap_or_else(unix_ms);
        fleet.lock().log(format!("seed {seed}"));
        let stage = Self {
            fleet,
            entries,
            draw: Draw(seed.wrapping_mul(0x9E37_79B9_7F4A_7C15) | 1),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
            is_over: Arc::default(),
        };
        stage.poll_states();
        Some(stage)
    }

    /// Asks for the states of all jobs again and again.
    fn poll_states(&self) {
        let (fleet, is_over) = (self.fleet.clone(), Arc::clone(&self.is_over));
        let callers: Vec<_> = self.entries.iter().map(|entry| entry.callers).collect();
        thread::spawn(move || {
            let mut turn = 0;
            while !is_over.load(Ordering::Relaxed) {
                let open: Vec<_> = {
                    let world = fleet.lock();
                    let jobs = world.jobs.iter();
                    let jobs = jobs.filter(|(_, job)| is_open(job));
                    jobs.map(|(id, job)| (id.clone(), world.queues[job.queue].prefix.clone()))
                        .collect()
                };
                for (id, prefix) in open {
                    turn += 1;
                    let caller = callers[turn % callers.len()];
                    let path = format!("{prefix}{id}");
                    let answer = send(caller, HOST, "GET", &path, None, CALL_TIME);
                    let state = match &answer {
                        Some((200, body)) => body["state"].as_str().unwrap_or_default().to_owned(),
                        Some((410, _)) => "410".to_owned(),
                        _ => continue,
                    };
                    fleet.lock().record_state(&id, &state);
                }
                sleep(Duration::from_millis(200));
            }
        });
    }

    /// Hands a job in, at one entry host after the other until it is accepted. Returns its id.
    pub fn submit(&mut self, job: Job) -> String {
        let id = format!(
            "{:08x}{:08x}",
            self.draw.next(1 << 32),
            self.draw.next(1 << 32)
        );
        let body = job.body();
        let prefix = {
            let mut world = self.fleet.lock();
            world.log(format!("send  {id} {body}"));
            world.jobs.insert(id.clone(), job.clone());
            world.queues[job.queue].prefix.clone()
        };
        let path = format!("{prefix}{id}");
        for _ in 0..RETRIES {
            let number = self.draw.next(self.entries.len() as u64) as usize;
            let caller = self.entries[number].callers;
            let answer = send(caller, HOST, "POST", &path, Some(&body), CALL_TIME);
            let status = answer.map_or(0, |(status, _)| status);
            let mut world = self.fleet.lock();
            world.log(format!("answer {id} {status}"));
            if (200..300).contains(&status) {
                if let Some(job) = world.jobs.get_mut(&id) {
                    job.accepted = true;
                }
                break;
            }
            drop(world);
            sleep(Duration::from_millis(300));
        }
        id
    }

    /// Watches for 3 s which accepted jobs have nothing running although most of the pool is idle.
    fn judge_idle_jobs(&self) {
        let mut idle: BTreeSet<String> = {
            let world = self.fleet.lock();
            let open = world.jobs.iter().filter(|(_, job)| is_open(job));
            open.map(|(id, _)| id.clone()).collect()
        };
        for _ in 0..35 {
            let world = self.fleet.lock();
            idle.retain(|id| {
                let pool = world.queues[world.jobs[id].queue].pool;
                world.machines_of(id).is_empty() && world.used_percent(pool) < 50
            });
            drop(world);
            sleep(Duration::from_millis(100));
        }
        for id in idle {
            self.fleet.lock().record_idle(&id);
        }
    }

    /// Waits until all accepted jobs have ended, for `limit` at most.
    pub fn wait_for_ends(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        while Instant::now() < deadline {
            let has_open = {
                let world = self.fleet.lock();
                let mut jobs = world.jobs.values();
                jobs.any(is_open)
            };
            if !has_open {
                return;
            }
            sleep(Duration::from_millis(200));
        }
    }
}

/// Returns whether a job was accepted, is due and is not shown as ended.
fn is_open(job: &Job) -> bool {
    job.accepted
        && job.first_ms <= unix_ms()
        && !["complete", "failed", "aborted"].contains(&job.state.as_str())
}

fn pool(name: &str) -> Pool {
    Pool {
        name: name.to_owned(),
        guards: true,
        standby: false,
    }
}

fn queue(name: &str, pool: usize, attempts: u32) -> Queue {
    Queue {
        name: format!("r-{name}"),
        prefix: format!("/{name}/"),
        pool,
        attempts,
        priority: 0,
    }
}

/// Machines of one pool with 64 cores each, four a rack.
fn machines(pool: usize, count: usize) -> Vec<(usize, String, u64)> {
    (0..count)
        .map(|number| (pool, format!("r{pool}-{}", number / 4), 64_000))
        .collect()
}

/// A scheduled job with overlapping occurrences, while one rack of executors is lost for some seconds.
fn run_timed_crash(stage: &mut Stage) {
    let step = Step {
        count: 1,
        cpu: 40_000,
        mem_mb: 4_000,
        work_ms: 2_000,
        ..Step::default()
    };
    let first_ms = unix_ms() + 2_500;
    let id = stage.submit(Job {
        queue: 0,
        spec: "nightly".to_owned(),
        steps: vec![step],
        times: 6,
        first_ms,
        interval_ms: 150,
        ..Job::default()
    });
    sleep(Duration::from_millis(
        first_ms.saturating_sub(unix_ms()) + 750,
    ));
    if stage.has_trouble {
        let mut world = stage.fleet.lock();
        let rack = world.busiest_rack(&id);
        world.log(format!("rack {rack} is lost for 6.3 s"));
        for number in world.rack_machines(&rack) {
            world.crash(number, Duration::from_millis(6_300));
        }
    }
    stage.wait_for_ends(Duration::from_secs(40));
}

/// Gangs that fit on one executor, while one of twelve executors fails all that it starts.
fn run_gang_failures(stage: &mut Stage) {
    let started = Instant::now();
    for number in 0..80 {
        if number == 15 && stage.has_trouble {
            let mut world = stage.fleet.lock();
            let up = world.up_machines(0);
            let machine = up[stage.draw.next(up.len() as u64) as usize];
            world.machines[machine].failing_until =
                Some(Instant::now() + Duration::from_millis(6_500));
            let name = world.machines[machine].name.clone();
            world.log(format!("{name} fails all that it starts for 6.5 s"));
        }
        let step = Step {
            count: 6,
            cpu: 9_000,
            mem_mb: 4_000,
            work_ms: 1_500,
            gang: true,
            ..Step::default()
        };
        stage.submit(Job {
            queue: 0,
            spec: format!("gang {number}"),
            steps: vec![step],
            ..Job::default()
        });
        // At a fixed rate, so that all executors are in use however long a call takes.
        let next = started + Duration::from_millis(100) * (number + 1);
        sleep(next.saturating_duration_since(Instant::now()));
    }
    stage.wait_for_ends(Duration::from_secs(40));
}

/// Small gangs all the time, beside large jobs of two queues: evenly, or of one queue at a time.
fn run_gang_turns(stage: &mut Stage) {
    let started = Instant::now();
    let mut next_large = 0.0;
    let mut number = 0;
    loop {
        let at = started.elapsed().as_secs_f64();
        if at >= TURNS_TIME_S {
            break;
        }
        number += 1;
        let step = Step {
            count: 6,
            cpu: 3_500,
            mem_mb: 3_600,
            work_ms: 800,
            gang: true,
            max_per_server: 1,
            ..Step::default()
        };
        stage.submit(Job {
            queue: number % 2,
            spec: format!("gang {number}"),
            steps: vec![step],
            ..Job::default()
        });
        while at >= next_large {
            let turn = match stage.has_trouble {
                true => next_large / TURN_S,
                false => next_large * EVEN_PER_S,
            };
            let is_peak = turn.fract() < PEAK_SHARE;
            if !stage.has_trouble || is_peak {
                let step = Step {
                    count: 8,
                    cpu: 7_700,
                    mem_mb: 11_000,
                    work_ms: 2_100,
                    ..Step::default()
                };
                stage.submit(Job {
                    queue: turn as usize % 2,
                    spec: format!("large {number}"),
                    steps: vec![step],
                    ..Job::default()
                });
            }
            next_large += match stage.has_trouble {
                true => 1.0 / PEAK_PER_S,
                false => 1.0 / EVEN_PER_S,
            };
        }
        sleep(Duration::from_millis(30));
    }
    stage.wait_for_ends(Duration::from_secs(20));
}

/// Scheduled jobs of which none is due, and some others after them.
fn run_scheduled_jobs(stage: &mut Stage) {
    for (number, entry) in stage.entries.iter().enumerate() {
        let fleet = stage.fleet.clone();
        entry.limit_memory(MEMORY_MB, move |taken_mb| {
            let line = format!("entry host {number} takes {taken_mb} MB and is ended");
            fleet.lock().log(line);
        });
    }
    let step = |count: u32| Step {
        count,
        cpu: 3_500,
        mem_mb: 3_600,
        work_ms: 800,
        ..Step::default()
    };
    let first_ms = unix_ms() + 3_600_000;
    for number in 0..SCHEDULED_JOBS {
        stage.submit(Job {
            queue: 0,
            spec: format!("scheduled {number}"),
            steps: vec![step(1)],
            times: if stage.has_trouble { 7_000 } else { 7 },
            first_ms,
            interval_ms: 60_000,
            ..Job::default()
        });
        sleep(Duration::from_millis(10));
    }
    for number in 0..6 {
        stage.submit(Job {
            queue: 0,
            spec: format!("usual {number}"),
            steps: vec![
                step(6),
                Step {
                    after: vec![0],
                    ..step(6)
                },
            ],
            ..Job::default()
        });
    }
    stage.wait_for_ends(FINISH_TIME);
    stage.judge_idle_jobs();
}

/// One job whose task takes several times as long as the others, and gangs after it on an idle pool.
fn run_long_job(stage: &mut Stage) {
    let step = |count: u32, longer: u64, gang: bool| Step {
        count,
        cpu: 3_500,
        mem_mb: 3_600,
        work_ms: 800,
        longer,
        gang,
        ..Step::default()
    };
    let job = |text: String, step: Step| Job {
        queue: 0,
        spec: text,
        steps: vec![step],
        ..Job::default()
    };
    for number in 0..40 {
        stage.submit(job(format!("usual {number}"), step(6, 1, false)));
        sleep(Duration::from_millis(100));
    }
    if stage.has_trouble {
        stage.submit(job("long".to_owned(), step(1, LONGER, false)));
    }
    sleep(Duration::from_secs(30));
    for number in 0..3 {
        stage.submit(job(format!("gang {number}"), step(12, 1, true)));
    }
    stage.wait_for_ends(FINISH_TIME);
    stage.judge_idle_jobs();
}

/// Runs a case. Returns 1 if its rule was broken, 0 if not, and 2 if it couldn't run.
pub fn run(name: &str, record: &str) -> ExitCode {
    let (rule, count, play): (&str, usize, fn(&mut Stage)) = match name {
        "scheduled-jobs" => ("LOST", 8, run_scheduled_jobs),
        "long-job" => ("LOST", 8, run_long_job),
        "timed-crash" => ("LOST", 8, run_timed_crash),
        "gang-failures" => ("LOST", 12, run_gang_failures),
        "gang-turns" => ("GANG", 8, run_gang_turns),
        _ => {
            eprintln!("no case {name}");
            return ExitCode::from(2);
        }
    };
    let mut pools = vec![pool("fieldapp"), pool("reports")];
    let queues = [queue("grade", 0, 4), queue("report", 1, 4)];
    let mut machines = machines(0, count);
    machines.extend(self::machines(1, 9));
    if name == "gang-turns" {
        pools.push(Pool {
            standby: true,
            ..pool("backoffice")
        });
        machines.extend(self::machines(2, 8));
    }
    let directory = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if fs::create_dir_all(&directory).is_err() {
        return ExitCode::from(2);
    }
    end_after(MAX_TIME);
    let code = match Stage::start(&directory, &pools, &queues, &machines) {
        None => {
            eprintln!("the entry hosts did not get ready");
            2
        }
        Some(mut stage) => {
            play(&mut stage);
            stage.is_over.store(true, Ordering::Relaxed);
            let Stage { fleet, entries, .. } = stage;
            drop(entries);
            judge(rule, &fleet, record)
        }
    };
    let _ = fs::remove_dir_all(&directory);
    ExitCode::from(code)
}

fn judge(rule: &str, fleet: &Fleet, record: &str) -> u8 {
    let mut world = fleet.lock();
    let states = |state: &str| world.jobs.values().filter(|job| job.state == state).count();
    let accepted = world.jobs.values().filter(|job| job.accepted).count();
    let summary = format!(
        "jobs {}, accepted {accepted}, complete {}, failed {}; rules broken: {}",
        world.jobs.len(),
        states("complete"),
        states("failed"),
        world.violations.len()
    );
    world.log(summary.clone());
    println!("{summary}");
    for violation in &world.violations {
        println!("{violation}");
    }
    if fs::write(record, world.lines.join("\n") + "\n").is_err() {
        return 2;
    }
    if accepted == 0 {
        return 2;
    }
    let prefix = format!("{rule}:");
    u8::from(
        world
            .violations
            .iter()
            .any(|line| line.starts_with(&prefix)),
    )
}
