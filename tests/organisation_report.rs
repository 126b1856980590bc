//! Guards the view of organisations that operators get from entry hosts' metrics.

use std::collections::BTreeMap;

use zincpier::operator::OrganisationReport;
use zincpier::process::EntryMetrics;
use zincpier::process::OrganisationGauges;

/// Fails if a metric is renamed on one side only, if hosts' counts are not summed up, or if an
/// organisation that only one host has counted is missing.
#[test]
fn report_sums_up_the_metrics_of_all_entry_hosts() {
    let controller = EntryMetrics::new();
    let gauges = OrganisationGauges {
        waiting_jobs: 40,
        running_millis: 9_000,
        share_millis: 8_000,
        cap_millis: 9_500,
    };
    let gauges = BTreeMap::from([("north".to_owned(), gauges)]);
    controller.organisations.set_gauges(gauges);
    controller.organisations.count_accepted("north");
    let other = EntryMetrics::new();
    other.organisations.count_accepted("north");
    other.organisations.count_refused("north");
    other.organisations.count_refused("south");

    let texts = [controller.to_text(), other.to_text()];
    let reports = OrganisationReport::read_all(&texts);

    let north = OrganisationReport {
        organisation: "north".to_owned(),
        running_millis: 9_000,
        waiting_jobs: 40,
        share_millis: 8_000,
        cap_millis: 9_500,
        accepted_jobs: 2,
        refused_jobs: 1,
    };
    let south = OrganisationReport {
        organisation: "south".to_owned(),
        refused_jobs: 1,
        ..OrganisationReport::default()
    };
    assert_eq!(reports, [north, south]);
}

/// Guards against values that grow with each scrape, since the encoded values are rebuilt for each.
#[test]
fn repeated_scrapes_show_the_same_values() {
    let metrics = EntryMetrics::new();
    metrics.organisations.count_accepted("north");

    let first = metrics.to_text();
    let second = metrics.to_text();

    assert!(first.contains("accepted_jobs_total{organisation=\"north\"} 1"));
    assert_eq!(first, second);
}
