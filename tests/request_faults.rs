//! Requests under the faults of backend servers, daemons and the platform.

mod common;

use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;

use crate::common::call;
use crate::common::small_text;
use crate::common::try_call;
use crate::common::wait_for;
use crate::common::HttpResponse;
use crate::common::TestSystem;

const TWO: [(&str, &str); 2] = [("entry-1", "east"), ("entry-2", "west")];
const THREE: [(&str, &str); 3] = [
    ("entry-1", "east"),
    ("entry-2", "west"),
    ("entry-3", "east"),
];
const BILLS: &str = "/notices/bills";

fn set_all(system: &TestSystem, faults: &serde_json::Value) {
    for host in system.backends.keys() {
        system.set_backend_faults(host, faults);
    }
}

fn get_as(system: &TestSystem, daemon: usize, path: &str, caller: &str) -> HttpResponse {
    call(
        system.daemons[daemon].callers,
        "GET",
        path,
        &[("x-caller-id", caller)],
        "",
    )
}

#[test]
fn half_answer_is_never_passed_on() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);
    for number in 0..20 {
        get_as(&system, 0, "/notices", &format!("earn-{number}"));
    }
    set_all(&system, &json!({ "half_answers": 1 }));

    let answers = (0..8)
        .map(|number| get_as(&system, 0, "/notices", &format!("half-{number}")))
        .collect::<Vec<_>>();

    for (number, answer) in answers.iter().enumerate() {
        match answer.status {
            200 => assert_eq!(answer.json()["caller"], format!("half-{number}")),
            502 => assert_eq!(answer.header("zincpier-outcome"), "unknown"),
            other => panic!("status {other}"),
        }
    }
    assert!(answers.iter().any(|answer| answer.status == 200));
}

#[test]
fn crossed_answer_is_never_passed_on() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);
    set_all(&system, &json!({ "crossed_answers": 2 }));

    for number in 0..20 {
        let caller = format!("crossed-{number}");
        let answer = get_as(&system, 0, "/notices", &caller);
        match answer.status {
            200 => assert_eq!(answer.json()["caller"], caller),
            other => assert_eq!(other, 502),
        }
    }
}

#[test]
fn doubled_answer_goes_to_its_own_request_only() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);
    set_all(&system, &json!({ "doubled_answers": 3 }));

    for number in 0..40 {
        let caller = format!("doubled-{number}");
        let answer = get_as(&system, 0, "/notices", &caller);
        assert_eq!(answer.json()["caller"], caller);
    }
}

#[test]
fn oversized_answer_is_refused_as_unknown() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);
    set_all(&system, &json!({ "oversized_answers": 1 }));

    let answer = system.daemons[0].post_idempotent("/notices", "", "large");
    let answer = answer.unwrap_or_else(|| panic!("no answer"));

    assert!([400, 502].contains(&answer.status), "{answer:?}");
    let plain = call(system.daemons[0].callers, "POST", "/notices", &[], "{}");
    assert_eq!(plain.status, 502);
    assert_eq!(plain.header("zincpier-outcome"), "unknown");
}

#[test]
fn request_that_must_not_be_repeated_is_sent_once() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);
    set_all(&system, &json!({ "half_answers": 4 }));

    let answer = call(
        system.daemons[0].callers,
        "POST",
        "/notices",
        &[("x-caller-id", "single")],
        "{}",
    );

    assert_eq!(answer.status, 502);
    assert_eq!(answer.header("zincpier-outcome"), "unknown");
    assert_eq!(system.runs()["single"], 1);
}

#[test]
fn outage_refuses_claims_as_not_run_and_serves_the_rest() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);
    system.set_platform_faults(&json!({ "outage": true }));

    let refused = system.daemons[0]
        .post_idempotent(BILLS, "bill-1", "bill")
        .unwrap();
    let plain = get_as(&system, 1, "/notices", "plain");
    let runs_in_outage = system.runs().get("bill").copied();
    system.set_platform_faults(&json!({}));
    wait_for("claims are committed again", || {
        system.daemons[1]
            .post_idempotent(BILLS, "bill-1", "bill")
            .unwrap()
            .status
            == 200
    });

    assert_eq!(refused.status, 503);
    assert_eq!(refused.header("zincpier-outcome"), "not-run");
    assert_ne!(refused.header("retry-after"), "");
    assert_eq!(plain.status, 200);
    assert_eq!(runs_in_outage, None);
    assert_eq!(system.runs()["bill"], 1);
}

#[test]
fn same_key_at_several_daemons_runs_once() {
    let system = TestSystem::start_ready(&small_text(), "20", &THREE);

    let callers = (0..12)
        .map(|number| {
            let to = system.daemons[number % 3].callers;
            thread::spawn(move || {
                let headers = [("idempotency-key", "shared"), ("x-caller-id", "shared")];
                call(to, "POST", BILLS, &headers, "{}")
            })
        })
        .collect::<Vec<_>>();
    let answers = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect::<Vec<_>>();

    assert_eq!(system.runs()["shared"], 1);
    assert!(answers.iter().any(|answer| answer.status == 200));
    for answer in answers.iter().filter(|answer| answer.status != 200) {
        assert_eq!(answer.status, 409);
        assert_eq!(answer.header("zincpier-outcome"), "in-progress");
        assert_ne!(answer.header("retry-after"), "");
    }
}

