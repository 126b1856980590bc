//! End-to-end tests of maintenance waves with real processes and injected faults.

mod common;

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use serde_json::json;
use serde_json::Value;

use crate::common::call;
use crate::common::try_call;
use crate::common::wait_for;
use crate::common::wave_text;
use crate::common::TestSystem;
use crate::common::TOKEN;

const TWO_DAEMONS: [(&str, &str); 2] = [("entry-1", "east"), ("entry-2", "west")];
const THREE_DAEMONS: [(&str, &str); 3] = [
    ("entry-1", "east"),
    ("entry-2", "west"),
    ("entry-3", "east"),
];
const NOTICES: &str = "pool:notices-pool";

/// Sends an operator's request to a daemon.
fn post_as_operator(system: &TestSystem, daemon: usize, path: &str, body: &Value) -> (u16, Value) {
    let headers = [("zincpier-token", TOKEN), ("zincpier-who", "tester")];
    let to = system.daemons[daemon].operators;
    let answer = call(to, "POST", path, &headers, &body.to_string());
    (answer.status, answer.json())
}

fn start_wave(system: &TestSystem, scope: &str) -> String {
    let (status, wave) = post_as_operator(system, 0, "/wave/start", &json!({ "scope": scope }));
    assert_eq!(status, 200, "{wave}");
    wave["id"].as_str().unwrap().to_owned()
}

fn wave(system: &TestSystem, daemon: usize, id: &str) -> Option<Value> {
    let answer = try_call(system.daemons[daemon].operators, "GET", "/waves", &[], "")?;
    let waves = serde_json::from_str::<Value>(&answer.body).ok()?;
    waves
        .as_array()?
        .iter()
        .find(|wave| wave["id"] == id)
        .cloned()
}

fn wait_for_state(system: &TestSystem, daemon: usize, id: &str, state: &str) {
    wait_for(&format!("wave is {state}"), || {
        wave(system, daemon, id)
            .is_some_and(|wave| wave["state"] == state || wave["state"][state].is_string())
    });
}

/// Number of restarts of each host, as counted by the platform.
fn boots(system: &TestSystem) -> Vec<(String, u64)> {
    let list = call(system.platform, "GET", "/hosts?since=0", &[], "").json();
    let hosts = list["hosts"].as_array().unwrap().iter();
    hosts
        .map(|host| {
            (
                host["id"].as_str().unwrap().to_owned(),
                host["boots"].as_u64().unwrap(),
            )
        })
        .collect()
}

/// Hosts of the `digests` pool, whose names start with `d`, must not have restarted.
fn assert_each_notice_host_restarted_once(system: &TestSystem) {
    for (host, count) in boots(system) {
        let expected = u64::from(!host.starts_with('d'));
        assert_eq!(count, expected, "{host}");
    }
}

/// Sends requests from one thread for each entry in `daemons` until stopped. The threads return the
/// requests that got no complete answer.
fn start_requests(
    system: &TestSystem,
    daemons: &[usize],
) -> (Arc<AtomicBool>, Vec<JoinHandle<Vec<String>>>) {
    let stop = Arc::new(AtomicBool::new(false));
    let callers = daemons.iter().map(|daemon| {
        let to = system.daemons[*daemon].callers;
        let stop = Arc::clone(&stop);
        thread::spawn(move || {
            let mut failures = Vec::new();
            let mut number = 0;
            while !stop.load(Ordering::Relaxed) {
                number += 1;
                let caller = format!("caller-{number}");
                let headers = [("x-caller-id", caller.as_str())];
                let method = if number % 2 == 0 { "GET" } else { "POST" };
                match try_call(to, method, "/notices?ms=20", &headers, "") {
                    Some(answer) if answer.status == 200 && answer.json()["caller"] == caller => {}
                    answer => failures.push(format!("{method} {answer:?}")),
                }
            }
            failures
        })
    });
    let callers = callers.collect();
    (stop, callers)
}

fn stop_requests((stop, callers): (Arc<AtomicBool>, Vec<JoinHandle<Vec<String>>>)) -> Vec<String> {
    stop.store(true, Ordering::Relaxed);
    callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap())
        .collect()
}

