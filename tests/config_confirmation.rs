//! Until when the configuration of an entry host is confirmed as the newest. Guards against keys that
//! are accepted, or refused, from a configuration that is older than it is taken for.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/runtime.rs"]
mod runtime;

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use zincpier::error::Error;
use zincpier::error::Result;
use zincpier::id::Revision;
use zincpier::id::WaveId;
use zincpier::process::boot_ms;
use zincpier::workflow::ChangeFeed;
use zincpier::workflow::ChangeSet;
use zincpier::workflow::FleetConfig;
use zincpier::workflow::FleetView;
use zincpier::workflow::OperatorChange;
use zincpier::workflow::OrganisationDirectory;
use zincpier::workflow::TableChange;
use zincpier::workflow::WorkerChange;

use crate::runtime::run;

/// The time for which a [`DelayedFeed`] keeps an answer back.
const ANSWER_DELAY: Duration = Duration::from_millis(300);

/// The time in which a slow table answers.
const SLOW_ANSWER: Duration = Duration::from_millis(420);

fn config(version: u64) -> OperatorChange {
    OperatorChange::Config(FleetConfig {
        version,
        organisations: Some(OrganisationDirectory::default()),
        ..fixtures::config()
    })
}

fn version(view: &FleetView) -> u64 {
    view.config().map_or(0, |config| config.version)
}

/// Guards against a restarted entry host that takes the lack of a configuration for a recent one.
#[test]
fn nothing_is_confirmed_before_the_first_answer() {
    assert_eq!(FleetView::new().config_age_ms(boot_ms()), None);
}

/// Guards against the time of an answer that is taken for that of the poll.
#[test]
fn answer_confirms_as_of_the_sending_of_its_poll() {
    let view = FleetView::new();

    view.accept_answer(vec![config(1)], 10_000);
    view.accept_answer(Vec::new(), 11_000);

    assert_eq!(view.config_age_ms(12_500), Some(1_500));
}

/// Guards against a clock that can't be read, whose time is 0, and that would confirm for ever.
#[test]
fn time_before_the_confirmation_has_no_age() {
    let view = FleetView::new();

    view.accept_answer(vec![config(1)], 10_000);

    assert_eq!(view.config_age_ms(0), None);
}

/// Guards against an older version that replaces the newest, and against rows from before the newest
/// that confirm it.
#[test]
fn version_out_of_order_replaces_and_confirms_nothing() {
    let view = FleetView::new();
    view.accept_answer(vec![config(7)], 10_000);

    view.accept_answer(vec![config(6)], 11_000);
    let outdated = (version(&view), view.config_age_ms(12_000));
    view.accept_answer(Vec::new(), 11_500);

    assert_eq!(outdated, (7, Some(2_000)));
    assert_eq!(version(&view), 7);
    assert_eq!(view.config_age_ms(12_000), Some(500));
}

/// Guards against a revocation in a version that could not be decoded: the version before it is no
/// longer the newest, however many polls are answered.
#[test]
fn unreadable_version_confirms_nothing_until_a_later_one_is_read() {
    let view = FleetView::new();
    view.accept_answer(vec![config(7)], 10_000);

    view.accept_answer(vec![OperatorChange::UnreadableConfig], 11_000);
    view.accept_answer(Vec::new(), 12_000);
    let unreadable = (version(&view), view.config_age_ms(13_000));
    view.accept_answer(vec![config(9)], 12_500);

    assert_eq!(unreadable, (7, Some(3_000)));
    assert_eq!(version(&view), 9);
    assert_eq!(view.config_age_ms(13_000), Some(500));
}

/// A feed whose answers are delayed, or fail.
struct DelayedFeed {
    delay: Duration,
    fails: Cell<bool>,
    /// The answer to the next poll.
    changes: RefCell<Vec<OperatorChange>>,
    /// The waits of the polls that were answered.
    waits: RefCell<Vec<Duration>>,
}

impl DelayedFeed {
    fn new(delay: Duration, changes: Vec<OperatorChange>) -> Rc<Self> {
        Rc::new(Self {
            delay,
            fails: Cell::new(false),
            changes: RefCell::new(changes),
            waits: RefCell::default(),
        })
    }

