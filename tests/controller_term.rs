//! Guards against metrics that keep the values of a term that has ended.

use std::rc::Rc;

use zincpier::process::EntryMetrics;
use zincpier::workflow::ControllerTerm;
use zincpier::workflow::HostCommands;
use zincpier::workflow::JobEngine;

/// An entry host that has lost the lease would report its open jobs for ever, besides those of the
/// holder.
#[test]
fn ended_term_reports_no_lease_and_no_open_jobs() {
    let metrics = Rc::new(EntryMetrics::new());
    let commands = HostCommands::new(None, 0);
    let term = ControllerTerm::new(3, JobEngine::new(0, 0), commands, Rc::clone(&metrics));
    metrics.open_jobs.set(12);
    assert_eq!(metrics.lease_epoch.get(), 3);

    term.end("the test ends it");

    assert_eq!(metrics.lease_epoch.get(), 0);
    assert_eq!(metrics.open_jobs.get(), 0);
}
