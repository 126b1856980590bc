//! Chooses the carrier of each worker.
//!
//! The load that it answers: thousands of calls a second to a fleet of a thousand workers, of which a thin
//! holder can make a few hundred. A message with several calls costs little more than one with a
//! single call, so few carriers with many workers each are cheaper for the holder than many with few.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::carrier::CarrierOffer;
use crate::id::DataCentreId;
use crate::id::WorkerId;

/// Workers for each carrier, so that a batch of a peak second has several calls.
const WORKERS_PER_CARRIER: usize = 64;

/// Carriers that a data centre with workers has at least, as far as there are hosts: after the loss of one, the
/// other goes on without a change of connections.
const MIN_CARRIERS: usize = 2;

/// The carriers in use, by data centre.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CarrierPlan {
    carriers: BTreeMap<DataCentreId, Vec<String>>,
    /// The carriers of all data centres, for workers of one without any.
    all: Vec<String>,
}

impl CarrierPlan {
    /// Chooses among `offers` for the workers of each data centre: hosts of its own, those with the most
    /// processor time and link first.
    pub fn new(offers: &[CarrierOffer], workers: &BTreeMap<DataCentreId, usize>) -> Self {
        let mut plan = Self::default();
        for (data_centre, workers) in workers {
            let wanted = workers.div_ceil(WORKERS_PER_CARRIER).max(MIN_CARRIERS);
            let mut local: Vec<_> = offers
                .iter()
                .filter(|offer| offer.data_centre == *data_centre)
                .collect();
            local.sort_by_key(|offer| {
                let strength = (offer.processor_millis, offer.link_kbps);
                (Reverse(strength), offer.name.clone())
            });
            let names = local.into_iter().take(wanted);
            let names: Vec<_> = names.map(|offer| offer.name.clone()).collect();
            plan.all.extend(names.iter().cloned());
            if !names.is_empty() {
                plan.carriers.insert(data_centre.clone(), names);
            }
        }
        plan
    }

    /// Returns whether calls go through the carrier `name`.
    pub fn uses(&self, name: &str) -> bool {
        self.all.iter().any(|used| used == name)
    }

    /// Returns whether a data centre has carriers of its own.
    pub fn covers(&self, data_centre: &DataCentreId) -> bool {
        self.carriers.contains_key(data_centre)
    }

    /// Returns the carrier for a worker's call, or `None` without any. After each failure the next of the
    /// worker's carriers is used, so that one that is cut off from the worker doesn't keep its calls.
    pub fn carrier_for(
        &self,
        worker: &WorkerId,
        data_centre: &DataCentreId,
        failures: usize,
    ) -> Option<&str> {
        let names = self.carriers.get(data_centre).unwrap_or(&self.all);
        if names.is_empty() {
            return None;
        }
        let mut ranked: Vec<_> = names.iter().collect();
        ranked.sort_by_key(|name| rank(worker, name));
        ranked
            .get(failures % ranked.len())
            .map(|name| name.as_str())
    }
}

/// Returns the worker's order of preference of a carrier (rendezvous hashing, Thaler and Ravishankar 1998): a
/// carrier that comes or goes changes that of few workers.
fn rank(worker: &WorkerId, carrier: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    worker.as_str().hash(&mut hasher);
    carrier.hash(&mut hasher);
    hasher.finish()
}