/// The audit trail without values that differ between runs.
fn audit_transcript(system: &TestSystem, daemon: usize) -> String {
    let answer = call(system.daemons[daemon].operators, "GET", "/audit", &[], "").json();
    let mut transcript = String::new();
    for row in answer.as_array().unwrap() {
        let record = &row["value"];
        let text = |key: &str| record[key].as_str().unwrap().to_owned();
        let who = if text("who").starts_with("entry") {
            "daemon".to_owned()
        } else {
            text("who")
        };
        // The number of steps that stop and reopen a group depends on timing.
        let varies = ["wave stop hosts", "wave open hosts"].contains(&text("action").as_str());
        if varies || text("action").starts_with("member") {
            continue;
        }
        // Wave ids are `w` and the start time.
        let subject = if text("subject").starts_with("w1") {
            "wave".to_owned()
        } else {
            text("subject")
        };
        writeln!(
            transcript,
            "{who} | {} | {subject} | {} -> {} | {}",
            text("action"),
            text("before"),
            text("after"),
            text("outcome")
        )
        .unwrap();
    }
    transcript
}

/// Guards against interrupted requests and skipped or repeated restarts in a wave without faults.
#[test]
fn wave_without_faults_restarts_each_host_once_and_interrupts_no_request() {
    let system = TestSystem::start_ready(&wave_text(), "1", &THREE_DAEMONS);
    let requests = start_requests(&system, &[0, 1, 2, 0, 1, 2]);

    let id = start_wave(&system, NOTICES);
    wait_for_state(&system, 0, &id, "finished");

    let failures = stop_requests(requests);
    assert_eq!(failures, Vec::<String>::new());
    assert_each_notice_host_restarted_once(&system);
    for host in system.backends.keys() {
        assert_eq!(system.stats(host)["abandoned"], 0, "{host}");
    }
    insta::assert_snapshot!(audit_transcript(&system, 0));
}

/// Guards against a preview that stops hosts, and against wrong output or exit codes.
#[test]
fn preview_shows_steps_and_stops_nothing() {
    let system = TestSystem::start_ready(&wave_text(), "1", &[("entry-1", "east")]);
    let server = system.daemons[0].operators.to_string();

    let preview = system.run_cli(&["wave", "preview", NOTICES, "--server", &server]);
    let digests = system.run_cli(&["wave", "preview", "pool:digests-pool", "--server", &server]);
    let invalid = system.run_cli(&["wave", "preview", "planet:mars", "--server", &server]);

    let shown = [preview, digests, invalid].map(|output| {
        let lines =
            String::from_utf8(output.stdout).unwrap() + &String::from_utf8(output.stderr).unwrap();
        format!(
            "{}exit {}\n",
            lines.replace(&server, "SERVER"),
            output.status.code().unwrap()
        )
    });
    insta::assert_snapshot!(shown.join("\n"));
    assert!(boots(&system).iter().all(|(_, count)| *count == 0));
}

/// Guards against restarts after an operator has held the wave.
#[test]
fn held_wave_stops_no_host_until_resumed() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO_DAEMONS);
    let id = start_wave(&system, NOTICES);
    wait_for("a host is stopped", || {
        boots(&system).iter().any(|(_, count)| *count > 0)
    });

    let (held, _) = post_as_operator(&system, 1, &format!("/wave/{id}/hold"), &Value::Null);
    let stopped = || {
        wave(&system, 0, &id).unwrap()["stopped"]
            .as_array()
            .unwrap()
            .len()
    };
    wait_for("stopped hosts come back", || stopped() == 0);
    let before = boots(&system);
    thread::sleep(Duration::from_millis(1_500));
    let after = boots(&system);
    let (resumed, _) = post_as_operator(&system, 0, &format!("/wave/{id}/resume"), &Value::Null);
    wait_for_state(&system, 0, &id, "finished");

    assert_eq!((held, resumed), (200, 200));
    assert_eq!(before, after);
    assert_each_notice_host_restarted_once(&system);
}

/// Guards against hosts that stay closed because their wave was aborted.
#[test]
fn aborted_wave_leaves_every_host_open() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO_DAEMONS);
    let id = start_wave(&system, NOTICES);
    wait_for("a host is closed", || {
        !wave(&system, 0, &id).unwrap()["stopped"]
            .as_array()
            .unwrap()
            .is_empty()
    });

    post_as_operator(&system, 1, &format!("/wave/{id}/abort"), &Value::Null);

    wait_for("every host is open", || {
        let hosts = call(system.daemons[0].operators, "GET", "/hosts", &[], "").json();
        hosts
            .as_array()
            .unwrap()
            .iter()
            .all(|host| host["phase"] == "active" && host["condition"] == "up")
    });
    assert_eq!(wave(&system, 0, &id).unwrap()["state"], "aborted");
}

