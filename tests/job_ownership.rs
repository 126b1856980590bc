//! Jobs of organisations: who may see, cancel and submit them. Guards against callers of one
//! organisation that learn of the jobs of another, or change them.

#[path = "common/fake_table.rs"]
mod fake_table;

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;
use std::time::Duration;

use monoio::time::Instant;
use serde_json::json;
use serde_json::Value;
use zincpier::id::JobId;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CancelOutcome;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::JobState;
use zincpier::workflow::JobStatus;
use zincpier::workflow::LookupOutcome;
use zincpier::workflow::SubmitOutcome;

use crate::fake_table::FakeTable;
use crate::runtime::run;

const JOB: &str = "00000000000000a7";
const SUBMISSION_KEY: &str = "jobs@7/00000000000000a7";
const CANCEL_KEY: &str = "jobs@7/00000000000000a7.cancel";
const ENDED_KEY: &str = "ended@7/00000000000000a7";
const PROGRESS_KEY: &str = "progress/00000000000000a7";

fn job_id() -> JobId {
    JOB.parse().unwrap()
}

fn scope(organisation: &str) -> CallerScope {
    CallerScope::Organisation(organisation.parse().unwrap())
}

/// Returns the specification of a job that a caller with `scope` submits.
fn spec(scope: &CallerScope) -> JobSpec {
    JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: scope.organisation().cloned(),
        payload: "text".to_owned(),
        steps: vec![fixtures::step(1)],
        schedule: None,
    }
}

/// Returns the durable progress of a job that a caller with `scope` submitted.
fn progress(scope: &CallerScope) -> Value {
    let mut state = JobState::new(job_id(), Rc::new(spec(scope)), 0);
    state.phase = JobPhase::Running;
    state.to_value()
}

fn ended(scope: &CallerScope) -> Value {
    let status = JobStatus {
        phase: JobPhase::Complete,
        owner: scope.organisation().cloned(),
    };
    status.to_ended()
}

/// Returns a table with one row.
fn table(key: &str, value: Value) -> Rc<FakeTable> {
    let table = Rc::new(FakeTable::default());
    table.store(key, value);
    table
}

fn intake(table: &Rc<FakeTable>) -> JobIntake<FakeTable> {
    JobIntake::new(Rc::clone(table), Rc::new(CountFreshness::new()))
}

fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(5)
}

