//! Tests with real processes of which some are frozen: their membership and the controller's lease.

mod common;

use std::thread;
use std::time::Duration;

use serde_json::json;
use serde_json::Value;

use crate::common::call;
use crate::common::wait_for;
use crate::common::wave_text;
use crate::common::TestSystem;
use crate::common::TOKEN;

const FOUR_DAEMONS: [(&str, &str); 4] = [
    ("entry-1", "east"),
    ("entry-2", "west"),
    ("entry-3", "east"),
    ("entry-4", "west"),
];
/// Several times the duration of a lease and the time without a heartbeat after which a member is
/// lost.
const FREEZE_DURATION: Duration = Duration::from_secs(13);

/// Returns the row of the controller's lease; `Null` if it was never acquired.
fn lease_row(system: &TestSystem) -> Value {
    let body = r#"{"keys":["lease/controller"]}"#;
    let rows = call(system.platform, "POST", "/table/read", &[], body).json();
    rows[0]["value"].clone()
}

/// Waits for the first holder of the controller's lease and returns its index and the lease's row.
fn wait_for_holder(system: &TestSystem) -> (usize, Value) {
    wait_for("the controller's lease is held", || {
        lease_row(system)["holder"].is_string()
    });
    let row = lease_row(system);
    let mut names = FOUR_DAEMONS.iter();
    let index = names.position(|(name, _)| row["holder"] == *name);
    (index.unwrap(), row)
}

/// Returns the actions in the audit trail on `subject`, oldest first.
fn audited_actions(system: &TestSystem, daemon: usize, subject: &str) -> Vec<String> {
    let trail = call(system.daemons[daemon].operators, "GET", "/audit", &[], "").json();
    let records = trail.as_array().unwrap().iter().map(|row| &row["value"]);
    records
        .filter(|record| record["subject"] == subject)
        .map(|record| record["action"].as_str().unwrap().to_owned())
        .collect()
}

/// Guards against a controller that loses its lease because it waits for the answers of frozen
/// members: its wave then can't even say what it waits for.
#[test]
fn frozen_members_do_not_cost_the_controller_its_lease() {
    let system = TestSystem::start_ready(&wave_text(), "1", &FOUR_DAEMONS);
    let (holder, lease_before) = wait_for_holder(&system);
    let others = (0..FOUR_DAEMONS.len()).filter(|index| *index != holder);
    let frozen = others.take(2).collect::<Vec<_>>();
    for index in &frozen {
        system.daemons[*index].process.signal("-STOP");
    }

    let operators = system.daemons[holder].operators;
    let headers = [("zincpier-token", TOKEN)];
    let body = json!({ "scope": "pool:notices-pool" }).to_string();
    let started = call(operators, "POST", "/wave/start", &headers, &body);
    thread::sleep(FREEZE_DURATION);
    let lease_after = lease_row(&system);
    let wave = call(operators, "GET", "/waves", &[], "").json()[0].clone();
    for index in &frozen {
        system.daemons[*index].process.signal("-CONT");
    }

    assert_eq!(started.status, 200);
    assert_eq!(lease_after, lease_before);
    let waiting_for = wave["waiting_for"].as_str().unwrap();
    for index in frozen {
        assert!(waiting_for.contains(FOUR_DAEMONS[index].0), "{wave}");
    }
}

/// Guards against members that mark a silent one as lost and as found in turn, by the age of its
/// last heartbeat: the slots of the lost one are then not taken over, and steps of waves conflict
/// with each change.
#[test]
fn silent_member_is_marked_as_lost_once() {
    let daemons = &FOUR_DAEMONS[..3];
    let system = TestSystem::start_ready(&wave_text(), "1", daemons);
    let before = audited_actions(&system, 0, "entry-3").len();
    system.daemons[2].process.signal("-STOP");

    thread::sleep(FREEZE_DURATION);
    let while_silent = audited_actions(&system, 0, "entry-3").split_off(before);
    system.daemons[2].process.signal("-CONT");
    wait_for("the member is live again", || {
        let actions = audited_actions(&system, 0, "entry-3");
        actions.last().is_some_and(|action| action != "member lost")
    });

    assert_eq!(while_silent, ["member lost"]);
}
