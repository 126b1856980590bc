//! End-to-end tests with real processes: service text, requests, audit and shutdown.

mod common;

use std::fs;
use std::path::Path;

use serde_json::json;

use zincpier::version::FactKind;

use crate::common::call;
use crate::common::small_text;
use crate::common::TestSystem;
use crate::common::TOKEN;

/// Replaces numbers of more than nine digits, such as times and run ids, which differ between runs.
fn normalize(text: &str) -> String {
    text.split_inclusive([' ', '\n', '\t', ',', '"', '}'])
        .map(|word| {
            let stripped = word.trim_end_matches([' ', '\n', '\t', ',', '"', '}']);
            let is_long_number =
                stripped.len() > 9 && stripped.bytes().all(|byte| byte.is_ascii_digit());
            match is_long_number {
                true => word.replace(stripped, "<number>"),
                false => word.to_owned(),
            }
        })
        .collect()
}

/// Guards against changes in the output and exit codes of the commands, and in the answers to
/// callers and operators.
#[test]
fn session_of_text_requests_and_audit() {
    let system = TestSystem::start(&small_text(), "1", &[("entry-1", "east")]);
    let path = system.folder.path().join("text.toml");
    fs::write(&path, small_text()).unwrap();
    let server = system.daemons[0].operators.to_string();
    let mut session = String::new();
    let mut run = |arguments: &[&str]| {
        let output = system.run_cli(arguments);
        let shown = arguments
            .join(" ")
            .replace(path.to_str().unwrap(), "text.toml");
        session += &format!("$ zincpier {}\n", shown.replace(&server, "SERVER"));
        let lines = String::from_utf8_lossy(&output.stdout).into_owned();
        session += &lines.replace(path.to_str().unwrap(), "text.toml");
        let errors = String::from_utf8_lossy(&output.stderr).into_owned();
        session += &errors
            .replace(path.to_str().unwrap(), "text.toml")
            .replace(&server, "SERVER");
        session += &format!("exit {}\n\n", output.status.code().unwrap());
    };

    run(&["text", "check", path.to_str().unwrap()]);
    run(&[
        "text",
        "apply",
        path.to_str().unwrap(),
        "--server",
        &server,
        "--wait",
    ]);
    run(&[
        "text",
        "apply",
        path.to_str().unwrap(),
        "--server",
        &server,
        "--replaces",
        "0",
    ]);
    system.wait_ready();
    let headers = [("x-caller-id", "caller-7")];
    let daemon = &system.daemons[0];
    let answer = call(daemon.callers, "GET", "/notices/today", &headers, "");
    let refused = daemon.get("/elsewhere");
    let forbidden = call(
        daemon.operators,
        "POST",
        "/text",
        &[("zincpier-token", "wrong-token")],
        "",
    );
    run(&["audit", "--server", &server]);
    session += &format!(
        "GET /notices/today\n{} {}\n\n",
        answer.status,
        answer.json()["caller"]
    );
    session += &format!("GET /elsewhere\n{} {}\n\n", refused.status, refused.body);
    session += &format!(
        "POST /text with a wrong token\n{} {}\n",
        forbidden.status, forbidden.body
    );

    insta::assert_snapshot!(normalize(&session));
}

/// A check that stops at the first finding would print fewer than four; a daemon that does not
/// validate would put the invalid text in force.
#[test]
fn findings_are_printed_together_and_change_nothing() {
    let system = TestSystem::start_ready(&small_text(), "1", &[("entry-1", "east")]);
    let broken = small_text()
        .replace(
            "availability = \"99.9\"",
            "availability = \"many\"\ncolour = 3",
        )
        .replace("needed = 2", "needed = 4")
        .replace(
            "\"w1\", \"w2\"]\n\n[[pools]]",
            "\"w1\", \"e1\"]\n\n[[pools]]",
        );
    let path = system.folder.path().join("broken.toml");
    fs::write(&path, &broken).unwrap();
    let before = system.daemons[0].status()["text_in_force"].clone();

    let checked = system.run_cli(&["text", "check", path.to_str().unwrap()]);
    let applied = system.apply(&broken, before.as_u64().unwrap());

    let errors = String::from_utf8(checked.stderr).unwrap();
    let errors = errors.replace(path.to_str().unwrap(), "broken.toml");
    insta::assert_snapshot!(errors);
    assert_eq!(checked.status.code(), Some(2));
    assert_eq!(applied.status, 422);
    assert_eq!(system.daemons[0].status()["text_in_force"], before);
}

/// Fails if the validation accepts a service that depends on itself.
#[test]
fn cyclic_dependency_is_found() {
    let cyclic = small_text().replace("at_most_once", "depends_on = [\"notices\"]\nat_most_once");

    let parsed = zincpier::version::ServiceText::parse("cyclic.toml", &cyclic);

    insta::assert_snapshot!(parsed.unwrap_err().to_string());
}