    /// Starts a view that watches the feed.
    fn watch(self: &Rc<Self>) -> Rc<FleetView> {
        let view = FleetView::new();
        let (watched_view, watched_feed) = (Rc::clone(&view), Rc::clone(self));
        monoio::spawn(async move { watched_view.watch(watched_feed.as_ref()).await });
        view
    }

    async fn await_answers(&self, count: usize) {
        while self.waits.borrow().len() < count {
            sleep(Duration::from_millis(5)).await;
        }
    }
}

impl ChangeFeed for DelayedFeed {
    async fn row_changes(
        &self,
        _: &str,
        _: Revision,
        _: Duration,
    ) -> Result<ChangeSet<TableChange>> {
        Ok(ChangeSet::HistoryLost)
    }

    async fn operator_changes(
        &self,
        since: Revision,
        wait: Duration,
    ) -> Result<ChangeSet<OperatorChange>> {
        let changes = self.changes.take();
        // All rows are read without a wait for a change.
        if since > Revision::new(0) {
            sleep(wait).await;
        }
        sleep(self.delay).await;
        if self.fails.get() {
            return Err(Error::PlatformSilent("cut off".to_owned()));
        }
        self.waits.borrow_mut().push(wait);
        Ok(ChangeSet::Changes(changes, Revision::new(1)))
    }

    async fn worker_changes(&self, _: Revision, _: Duration) -> Result<ChangeSet<WorkerChange>> {
        Ok(ChangeSet::HistoryLost)
    }

    async fn publish_wave(&self, _: &WaveId, _: bool) -> Result<()> {
        Ok(())
    }
}

/// Guards against a poll whose answer is on its way while a key is revoked, and against failed polls
/// that confirm a version.
#[test]
fn watched_feed_confirms_as_of_the_sending_and_not_by_failures() {
    run(async {
        // Arrange.
        let feed = DelayedFeed::new(ANSWER_DELAY, vec![config(1)]);
        let view = feed.watch();

        // Act.
        feed.await_answers(1).await;
        let age_ms = view.config_age_ms(boot_ms()).unwrap();
        feed.fails.set(true);
        sleep(ANSWER_DELAY * 4).await;
        let failing_age_ms = view.config_age_ms(boot_ms()).unwrap();

        // Assert.
        let delay_ms = ANSWER_DELAY.as_millis() as u64;
        assert!(age_ms >= delay_ms, "{age_ms}");
        assert!(failing_age_ms >= age_ms + 4 * delay_ms, "{failing_age_ms}");
    });
}

/// Guards against polls so rare that a slow table leaves less than 3 s of the 4.9 s for which keys are
/// accepted without it.
#[test]
fn slow_table_confirms_often_enough_to_serve_keys_without_it() {
    run(async {
        // Arrange.
        let feed = DelayedFeed::new(SLOW_ANSWER, vec![config(1)]);
        let view = feed.watch();
        feed.await_answers(1).await;

        // Act.
        let mut max_age_ms = 0;
        while feed.waits.borrow().len() < 4 {
            max_age_ms = max_age_ms.max(view.config_age_ms(boot_ms()).unwrap());
            sleep(Duration::from_millis(5)).await;
        }

        // Assert.
        assert!(max_age_ms < 1_900, "{max_age_ms}");
    });
}

/// Guards against more polls in deployments without organisations.
#[test]
fn polls_are_shorter_only_with_organisations() {
    run(async {
        // Arrange.
        let without = OperatorChange::Config(fixtures::config());
        let plain_feed = DelayedFeed::new(Duration::ZERO, vec![without]);
        let keyed_feed = DelayedFeed::new(Duration::ZERO, vec![config(1)]);

        // Act.
        plain_feed.watch();
        keyed_feed.watch();
        plain_feed.await_answers(2).await;
        keyed_feed.await_answers(2).await;

        // Assert.
        assert_eq!(plain_feed.waits.borrow()[1], Duration::from_millis(700));
        assert_eq!(keyed_feed.waits.borrow()[1], Duration::from_millis(500));
    });
}
