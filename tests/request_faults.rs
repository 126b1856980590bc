//! Request handling during faults of backend servers, daemons and the platform.

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

const TWO_DAEMONS: [(&str, &str); 2] = [("entry-1", "east"), ("entry-2", "west")];
const THREE_DAEMONS: [(&str, &str); 3] = [
    ("entry-1", "east"),
    ("entry-2", "west"),
    ("entry-3", "east"),
];
const AT_MOST_ONCE_PATH: &str = "/notices/bills";

fn inject_backend_faults(system: &TestSystem, faults: &serde_json::Value) {
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

/// Guards against forwarding a response whose connection ends after half of the body.
#[test]
fn truncated_response_is_never_forwarded() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    // Each first attempt adds a tenth of a retry to the retry budget.
    for number in 0..20 {
        get_as(&system, 0, "/notices", &format!("earn-{number}"));
    }
    inject_backend_faults(&system, &json!({ "half_answers": 1 }));

    let responses = (0..8)
        .map(|number| get_as(&system, 0, "/notices", &format!("half-{number}")))
        .collect::<Vec<_>>();

    for (number, response) in responses.iter().enumerate() {
        match response.status {
            200 => assert_eq!(response.json()["caller"], format!("half-{number}")),
            502 => assert_eq!(response.header("zincpier-outcome"), "unknown"),
            other => panic!("unexpected status {other} for a truncated response"),
        }
    }
    assert!(responses.iter().any(|response| response.status == 200));
}

/// Guards against forwarding a response that carries the id and body of another request.
#[test]
fn response_to_another_request_is_never_forwarded() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    inject_backend_faults(&system, &json!({ "crossed_answers": 2 }));

    for number in 0..20 {
        let caller = format!("crossed-{number}");
        let response = get_as(&system, 0, "/notices", &caller);
        match response.status {
            200 => assert_eq!(response.json()["caller"], caller),
            other => assert_eq!(other, 502),
        }
    }
}

/// Guards against taking the second copy of a response, left on a reused connection, for the
/// response to the next request.
#[test]
fn duplicated_response_reaches_its_own_request_only() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    inject_backend_faults(&system, &json!({ "doubled_answers": 3 }));

    for number in 0..40 {
        let caller = format!("doubled-{number}");
        let response = get_as(&system, 0, "/notices", &caller);
        assert_eq!(response.json()["caller"], caller);
    }
}

/// Guards against forwarding a response over the size limit or reporting its request as not run.
#[test]
fn oversized_response_is_refused_with_unknown_outcome() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    inject_backend_faults(&system, &json!({ "oversized_answers": 1 }));

    let response = system.daemons[0].post_idempotent("/notices", "", "large");
    let response =
        response.unwrap_or_else(|| panic!("no response to an oversized backend response"));

    // An empty idempotency key may be refused before the request is sent.
    assert!([400, 502].contains(&response.status), "{response:?}");
    let plain = call(system.daemons[0].callers, "POST", "/notices", &[], "{}");
    assert_eq!(plain.status, 502);
    assert_eq!(plain.header("zincpier-outcome"), "unknown");
}

/// Guards against retrying a POST whose response was truncated, which would run it twice.
#[test]
fn non_retryable_request_is_sent_once() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    inject_backend_faults(&system, &json!({ "half_answers": 4 }));

    let response = call(
        system.daemons[0].callers,
        "POST",
        "/notices",
        &[("x-caller-id", "single")],
        "{}",
    );

    assert_eq!(response.status, 502);
    assert_eq!(response.header("zincpier-outcome"), "unknown");
    assert_eq!(system.runs()["single"], 1);
}

