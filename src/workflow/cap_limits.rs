//! The caps that starts must respect while the configuration changes.

use std::collections::HashMap;

use crate::id::OrganisationId;
use crate::workflow::FleetConfig;
use crate::workflow::Organisation;
use crate::workflow::ResourceCap;
use crate::workflow::WorkerResources;

/// How long a replaced version may still be in force somewhere, in ms: the limit within which all
/// entry hosts must have a new configuration.
const VERSION_OVERLAP_MS: u64 = 3_000;

/// The cap of each organisation that has one: for each resource, the lowest limit of the versions
/// that may be in force. A raised cap thus applies once the version before it is out of force, and
/// a lowered one at once.
#[derive(Clone, Debug, Default)]
pub(crate) struct CapLimits {
    version: Option<u64>,
    current: HashMap<OrganisationId, ResourceCap>,
    /// Caps of replaced versions, each with the time in ms until which it may be in force.
    replaced: Vec<(u64, HashMap<OrganisationId, ResourceCap>)>,
    lowest: HashMap<OrganisationId, ResourceCap>,
}

impl CapLimits {
    /// Takes over the caps of the configuration, if it is new, and forgets those of versions that
    /// are out of force at `now_ms`.
    pub(crate) fn refresh(&mut self, config: &FleetConfig, now_ms: u64) {
        let is_new = self.version != Some(config.version);
        let has_expired = |(until_ms, _): &(u64, _)| now_ms > *until_ms;
        if !is_new && !self.replaced.iter().any(has_expired) {
            return;
        }
        self.replaced.retain(|replaced| !has_expired(replaced));
        if is_new {
            let replaced = std::mem::replace(&mut self.current, configured_caps(config));
            if !replaced.is_empty() {
                self.replaced.push((now_ms + VERSION_OVERLAP_MS, replaced));
            }
            self.version = Some(config.version);
        }
        self.lowest.clone_from(&self.current);
        for (id, cap) in self.replaced.iter().flat_map(|(_, caps)| caps) {
            let lowest = self.lowest.entry(id.clone()).or_default();
            *lowest = lowest.lowest(cap);
        }
    }

    /// Returns the cap of an organisation; `None` if it has no limit.
    pub(crate) fn get(&self, id: &OrganisationId) -> Option<&ResourceCap> {
        self.lowest.get(id)
    }

    /// Returns whether any organisation has a cap.
    pub(crate) fn is_empty(&self) -> bool {
        self.lowest.is_empty()
    }
}

/// Returns the caps of the organisations that have a limit.
fn configured_caps(config: &FleetConfig) -> HashMap<OrganisationId, ResourceCap> {
    let organisations = config.organisations.iter();
    let organisations = organisations.flat_map(|directory| directory.iter());
    let limited = |one: &&Organisation| *one.cap.limits() != WorkerResources::default();
    // The directory finds the first of several entries with the same id.
    let mut caps = HashMap::new();
    for organisation in organisations.filter(limited) {
        let id = organisation.id.clone();
        caps.entry(id).or_insert(organisation.cap);
    }
    caps
}
