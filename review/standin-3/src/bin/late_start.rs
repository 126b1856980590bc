//! Orders are carried out late by executors that have started again under their ids meanwhile.

use std::path::Path;
use std::process::exit;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use platform_standin::sample_config;
use platform_standin::PlatformSimulator;
use platform_standin::RunEnd;
use platform_standin::TaskRun;
use platform_standin::SAMPLE_HOST;
use review_standin::has_trouble;
use review_standin::order_relay::OrderRelay;
use review_standin::order_relay::RelayFaults;
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

const DESCRIPTORS: u32 = 4_100;
const ENTRY_HOSTS: u8 = 3;
const EXECUTORS: usize = 4;

/// Tasks of each job, and how long each works, in ms.
const TASKS: usize = 4;
const WORK_MS: u64 = 500;

/// How late an order is carried out: 2 to 12 s.
const DELAY: Duration = Duration::from_secs(8);

/// For how long an executor that crashed is down.
const DOWN: Duration = Duration::from_secs(3);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, program, directory, record] = arguments.as_slice() else {
        exit(NOT_RUN);
    };
    let record = Arc::new(Record::create(Path::new(record)).expect("record"));
    let code = run(Path::new(program), Path::new(directory), &record);
    record.line(&format!("exit {code}"));
    exit(code);
}

fn run(program: &Path, directory: &Path, record: &Arc<Record>) -> i32 {
    let names: Vec<String> = (1..=EXECUTORS)
        .map(|number| format!("m-{number}"))
        .collect();
    let hosts: Vec<_> = names
        .iter()
        .map(|name| (name.as_str(), "grading", 64_000))
        .collect();
    let platform = PlatformSimulator::start(&hosts).expect("platform");
    platform.state().state_incarnation_starts();
    let faults = Arc::new(RelayFaults {
        held_starts: AtomicUsize::new(0),
        delay: DELAY,
        record: Arc::clone(record),
    });
    let ids: Vec<String> = platform.state().workers.keys().cloned().collect();
    let mut relays = Vec::new();
    for id in &ids {
        let entry = platform.state().read_row("servers", id).expect("entry");
        let target = entry["addr"]
            .as_str()
            .and_then(|text| text.parse().ok())
            .expect("address");
        relays.push(OrderRelay::start(id, target, Arc::clone(&faults)).expect("relay"));
    }
    let publish = |number: usize| {
        let mut state = platform.state();
        state.publish_worker(&ids[number]);
        let mut entry = state.read_row("servers", &ids[number]).expect("entry");
        entry["addr"] = json!(relays[number].address);
        state.write_row("servers", &ids[number], entry.to_string().as_bytes());
    };
    (0..EXECUTORS).for_each(publish);
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
    let entries: Vec<_> = (1..=ENTRY_HOSTS)
        .map(|number| start(number).expect("entry host"))
        .collect();
    let is_ready = |entry: &EntryHost| {
        request(entry.readiness(), "GET", "x", "/v1/readyz", "", BUDGET).status == 200
    };
    if !wait_until(Duration::from_secs(15), || entries.iter().all(is_ready)) {
        record.line("the entry hosts are not ready");
        return NOT_RUN;
    }
    thread::sleep(Duration::from_secs(3));
    let spec = json!({ "ms": WORK_MS, "cpu": 1_000 }).to_string();
    let step = json!({ "count": TASKS, "cpu": 1_000, "mem-mb": 100, "estimate-ms": WORK_MS });
    let body = json!({ "spec": spec, "phases": [step] }).to_string();
    let submit = |id: &str| -> bool {
        let path = format!("/photos/{id}");
        let answer = request(
            entries[0].callers(),
            "POST",
            SAMPLE_HOST,
            &path,
            &body,
            BUDGET,
        );
        record.line(&format!("POST {id} -> {}", answer.status));
        let mut last = String::new();
        wait_until(Duration::from_secs(10), || {
            let answer = request(entries[1].callers(), "GET", SAMPLE_HOST, &path, "", BUDGET);
            if answer.body != last {
                record.line(&format!("GET {id} -> {} {}", answer.status, answer.body));
                last.clone_from(&answer.body);
            }
            answer.body.contains("complete")
        })
    };
    if !submit("00000000000000a1") {
        return NOT_RUN;
    }
    if has_trouble() {
        faults.held_starts.store(TASKS, Ordering::SeqCst);
    }
    if !submit("00000000000000a2") {
        return NOT_RUN;
    }
    if has_trouble() {
        // The ends are acknowledged by now: the job is shown as complete.
        thread::sleep(Duration::from_millis(500));
        let used = |number: &usize| {
            let state = platform.state();
            let runs = &state.workers[&ids[*number]].runs;
            runs.iter()
                .any(|run| run.task.starts_with("00000000000000a2"))
        };
        let crashed: Vec<usize> = (0..EXECUTORS).filter(used).collect();
        for &number in &crashed {
            record.line(&format!("{} crashes", ids[number]));
            relays[number].set_down(true);
        }
        thread::sleep(DOWN);
        for &number in &crashed {
            platform.state().restart_worker(&ids[number]);
            relays[number].set_down(false);
            publish(number);
            record.line(&format!("{} has started again", ids[number]));
        }
    }
    thread::sleep(DELAY + Duration::from_secs(4));
    let runs: Vec<TaskRun> = {
        let state = platform.state();
        state
            .workers
            .values()
            .flat_map(|worker| worker.runs.clone())
            .collect()
    };
    let mut code = HELD;
    for run in &runs {
        record.line(&format!(
            "task {} run {} started at {} ms of the platform, ended {:?}",
            run.task, run.run, run.started_ms, run.end
        ));
        let done_before = runs.iter().any(|other| {
            let is_done = matches!(other.end, Some((at, RunEnd::Done)) if at < run.started_ms);
            other.task == run.task && is_done
        });
        if done_before {
            record.line(&format!(
                "BROKEN: {} was started after it was done",
                run.task
            ));
            code = BROKEN;
        }
    }
    code
}