/// Returns each row that states the phase of a job of `scope`, with that phase.
fn rows(scope: &CallerScope) -> [(&'static str, Value, JobPhase); 3] {
    let submission = serde_json::to_value(spec(scope)).unwrap();
    [
        (SUBMISSION_KEY, submission, JobPhase::Queued),
        (PROGRESS_KEY, progress(scope), JobPhase::Running),
        (ENDED_KEY, ended(scope), JobPhase::Complete),
    ]
}

#[test]
fn job_is_found_by_its_organisation_only() {
    run(async {
        for (key, row, phase) in rows(&scope("north")) {
            let intake = intake(&table(key, row));

            let own = intake.look_up(&job_id(), &scope("north")).await;
            let foreign = intake.look_up(&job_id(), &scope("south")).await;
            let public = intake.look_up(&job_id(), &CallerScope::Public).await;

            assert_eq!(own, LookupOutcome::Found(phase), "{key}");
            assert_eq!(foreign, LookupOutcome::NoJob, "{key}");
            assert_eq!(public, LookupOutcome::NoJob, "{key}");
        }
    });
}

/// Rows from before organisations were configured, and those of public queues, have no owner.
#[test]
fn job_without_an_owner_is_found_by_everyone() {
    run(async {
        for (key, row, phase) in rows(&CallerScope::Public) {
            let intake = intake(&table(key, row.clone()));
            let scopes = [scope("north"), CallerScope::Public, CallerScope::Everything];
            for scope in scopes {
                let found = intake.look_up(&job_id(), &scope).await;

                assert_eq!(found, LookupOutcome::Found(phase), "{key} {scope:?}");
            }
            assert!(!row.to_string().contains("organisation"), "{row}");
        }
    });
}

/// Deployments without organisations keep the rows that other versions read and write.
#[test]
fn ended_row_without_an_owner_is_the_name_of_the_phase() {
    assert_eq!(ended(&CallerScope::Everything), json!("complete"));
    let status = JobStatus::from_ended(&json!("failed")).unwrap();
    assert_eq!(status.phase, JobPhase::Failed);
    assert_eq!(status.owner, None);
}

/// A row whose owner can't be read must not be shown to everyone.
#[test]
fn job_with_an_unreadable_owner_is_unknown() {
    run(async {
        for (key, mut row, _) in rows(&scope("north")) {
            row["organisation"] = json!(7);
            let intake = intake(&table(key, row));

            let found = intake.look_up(&job_id(), &scope("north")).await;

            assert_eq!(found, LookupOutcome::Unknown, "{key}");
        }
    });
}

#[test]
fn job_is_cancelled_by_its_organisation_only() {
    run(async {
        for (key, row, _) in rows(&scope("north")) {
            if key == PROGRESS_KEY {
                continue;
            }
            let table = table(key, row);
            let intake = intake(&table);

            let foreign = intake.cancel(&job_id(), &scope("south"), deadline()).await;
            let public = intake
                .cancel(&job_id(), &CallerScope::Public, deadline())
                .await;
            let left = table.row(CANCEL_KEY);
            let own = intake.cancel(&job_id(), &scope("north"), deadline()).await;

            assert_eq!(foreign, CancelOutcome::NoJob, "{key}");
            assert_eq!(public, CancelOutcome::NoJob, "{key}");
            assert!(left.is_none(), "{key}");
            assert_eq!(own, CancelOutcome::Accepted, "{key}");
        }
    });
}

/// A caller that is told that its job is accepted would wait for a job that never runs.
#[test]
fn submission_with_the_id_of_another_organisation_is_not_accepted() {
    run(async {
        for (key, row, _) in rows(&scope("north")) {
            if key == PROGRESS_KEY {
                continue;
            }
            let table = table(key, row);
            let before = table.row(key);
            let intake = intake(&table);

            for scope in [scope("south"), CallerScope::Public] {
                let spec = spec(&scope);
                let outcome = intake.submit(&job_id(), &spec, &scope, deadline()).await;
                assert_eq!(outcome, SubmitOutcome::Taken, "{key} {scope:?}");
            }
            let (scope, spec) = (scope("north"), spec(&scope("north")));
            let own = intake.submit(&job_id(), &spec, &scope, deadline()).await;

            assert_eq!(own, SubmitOutcome::Known, "{key}");
            assert_eq!(table.row(key), before, "{key}");
        }
    });
}

/// A repeated attempt after a lost answer must not take the caller's own job for another's.
#[test]
fn submission_whose_answer_was_lost_is_known() {
    run(async {
        let table = Rc::new(FakeTable::default());
        table.lost_answers.set(1);
        let (scope, spec) = (scope("north"), spec(&scope("north")));

        let intake = intake(&table);
        let outcome = intake.submit(&job_id(), &spec, &scope, deadline()).await;

        assert_eq!(outcome, SubmitOutcome::Known);
        let row = table.row(SUBMISSION_KEY).unwrap();
        assert_eq!(row.value["organisation"], "north");
    });
}

/// Without organisations, a repeated submission costs no more reads than before.
#[test]
fn owner_is_not_read_without_organisations() {
    run(async {
        let submission = json!({ "organisation": 7 });
        let table = table(SUBMISSION_KEY, submission);
        let scope = CallerScope::Everything;

        let intake = intake(&table);
        let outcome = intake
            .submit(&job_id(), &spec(&scope), &scope, deadline())
            .await;

        assert_eq!(outcome, SubmitOutcome::Known);
    });
}

/// A controller that doesn't know the owner would write progress rows that everyone may see.
#[test]
fn owner_outlives_the_restore_of_a_job() {
    let scope = scope("north");
    let mut state = JobState::new(job_id(), Rc::new(spec(&scope)), 0);

    state.restore(&progress(&scope), 5).unwrap();

    let status = JobStatus::from_progress(&state.to_value()).unwrap();
    assert_eq!(status, state.status());
    assert_eq!(status.owner.as_ref(), scope.organisation());
    assert_eq!(status.phase, JobPhase::Running);
}
