//! Whole sessions of maintenance waves with real processes, under faults.

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

const TWO: [(&str, &str); 2] = [("entry-1", "east"), ("entry-2", "west")];
const THREE: [(&str, &str); 3] = [
    ("entry-1", "east"),
    ("entry-2", "west"),
    ("entry-3", "east"),
];
const NOTICES: &str = "pool:notices-pool";

/// Makes an operator's call at a daemon.
fn order(system: &TestSystem, daemon: usize, path: &str, body: &Value) -> (u16, Value) {
    let headers = [("zincpier-token", TOKEN), ("zincpier-who", "tester")];
    let to = system.daemons[daemon].operators;
    let answer = call(to, "POST", path, &headers, &body.to_string());
    (answer.status, answer.json())
}

fn start_wave(system: &TestSystem, scope: &str) -> String {
    let (status, wave) = order(system, 0, "/wave/start", &json!({ "scope": scope }));
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

/// The hosts' restarts, as the platform counts them.
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

fn assert_each_notice_host_restarted_once(system: &TestSystem) {
    for (host, count) in boots(system) {
        let wanted = u64::from(!host.starts_with('d'));
        assert_eq!(count, wanted, "{host}");
    }
}

/// Requests from several callers until told to stop; returns what was not a whole answer.
fn keep_calling(
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

fn stop_calling((stop, callers): (Arc<AtomicBool>, Vec<JoinHandle<Vec<String>>>)) -> Vec<String> {
    stop.store(true, Ordering::Relaxed);
    callers
        .into_iter()
        .flat_map(|caller| caller.join().unwrap())
        .collect()
}

/// The audit trail without times, tokens and run numbers.
fn audit_session(system: &TestSystem, daemon: usize) -> String {
    let answer = call(system.daemons[daemon].operators, "GET", "/audit", &[], "").json();
    let mut session = String::new();
    for row in answer.as_array().unwrap() {
        let record = &row["value"];
        let text = |key: &str| record[key].as_str().unwrap().to_owned();
        let who = if text("who").starts_with("entry") {
            "daemon".to_owned()
        } else {
            text("who")
        };
        // Hosts of a group are stopped and opened in one step or more.
        let varies = ["wave stop hosts", "wave open hosts"].contains(&text("action").as_str());
        if varies || text("action").starts_with("member") {
            continue;
        }
        let subject = if text("subject").starts_with("w1") {
            "wave".to_owned()
        } else {
            text("subject")
        };
        writeln!(
            session,
            "{who} | {} | {subject} | {} -> {} | {}",
            text("action"),
            text("before"),
            text("after"),
            text("outcome")
        )
        .unwrap();
    }
    session
}

#[test]
fn quiet_wave_restarts_each_host_once_and_cuts_no_request() {
    let system = TestSystem::start_ready(&wave_text(), "1", &THREE);
    let calling = keep_calling(&system, &[0, 1, 2, 0, 1, 2]);

    let id = start_wave(&system, NOTICES);
    wait_for_state(&system, 0, &id, "finished");

    let failures = stop_calling(calling);
    assert_eq!(failures, Vec::<String>::new());
    assert_each_notice_host_restarted_once(&system);
    for host in system.backends.keys() {
        assert_eq!(system.stats(host)["abandoned"], 0, "{host}");
    }
    insta::assert_snapshot!(audit_session(&system, 0));
}

#[test]
fn preview_shows_steps_and_stops_nothing() {
    let system = TestSystem::start_ready(&wave_text(), "1", &[("entry-1", "east")]);
    let server = system.daemons[0].operators.to_string();

    let preview = system.run_cli(&["wave", "preview", NOTICES, "--server", &server]);
    let digests = system.run_cli(&["wave", "preview", "pool:digests-pool", "--server", &server]);
    let nonsense = system.run_cli(&["wave", "preview", "planet:mars", "--server", &server]);

    let shown = [preview, digests, nonsense].map(|output| {
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

#[test]
fn held_wave_stops_no_further_host_until_resumed() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO);
    let id = start_wave(&system, NOTICES);
    wait_for("a host is stopped", || {
        boots(&system).iter().any(|(_, count)| *count > 0)
    });

    let (held, _) = order(&system, 1, &format!("/wave/{id}/hold"), &Value::Null);
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
    let (resumed, _) = order(&system, 0, &format!("/wave/{id}/resume"), &Value::Null);
    wait_for_state(&system, 0, &id, "finished");

    assert_eq!((held, resumed), (200, 200));
    assert_eq!(before, after);
    assert_each_notice_host_restarted_once(&system);
}

#[test]
fn aborted_wave_leaves_every_host_open() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO);
    let id = start_wave(&system, NOTICES);
    wait_for("a host is closed", || {
        !wave(&system, 0, &id).unwrap()["stopped"]
            .as_array()
            .unwrap()
            .is_empty()
    });

    order(&system, 1, &format!("/wave/{id}/abort"), &Value::Null);

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

#[test]
fn operators_who_race_start_one_wave() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO);

    for _ in 0..10 {
        let started = thread::scope(|scope| {
            let racers = (0..6).map(|number| {
                let system = &system;
                scope.spawn(move || {
                    thread::sleep(Duration::from_millis(number as u64));
                    order(
                        system,
                        number % 2,
                        "/wave/start",
                        &json!({ "scope": NOTICES }),
                    )
                })
            });
            let racers = racers.collect::<Vec<_>>();
            let answers = racers.into_iter().map(|racer| racer.join().unwrap());
            answers
                .filter(|(status, _)| *status == 200)
                .collect::<Vec<_>>()
        });
        assert_eq!(started.len(), 1, "{started:?}");
        let id = started[0].1["id"].as_str().unwrap();
        order(&system, 0, &format!("/wave/{id}/abort"), &Value::Null);
    }
}

