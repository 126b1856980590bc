//! Guards against states of jobs that are given although they are unknown.

#[path = "common/fake_table.rs"]
mod fake_table;

#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;

use serde_json::json;
use serde_json::Value;
use zincpier::id::JobId;
use zincpier::workflow::job_key;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::LookupOutcome;

use crate::fake_table::FakeTable;
use crate::runtime::run;

fn job_id() -> JobId {
    "00000000000000a1".parse().unwrap()
}

/// Looks up a stored job whose progress row is `progress`.
fn look_up(progress: Option<Value>) -> LookupOutcome {
    let id = job_id();
    let table = Rc::new(FakeTable::default());
    table.store(&job_key(&id), json!({}));
    if let Some(progress) = progress {
        table.store(&format!("progress/{id}"), progress);
    }
    let intake = JobIntake::new(table, Rc::new(CountFreshness::new()));
    run(async move { intake.look_up(&id, &CallerScope::Everything).await })
}

#[test]
fn job_without_progress_is_queued() {
    assert_eq!(look_up(None), LookupOutcome::Found(JobPhase::Queued));
}

#[test]
fn job_with_progress_is_in_its_phase() {
    let progress = json!({ "phase": JobPhase::Complete.as_str(), "tasks": [] });

    assert_eq!(
        look_up(Some(progress)),
        LookupOutcome::Found(JobPhase::Complete)
    );
}

/// A job that runs or has ended would be shown as queued.
#[test]
fn job_with_unreadable_progress_is_unknown() {
    let unreadable = [json!({ "phase": "resting" }), json!({}), json!("running")];

    let outcomes = unreadable.map(|progress| look_up(Some(progress)));

    assert_eq!(outcomes, [LookupOutcome::Unknown; 3]);
}