#[test]
fn finished_request_is_answered_again_whole() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);

    for (key, path) in [
        ("short", "/notices/bills"),
        ("long", "/notices/bills?size=40000"),
    ] {
        let first = system.daemons[0].post_idempotent(path, key, key).unwrap();
        let mut second = None;
        wait_for("the answer is stored", || {
            let answer = system.daemons[1].post_idempotent(path, key, key).unwrap();
            let stored = answer.status == 200;
            second = Some(answer);
            stored
        });

        assert_eq!(first.status, 200);
        assert_eq!(second.unwrap().body, first.body);
        assert_eq!(system.runs()[key], 1);
    }
}

#[test]
fn key_of_another_request_is_refused() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);
    let headers = [("idempotency-key", "reused")];

    let first = call(
        system.daemons[0].callers,
        "POST",
        BILLS,
        &headers,
        "{\"sum\": 1}",
    );
    let second = call(
        system.daemons[1].callers,
        "POST",
        BILLS,
        &headers,
        "{\"sum\": 2}",
    );

    assert_eq!(first.status, 200);
    assert_eq!(second.status, 422);
    assert_eq!(second.header("zincpier-outcome"), "not-run");
}

#[test]
fn lost_answer_of_a_claim_is_settled_by_its_token() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);

    for number in 0..10 {
        let key = format!("lost-{number}");
        system.set_platform_faults(&json!({ "lost_answers": 1 }));
        let answer = system.daemons[0]
            .post_idempotent(BILLS, &key, &key)
            .unwrap();
        assert_eq!(answer.status, 200, "{answer:?}");
        assert_eq!(system.runs()[&key], 1);
    }
}

#[test]
fn claim_of_a_killed_daemon_is_never_run_again() {
    let mut system = TestSystem::start_ready(&small_text(), "1", &THREE);
    let to = system.daemons[0].callers;
    let path = "/notices/bills?ms=1500";
    let first = thread::spawn(move || {
        let headers = [("idempotency-key", "orphan"), ("x-caller-id", "orphan")];
        try_call(to, "POST", path, &headers, "{}")
    });
    wait_for("the request runs", || system.runs().contains_key("orphan"));

    system.daemons[0].process.signal("-KILL");
    let cut = first.join().unwrap();
    let early = system.daemons[1]
        .post_idempotent(path, "orphan", "orphan")
        .unwrap();
    let restarted = system.start_daemon("entry-1", "east", &[]);
    system.daemons[0] = restarted;
    system.wait_ready();
    let late = system.daemons[0]
        .post_idempotent(path, "orphan", "orphan")
        .unwrap();

    assert!(cut.is_none());
    assert_eq!(early.status, 409);
    assert_eq!(late.status, 409);
    assert_eq!(late.header("zincpier-outcome"), "unknown");
    assert_eq!(system.runs()["orphan"], 1);
}

#[test]
fn leaving_host_gets_no_work_after_three_seconds_even_from_a_thawed_daemon() {
    let system = TestSystem::start_ready(&small_text(), "1", &THREE);
    system.daemons[2].process.signal("-STOP");
    system.set_host_state("e1", "leaving");
    thread::sleep(Duration::from_secs(3));
    let before = system.stats("e1")["executions"].as_array().unwrap().len();

    system.daemons[2].process.signal("-CONT");
    for number in 0..60 {
        let answer = get_as(&system, 2 - number % 3, "/notices", "late");
        assert_eq!(answer.status, 200);
    }

    let after = system.stats("e1")["executions"].as_array().unwrap().len();
    assert_eq!(after, before);
}

#[test]
fn slots_hold_through_overload_kill_and_return() {
    let mut system = TestSystem::start_ready(&small_text(), "20", &THREE);
    let load = |system: &TestSystem, count: usize| {
        let callers = (0..count)
            .map(|number| {
                let to = system.daemons[number % system.daemons.len()].callers;
                thread::spawn(move || try_call(to, "GET", "/notices", &[], ""))
            })
            .collect::<Vec<_>>();
        callers
            .into_iter()
            .filter_map(|caller| caller.join().unwrap())
            .count()
    };

    let first = load(&system, 200);
    system.daemons[2].process.signal("-KILL");
    let second = load(&system, 200);
    thread::sleep(Duration::from_secs(5));
    load(&system, 200);
    let restarted = system.start_daemon("entry-3", "east", &[]);
    load(&system, 200);
    system.daemons[2] = restarted;
    system.wait_ready();
    load(&system, 200);

    assert_eq!(first, 200);
    assert!(second >= 130);
    for host in system.backends.keys() {
        let stats = system.stats(host);
        assert_eq!(stats["over_slots"], 0, "{host}: {stats}");
        assert!(stats["most_in_flight"].as_u64().unwrap() <= 8);
        assert!(stats["most_connections"].as_u64().unwrap() <= 64);
    }
}