/// Guards against a platform outage that fails requests that need no claim, or lets at-most-once
/// requests run without a claim.
#[test]
fn platform_outage_refuses_claims_and_serves_other_requests() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    system.set_platform_faults(&json!({ "outage": true }));

    let refused = system.daemons[0]
        .post_idempotent(AT_MOST_ONCE_PATH, "bill-1", "bill")
        .unwrap();
    let plain = get_as(&system, 1, "/notices", "plain");
    let runs_in_outage = system.runs().get("bill").copied();
    system.set_platform_faults(&json!({}));
    wait_for("claims are committed after the outage", || {
        system.daemons[1]
            .post_idempotent(AT_MOST_ONCE_PATH, "bill-1", "bill")
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

/// Guards against two runs when several daemons claim the same idempotency key concurrently.
#[test]
fn same_key_sent_to_several_daemons_runs_once() {
    let system = TestSystem::start_ready(&small_text(), "20", &THREE_DAEMONS);

    let callers = (0..12)
        .map(|number| {
            let to = system.daemons[number % 3].callers;
            thread::spawn(move || {
                let headers = [("idempotency-key", "shared"), ("x-caller-id", "shared")];
                call(to, "POST", AT_MOST_ONCE_PATH, &headers, "{}")
            })
        })
        .collect::<Vec<_>>();
    let responses = callers
        .into_iter()
        .map(|caller| caller.join().unwrap())
        .collect::<Vec<_>>();

    assert_eq!(system.runs()["shared"], 1);
    assert!(responses.iter().any(|response| response.status == 200));
    for response in responses.iter().filter(|response| response.status != 200) {
        assert_eq!(response.status, 409);
        assert_eq!(response.header("zincpier-outcome"), "in-progress");
        assert_ne!(response.header("retry-after"), "");
    }
}

/// Guards against a replay that loses the body, whether it is stored in the row or as an object.
#[test]
fn finished_request_replays_its_complete_response() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);

    for (key, path) in [
        ("short", "/notices/bills"),
        ("long", "/notices/bills?size=40000"),
    ] {
        let first = system.daemons[0].post_idempotent(path, key, key).unwrap();
        let mut second = None;
        wait_for("the response is stored", || {
            let response = system.daemons[1].post_idempotent(path, key, key).unwrap();
            let stored = response.status == 200;
            second = Some(response);
            stored
        });

        assert_eq!(first.status, 200);
        assert_eq!(second.unwrap().body, first.body);
        assert_eq!(system.runs()[key], 1);
    }
}

/// Guards against replaying the response of another request that used the same idempotency key.
#[test]
fn key_reused_for_a_different_request_is_refused() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    let headers = [("idempotency-key", "reused")];

    let first = call(
        system.daemons[0].callers,
        "POST",
        AT_MOST_ONCE_PATH,
        &headers,
        "{\"sum\": 1}",
    );
    let second = call(
        system.daemons[1].callers,
        "POST",
        AT_MOST_ONCE_PATH,
        &headers,
        "{\"sum\": 2}",
    );

    assert_eq!(first.status, 200);
    assert_eq!(second.status, 422);
    assert_eq!(second.header("zincpier-outcome"), "not-run");
}

/// Guards against refusing a request whose claim was committed but whose commit response was
/// lost: the retried transaction conflicts with the row of the same attempt.
#[test]
fn lost_claim_response_is_resolved_by_its_token() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);

    for number in 0..10 {
        let key = format!("lost-{number}");
        system.set_platform_faults(&json!({ "lost_answers": 1 }));
        let response = system.daemons[0]
            .post_idempotent(AT_MOST_ONCE_PATH, &key, &key)
            .unwrap();
        assert_eq!(response.status, 200, "{response:?}");
        assert_eq!(system.runs()[&key], 1);
    }
}