/// Guards against overlapping waves when operators start them through two daemons at the same time.
#[test]
fn concurrent_starts_by_operators_start_one_wave() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO_DAEMONS);

    for _ in 0..10 {
        let started = thread::scope(|scope| {
            let starters = (0..6).map(|number| {
                let system = &system;
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(number as u64));
                    post_as_operator(
                        system,
                        number % 2,
                        "/wave/start",
                        &json!({ "scope": NOTICES }),
                    )
                })
            });
            let starters = starters.collect::<Vec<_>>();
            let answers = starters.into_iter().map(|starter| starter.join().unwrap());
            answers
                .filter(|(status, _)| *status == 200)
                .collect::<Vec<_>>()
        });
        assert_eq!(started.len(), 1, "{started:?}");
        let id = started[0].1["id"].as_str().unwrap();
        post_as_operator(&system, 0, &format!("/wave/{id}/abort"), &Value::Null);
    }
}

/// Guards against interrupted requests: a frozen daemon may still have requests in flight to a host
/// that the wave is about to stop.
#[test]
fn frozen_daemon_blocks_the_wave_until_it_acknowledges() {
    let system = TestSystem::start_ready(&wave_text(), "1", &THREE_DAEMONS);
    system.daemons[2].process.signal("-STOP");

    let id = start_wave(&system, NOTICES);
    wait_for("the wave waits for the frozen daemon", || {
        wave(&system, 0, &id).unwrap()["waiting_for"]
            .as_str()
            .unwrap()
            .contains("entry-3")
    });
    thread::sleep(Duration::from_secs(4));
    let stopped_while_frozen = boots(&system)
        .iter()
        .filter(|(_, count)| *count > 0)
        .count();
    system.daemons[2].process.signal("-CONT");
    wait_for_state(&system, 0, &id, "finished");

    assert_eq!(stopped_while_frozen, 0);
    assert_each_notice_host_restarted_once(&system);
}

/// Guards against a wave that waits forever for a killed daemon, and against an operator's request
/// that removes a live daemon from the member set.
#[test]
fn killed_daemon_blocks_the_wave_until_it_is_forgotten() {
    let system = TestSystem::start_ready(&wave_text(), "1", &THREE_DAEMONS);
    let (early_forget, _) = post_as_operator(&system, 0, "/entry/entry-3/forget", &Value::Null);
    system.daemons[2].process.signal("-KILL");

    let id = start_wave(&system, NOTICES);
    wait_for("the daemon is lost", || {
        post_as_operator(&system, 0, "/entry/entry-3/forget", &Value::Null).0 == 200
    });
    wait_for_state(&system, 0, &id, "finished");

    assert_eq!(early_forget, 409);
    assert_each_notice_host_restarted_once(&system);
}

/// Guards against skipped or repeated restarts when the platform is down or its answers are lost.
#[test]
fn outage_and_lost_answers_only_delay_the_wave() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO_DAEMONS);
    let id = start_wave(&system, NOTICES);
    wait_for("a host is stopped", || {
        boots(&system).iter().any(|(_, count)| *count > 0)
    });

    system.set_platform_faults(&json!({ "outage": true }));
    thread::sleep(Duration::from_secs(2));
    for _ in 0..6 {
        system.set_platform_faults(&json!({ "lost_answers": 2 }));
        thread::sleep(Duration::from_millis(300));
    }
    system.set_platform_faults(&json!({}));
    wait_for_state(&system, 0, &id, "finished");

    assert_each_notice_host_restarted_once(&system);
}

