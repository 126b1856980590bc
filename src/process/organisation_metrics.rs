//! Metrics by organisation, with a bounded number of labels.

use std::cell::RefCell;
use std::collections::BTreeMap;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::registry::Registry;

/// The number of organisations with labels of their own.
const MAX_LABELS: usize = 8;

/// The label of all other organisations together.
const OTHER: &str = "other";

/// The number of organisations that are counted one by one. Further ones are counted as `other`, so
/// that a configuration with very many of them doesn't exhaust the memory of a small entry host.
const MAX_COUNTED: usize = 1_000;

/// The label of the metrics by organisation.
#[derive(Clone, Debug, EncodeLabelSet, Eq, Hash, PartialEq)]
struct OrganisationLabels {
    organisation: String,
}

/// What one organisation needs and uses, as known to the controller.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct OrganisationGauges {
    /// Jobs with tasks that wait.
    pub waiting_jobs: u64,
    /// CPU of the placed tasks, in millicores.
    pub running_millis: u64,
    /// The share by weight of the pools that the organisation uses, in millicores.
    pub share_millis: u64,
    /// The limit on the CPU of the placed tasks, in millicores; 0 if there is none.
    pub cap_millis: u64,
}

/// Jobs of one organisation that this entry host has answered.
#[derive(Clone, Copy, Debug, Default)]
struct OrganisationCounts {
    accepted: u64,
    refused: u64,
}

/// Metrics by organisation: for the 8 largest, with the rest as `other`. An organisation is large by
/// its answered jobs on this host, and on the controller's host by its running and waiting work.
#[derive(Debug, Default)]
pub struct OrganisationMetrics {
    counts: RefCell<BTreeMap<String, OrganisationCounts>>,
    gauges: RefCell<BTreeMap<String, OrganisationGauges>>,
    accepted: Family<OrganisationLabels, Counter>,
    refused: Family<OrganisationLabels, Counter>,
    waiting_jobs: Family<OrganisationLabels, Gauge>,
    running_millis: Family<OrganisationLabels, Gauge>,
    share_millis: Family<OrganisationLabels, Gauge>,
    cap_millis: Family<OrganisationLabels, Gauge>,
}

impl OrganisationMetrics {
    /// Creates the metrics and registers them.
    pub fn register(registry: &mut Registry) -> Self {
        let metrics = Self::default();
        let counters = [
            ("accepted", "Accepted jobs", &metrics.accepted),
            (
                "refused",
                "Jobs refused for rate or share",
                &metrics.refused,
            ),
        ];
        for (name, help, family) in counters {
            let name = format!("organisation_{name}_jobs");
            registry.register(name, help, family.clone());
        }
        let gauges = [
            ("waiting_jobs", "Waiting jobs", &metrics.waiting_jobs),
            ("running_millis", "Running CPU", &metrics.running_millis),
            ("share_millis", "Share of the CPU", &metrics.share_millis),
            (
                "cap_millis",
                "Cap on the CPU, 0 for none",
                &metrics.cap_millis,
            ),
        ];
        for (name, help, family) in gauges {
            registry.register(format!("organisation_{name}"), help, family.clone());
        }
        metrics
    }

    /// Counts an accepted job.
    pub fn count_accepted(&self, organisation: &str) {
        self.count(organisation, |counts| counts.accepted += 1);
    }

    /// Counts a job that was refused for its organisation's rate or share.
    pub fn count_refused(&self, organisation: &str) {
        self.count(organisation, |counts| counts.refused += 1);
    }

    /// Replaces what the controller knows of the organisations; empty on other hosts.
    pub fn set_gauges(&self, gauges: BTreeMap<String, OrganisationGauges>) {
        self.gauges.replace(gauges);
    }

    /// Updates the encoded values.
    pub fn refresh(&self) {
        for family in [&self.accepted, &self.refused] {
            family.clear();
        }
        let counts = self.counts.borrow();
        let sizes = counts
            .iter()
            .map(|(id, counts)| (id, counts.accepted + counts.refused));
        let largest = largest(sizes);
        for (id, counts) in counts.iter() {
            let labels = labels(id, &largest);
            let accepted = self.accepted.get_or_create_owned(&labels);
            accepted.inc_by(counts.accepted);
            let refused = self.refused.get_or_create_owned(&labels);
            refused.inc_by(counts.refused);
        }
        self.refresh_gauges();
    }

    fn refresh_gauges(&self) {
        let families = [
            &self.waiting_jobs,
            &self.running_millis,
            &self.share_millis,
            &self.cap_millis,
        ];
        families.iter().for_each(|family| family.clear());
        let gauges = self.gauges.borrow();
        // A waiting job counts as one core, since its work has no rate.
        let size = |one: &OrganisationGauges| one.running_millis + one.waiting_jobs * 1_000;
        let largest = largest(gauges.iter().map(|(id, one)| (id, size(one))));
        for (id, one) in gauges.iter() {
            let labels = labels(id, &largest);
            let values = [
                one.waiting_jobs,
                one.running_millis,
                one.share_millis,
                one.cap_millis,
            ];
            for (family, value) in families.iter().zip(values) {
                family.get_or_create_owned(&labels).inc_by(value as i64);
            }
        }
    }

    fn count(&self, organisation: &str, add: impl FnOnce(&mut OrganisationCounts)) {
        let mut counts = self.counts.borrow_mut();
        let is_known = counts.contains_key(organisation);
        let id = match is_known || counts.len() < MAX_COUNTED {
            true => organisation,
            false => OTHER,
        };
        match counts.get_mut(id) {
            Some(known) => add(known),
            None => add(counts.entry(id.to_owned()).or_default()),
        }
    }
}

/// Returns the ids of the largest organisations.
fn largest<'m>(sizes: impl Iterator<Item = (&'m String, u64)>) -> Vec<&'m str> {
    let mut sizes: Vec<_> = sizes.collect();
    sizes.sort_by(|(first, first_size), (second, second_size)| {
        second_size.cmp(first_size).then(first.cmp(second))
    });
    let largest = sizes.into_iter().take(MAX_LABELS);
    largest.map(|(id, _)| id.as_str()).collect()
}

fn labels(id: &str, largest: &[&str]) -> OrganisationLabels {
    let label = if largest.contains(&id) { id } else { OTHER };
    OrganisationLabels {
        organisation: label.to_owned(),
    }
}