/// Guards against a second run when the daemon that claimed a request is killed while it runs.
#[test]
fn request_claimed_by_a_killed_daemon_is_never_rerun() {
    let mut system = TestSystem::start_ready(&small_text(), "1", &THREE_DAEMONS);
    let to = system.daemons[0].callers;
    let path = "/notices/bills?ms=1500";
    let first = thread::spawn(move || {
        let headers = [("idempotency-key", "orphan"), ("x-caller-id", "orphan")];
        try_call(to, "POST", path, &headers, "{}")
    });
    wait_for("the backend server runs the request", || {
        system.runs().contains_key("orphan")
    });

    system.daemons[0].process.signal("-KILL");
    let first_response = first.join().unwrap();
    let before_restart = system.daemons[1]
        .post_idempotent(path, "orphan", "orphan")
        .unwrap();
    let restarted = system.start_daemon("entry-1", "east", &[]);
    system.daemons[0] = restarted;
    system.wait_ready();
    let after_restart = system.daemons[0]
        .post_idempotent(path, "orphan", "orphan")
        .unwrap();

    assert!(first_response.is_none());
    assert_eq!(before_restart.status, 409);
    assert_eq!(after_restart.status, 409);
    assert_eq!(after_restart.header("zincpier-outcome"), "unknown");
    assert_eq!(system.runs()["orphan"], 1);
}

/// Guards against requests to a leaving host from a daemon that was frozen when the host started
/// leaving, and routes by stale state after it resumes.
#[test]
fn leaving_host_gets_no_request_after_three_seconds_even_from_a_resumed_daemon() {
    let system = TestSystem::start_ready(&small_text(), "1", &THREE_DAEMONS);
    system.daemons[2].process.signal("-STOP");
    system.set_host_state("e1", "leaving");
    thread::sleep(Duration::from_secs(3));
    let before = system.stats("e1")["executions"].as_array().unwrap().len();

    system.daemons[2].process.signal("-CONT");
    // The first request goes to the resumed daemon.
    for number in 0..60 {
        let response = get_as(&system, 2 - number % 3, "/notices", "late");
        assert_eq!(response.status, 200);
    }

    let after = system.stats("e1")["executions"].as_array().unwrap().len();
    assert_eq!(after, before);
}

/// Guards against more requests at a server than its slots when shares are divided anew after a
/// daemon is killed or restarted under load.
#[test]
fn slot_limits_hold_through_overload_and_daemon_restart() {
    let mut system = TestSystem::start_ready(&small_text(), "20", &THREE_DAEMONS);
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

    let answered_before_kill = load(&system, 200);
    system.daemons[2].process.signal("-KILL");
    let answered_after_kill = load(&system, 200);
    thread::sleep(Duration::from_secs(5));
    load(&system, 200);
    let restarted = system.start_daemon("entry-3", "east", &[]);
    load(&system, 200);
    system.daemons[2] = restarted;
    system.wait_ready();
    load(&system, 200);

    assert_eq!(answered_before_kill, 200);
    // A third of the 200 requests went to the killed daemon.
    assert!(answered_after_kill >= 130);
    for host in system.backends.keys() {
        let stats = system.stats(host);
        assert_eq!(stats["over_slots"], 0, "{host}: {stats}");
        assert!(stats["most_in_flight"].as_u64().unwrap() <= 8);
        assert!(stats["most_connections"].as_u64().unwrap() <= 64);
    }
}

/// Guards against retries that multiply the load while every server fails.
#[test]
fn retries_stay_below_a_tenth_when_every_server_fails() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    let attempts = |system: &TestSystem| -> u64 {
        let metrics = system.daemons[0].metrics();
        let line = metrics
            .lines()
            .find(|line| line.contains("event=\"attempt\""))
            .unwrap();
        line.rsplit(' ').next().unwrap().parse().unwrap()
    };
    let attempts_before = attempts(&system);
    inject_backend_faults(&system, &json!({ "half_answers": 1_000_000 }));

    for _ in 0..400 {
        get_as(&system, 0, "/notices", "failing");
    }

    let sent = attempts(&system) - attempts_before;
    // 400 first attempts, a tenth of them as retries, and retries earned by earlier attempts.
    let allowed = 440 + attempts_before / 10;
    assert!(
        sent <= allowed,
        "{sent} attempts sent, at most {allowed} allowed"
    );
}

/// Guards against failed requests when every open backend connection stops carrying data.
#[test]
fn unresponsive_connections_do_not_fail_retryable_requests() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    for number in 0..200 {
        get_as(&system, number % 2, "/notices", "warm");
    }
    inject_backend_faults(&system, &json!({ "silence_open": true }));

    let responses = (0..40)
        .map(|number| get_as(&system, number % 2, "/notices", "after"))
        .collect::<Vec<_>>();

    for response in responses {
        assert_eq!(response.status, 200, "{response:?}");
    }
}