#[test]
fn frozen_daemon_holds_the_wave_until_it_acknowledges() {
    let system = TestSystem::start_ready(&wave_text(), "1", &THREE);
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

#[test]
fn killed_daemon_holds_the_wave_until_it_is_forgotten() {
    let system = TestSystem::start_ready(&wave_text(), "1", &THREE);
    let (early, _) = order(&system, 0, "/entry/entry-3/forget", &Value::Null);
    system.daemons[2].process.signal("-KILL");

    let id = start_wave(&system, NOTICES);
    wait_for("the daemon is lost", || {
        order(&system, 0, "/entry/entry-3/forget", &Value::Null).0 == 200
    });
    wait_for_state(&system, 0, &id, "finished");

    assert_eq!(early, 409);
    assert_each_notice_host_restarted_once(&system);
}

#[test]
fn outage_and_lost_answers_in_mid_wave_delay_it_only() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO);
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

#[test]
fn killed_controllers_leave_a_wave_that_the_next_holder_finishes() {
    let mut system = TestSystem::start_ready(&wave_text(), "1", &THREE);
    let id = start_wave(&system, NOTICES);
    let steps = |system: &TestSystem| {
        audit_session(system, 2)
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
        let (name, data_centre) = THREE[index];
        system.daemons[index] = system.start_daemon(name, data_centre, &[]);
        assert!(round < 3);
    }
    wait_for_state(&system, 2, &id, "finished");

    assert_each_notice_host_restarted_once(&system);
}

#[test]
fn lost_rack_holds_the_wave_with_the_reason() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO);
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

#[test]
fn moved_host_belongs_to_one_pool_at_every_moment() {
    let system = TestSystem::start_ready(&wave_text(), "1", &TWO);
    let calling = keep_calling(&system, &[0, 1]);
    let pool_of = |host: &str| {
        let hosts = call(system.daemons[1].operators, "GET", "/hosts", &[], "").json();
        let hosts = hosts.as_array().unwrap().clone();
        let held = hosts
            .iter()
            .filter(|held| held["host"] == host)
            .collect::<Vec<_>>();
        assert_eq!(held.len(), 1);
        held[0]["pool"].as_str().unwrap().to_owned()
    };

    let (status, _) = order(
        &system,
        0,
        "/host/e1/move",
        &json!({ "pool": "digests-pool" }),
    );
    let (again, _) = order(
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
    let held = system.daemons[0].status()["text_in_force"]
        .as_u64()
        .unwrap();
    let applied = system.apply(&text, held);
    wait_for("the text is in force", || {
        system
            .daemons
            .iter()
            .all(|daemon| daemon.status()["text_in_force"].as_u64().unwrap() > held)
    });
    let after_text = pool_of("e1");
    let answers = (0..40).map(|_| system.daemons[0].get("/digests").json()["host"].clone());
    let served = answers
        .map(|host| host.as_str().unwrap().to_owned())
        .collect::<BTreeSet<_>>();

    assert_eq!((status, again, applied.status), (200, 409, 200));
    assert_eq!(after_text, "digests-pool");
    assert!(served.contains("e1"), "{served:?}");
    assert_eq!(stop_calling(calling), Vec::<String>::new());
}
