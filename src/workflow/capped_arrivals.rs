//! Limits the arrivals of each organisation that count for the forecast to what its cap allows to
//! run.

use std::collections::HashMap;

use crate::id::OrganisationId;

/// How far an organisation's arrivals may be ahead of what its cap allows to run, in ms. The
/// forecast extrapolates a burst after a quiet time to 1/234 of its work per ms, so that a burst of
/// this length raises the forecast by the cap at most.
const MAX_LEAD_MS: f64 = 230.0;

/// The time until which each organisation with a cap is busy with the work that was counted.
#[derive(Debug, Default)]
pub(crate) struct CappedArrivals {
    busy_until_ms: HashMap<OrganisationId, f64>,
}

impl CappedArrivals {
    /// Returns how much of the work that arrives counts, in millicores times ms. `cap_millis` is the
    /// CPU that the organisation may have running, in millicores.
    pub(crate) fn count(
        &mut self,
        id: &OrganisationId,
        work: f64,
        cap_millis: u64,
        now_ms: u64,
    ) -> f64 {
        if cap_millis == 0 {
            return 0.0;
        }
        let (cap_millis, now_ms) = (cap_millis as f64, now_ms as f64);
        let busy_ms = self.busy_until_ms.entry(id.clone()).or_default();
        let start_ms = busy_ms.max(now_ms);
        let length_ms = (work / cap_millis).min(now_ms + MAX_LEAD_MS - start_ms);
        *busy_ms = start_ms + length_ms;
        length_ms * cap_millis
    }
}
