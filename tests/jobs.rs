//! End-to-end tests of jobs on workers with real processes and injected faults.

mod common;

use std::collections::BTreeMap;
use std::fmt::Write as _;

use serde_json::json;
use serde_json::Value;

use crate::common::call;
use crate::common::try_call;
use crate::common::wait_for;
use crate::common::worker_text;
use crate::common::HttpResponse;
use crate::common::TestSystem;
use crate::common::TOKEN;

const TWO_DAEMONS: [(&str, &str); 2] = [("entry-1", "east"), ("entry-2", "east")];
/// A time in the year 2096, so that no job is late.
const DEADLINE_MS: u64 = 4_000_000_000_000;

fn start() -> TestSystem {
    TestSystem::start_ready(&worker_text(), "1", &TWO_DAEMONS)
}

/// A repeatable job of one core that runs for `run_ms`.
fn job(kind: &str, run_ms: u64) -> Value {
    json!({
        "team": "bays",
        "service": "notices",
        "kind": kind,
        "size": { "cores_milli": 1_000, "memory_mb": 512, "accelerators": 0 },
        "run_ms": run_ms,
        "deadline_ms": DEADLINE_MS,
        "repeatable": true,
        "work": json!({ "run_ms": run_ms }).to_string(),
    })
}

fn with_field(mut job: Value, key: &str, value: Value) -> Value {
    job[key] = value;
    job
}

/// Sets the size of a job to all cores of a worker.
fn with_full_worker_size(job: Value) -> Value {
    let size = json!({ "cores_milli": 4_000, "memory_mb": 512, "accelerators": 0 });
    with_field(job, "size", size)
}

fn submit_at(system: &TestSystem, daemon: usize, key: &str, job: &Value) -> Option<HttpResponse> {
    let headers = [("idempotency-key", key)];
    let to = system.daemons[daemon].callers;
    try_call(to, "POST", "/zincpier/jobs", &headers, &job.to_string())
}

fn submit(system: &TestSystem, key: &str, job: &Value) -> String {
    let answer = submit_at(system, key.len() % 2, key, job).unwrap();
    assert_eq!(answer.status, 202, "{answer:?}");
    answer.json()["id"].as_str().unwrap().to_owned()
}

fn show(system: &TestSystem, id: &str) -> Option<Value> {
    let daemon = system.daemons.last().unwrap();
    let answer = try_call(
        daemon.callers,
        "GET",
        &format!("/zincpier/jobs/{id}"),
        &[],
        "",
    )?;
    (answer.status == 200).then(|| answer.json())
}

fn state(system: &TestSystem, id: &str) -> String {
    show(system, id).map_or_else(String::new, |job| job["state"].as_str().unwrap().to_owned())
}

fn wait_for_state(system: &TestSystem, id: &str, expected: &str) {
    wait_for(&format!("{id} is {expected}"), || {
        state(system, id).starts_with(expected)
    });
}

fn cancel(system: &TestSystem, ids: &[String]) -> HttpResponse {
    let request = json!({ "jobs": ids }).to_string();
    let to = system.daemons[0].callers;
    call(to, "POST", "/zincpier/jobs/cancel", &[], &request)
}

/// Number of runs of each job that the platform has started.
fn starts(system: &TestSystem) -> BTreeMap<String, usize> {
    let tasks = call(system.platform, "GET", "/tasks/starts", &[], "").json();
    let mut starts = BTreeMap::new();
    for task in tasks.as_array().unwrap() {
        let (job, _) = task.as_str().unwrap().rsplit_once('.').unwrap();
        *starts.entry(job.to_owned()).or_default() += 1;
    }
    starts
}

fn start_wave(system: &TestSystem) -> String {
    let headers = [("zincpier-token", TOKEN), ("zincpier-who", "tester")];
    let to = system.daemons[0].operators;
    let request = json!({ "scope": "pool:workers" }).to_string();
    let answer = call(to, "POST", "/wave/start", &headers, &request);
    assert_eq!(answer.status, 200, "{answer:?}");
    answer.json()["id"].as_str().unwrap().to_owned()
}

