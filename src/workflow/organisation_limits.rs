//! What the controller tells all entry hosts about organisations while pools are short.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use serde::Deserialize;
use serde::Serialize;

use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::workflow::AdmissionWindow;

/// The statement in the leader row by which entry hosts refuse submissions; empty without a shortage.
/// Each part has a bounded number of entries, since the row holds 64 KB and all entry hosts read it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default)]
pub struct OrganisationLimits {
    /// The services whose pools can't serve all jobs in time.
    #[serde(skip_serializing_if = "BTreeSet::is_empty")]
    pub short: BTreeSet<ServiceId>,
    /// The admitted part of the submissions of each limited organisation.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub windows: BTreeMap<OrganisationId, AdmissionWindow>,
    /// The time that an organisation's waiting work takes on its share of the pool, in ms, by service.
    /// It is stated only for organisations that need more than their share.
    #[serde(skip_serializing_if = "BTreeMap::is_empty")]
    pub waits: BTreeMap<ServiceId, BTreeMap<OrganisationId, u64>>,
}

impl OrganisationLimits {
    /// The most organisations with a window: a few KB of the leader row.
    pub const MAX_WINDOWS: usize = 64;

    /// The most services whose pools are stated as short.
    pub const MAX_POOLS: usize = 64;

    /// The most waits over all services.
    pub const MAX_WAITS: usize = 64;

    /// Returns whether nothing is limited.
    pub fn is_empty(&self) -> bool {
        self.windows.is_empty() && self.waits.is_empty() && self.short.is_empty()
    }

    /// Returns the window for an organisation's submissions to a service, if they are limited: its
    /// pool has to be short, since others have room.
    pub fn window(
        &self,
        organisation: &OrganisationId,
        service: &ServiceId,
    ) -> Option<AdmissionWindow> {
        let window = self.windows.get(organisation).copied();
        window.filter(|_| self.short.contains(service))
    }

    /// Returns the wait of an organisation's jobs for a service in ms, or 0 if it is within its share.
    pub fn wait_ms(&self, organisation: &OrganisationId, service: &ServiceId) -> u64 {
        let waits = self.waits.get(service);
        let wait_ms = waits.and_then(|waits| waits.get(organisation));
        wait_ms.copied().unwrap_or(0)
    }
}
