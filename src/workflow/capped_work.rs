//! Sums up the waiting work of organisations with a cap, as far as the cap allows it to run.

use std::collections::BTreeMap;

use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::workflow::JobEngine;
use crate::workflow::WorkerResources;

/// The waiting work of organisations with a cap.
pub(crate) struct CappedWork<'a> {
    by_organisation: BTreeMap<OrganisationId, OrganisationWork<'a>>,
}

#[derive(Default)]
struct OrganisationWork<'a> {
    by_service: BTreeMap<&'a ServiceId, u64>,
    /// The resources that the work needs at a time, in all pools together.
    wanted: WorkerResources,
}

impl<'a> CappedWork<'a> {
    /// Creates an empty sum.
    pub(crate) fn new() -> Self {
        Self {
            by_organisation: BTreeMap::new(),
        }
    }

    /// Adds work of a service, which needs `wanted` resources at a time.
    pub(crate) fn add(
        &mut self,
        id: &OrganisationId,
        service: &'a ServiceId,
        work: u64,
        wanted: &WorkerResources,
    ) {
        let sum = match self.by_organisation.get_mut(id) {
            Some(sum) => sum,
            None => self.by_organisation.entry(id.clone()).or_default(),
        };
        let total = sum.by_service.entry(service).or_default();
        *total = total.saturating_add(work);
        sum.wanted.add(wanted);
    }

    /// Returns the work of each service and organisation that may run under the caps. An
    /// organisation's room is divided among its pools in proportion to its work there.
    pub(crate) fn allowed(self, engine: &JobEngine) -> Vec<(&'a ServiceId, u64)> {
        let sums = self.by_organisation.into_iter();
        let allowed = sums.flat_map(|(id, sum)| {
            let fraction = engine.cap_fraction(&id, &sum.wanted);
            let works = sum.by_service.into_iter();
            works.map(move |(service, work)| match fraction < 1.0 {
                true => (service, (work as f64 * fraction) as u64),
                false => (service, work),
            })
        });
        allowed.collect()
    }
}
