//! Limits on organisations between controllers and entry hosts, over an in-memory platform.

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
use zincpier::process::boot_ms;
use zincpier::process::EntryMetrics;
use zincpier::process::ShutdownSignal;
use zincpier::workflow::BacklogView;
use zincpier::workflow::CallerScope;
use zincpier::workflow::Controller;
use zincpier::workflow::CountFreshness;
use zincpier::workflow::FleetView;
use zincpier::workflow::JobIntake;
use zincpier::workflow::JobSpec;
use zincpier::workflow::Organisation;
use zincpier::workflow::OrganisationDirectory;
use zincpier::workflow::ResourceCap;
use zincpier::workflow::ShareWeight;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

const TIMEOUT: Duration = Duration::from_secs(15);

/// Time for which a statement is used, with the interval of a read.
const EXPIRY: Duration = Duration::from_millis(1_900);

/// An entry host and what operators and its callers see of it.
struct Entry {
    link: Rc<FakeLink>,
    backlogs: Rc<BacklogView>,
    metrics: Rc<EntryMetrics>,
    shutdown: ShutdownSignal,
}

impl Entry {
    fn start(fleet: &Rc<FakeFleet>, name: &str) -> Self {
        let entry = Self {
            link: FakeLink::new(fleet),
            backlogs: Rc::new(BacklogView::new()),
            metrics: Rc::new(EntryMetrics::new()),
            shutdown: ShutdownSignal::new(),
        };
        let view = FleetView::new();
        let watched = (Rc::clone(&entry.link), Rc::clone(&view));
        monoio::spawn(async move { watched.1.watch(watched.0.as_ref()).await });
        let controller = Controller::new(
            Rc::clone(&entry.link),
            view,
            name.to_owned(),
            Rc::clone(&entry.metrics),
            Rc::new(CountFreshness::new()),
            entry.shutdown.clone(),
        )
        .with_backlogs(Rc::clone(&entry.backlogs));
        monoio::spawn(async move { controller.run().await });
        entry
    }

    /// Returns whether this entry host limits the submissions of north.
    fn limits_north(&self) -> bool {
        let organisation = "north".parse().unwrap();
        let service = fixtures::SERVICE.parse().unwrap();
        let limits = &self.backlogs.limits;
        limits.window(&organisation, &service, boot_ms()).is_some()
    }

    fn reports_waiting_jobs(&self) -> bool {
        let text = self.metrics.to_text();
        text.contains("zincpier_organisation_waiting_jobs{organisation=\"north\"}")
    }
}

fn fleet() -> Rc<FakeFleet> {
    let north = Organisation {
        id: "north".parse().unwrap(),
        keys: Vec::new(),
        priority: 0,
        weight: ShareWeight::new(4.0),
        cap: ResourceCap::default(),
    };
    let mut config = fixtures::config();
    config.organisations = Some(OrganisationDirectory::new(vec![north]));
    let workers = (0..4).map(fixtures::worker_entry).collect();
    FakeFleet::new(config, workers)
}

/// Submits a hundred jobs a second, each as wide as the pool, until `is_done`; panics after
/// [`TIMEOUT`]. Jobs that would be refused are submitted as well.
async fn surge_until(link: &Rc<FakeLink>, first: usize, is_done: impl Fn() -> bool) {
    let intake = JobIntake::new(Rc::clone(link), Rc::new(CountFreshness::new()));
    let deadline = Instant::now() + TIMEOUT;
    for number in first.. {
        if is_done() {
            return;
        }
        assert!(Instant::now() < deadline, "not done in time");
        let id: JobId = format!("{number:016x}").parse().unwrap();
        let spec = JobSpec {
            queue: fixtures::QUEUE.to_owned(),
            organisation: Some("north".parse().unwrap()),
            payload: String::new(),
            steps: vec![fixtures::step(32)],
            schedule: None,
        };
        intake
            .submit(&id, &spec, &CallerScope::Everything, deadline)
            .await;
        sleep(Duration::from_millis(10)).await;
    }
}

/// Guards against a limit that only the controller's own entry host knows, and against metrics of the
/// controller on other hosts.
#[test]
fn limit_reaches_other_entry_hosts_by_the_leader_row() {
    run(async {
        let fleet = fleet();
        let first = Entry::start(&fleet, "first");
        sleep(Duration::from_millis(500)).await;
        let second = Entry::start(&fleet, "second");

        surge_until(&second.link, 0, || {
            first.limits_north() && second.limits_north()
        })
        .await;

        assert!(first.reports_waiting_jobs());
        assert!(!second.reports_waiting_jobs());
    });
}

/// Guards against limits of a former controller that stay in force after it has released the lease,
/// and against its metrics.
#[test]
fn limit_ends_with_the_controller_that_has_measured() {
    run(async {
        let fleet = fleet();
        let first = Entry::start(&fleet, "first");
        sleep(Duration::from_millis(500)).await;
        let second = Entry::start(&fleet, "second");
        surge_until(&second.link, 0, || second.limits_north()).await;

        // Nothing is submitted from now on, so that the successor has nothing to limit.
        first.shutdown.give_notice();
        first.shutdown.close();
        sleep(EXPIRY).await;

        assert!(!second.limits_north());
        assert!(!first.reports_waiting_jobs());
        assert!(second.reports_waiting_jobs(), "it is the controller now");
    });
}

/// Guards against an entry host that is cut off from the table and refuses by what it read before.
#[test]
fn host_that_is_cut_off_admits_everything() {
    run(async {
        let fleet = fleet();
        let _first = Entry::start(&fleet, "first");
        sleep(Duration::from_millis(500)).await;
        let second = Entry::start(&fleet, "second");
        surge_until(&second.link, 0, || second.limits_north()).await;

        second.link.is_disconnected.set(true);
        let third = FakeLink::new(&fleet);
        let cut_off = Instant::now();
        surge_until(&third, 100_000, || cut_off.elapsed() > EXPIRY).await;

        assert!(!second.limits_north());
    });
}
