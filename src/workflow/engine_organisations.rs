//! What the open jobs of each organisation need and use.

use crate::workflow::JobEngine;
use crate::workflow::JobSpec;

impl JobEngine {
    /// Counts a new job against its organisation's rate; returns whether it is beyond that. While the
    /// state is loaded there is no configuration, so that the jobs of an outage, whose times of
    /// arrival are unknown, are not counted.
    pub(crate) fn record_rate(&mut self, spec: &JobSpec, now_ms: u64) -> bool {
        if spec.is_exempt_from_rates() {
            return false;
        }
        let found = self.config.as_ref().and_then(|config| {
            let directory = config.organisations.as_ref()?;
            let organisation = directory.get(spec.organisation.as_ref()?)?;
            Some((organisation, config.queue(&spec.queue)?))
        });
        let Some((organisation, queue)) = found else {
            return false;
        };
        let (id, weight) = (&organisation.id, organisation.weight);
        self.rates.record_job(id, weight, &queue.service, now_ms)
    }
}