fn wave(system: &TestSystem, id: &str) -> Value {
    let waves = call(system.daemons[0].operators, "GET", "/waves", &[], "").json();
    let mut waves = waves.as_array().unwrap().iter();
    waves.find(|wave| wave["id"] == id).unwrap().clone()
}

/// Index of the daemon that holds the controller's lease.
fn lease_holder(system: &TestSystem) -> usize {
    let request = json!({ "keys": ["lease/controller"] }).to_string();
    let rows = call(system.platform, "POST", "/table/read", &[], &request).json();
    usize::from(rows[0]["value"]["holder"] != "entry-1")
}

/// Guards against a second job when a submission is repeated through another daemon, and against
/// wrong statuses or details in the answers to callers.
#[test]
fn callers_submit_show_and_cancel_a_job() {
    let system = start();
    let mut transcript = String::new();
    let mut record = |action: &str, answer: &HttpResponse| {
        let body = answer.json();
        let detail = [&body["state"], &body["detail"], &body["cancelled"]];
        let detail = detail.into_iter().find(|detail| !detail.is_null());
        writeln!(
            transcript,
            "{action}: {} {}",
            answer.status,
            detail.unwrap()
        )
        .unwrap();
    };

    let long = job("reports", 60_000);
    let first = submit_at(&system, 0, "night", &long).unwrap();
    record("submit", &first);
    let id = first.json()["id"].as_str().unwrap().to_owned();
    wait_for("the job runs", || starts(&system).contains_key(&id));
    let again = submit_at(&system, 1, "night", &long).unwrap();
    let other = submit_at(&system, 1, "night", &job("reports", 1)).unwrap();
    let keyless = call(
        system.daemons[0].callers,
        "POST",
        "/zincpier/jobs",
        &[],
        "{}",
    );
    let cancelled = cancel(&system, std::slice::from_ref(&id));
    wait_for_state(&system, &id, "cancelled");
    let repeated = cancel(&system, std::slice::from_ref(&id));
    let quick = submit(&system, "quick", &job("reports", 50));
    wait_for_state(&system, &quick, "finished");

    assert_eq!(again.json()["id"], id.as_str());
    assert_eq!(again.status, 202);
    record("submit another with the same key", &other);
    record("submit without a key", &keyless);
    assert_eq!(cancelled.json()["cancelled"], json!([id]));
    record("cancel again", &repeated);
    let path = format!("/zincpier/jobs/{quick}");
    record(
        "show",
        &call(system.daemons[1].callers, "GET", &path, &[], ""),
    );
    record(
        "show an unknown one",
        &call(
            system.daemons[1].callers,
            "GET",
            "/zincpier/jobs/none",
            &[],
            "",
        ),
    );
    assert_eq!(starts(&system), BTreeMap::from([(id, 1), (quick, 1)]));
    insta::assert_snapshot!(transcript);
}

/// Guards against jobs that never finish because an urgent job arrives while every worker is full.
#[test]
fn urgent_job_and_the_others_finish_on_full_workers() {
    let system = start();
    let long = with_full_worker_size(with_field(
        job("digests", 3_000),
        "checkpoints",
        json!(true),
    ));
    let others = (0..4)
        .map(|number| {
            let team = ["bays", "digests"][number % 2];
            let spec = with_field(long.clone(), "team", json!(team));
            submit(&system, &format!("long-{number}"), &spec)
        })
        .collect::<Vec<_>>();
    wait_for("every worker is full", || starts(&system).len() == 4);

    // Both teams use their full quotas. Cancelling one job frees quota for the urgent job.
    cancel(&system, &others[..1]);
    let urgent = with_field(job("red-tags", 100), "urgent", json!(true));
    let urgent = submit(&system, "urgent", &with_full_worker_size(urgent));
    wait_for_state(&system, &urgent, "finished");
    for id in &others[1..] {
        wait_for_state(&system, id, "finished");
    }

    assert_eq!(starts(&system)[&urgent], 1);
}

/// Guards against a second run of a job that must run at most once: its worker goes down while it
/// runs, so it is unknown how far it got.
#[test]
fn unrepeatable_job_is_unknown_after_its_worker_is_lost() {
    let system = start();
    let once = with_field(job("bills", 60_000), "repeatable", json!(false));
    let id = submit(&system, "once", &once);
    wait_for("the job runs", || starts(&system).contains_key(&id));
    let host = state(&system, &id).replace("on ", "");

    system.set_host_state(&host, "down");
    wait_for_state(&system, &id, "unknown");

    assert_eq!(starts(&system)[&id], 1);
}