/// Guards against skipped or repeated restarts when the daemon that drives the wave is killed
/// after a step.
#[test]
fn next_lease_holder_finishes_wave_of_killed_controllers() {
    let mut system = TestSystem::start_ready(&wave_text(), "1", &THREE_DAEMONS);
    let id = start_wave(&system, NOTICES);
    let steps = |system: &TestSystem| {
        audit_transcript(system, 2)
            .lines()
            .filter(|line| line.starts_with("daemon"))
            .count()
    };

    for round in 0..3 {
        let before = steps(&system);
        wait_for("a step is taken", || {
            steps(&system) > before || wave(&system, 2, &id).unwrap()["state"] == "finished"
        });
        let holder = call(
            system.platform,
            "POST",
            "/table/read",
            &[],
            r#"{"keys":["lease/controller"]}"#,
        )
        .json();
        let holder = holder[0]["value"]["holder"].as_str().unwrap().to_owned();
        let Some(index) = ["entry-1", "entry-2"]
            .iter()
            .position(|name| *name == holder)
        else {
            continue;
        };
        system.daemons[index].process.signal("-KILL");
        let _ = system.daemons[index].process.child.wait();
        let (name, data_centre) = THREE_DAEMONS[index];
        system.daemons[index] = system.start_daemon(name, data_centre, &[]);
        assert!(round < 3);
    }
    wait_for_state(&system, 2, &id, "finished");

    assert_each_notice_host_restarted_once(&system);
}

/// Guards against a wave that continues after a rack has failed. Stuck reboots keep the first host
/// down, so that the wave cannot advance before the rack is lost.
#[test]
fn lost_rack_holds_the_wave_with_the_reason() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO_DAEMONS);
    system.set_platform_faults(&json!({ "stuck_reboots": true }));
    let id = start_wave(&system, NOTICES);
    wait_for("the first host is stopped", || {
        !wave(&system, 0, &id).unwrap()["stopped"]
            .as_array()
            .unwrap()
            .is_empty()
    });

    system.set_host_state("w3", "down");
    system.set_host_state("w4", "down");
    system.set_platform_faults(&json!({}));
    let first = wave(&system, 0, &id).unwrap()["stopped"][0]
        .as_str()
        .unwrap()
        .to_owned();
    wait_for("the first host is down", || {
        let list = call(system.platform, "GET", "/hosts?since=0", &[], "").json();
        let hosts = list["hosts"].as_array().unwrap().clone();
        hosts
            .iter()
            .any(|host| host["id"] == first.as_str() && host["state"] == "down")
    });
    system.set_host_state(&first, "live");
    wait_for_state(&system, 0, &id, "held");

    assert_eq!(
        wave(&system, 0, &id).unwrap()["state"]["held"],
        "rack west-r2 is lost"
    );
}

/// Guards against a host that is in two pools or in none during a move, and against an operator's
/// move that is undone by the planner or by a new service text.
#[test]
fn moved_host_always_belongs_to_exactly_one_pool() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO_DAEMONS);
    let requests = start_requests(&system, &[0, 1]);
    let pool_of = |host: &str| {
        let hosts = call(system.daemons[1].operators, "GET", "/hosts", &[], "").json();
        let hosts = hosts.as_array().unwrap().clone();
        let entries = hosts
            .iter()
            .filter(|entry| entry["host"] == host)
            .collect::<Vec<_>>();
        assert_eq!(entries.len(), 1);
        entries[0]["pool"].as_str().unwrap().to_owned()
    };

    let (status, _) = post_as_operator(
        &system,
        0,
        "/host/e1/move",
        &json!({ "pool": "digests-pool" }),
    );
    let (second_move, _) = post_as_operator(
        &system,
        1,
        "/host/e1/move",
        &json!({ "pool": "notices-pool" }),
    );
    wait_for("the host has moved", || pool_of("e1") == "digests-pool");
    thread::sleep(Duration::from_secs(3));
    assert_eq!(
        pool_of("e1"),
        "digests-pool",
        "an operator's move is not undone"
    );
    let text = wave_text().replace("needed = 4", "needed = 3");
    let text_revision = system.daemons[0].status()["text_in_force"]
        .as_u64()
        .unwrap();
    let applied = system.apply(&text, text_revision);
    wait_for("the text is in force", || {
        system
            .daemons
            .iter()
            .all(|daemon| daemon.status()["text_in_force"].as_u64().unwrap() > text_revision)
    });
    let after_text = pool_of("e1");
    let answers = (0..40).map(|_| system.daemons[0].get("/digests").json()["host"].clone());
    let served = answers
        .map(|host| host.as_str().unwrap().to_owned())
        .collect::<BTreeSet<_>>();

    assert_eq!((status, second_move, applied.status), (200, 409, 200));
    assert_eq!(after_text, "digests-pool");
    assert!(served.contains("e1"), "{served:?}");
    assert_eq!(stop_requests(requests), Vec::<String>::new());
}
