//! Cancellations of jobs whose submission is still under way. Guards against jobs that run although their
//! cancellation was answered, and against records of it that harm others or stay for ever.

#[path = "common/fake_table.rs"]
mod fake_table;

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/runtime.rs"]
mod runtime;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures::future::join_all;
use monoio::time::sleep;
use monoio::time::Instant;
use rand::rngs::SmallRng;
use rand::Rng;
use rand::SeedableRng;
use serde_json::json;
use zincpier::error::Error;
use zincpier::error::Result;
use zincpier::id::JobId;
use zincpier::id::OrganisationId;
use zincpier::id::Revision;
use zincpier::provider::RowCheck;
use zincpier::provider::TableRow;
use zincpier::provider::TableService;
use zincpier::provider::Transaction;
use zincpier::provider::TransactionOutcome;
use zincpier::workflow::CallerScope;
use zincpier::workflow::CancelOutcome;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::EarlyCancel;
use zincpier::workflow::EarlyCancels;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LookupOutcome;
use zincpier::workflow::RecordLimiter;
use zincpier::workflow::SubmitOutcome;

use crate::fake_table::FakeTable;
use crate::runtime::run;

const JOB: &str = "00000000000000a7";
const SUBMISSION_KEY: &str = "jobs@7/00000000000000a7";
const CANCEL_KEY: &str = "jobs@7/00000000000000a7.cancel";
const ENDED_KEY: &str = "ended@7/00000000000000a7";

/// The time that a request may take.
const DEADLINE: Duration = Duration::from_millis(700);

/// The latest time after which the table carries out a call that it left unanswered.
const MAX_DELAY_MS: u64 = 2_000;

fn job_id() -> JobId {
    JOB.parse().unwrap()
}

fn organisation(name: &str) -> CallerScope {
    CallerScope::Organisation(name.parse().unwrap())
}

fn spec(scope: &CallerScope) -> JobSpec {
    JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: scope.organisation().cloned(),
        payload: "text".to_owned(),
        steps: vec![fixtures::step(1)],
        schedule: None,
    }
}

fn intake<T: TableService>(table: &Rc<T>) -> JobIntake<T> {
    JobIntake::new(Rc::clone(table), Rc::new(CountFreshness::new()))
}

fn deadline() -> Instant {
    Instant::now() + DEADLINE
}

/// Submits a job to a table that carries the submission out once the test says so.
async fn submit_late(table: &Rc<FakeTable>, scope: &CallerScope) {
    table.late_time.set(Some(Duration::from_secs(3_600)));
    let deadline = Instant::now() + Duration::from_millis(100);
    let outcome = intake(table)
        .submit(&job_id(), &spec(scope), scope, deadline)
        .await;
    assert_eq!(outcome, SubmitOutcome::Unknown);
    table.late_time.set(None);
}

async fn submit(table: &Rc<FakeTable>, scope: &CallerScope) -> SubmitOutcome {
    intake(table)
        .submit(&job_id(), &spec(scope), scope, deadline())
        .await
}

async fn cancel(table: &Rc<FakeTable>, scope: &CallerScope) -> CancelOutcome {
    intake(table).cancel(&job_id(), scope, deadline()).await
}

async fn look_up(table: &Rc<FakeTable>, scope: &CallerScope) -> LookupOutcome {
    intake(table).look_up(&job_id(), scope).await
}

/// Guards against a submission that the table carries out after the cancellation was answered with "no
/// such job".
#[test]
fn cancelled_job_is_not_stored_by_a_submission_under_way() {
    run(async {
        let table = Rc::new(FakeTable::default());
        let scope = CallerScope::Everything;
        submit_late(&table, &scope).await;

        let outcome = cancel(&table, &scope).await;
        table.commit_all_late();

        assert_eq!(outcome, CancelOutcome::NoJob);
        assert_eq!(look_up(&table, &scope).await, LookupOutcome::NoJob);
        assert!(table.row(SUBMISSION_KEY).is_none());
    });
}

/// Guards against an answer that depends on whether the table stored the submission before or after the
/// cancellation.
#[test]
fn cancelled_job_that_is_submitted_again_is_accepted_and_shown_as_cancelled() {
    run(async {
        let table = Rc::new(FakeTable::default());
        let scope = CallerScope::Everything;
        submit_late(&table, &scope).await;
        cancel(&table, &scope).await;

        let outcome = submit(&table, &scope).await;
        table.commit_all_late();

        assert_eq!(outcome, SubmitOutcome::Known);
        let found = look_up(&table, &scope).await;
        assert_eq!(found, LookupOutcome::Found(JobPhase::Cancelled));
        assert_eq!(cancel(&table, &scope).await, CancelOutcome::Accepted);
        assert!(table.row(SUBMISSION_KEY).is_none());
    });
}