/// Guards against a second run of an unrepeatable job after its task lease has lapsed, and against
/// a repeatable job that is not started again.
#[test]
fn lapsed_lease_ends_unrepeatable_job_and_repeats_the_other() {
    let system = start();
    let once = with_field(job("bills", 60_000), "repeatable", json!(false));
    let once = submit(&system, "once", &once);
    let again = submit(&system, "again", &job("reports", 1_500));
    wait_for("both jobs run", || starts(&system).len() == 2);

    system.set_platform_faults(&json!({ "end_leases": true }));
    wait_for_state(&system, &once, "unknown");
    system.set_platform_faults(&json!({}));
    wait_for_state(&system, &again, "finished");

    assert_eq!(starts(&system)[&once], 1);
    assert!(starts(&system)[&again] >= 2);
}

/// Guards against jobs that are lost or started twice when the daemon that holds the controller's
/// lease is killed.
#[test]
fn next_controller_finishes_jobs_of_a_killed_one() {
    let mut system = start();
    let once = with_field(job("bills", 3_000), "repeatable", json!(false));
    let ids = (0..6)
        .map(|number| submit(&system, &format!("once-{number}"), &once))
        .collect::<Vec<_>>();
    wait_for("a job runs", || !starts(&system).is_empty());

    let holder = lease_holder(&system);
    system.daemons[holder].process.signal("-KILL");
    system.daemons.remove(holder);
    for id in &ids {
        wait_for_state(&system, id, "finished");
    }

    assert!(starts(&system).values().all(|count| *count == 1));
}

/// Guards against second starts when the platform is down or its answers are lost, so that
/// submissions and commands are repeated.
#[test]
fn lost_answers_and_outage_start_no_job_twice() {
    let system = start();
    let once = with_field(job("bills", 100), "repeatable", json!(false));
    let mut ids = Vec::new();

    for number in 0..6 {
        let key = format!("once-{number}");
        system.set_platform_faults(&json!({ "lost_answers": 3 }));
        wait_for("the job is recorded", || {
            let answer = submit_at(&system, number % 2, &key, &once).unwrap();
            assert!([202, 503].contains(&answer.status), "{answer:?}");
            let recorded = answer.status == 202;
            ids.extend(recorded.then(|| answer.json()["id"].as_str().unwrap().to_owned()));
            recorded
        });
        system.set_platform_faults(&json!({ "outage": true }));
        let refused = submit_at(&system, 0, "refused", &once).unwrap();
        assert_eq!(refused.status, 503);
        assert_ne!(refused.header("retry-after"), "");
        system.set_platform_faults(&json!({}));
    }
    for id in &ids {
        wait_for_state(&system, id, "finished");
    }

    for id in &ids {
        assert_eq!(starts(&system)[id], 1, "{id}");
    }
}

/// Guards against giving up jobs because of a worker that fails every task, and against endless
/// repeats of a job that fails on every worker.
#[test]
fn broken_worker_and_broken_job_are_distinguished() {
    let system = start();
    system.set_platform_faults(&json!({ "bad_workers": ["k1"] }));
    let broken = with_field(
        job("broken", 20),
        "work",
        json!("{\"run_ms\":20,\"fails\":true}"),
    );
    let broken = submit(&system, "broken", &broken);
    let working = (0..30)
        .map(|number| submit(&system, &format!("sound-{number}"), &job("sound", 60)))
        .collect::<Vec<_>>();

    for id in &working {
        wait_for_state(&system, id, "finished");
    }
    wait_for_state(&system, &broken, "failed");

    let started = starts(&system);
    let repeats = working.iter().map(|id| started[id] - 1).sum::<usize>();
    // A worker is quarantined once three jobs have failed on it. By then, up to four more may have
    // been placed on it.
    assert!(
        repeats <= 7,
        "{repeats} runs repeated because of the broken worker"
    );
    // A job is not placed again on a worker where it failed, and there are four workers.
    assert!(started[&broken] <= 4);
}

