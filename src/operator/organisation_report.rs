//! What entry hosts' metrics say of organisations.

use std::collections::BTreeMap;

use serde::Serialize;

/// Name prefix of the metrics by organisation, and their only label.
const METRIC_PREFIX: &str = "zincpier_organisation_";
const LABEL_START: &str = "{organisation=\"";

/// What is known of one organisation, or of all that are not among the largest (`other`).
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize)]
pub struct OrganisationReport {
    /// The organisation, or `other`.
    pub organisation: String,
    /// CPU of its placed tasks, in millicores.
    pub running_millis: u64,
    /// Jobs with tasks that wait.
    pub waiting_jobs: u64,
    /// Its share by weight of the pools that it uses, in millicores.
    pub share_millis: u64,
    /// The limit on its CPU, in millicores; 0 if there is none.
    pub cap_millis: u64,
    /// Jobs that were accepted since the entry hosts started.
    pub accepted_jobs: u64,
    /// Jobs that were refused for its rate or share since the entry hosts started.
    pub refused_jobs: u64,
}

impl OrganisationReport {
    /// Reads the metrics of entry hosts, in the Prometheus text format, and sums them up: jobs are
    /// counted by each host, and only the controller's host knows the other values. The organisation
    /// with the most running CPU comes first.
    pub fn read_all(texts: &[String]) -> Vec<Self> {
        let mut reports: BTreeMap<String, Self> = BTreeMap::new();
        let lines = texts.iter().flat_map(|text| text.lines());
        for (metric, organisation, value) in lines.filter_map(parse_line) {
            let report = reports
                .entry(organisation.to_owned())
                .or_insert_with(|| Self {
                    organisation: organisation.to_owned(),
                    ..Self::default()
                });
            if let Some(field) = report.field_mut(metric) {
                *field += value;
            }
        }
        let mut reports: Vec<_> = reports.into_values().collect();
        reports.sort_by_key(|report| {
            let size = (report.running_millis, report.waiting_jobs);
            (std::cmp::Reverse(size), report.organisation.clone())
        });
        reports
    }

    fn field_mut(&mut self, metric: &str) -> Option<&mut u64> {
        match metric {
            "running_millis" => Some(&mut self.running_millis),
            "waiting_jobs" => Some(&mut self.waiting_jobs),
            "share_millis" => Some(&mut self.share_millis),
            "cap_millis" => Some(&mut self.cap_millis),
            "accepted_jobs_total" => Some(&mut self.accepted_jobs),
            "refused_jobs_total" => Some(&mut self.refused_jobs),
            _ => None,
        }
    }
}

/// Splits a line into the metric's name without its prefix, the organisation and the value; `None` for
/// other metrics.
fn parse_line(line: &str) -> Option<(&str, &str, u64)> {
    let (metric, rest) = line.strip_prefix(METRIC_PREFIX)?.split_once(LABEL_START)?;
    let (organisation, value) = rest.split_once("\"} ")?;
    Some((metric, organisation, value.trim().parse().ok()?))
}
