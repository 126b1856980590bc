//! Two fifths of many large jobs are cancelled at once. Checks that each entry host goes on answering.

use std::path::Path;
use std::process::exit;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform_standin::sample_config;
use platform_standin::PlatformSimulator;
use platform_standin::SAMPLE_HOST;
use review_standin::has_trouble;
use review_standin::relay::start_relays;
use review_standin::request;
use review_standin::wait_until;
use review_standin::EntryHost;
use review_standin::Record;
use review_standin::BROKEN;
use review_standin::HELD;
use review_standin::NOT_RUN;
use serde_json::json;

/// The time budget of a consumer's request.
const BUDGET: Duration = Duration::from_secs(3);

/// `max-fds` of an entry host.
const DESCRIPTORS: u32 = 4_100;

/// Channels that an executor serves.
const CHANNELS: usize = 64;

const ENTRY_HOSTS: u8 = 3;
const EXECUTORS: usize = 40;
/// Consumers at each entry host, each of which asks for a state five times a second.
const CONSUMERS: usize = 8;

const JOBS: usize = 40;
const CANCELLED_JOBS: usize = 16;
const TASKS: usize = 700;

/// What a task asks for, in thousandths of a core, of the 64 cores of an executor.
const TASK_CPU: u64 = 80;

/// Time after the cancelling after which all must be calm again.
const CALM: Duration = Duration::from_secs(12);

/// For how long the entry hosts are watched after that.
const WATCH: Duration = Duration::from_secs(10);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, program, directory, record] = arguments.as_slice() else {
        exit(NOT_RUN);
    };
    let record = Record::create(Path::new(record)).expect("record");
    let code = run(Path::new(program), Path::new(directory), &record);
    record.line(&format!("exit {code}"));
    exit(code);
}

