//! Guards against submissions that are refused although the table is back after an outage.

#[path = "common/workflow.rs"]
mod fixtures;

#[path = "common/fake_fleet.rs"]
mod fake_fleet;

#[path = "common/runtime.rs"]
mod runtime;

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use zincpier::workflow::FleetView;

use crate::fake_fleet::FakeFleet;
use crate::fake_fleet::FakeLink;
use crate::runtime::run;

/// An outage at whose end the second poll is on its way, which is given up 0.9 s later.
const OUTAGE: Duration = Duration::from_millis(2_500);

/// Time within which the end of an outage is to be noticed: two intervals of polls.
const MAX_NOTICE_TIME: Duration = Duration::from_millis(600);

/// Starts an entry host's view of the platform in `fleet`.
fn start_view(fleet: &Rc<FakeFleet>) -> Rc<FleetView> {
    let link = FakeLink::new(fleet);
    let view = FleetView::new();
    let watcher = Rc::clone(&view);
    monoio::spawn(async move { watcher.watch(link.as_ref()).await });
    view
}

/// Guards against a table that counts as unreachable until a poll of the outage has been given up.
#[test]
fn table_is_reachable_soon_after_a_silent_outage() {
    run(async {
        let fleet = FakeFleet::new(fixtures::config(), vec![fixtures::worker_entry(0)]);
        let view = start_view(&fleet);
        sleep(Duration::from_millis(300)).await;
        fleet.table_silent.set(true);
        sleep(OUTAGE).await;
        let was_unreachable = view.is_table_unreachable();

        fleet.table_silent.set(false);
        sleep(MAX_NOTICE_TIME).await;

        assert!(was_unreachable);
        assert!(!view.is_table_unreachable(), "{} ms", view.unanswered_ms());
    });
}