#[test]
fn retries_stay_below_a_tenth_when_every_server_fails() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);
    let attempts = |system: &TestSystem| -> u64 {
        let metrics = system.daemons[0].metrics();
        let line = metrics
            .lines()
            .find(|line| line.contains("event=\"attempt\""))
            .unwrap();
        line.rsplit(' ').next().unwrap().parse().unwrap()
    };
    let saved = attempts(&system);
    set_all(&system, &json!({ "half_answers": 1_000_000 }));

    for _ in 0..400 {
        get_as(&system, 0, "/notices", "failing");
    }

    let sent = attempts(&system) - saved;
    let allowed = 440 + saved / 10;
    assert!(sent <= allowed, "{sent} attempts, {allowed} allowed");
}

#[test]
fn silent_connections_cost_repeatable_requests_nothing() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);
    for number in 0..200 {
        get_as(&system, number % 2, "/notices", "warm");
    }
    set_all(&system, &json!({ "silence_open": true }));

    let answers = (0..40)
        .map(|number| get_as(&system, number % 2, "/notices", "after"))
        .collect::<Vec<_>>();

    for answer in answers {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

fn assert_idle_connections_cost_nothing(faults: &serde_json::Value) {
    let text = small_text().replace("data_centre = \"west\"", "data_centre = \"east\"");
    let system = TestSystem::start_ready(&text, "1", &[("entry-1", "east")]);
    for _ in 0..100 {
        get_as(&system, 0, "/notices", "warm");
    }
    set_all(&system, faults);

    let answers = (0..20)
        .map(|_| get_as(&system, 0, "/notices", "after"))
        .collect::<Vec<_>>();

    for answer in answers {
        assert_eq!(answer.status, 200, "{answer:?}");
    }
}

#[test]
fn retries_use_no_connection_that_may_have_gone_silent() {
    assert_idle_connections_cost_nothing(&json!({ "silence_open": true }));
}

#[test]
fn retries_use_no_connection_that_may_be_closed() {
    assert_idle_connections_cost_nothing(&json!({ "close_open": true }));
}

#[test]
fn silence_to_the_deadline_is_named_as_such() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);
    set_all(&system, &json!({ "delay_ms": 2_000 }));
    let headers = [("zincpier-deadline-ms", "300")];

    for _ in 0..10 {
        let answer = call(system.daemons[0].callers, "POST", "/notices", &headers, "");
        assert_eq!(answer.status, 504, "{answer:?}");
        assert_eq!(answer.header("zincpier-outcome"), "unknown");
    }
}

#[test]
fn daemon_that_starts_in_an_outage_learns_from_its_peers() {
    let mut system = TestSystem::start_ready(&small_text(), "1", &TWO);
    let peers = [system.daemons[0].peers, system.daemons[1].peers];
    system.set_platform_faults(&json!({ "outage": true }));
    let held = system.daemons[0].status()["text_in_force"].clone();

    system.daemons[0].process.signal("-KILL");
    system.daemons[0].process.child.wait().unwrap();
    let restarted = system.start_daemon("entry-1", "east", &peers[1..]);
    system.daemons[0] = restarted;
    wait_for("the restarted daemon is ready", || {
        system.daemons[0].is_ready()
    });
    wait_for("the restarted daemon serves", || {
        system.daemons[0].get("/notices").status == 200
    });

    assert_eq!(system.daemons[0].status()["text_in_force"], held);
}

#[test]
fn daemon_that_knows_nothing_refuses_as_not_run() {
    let system = TestSystem::start(&small_text(), "1", &[("entry-1", "east")]);

    let answer = system.daemons[0].get("/notices");

    assert!(!system.daemons[0].is_ready());
    assert!([404, 503].contains(&answer.status));
    assert_eq!(answer.header("zincpier-outcome"), "not-run");
}

#[test]
fn requests_overflow_to_another_data_centre_on_borrowed_slots() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO);
    system.set_host_state("e1", "leaving");
    system.set_host_state("e2", "leaving");
    wait_for("the east has no server", || {
        system.daemons[0].status()["services"][0]["servers"] == 2
    });

    let statuses = (0..30)
        .map(|_| get_as(&system, 0, "/notices", "overflow").status)
        .collect::<Vec<_>>();

    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

#[test]
fn overloaded_daemon_is_still_heard_by_its_peers() {
    let system = TestSystem::start_ready(&small_text(), "30", &TWO);
    let stop = Instant::now() + Duration::from_secs(4);
    let callers = (0..120)
        .map(|number| {
            let to = system.daemons[number % 2].callers;
            thread::spawn(move || {
                while Instant::now() < stop {
                    let _ = try_call(to, "GET", "/notices", &[], "");
                }
            })
        })
        .collect::<Vec<_>>();
    callers
        .into_iter()
        .for_each(|caller| caller.join().unwrap());

    for (index, daemon) in system.daemons.iter().enumerate() {
        let other = &daemon.status()["entries"][1 - index];
        let silence = other["silence_ms"].as_u64().unwrap();
        assert!(
            silence < 3_000,
            "{} is silent for {silence} ms",
            other["entry"]
        );
    }
}