/// Guards against a record that is taken for a job of its caller, or keeps the job of another organisation
/// from being accepted.
#[test]
fn cancellation_by_another_organisation_does_not_harm_a_job() {
    run(async {
        let table = Rc::new(FakeTable::default());
        let (owner, other) = (organisation("north"), organisation("south"));
        submit_late(&table, &other).await;
        assert_eq!(cancel(&table, &other).await, CancelOutcome::NoJob);

        let outcome = submit(&table, &owner).await;
        table.commit_all_late();

        assert_eq!(outcome, SubmitOutcome::Accepted);
        let found = look_up(&table, &owner).await;
        assert_eq!(found, LookupOutcome::Found(JobPhase::Queued));
        assert_eq!(look_up(&table, &other).await, LookupOutcome::NoJob);
        assert_eq!(cancel(&table, &other).await, CancelOutcome::NoJob);
        assert!(table.row(CANCEL_KEY).is_none());
        assert!(table.row(ENDED_KEY).is_none());
    });
}

/// Guards against a cancellation that is answered although nothing holds the submission back.
#[test]
fn cancellation_that_can_not_be_recorded_is_not_acknowledged() {
    run(async {
        let table = Rc::new(FakeTable::default());
        table.lost_requests.set(100);

        let outcome = cancel(&table, &CallerScope::Everything).await;

        assert_eq!(outcome, CancelOutcome::Unknown);
    });
}

/// Guards against a flood of cancellations of ids that never existed, which would take the table's rate.
#[test]
fn few_cancellations_of_unknown_jobs_are_recorded() {
    let limiter = RecordLimiter::new();

    let at_once = (0..1_000).filter(|_| limiter.admit(5_000)).count();
    let later = (0..1_000).filter(|_| limiter.admit(15_000)).count();

    assert_eq!(at_once, 32);
    assert_eq!(later, 20);
}

/// Guards against records that stay in the table, and against the deletion of one that was replaced.
#[test]
fn records_expire_by_age_and_number() {
    let mut records = EarlyCancels::new();
    let id = |number: u64| format!("{number:016x}").parse::<JobId>().unwrap();
    records.insert(id(1), Revision::new(5), 0, 1_000);
    records.insert(id(2), Revision::new(6), 10_000, 12_000);
    records.insert(id(1), Revision::new(9), 0, 90_000);
    records.insert(id(1), Revision::new(5), 0, 1_000);

    assert!(records.expired(152_000).is_empty());
    assert_eq!(records.expired(152_001), [(id(2), Revision::new(6))]);
    records.remove(&id(1), Revision::new(5));
    records.remove(&id(2), Revision::new(6));
    assert_eq!(records.len(), 1);

    for number in 0..20_000 {
        records.insert(id(100 + number), Revision::new(10 + number), 0, 100_000);
    }
    assert_eq!(records.expired(100_000), [(id(1), Revision::new(9))]);
}

/// Guards against rows of earlier versions that are taken for records.
#[test]
fn rows_of_archived_and_cancelled_jobs_are_no_records() {
    for row in [json!(true), json!("aborted"), json!({ "phase": "aborted" })] {
        assert_eq!(EarlyCancel::from_row(&row), None);
    }
}

/// A table that answers calls, refuses them, loses their answers, or carries them out later, at random.
struct UnreliableTable {
    table: FakeTable,
    random: RefCell<SmallRng>,
    /// Calls that are still to be carried out, each with its time.
    delayed: RefCell<Vec<(Instant, Transaction)>>,
    /// Every call is answered at once.
    is_reliable: Cell<bool>,
    /// The callers whose cancellation was answered.
    answered: RefCell<Vec<CallerScope>>,
}

impl UnreliableTable {
    fn new(seed: u64) -> Rc<Self> {
        Rc::new(Self {
            table: FakeTable::default(),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            delayed: RefCell::default(),
            is_reliable: Cell::new(false),
            answered: RefCell::default(),
        })
    }

    fn draw(&self, limit: u32) -> u32 {
        self.random.borrow_mut().random_range(0..limit)
    }

    /// Carries out a call, and checks that it stores no job whose cancellation was answered.
    fn commit(&self, transaction: &Transaction) -> TransactionOutcome {
        let outcome = self.table.commit(transaction);
        if let Some(owner) = self.running_owner() {
            for scope in self.answered.borrow().iter() {
                assert!(!scope.includes(owner.as_ref()), "cancelled by {scope:?}");
            }
        }
        outcome
    }

    /// Returns the owner of the stored job, if there is one that is not cancelled.
    fn running_owner(&self) -> Option<Option<OrganisationId>> {
        let row = self.table.row(SUBMISSION_KEY)?;
        let owner = row.value.get("organisation").and_then(|id| id.as_str());
        let is_cancelled = self.table.row(CANCEL_KEY).is_some();
        (!is_cancelled).then(|| owner.map(|id| id.parse().unwrap()))
    }

    fn commit_delayed(&self, until: Instant) {
        let (due, rest): (Vec<_>, Vec<_>) = self
            .delayed
            .take()
            .into_iter()
            .partition(|(at, _)| *at <= until);
        self.delayed.replace(rest);
        for (_, transaction) in due {
            self.commit(&transaction);
        }
    }

    /// Lets other requests go on, and the delayed calls whose time has come.
    async fn pass_time(&self) {
        if !self.is_reliable.get() {
            let wait_ms = self.draw(12);
            sleep(Duration::from_millis(u64::from(wait_ms))).await;
            self.commit_delayed(Instant::now());
        }
    }
}

