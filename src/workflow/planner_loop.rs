//! Places tasks whenever something has changed.

use std::rc::Rc;
use std::time::Duration;

use monoio::time::sleep;
use monoio::time::timeout;

use crate::process::boot_ms;
use crate::process::now_ms;
use crate::workflow::send_stop;
use crate::workflow::ControllerTerm;
use crate::workflow::FleetPlatform;
use crate::workflow::FleetView;
use crate::workflow::StopRequest;

/// The time between two looks of the planner when nothing wakes it.
const PLAN_PAUSE: Duration = Duration::from_millis(100);

/// The least time between two looks of the planner: ends within it share one.
const PLAN_GATHER: Duration = Duration::from_millis(8);

/// Runs the planner for as long as the term goes on.
pub(crate) async fn run_planner<P: FleetPlatform>(
    platform: Rc<P>,
    term: Rc<ControllerTerm>,
    view: Rc<FleetView>,
) {
    while term.is_active() {
        // Without a wake the planner looks for what has become due.
        let _ = timeout(PLAN_PAUSE, term.plan.notified()).await;
        for stop in look(&term, &view) {
            monoio::spawn(send_stop(Rc::clone(&platform), Rc::clone(&term), stop));
        }
        sleep(PLAN_GATHER).await;
    }
}

/// Places what can be placed and returns the stops to be sent.
fn look(term: &ControllerTerm, view: &FleetView) -> Vec<StopRequest> {
    let mut engine = term.engine.borrow_mut();
    engine.config = view.config();
    engine.expire_workers(boot_ms());
    engine.release_stalled(boot_ms());
    engine.place_tasks(boot_ms(), now_ms());
    term.metrics.open_jobs.set(engine.open_jobs.len() as i64);
    if engine.has_changes() {
        term.commit.notify_one();
    }
    engine.take_stops()
}