fn assert_idle_connections_fail_no_request(faults: &serde_json::Value) {
    // With every server in the daemon's data centre, it has idle connections to all of them.
    let text = small_text().replace("data_centre = \"west\"", "data_centre = \"east\"");
    let system = TestSystem::start_ready(&text, "1", &[("entry-1", "east")]);
    for _ in 0..100 {
        get_as(&system, 0, "/notices", "warm");
    }
    inject_backend_faults(&system, faults);

    let responses = (0..20)
        .map(|_| get_as(&system, 0, "/notices", "after"))
        .collect::<Vec<_>>();

    for response in responses {
        assert_eq!(response.status, 200, "{response:?}");
    }
}

/// Guards against retrying on another connection that stopped carrying data at the same time.
#[test]
fn retries_avoid_connections_that_may_be_unresponsive() {
    assert_idle_connections_fail_no_request(&json!({ "silence_open": true }));
}

/// Guards against retrying on another connection that the server closes at its next request.
#[test]
fn retries_avoid_connections_that_may_be_closed() {
    assert_idle_connections_fail_no_request(&json!({ "close_open": true }));
}

/// Guards against reporting a request as not run after its server did not respond in time.
#[test]
fn response_timeout_is_reported_as_504_with_unknown_outcome() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    inject_backend_faults(&system, &json!({ "delay_ms": 2_000 }));
    let headers = [("zincpier-deadline-ms", "300")];

    for _ in 0..10 {
        let response = call(system.daemons[0].callers, "POST", "/notices", &headers, "");
        assert_eq!(response.status, 504, "{response:?}");
        assert_eq!(response.header("zincpier-outcome"), "unknown");
    }
}

/// Guards against a daemon that cannot serve after a restart because the platform is down.
#[test]
fn daemon_started_in_a_platform_outage_loads_facts_from_peers() {
    let mut system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    let peers = [system.daemons[0].peers, system.daemons[1].peers];
    system.set_platform_faults(&json!({ "outage": true }));
    let text_before = system.daemons[0].status()["text_in_force"].clone();

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

    assert_eq!(system.daemons[0].status()["text_in_force"], text_before);
}

/// Guards against reporting readiness, or an unknown outcome, before a service text is loaded.
#[test]
fn daemon_without_service_text_refuses_with_not_run_outcome() {
    let system = TestSystem::start(&small_text(), "1", &[("entry-1", "east")]);

    let response = system.daemons[0].get("/notices");

    assert!(!system.daemons[0].is_ready());
    assert!([404, 503].contains(&response.status));
    assert_eq!(response.header("zincpier-outcome"), "not-run");
}

/// Guards against refusals while only servers of another data centre are left, whose slots have to
/// be borrowed from its daemon.
#[test]
fn requests_overflow_to_another_data_centre_on_borrowed_slots() {
    let system = TestSystem::start_ready(&small_text(), "1", &TWO_DAEMONS);
    system.set_host_state("e1", "leaving");
    system.set_host_state("e2", "leaving");
    wait_for("entry-1 routes to the two west servers only", || {
        system.daemons[0].status()["services"][0]["servers"] == 2
    });

    let statuses = (0..30)
        .map(|_| get_as(&system, 0, "/notices", "overflow").status)
        .collect::<Vec<_>>();

    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Guards against heartbeats between daemons that are delayed by overload of request handling.
#[test]
fn overloaded_daemon_still_sends_heartbeats() {
    let system = TestSystem::start_ready(&small_text(), "30", &TWO_DAEMONS);
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
        let heartbeat_age_ms = other["silence_ms"].as_u64().unwrap();
        assert!(
            heartbeat_age_ms < 3_000,
            "{} has sent no heartbeat for {heartbeat_age_ms} ms",
            other["entry"]
        );
    }
}