fn run(program: &Path, directory: &Path, record: &Record) -> i32 {
    let names: Vec<String> = (1..=EXECUTORS)
        .map(|number| format!("m-{number}"))
        .collect();
    let hosts: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), "grading", 64_000))
        .collect();
    let platform = PlatformSimulator::start(&hosts).expect("platform");
    publish_relays(&platform);
    let text = sample_config(1, "/photos/").to_string();
    platform.state().write_row("op", "config", text.as_bytes());
    let start = |number| {
        EntryHost::start(
            program,
            directory,
            number,
            platform.table(),
            platform.hosts(),
            DESCRIPTORS,
        )
    };
    let mut entries: Vec<_> = (1..=ENTRY_HOSTS)
        .map(|number| start(number).expect("entry"))
        .collect();
    let is_ready = |entry: &EntryHost| {
        request(entry.readiness(), "GET", "x", "/v1/readyz", "", BUDGET).status == 200
    };
    if !wait_until(Duration::from_secs(15), || entries.iter().all(is_ready)) {
        record.line("the entry hosts are not ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(2));
    let ids: Vec<String> = (0..JOBS)
        .map(|number| format!("{:016x}", 0x5c0e_7a21 + number * 7_919))
        .collect();
    let spec = json!({ "ms": 600_000, "cpu": TASK_CPU }).to_string();
    let step = json!({ "count": TASKS, "cpu": TASK_CPU, "mem-mb": 60, "estimate-ms": 60_000 });
    let body = json!({ "spec": spec, "phases": [step] }).to_string();
    for (number, id) in ids.iter().enumerate() {
        let entry = &entries[number % entries.len()];
        let answer = request(
            entry.callers(),
            "POST",
            SAMPLE_HOST,
            &format!("/photos/{id}"),
            &body,
            BUDGET,
        );
        record.line(&format!("POST {id} at {} -> {}", entry.name, answer.status));
        thread::sleep(Duration::from_millis(250));
    }
    let running = || -> usize {
        names
            .iter()
            .map(|name| platform.state().running_tasks(name))
            .sum()
    };
    if !wait_until(Duration::from_secs(30), || running() == JOBS * TASKS) {
        record.line(&format!("{} tasks run, not all", running()));
        return NOT_RUN;
    }
    let leader = || platform.state().lease_holder().unwrap_or_default();
    record.line(&format!("{} tasks run; leader {}", running(), leader()));
    let is_over = AtomicBool::new(false);
    let most: Vec<_> = entries.iter().map(|_| AtomicUsize::new(0)).collect();
    thread::scope(|scope| {
        scope.spawn(|| {
            while !is_over.load(Ordering::Relaxed) {
                for (entry, most) in entries.iter().zip(&most) {
                    most.fetch_max(entry.descriptors(), Ordering::Relaxed);
                }
                thread::sleep(Duration::from_millis(5));
            }
        });
        for entry in &entries {
            let (callers, readiness) = (entry.callers(), entry.readiness());
            let (is_over, ids) = (&is_over, &ids);
            // The platform's readiness check, once a second.
            scope.spawn(move || {
                while !is_over.load(Ordering::Relaxed) {
                    request(
                        readiness,
                        "GET",
                        "x",
                        "/v1/readyz",
                        "",
                        Duration::from_secs(1),
                    );
                    thread::sleep(Duration::from_secs(1));
                }
            });
            // Consumers ask for the state of their jobs.
            for first in 0..CONSUMERS {
                scope.spawn(move || {
                    for id in ids.iter().cycle().skip(first) {
                        if is_over.load(Ordering::Relaxed) {
                            return;
                        }
                        request(
                            callers,
                            "GET",
                            SAMPLE_HOST,
                            &format!("/photos/{id}"),
                            "",
                            BUDGET,
                        );
                        thread::sleep(Duration::from_millis(200));
                    }
                });
            }
        }
        if has_trouble() {
            thread::scope(|cancels| {
                for (number, id) in ids.iter().take(CANCELLED_JOBS).enumerate() {
                    let entry = &entries[number % entries.len()];
                    let (address, name) = (entry.callers(), &entry.name);
                    cancels.spawn(move || {
                        let path = format!("/photos/{id}");
                        let answer = request(address, "DELETE", SAMPLE_HOST, &path, "", BUDGET);
                        record.line(&format!("DELETE {id} at {name} -> {}", answer.status));
                    });
                }
            });
        }
        for _ in 0..CALM.as_secs() {
            thread::sleep(Duration::from_secs(1));
            let states: Vec<_> = entries
                .iter()
                .map(|entry| {
                    let (descriptors, ticks) = (entry.descriptors(), entry.processor_ticks());
                    format!(
                        "{}: {descriptors} descriptors, {} ms of processor time;",
                        entry.name,
                        ticks * 10
                    )
                })
                .collect();
            record.line(&format!(
                "{} tasks run; leader {}; {}",
                running(),
                leader(),
                states.join(" ")
            ));
        }
        is_over.store(true, Ordering::Relaxed);
    });
    for (entry, most) in entries.iter().zip(&most) {
        record.line(&format!(
            "{}: {} descriptors at most",
            entry.name,
            most.load(Ordering::Relaxed)
        ));
    }
    // Nothing has been asked of the entry hosts for a while but what follows.
    let before: Vec<_> = entries.iter().map(EntryHost::processor_ticks).collect();
    let mut answers = vec![0; entries.len()];
    let mut asked = vec![0; entries.len()];
    let until = Instant::now() + WATCH;
    while Instant::now() < until {
        thread::sleep(Duration::from_millis(500));
        for ((entry, answers), asked) in entries.iter().zip(&mut answers).zip(&mut asked) {
            *asked += 2;
            let ready = request(entry.readiness(), "GET", "x", "/v1/readyz", "", BUDGET);
            let path = format!("/photos/{}", ids[JOBS - 1]);
            let state = request(entry.callers(), "GET", SAMPLE_HOST, &path, "", BUDGET);
            *answers += usize::from(ready.status > 0) + usize::from(state.status > 0);
        }
    }
    let mut code = HELD;
    for (((entry, before), answers), asked) in
        entries.iter_mut().zip(before).zip(answers).zip(asked)
    {
        let ticks = entry.processor_ticks() - before;
        let is_alive = entry.is_alive();
        let is_hung = !is_alive || answers == 0;
        record.line(&format!(
            "{}: alive {is_alive}, {answers} of {asked} requests answered, {} ms of processor time meanwhile{}",
            entry.name,
            ticks * 10,
            if is_hung { ": BROKEN" } else { "" }
        ));
        if is_hung {
            code = BROKEN;
        }
    }
    code
}

/// Puts a relay that keeps to an executor's channels in front of each executor.
fn publish_relays(platform: &PlatformSimulator) {
    let mut state = platform.state();
    let ids: Vec<_> = state.workers.keys().cloned().collect();
    let entries: Vec<_> = ids
        .iter()
        .filter_map(|id| state.read_row("servers", id))
        .collect();
    let targets = entries
        .iter()
        .filter_map(|entry| entry["addr"].as_str()?.parse().ok())
        .collect();
    let relays = start_relays(targets, CHANNELS);
    for ((id, mut entry), relay) in ids.iter().zip(entries).zip(relays) {
        entry["addr"] = json!(relay);
        state.write_row("servers", id, entry.to_string().as_bytes());
    }
}
