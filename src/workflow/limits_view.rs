//! What an entry host knows of the limits on organisations, with a bound on its age.

use std::cell::RefCell;

use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::workflow::AdmissionWindow;
use crate::workflow::OrganisationLimits;

/// Age in ms from which a statement says nothing about the present, so that everything is admitted.
const MAX_AGE_MS: u64 = 1_500;

/// The last statement of the controller, and when it is known to have been valid, in ms.
#[derive(Debug, Default)]
pub struct LimitsView {
    state: RefCell<Option<(OrganisationLimits, u64)>>,
}

impl LimitsView {
    /// Starts without any knowledge.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a statement that was valid at `valid_ms` or later.
    pub fn record(&self, limits: OrganisationLimits, valid_ms: u64) {
        self.state.replace(Some((limits, valid_ms)));
    }

    /// Returns the window for an organisation's submissions to a service and its age in ms; `None` if
    /// they are not limited.
    pub fn window(
        &self,
        organisation: &OrganisationId,
        service: &ServiceId,
        now_ms: u64,
    ) -> Option<(AdmissionWindow, u64)> {
        let state = self.state.borrow();
        let (limits, age_ms) = fresh(state.as_ref(), now_ms)?;
        Some((limits.window(organisation, service)?, age_ms))
    }

    /// Returns the wait of an organisation's own jobs for a service in ms; 0 if it is within its share
    /// or the wait is unknown.
    pub fn wait_ms(&self, organisation: &OrganisationId, service: &ServiceId, now_ms: u64) -> u64 {
        let state = self.state.borrow();
        let limits = fresh(state.as_ref(), now_ms);
        limits.map_or(0, |(limits, _)| limits.wait_ms(organisation, service))
    }
}

/// Returns a statement and its age in ms unless it is too old to decide by.
fn fresh(
    state: Option<&(OrganisationLimits, u64)>,
    now_ms: u64,
) -> Option<(&OrganisationLimits, u64)> {
    let (limits, valid_ms) = state?;
    let age_ms = now_ms.saturating_sub(*valid_ms);
    (age_ms <= MAX_AGE_MS).then_some((limits, age_ms))
}
