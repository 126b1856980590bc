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

/// Workers that a carrier with a whole core carries. At a peak, a worker gets some ten calls a second of about
/// 0.1 ms each, and callers need part of the processor as well.
const WORKERS_PER_CORE: u64 = 512;

/// Carriers that a data centre with workers has at least, as far as there are hosts: after the loss of one, the
/// other goes on without a change of connections.
const MIN_CARRIERS: usize = 2;

/// The fewest workers of a carrier, so that a batch of a peak second has several calls.
const MIN_WORKERS: usize = 48;

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
            let mut local: Vec<_> = offers
                .iter()
                .filter(|offer| offer.data_centre == *data_centre)
                .collect();
            local.sort_by_key(|offer| {
                let strength = (offer.processor_millis, offer.link_kbps);
                (Reverse(strength), offer.name.clone())
            });
            let mut left = *workers;
            let mut names = Vec::new();
            for offer in local {
                if left == 0 && names.len() >= MIN_CARRIERS {
                    break;
                }
                left = left.saturating_sub(carried_workers(offer));
                names.push(offer.name.clone());
            }
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

    /// Returns whether there is no carrier.
    pub fn is_empty(&self) -> bool {
        self.all.is_empty()
    }

    /// Returns whether a data centre has carriers of its own.
    pub fn covers(&self, data_centre: &DataCentreId) -> bool {
        self.carriers.contains_key(data_centre)
    }

    /// Returns the number of carriers in use.
    pub fn carrier_count(&self) -> usize {
        self.all.len()
    }

    /// Returns the carrier for a worker's call at a turn, or `None` if the holder makes it itself: the turns go
    /// through the worker's carriers and then the holder, so that a carrier that is cut off from the worker
    /// doesn't keep its calls.
    pub fn carrier_for(
        &self,
        worker: &WorkerId,
        data_centre: &DataCentreId,
        turn: usize,
    ) -> Option<&str> {
        let names = self.carriers.get(data_centre).unwrap_or(&self.all);
        let mut ranked: Vec<_> = names.iter().collect();
        ranked.sort_by_key(|name| rank(worker, name));
        let turn = turn % (ranked.len() + 1);
        ranked.get(turn).map(|name| name.as_str())
    }
}

/// Returns how many workers a carrier is to carry. Unknown processor time counts as a whole core.
fn carried_workers(offer: &CarrierOffer) -> usize {
    let millis = match offer.processor_millis {
        0 => 1_000,
        millis => millis,
    };
    let workers = (millis.saturating_mul(WORKERS_PER_CORE) / 1_000) as usize;
    workers.max(MIN_WORKERS)
}

/// Returns the worker's order of preference of a carrier (rendezvous hashing, Thaler and Ravishankar 1998): a
/// carrier that comes or goes changes that of few workers.
fn rank(worker: &WorkerId, carrier: &str) -> u64 {
    let mut hasher = SipHasher13::new();
    worker.as_str().hash(&mut hasher);
    carrier.hash(&mut hasher);
    hasher.finish()
}