impl TableService for UnreliableTable {
    async fn transact(&self, transaction: &Transaction) -> Result<TransactionOutcome> {
        self.pass_time().await;
        let silent = Err(Error::PlatformSilent("no answer".to_owned()));
        let draw = match self.is_reliable.get() {
            true => 0,
            false => self.draw(100),
        };
        match draw {
            0..55 => Ok(self.commit(transaction)),
            55..65 => Err(Error::PlatformRefused {
                status: 503,
                reason: "busy".to_owned(),
            }),
            65..75 => {
                self.commit(transaction);
                silent
            }
            _ => {
                let delay_ms = self.random.borrow_mut().random_range(0..MAX_DELAY_MS);
                let at = Instant::now() + Duration::from_millis(delay_ms);
                let late = (at, transaction.clone());
                self.delayed.borrow_mut().push(late);
                silent
            }
        }
    }

    async fn read(&self, keys: &[&str]) -> Result<Vec<TableRow>> {
        self.pass_time().await;
        if !self.is_reliable.get() && self.draw(100) < 10 {
            return Err(Error::PlatformSilent("no answer".to_owned()));
        }
        self.table.read(keys).await
    }

    async fn revisions(&self, keys: &[&str]) -> Result<Vec<RowCheck>> {
        self.table.revisions(keys).await
    }

    async fn scan(&self, prefix: &str, after: &str, limit: usize) -> Result<Vec<TableRow>> {
        self.table.scan(prefix, after, limit).await
    }
}

/// A request of a caller, at an entry host of its own.
#[derive(Clone, Debug)]
struct DrawnRequest {
    scope: CallerScope,
    is_submission: bool,
    after_ms: u64,
}

fn draw_requests(random: &mut SmallRng) -> Vec<DrawnRequest> {
    let scopes = match random.random_bool(0.4) {
        true => vec![CallerScope::Everything],
        false => vec![
            organisation("north"),
            organisation("south"),
            CallerScope::Public,
        ],
    };
    let count = random.random_range(2..8);
    let requests = (0..count).map(|_| DrawnRequest {
        scope: scopes[random.random_range(0..scopes.len())].clone(),
        is_submission: random.random_bool(0.6),
        after_ms: random.random_range(0..900),
    });
    requests.collect()
}

/// Sends one request; returns whether it was a submission that was accepted.
async fn send(table: Rc<UnreliableTable>, request: DrawnRequest) -> bool {
    sleep(Duration::from_millis(request.after_ms)).await;
    let intake = intake(&table);
    let scope = &request.scope;
    if request.is_submission {
        let outcome = intake
            .submit(&job_id(), &spec(scope), scope, deadline())
            .await;
        return matches!(outcome, SubmitOutcome::Accepted | SubmitOutcome::Known);
    }
    let outcome = intake.cancel(&job_id(), scope, deadline()).await;
    if outcome != CancelOutcome::Unknown {
        table.answered.borrow_mut().push(scope.clone());
    }
    false
}

async fn play(seed: u64) -> bool {
    let table = UnreliableTable::new(seed);
    let requests = draw_requests(&mut SmallRng::seed_from_u64(!seed));
    let sent = requests.iter().cloned();
    let accepted = join_all(sent.map(|request| send(Rc::clone(&table), request))).await;
    table.is_reliable.set(true);
    table.commit_delayed(Instant::now() + Duration::from_millis(MAX_DELAY_MS));

    // What was accepted is known, and runs unless a caller who may has cancelled it.
    for (request, _) in requests.iter().zip(accepted).filter(|(_, known)| *known) {
        let found = intake(&table).look_up(&job_id(), &request.scope).await;
        assert!(
            matches!(found, LookupOutcome::Found(_)),
            "{found:?} for {request:?}, seed {seed}: {requests:?}"
        );
        let owner = request.scope.organisation();
        let may_cancel = |one: &DrawnRequest| !one.is_submission && one.scope.includes(owner);
        // A job without an owner is known to all, and others may cancel it.
        let is_public =
            |one: &DrawnRequest| one.is_submission && one.scope.organisation().is_none();
        let is_shared = owner.is_some() && requests.iter().any(is_public);
        if !is_shared && !requests.iter().any(may_cancel) {
            assert!(
                table.running_owner().is_some(),
                "{request:?}, seed {seed}: {requests:?}"
            );
        }
    }
    let is_held = !table.answered.borrow().is_empty();
    is_held && requests.iter().any(|request| request.is_submission)
}

/// Guards against any order of submissions, cancellations and calls that are carried out late in which a job
/// runs whose cancellation was answered, an accepted one is lost, or one organisation stops another's.
#[test]
fn answered_cancellations_hold_whenever_the_table_carries_out_submissions() {
    run(async {
        let played = join_all((0..1_500).map(play)).await;

        let compared = played.into_iter().filter(|is_held| *is_held).count();
        assert!(compared > 600, "{compared} courses with a cancellation");
    });
}
