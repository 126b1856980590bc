//! Machines are due for upkeep in several waves. No task fails and no executor crashes, so no job may be
//! shown as failed.

use std::collections::BTreeMap;
use std::path::Path;
use std::process::exit;
use std::sync::Arc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use platform_standin::sample_config;
use platform_standin::PlatformSimulator;
use platform_standin::SAMPLE_HOST;
use review_standin::has_trouble;
use review_standin::machines::Machines;
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
const MACHINES: usize = 8;
const CORES: u64 = 16_000;

/// How long a task works, in ms.
const WORK_MS: u64 = 400;

/// For how long jobs are handed in, and how often.
const TRAFFIC: Duration = Duration::from_secs(35);
const JOB_PAUSE: Duration = Duration::from_millis(100);

/// The waves: how many, when the first, the time from one to the next, machines of each, machines down at once, deadline.
const WAVES: u64 = 8;
const FIRST_WAVE: Duration = Duration::from_secs(4);
const WAVE_PAUSE: Duration = Duration::from_millis(100);
const WAVE_MACHINES: usize = 4;
const WAVE_CAP: usize = 4;
const WAVE_DEADLINE_S: u64 = 26;

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
    let platform = Arc::new(PlatformSimulator::start(&[]).expect("platform"));
    let machines = Machines::start(
        Arc::clone(&platform),
        Arc::clone(record),
        "grading",
        MACHINES,
        CORES,
    );
    let machines = machines.expect("machines");
    let text = sample_config(1, "/photos/").to_string();
    platform.state().write_row("op", "config", text.as_bytes());
    let start = |number| {
        let hosts = machines.list_address;
        EntryHost::start(
            program,
            directory,
            number,
            platform.table(),
            hosts,
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
    // The machines outside the waves have work of their own, so that the others are used as they return.
    for number in 0..MACHINES - WAVE_MACHINES {
        let id = format!("{:016x}", 0xb057_0000 + number);
        let spec = json!({ "ms": 600_000, "cpu": CORES }).to_string();
        let step = json!({ "count": 1, "cpu": CORES, "mem-mb": 100, "estimate-ms": 600_000 });
        let body = json!({ "spec": spec, "phases": [step] }).to_string();
        let path = format!("/photos/{id}");
        let answer = request(
            entries[0].callers(),
            "POST",
            SAMPLE_HOST,
            &path,
            &body,
            BUDGET,
        );
        record.line(&format!("POST {id}: a task of 600 s -> {}", answer.status));
    }
    thread::sleep(Duration::from_secs(1));
    let busy = machines.busy_machines();
    record.line(&format!("machines with work of their own: {busy:?}"));
    let mut accepted = Vec::new();
    let began = Instant::now();
    let mut waves = 0;
    let mut number: u64 = 0;
    while began.elapsed() < TRAFFIC {
        if has_trouble()
            && waves < WAVES
            && began.elapsed() >= FIRST_WAVE + WAVE_PAUSE * waves as u32
        {
            waves += 1;
            let due: Vec<_> = (1..=MACHINES)
                .filter(|number| !busy.contains(number))
                .map(|number| format!("m-{number}"))
                .collect();
            let order = json!({ "wave": waves, "machines": due, "deadline-s": WAVE_DEADLINE_S, "cap": WAVE_CAP });
            record.line(&format!("op/wave/{waves} {order}"));
            let mut state = platform.state();
            state.write_row("op", &format!("wave/{waves}"), order.to_string().as_bytes());
        }
        number += 1;
        let id = format!("{:016x}", 0xf1e1_d000 + number);
        let spec = json!({ "ms": WORK_MS, "cpu": CORES }).to_string();
        let step = json!({ "count": 1, "cpu": CORES, "mem-mb": 100, "estimate-ms": WORK_MS });
        let body = json!({ "spec": spec, "phases": [step] }).to_string();
        let entry = &entries[number as usize % entries.len()];
        let path = format!("/photos/{id}");
        let answer = request(entry.callers(), "POST", SAMPLE_HOST, &path, &body, BUDGET);
        record.line(&format!(
            "POST {id}: a task of {WORK_MS} ms -> {}",
            answer.status
        ));
        if answer.status == 200 {
            accepted.push(id);
        }
        thread::sleep(JOB_PAUSE);
    }
    let mut states = BTreeMap::new();
    let is_over = wait_until(Duration::from_secs(30), || {
        for id in &accepted {
            let known: Option<&String> = states.get(id);
            if known.is_some_and(|state| state.contains("complete") || state.contains("failed")) {
                continue;
            }
            let path = format!("/photos/{id}");
            let answer = request(entries[0].callers(), "GET", SAMPLE_HOST, &path, "", BUDGET);
            states.insert(id.clone(), format!("{} {}", answer.status, answer.body));
        }
        let ended = |state: &String| state.contains("complete") || state.contains("failed");
        states.values().all(ended)
    });
    record.line(&format!(
        "{} jobs accepted; all have ended: {is_over}",
        accepted.len()
    ));
    let (runs, interrupted) = machines.runs();
    record.line(&format!(
        "{} runs; an upkeep has ended {} of them",
        runs.len(),
        interrupted.len()
    ));
    for run in &interrupted {
        record.line(&format!("ended by an upkeep: {run}"));
    }
    let mut code = HELD;
    for (id, state) in states.iter().filter(|(_, state)| state.contains("failed")) {
        record.line(&format!(
            "BROKEN: {id} is shown as {state}; no run has ended as failed"
        ));
        for run in runs.iter().filter(|run| run.task.starts_with(id.as_str())) {
            record.line(&format!(
                "  {} run {} from {} ms, end {:?}",
                run.task, run.run, run.started_ms, run.end
            ));
        }
        code = BROKEN;
    }
    code
}
