//! The age of jobs, which must not begin anew when another entry host becomes the controller.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/fake_fleet.rs"]
mod fake_fleet;

#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::Instant;
use zincpier::id::JobId;
use zincpier::process::EntryMetrics;
use zincpier::process::ShutdownSignal;
use zincpier::provider::TableClock;
use zincpier::workflow::CallerScope;
use zincpier::workflow::Controller;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::FleetView;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobPhase;
use zincpier::workflow::JobSpec;
use zincpier::workflow::LookupOutcome;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

const TIMEOUT: Duration = Duration::from_secs(15);

/// Jobs of an outage, and the time since their submission. Their results are of no use any more.
const OLD_JOBS: usize = 60;
const OLD_AGE_MS: u64 = 60_000;

fn job_id(number: usize) -> JobId {
    format!("{number:016x}").parse().unwrap()
}

async fn submit(link: &Rc<FakeLink>, number: usize) {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    let spec = JobSpec {
        queue: fixtures::QUEUE.to_owned(),
        organisation: None,
        payload: "text".to_owned(),
        steps: vec![fixtures::step(4)],
        schedule: None,
    };
    let deadline = Instant::now() + TIMEOUT;
    let scope = CallerScope::Everything;
    intake
        .submit(&job_id(number), &spec, &scope, deadline)
        .await;
}

fn start_controller(fleet: &Rc<FakeFleet>) {
    let link = FakeLink::new(fleet);
    let view = FleetView::new();
    let watch = (Rc::clone(&link), Rc::clone(&view));
    monoio::spawn(async move { watch.1.watch(watch.0.as_ref()).await });
    let controller = Controller::new(
        link,
        view,
        "boston-1".to_owned(),
        Rc::new(EntryMetrics::new()),
        Rc::new(CountFreshness::new()),
        ShutdownSignal::new(),
    );
    monoio::spawn(async move { controller.run().await });
}

/// Guards against a controller that takes jobs which have waited for a minute for new ones, and
/// makes those late that can still be in time.
#[test]
fn job_of_an_outage_does_not_come_before_a_new_one() {
    run(async {
        // Arrange: the new job has the largest id, by which jobs of the same age are ordered.
        let fleet = FakeFleet::new(fixtures::config(), vec![fixtures::worker_entry(0)]);
        let link = FakeLink::new(&fleet);
        for number in 0..OLD_JOBS {
            submit(&link, number).await;
        }
        fleet.clock_ahead_ms.set(OLD_AGE_MS);
        submit(&link, OLD_JOBS).await;

        // Act.
        start_controller(&fleet);
        let intake = JobIntake::new(Rc::clone(&link), Rc::new(CountFreshness::new()));
        let deadline = Instant::now() + TIMEOUT;
        let new_job = job_id(OLD_JOBS);
        while intake.look_up(&new_job, &CallerScope::Everything).await
            != LookupOutcome::Found(JobPhase::Complete)
        {
            assert!(Instant::now() < deadline, "the new job is not complete");
            sleep(Duration::from_millis(10)).await;
        }

        // Assert: the worker has room for two jobs at once.
        let mut complete = 0;
        for number in 0..OLD_JOBS {
            let found = intake
                .look_up(&job_id(number), &CallerScope::Everything)
                .await;
            complete += usize::from(found == LookupOutcome::Found(JobPhase::Complete));
        }
        assert!(complete < OLD_JOBS / 4, "{complete} old jobs came first");
    });
}

/// Guards against ages that grow by the time that an answer took, or that go wrong when the offset of
/// the clocks isn't known.
#[test]
fn answer_that_took_least_tells_the_table_time() {
    let clock = TableClock::new();
    let unknown = clock.table_ms(1_000);

    clock.record(50_000, 1_000);
    clock.record(50_100, 1_900);

    assert_eq!(unknown, None);
    assert_eq!(clock.table_ms(2_000), Some(51_000));
}

/// Guards against an offset that is kept although the clocks drift apart.
#[test]
fn old_offset_is_replaced_by_a_smaller_one() {
    let clock = TableClock::new();
    clock.record(50_000, 1_000);

    clock.record(60_800, 12_000);

    assert_eq!(clock.table_ms(12_000), Some(60_800));
}