/// Fails if the runtime uses io_uring instead of epoll, or if the daemon starts a child process.
#[test]
fn daemon_uses_no_io_uring_and_starts_no_process() {
    let system = TestSystem::start_ready(&small_text(), "1", &[("entry-1", "east")]);
    let pid = system.daemons[0].process.child.id();
    let process = Path::new("/proc").join(pid.to_string());

    let descriptors = fs::read_dir(process.join("fd"))
        .unwrap()
        .filter_map(|entry| fs::read_link(entry.unwrap().path()).ok())
        .map(|link| link.display().to_string())
        .collect::<Vec<_>>();
    let children = fs::read_dir(process.join("task"))
        .unwrap()
        .map(|task| fs::read_to_string(task.unwrap().path().join("children")).unwrap_or_default())
        .collect::<String>();

    assert!(
        descriptors.iter().any(|link| link.contains("eventpoll")),
        "{descriptors:?}"
    );
    assert!(
        !descriptors.iter().any(|link| link.contains("io_uring")),
        "{descriptors:?}"
    );
    assert_eq!(children.trim(), "");
}

/// A daemon that exits on SIGTERM without draining would cut the slow request.
#[test]
fn shutdown_finishes_requests_in_flight() {
    let mut system = TestSystem::start_ready(&small_text(), "1", &[("entry-1", "east")]);
    let callers = system.daemons[0].callers;
    let slow_request = std::thread::spawn(move || call(callers, "GET", "/notices?ms=800", &[], ""));
    common::wait_for("a request is in flight", || {
        system
            .backends
            .keys()
            .any(|host| system.stats(host)["in_flight"] == 1)
    });

    system.daemons[0].process.signal("-TERM");
    common::wait_for("readiness fails", || !system.daemons[0].is_ready());
    let answer = slow_request.join().unwrap();
    let ended = system.daemons[0].process.child.wait().unwrap();

    assert_eq!(answer.status, 200);
    assert_eq!(ended.code(), Some(0));
}

/// An entry host that receives an invalid row must route by the last valid text and must not report
/// the new revision as in force.
#[test]
fn text_that_cannot_be_parsed_is_not_reported_in_force() {
    let names = [("entry-1", "east"), ("entry-2", "west")];
    let system = TestSystem::start_ready(&small_text(), "1", &names);
    let in_force = |daemon: usize| system.daemons[daemon].status()["text_in_force"].clone();
    let received = |daemon: usize| {
        let answer = call(system.daemons[daemon].operators, "GET", "/text", &[], "");
        answer.header("zincpier-replaces").to_owned()
    };
    let (revision_before, received_before) = (in_force(0), received(1));

    // Writes the row directly to the table, since applying a text validates it.
    let write =
        json!({ "key": FactKind::Text.row_key(), "value": { "source": "no = [", "who": "" } });
    let transaction = json!({ "checks": [], "writes": [write] }).to_string();
    let written = call(
        system.platform,
        "POST",
        "/table/transact",
        &[],
        &transaction,
    );
    common::wait_for("both entry hosts have received the invalid row", || {
        (0..2).all(|daemon| received(daemon) != received_before)
    });
    let statuses = (0..4).map(|number| system.daemons[number % 2].get("/notices").status);
    let statuses = statuses.collect::<Vec<_>>();
    let reported = [in_force(0), in_force(1)];
    let restored = system.apply(&small_text(), received(0).parse().unwrap());
    common::wait_for("the restored text is in force", || {
        (0..2).all(|daemon| in_force(daemon) == restored.json())
    });

    assert_eq!(written.status, 200);
    assert_eq!(reported, [revision_before.clone(), revision_before.clone()]);
    assert_eq!(statuses, [200; 4]);
    assert_ne!(restored.json(), revision_before);
}

/// A daemon that does not check the token would replace the service text.
#[test]
fn operators_without_the_token_change_nothing() {
    let system = TestSystem::start_ready(&small_text(), "1", &[("entry-1", "east")]);
    let revision_before = system.daemons[0].status()["text_in_force"].to_string();
    let headers = [
        ("zincpier-token", "not-the-token"),
        ("zincpier-replaces", revision_before.as_str()),
    ];

    let refused = call(
        system.daemons[0].operators,
        "POST",
        "/text",
        &headers,
        &small_text(),
    );

    assert_eq!(refused.status, 403);
    assert_ne!(TOKEN, "not-the-token");
    assert_eq!(
        system.daemons[0].status()["text_in_force"].to_string(),
        revision_before
    );
}