/// Guards against starts of jobs that were cancelled while they waited for full workers.
#[test]
fn cancelled_jobs_are_not_started_later() {
    let system = start();
    let ids = (0..300)
        .map(|number| {
            submit(
                &system,
                &format!("many-{number}"),
                &with_full_worker_size(job("many", 60_000)),
            )
        })
        .collect::<Vec<_>>();

    let answer = cancel(&system, &ids);
    let before = starts(&system);
    let cancelled = answer.json()["cancelled"].as_array().unwrap().len();
    for id in &ids {
        wait_for(&format!("{id} has ended"), || {
            show(&system, id).is_some_and(|job| job["over"] == true)
        });
    }

    let after = starts(&system);
    assert_eq!(answer.status, 200);
    assert_eq!(cancelled, 300);
    // Starts commanded before the cancellation may still be in flight, one for each worker.
    assert!(after.len() <= before.len() + 4, "{before:?} {after:?}");
}

/// Guards against a wave that restarts a worker while a job runs on it that can neither resume nor
/// be repeated.
#[test]
fn wave_waits_for_jobs_that_cannot_move() {
    let system = start();
    let saves = with_field(job("digests", 8_000), "checkpoints", json!(true));
    let unmovable = with_field(job("bills", 9_000), "repeatable", json!(false));
    let moved = (0..4)
        .map(|number| submit(&system, &format!("saves-{number}"), &saves))
        .collect::<Vec<_>>();
    let unmovable = (0..8)
        .map(|number| submit(&system, &format!("bound-{number}"), &unmovable))
        .collect::<Vec<_>>();
    wait_for("all jobs run", || starts(&system).len() == 12);

    let id = start_wave(&system);
    wait_for("the wave says which job it waits for", || {
        let wave = wave(&system, &id);
        let reason = wave["waiting_for"].as_str().unwrap_or_default().to_owned();
        unmovable.iter().any(|job| reason.contains(job.as_str()))
    });
    for job in unmovable.iter().chain(&moved) {
        wait_for_state(&system, job, "finished");
    }
    wait_for("the wave is finished", || {
        wave(&system, &id)["state"] == "finished"
    });

    let started = starts(&system);
    assert!(unmovable.iter().all(|job| started[job] == 1), "{started:?}");
    let list = call(system.platform, "GET", "/hosts?since=0", &[], "").json();
    for host in list["hosts"].as_array().unwrap() {
        let worker = host["id"].as_str().unwrap().starts_with('k');
        assert_eq!(host["boots"], u64::from(worker), "{host}");
    }
}

/// Guards against a second job when a submission is repeated with the operators' tool, and against
/// wrong output or exit codes of the tool.
#[test]
fn operators_tool_submits_shows_and_cancels_jobs() {
    let system = start();
    let server = system.daemons[0].operators.to_string();
    let mut transcript = String::new();
    let mut run = |arguments: &[&str]| {
        let arguments = [arguments, &["--server", &server]].concat();
        let output = system.run_cli(&arguments);
        let text = [output.stdout, output.stderr].concat();
        let text = String::from_utf8(text).unwrap();
        let code = output.status.code().unwrap();
        let shown = text.replace(&server, "SERVER");
        writeln!(
            transcript,
            "$ zincpier {}\n{shown}-> {code}",
            arguments[0..2].join(" ")
        )
        .unwrap();
        text
    };
    let night = [
        "job",
        "submit",
        "--key",
        "night",
        "--team",
        "bays",
        "--service",
        "notices",
        "--kind",
        "reports",
        "--size",
        "2/1024",
        "--seconds",
        "0.1",
        "--within",
        "60",
        "--repeatable",
    ];

    let id = run(&night).trim().to_owned();
    let again = run(&night).trim().to_owned();
    run(&[&night[..2], &["--wait", "--key", "later"], &night[4..]].concat());
    run(&["job", "show", &id]);
    run(&["job", "list", "--ended"]);
    run(&["job", "cancel", &id]);
    run(&["job", "show", "none"]);
    run(&["pool"]);

    assert_eq!(again, id);
    insta::assert_snapshot!(transcript);
}
