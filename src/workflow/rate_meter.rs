//! Measures the rate at which each organisation's jobs are accepted over all entry hosts.
//!
//! Only the controller reads all submissions, so the rate is measured there. An organisation is
//! entitled to `weight` jobs per second; a token bucket tells which jobs are beyond that.

use std::collections::HashMap;

use crate::id::OrganisationId;
use crate::id::ServiceId;
use crate::workflow::OrganisationDirectory;
use crate::workflow::ShareWeight;

/// Time in which an empty bucket fills, in s. Entitlement that is not used is lost after it.
const BUCKET_S: f64 = 1.0;

/// The token bucket of one organisation, and what was accepted since the last measurement.
#[derive(Debug)]
struct Bucket {
    tokens: f64,
    filled_ms: u64,
    /// Accepted jobs since the last measurement, by the service that runs them.
    accepted: HashMap<ServiceId, u64>,
}

/// The rates of all organisations, as one controller has read their submissions.
#[derive(Debug, Default)]
pub struct RateMeter {
    buckets: HashMap<OrganisationId, Bucket>,
}

impl RateMeter {
    /// Creates a meter with full buckets.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a job that was read at `now_ms`. Returns whether the organisation has submitted more
    /// than it is entitled to.
    pub fn record_job(
        &mut self,
        id: &OrganisationId,
        weight: ShareWeight,
        service: &ServiceId,
        now_ms: u64,
    ) -> bool {
        // A weight below 1 still allows one job at a time.
        let capacity = (weight.jobs_per_s() * BUCKET_S).max(1.0);
        let bucket = self.buckets.entry(id.clone()).or_insert_with(|| Bucket {
            tokens: capacity,
            filled_ms: now_ms,
            accepted: HashMap::new(),
        });
        *bucket.accepted.entry(service.clone()).or_default() += 1;
        let elapsed_s = now_ms.saturating_sub(bucket.filled_ms) as f64 / 1_000.0;
        bucket.filled_ms = bucket.filled_ms.max(now_ms);
        bucket.tokens = (bucket.tokens + elapsed_s * weight.jobs_per_s()).min(capacity);
        if bucket.tokens < 1.0 {
            return true;
        }
        bucket.tokens -= 1.0;
        false
    }

    /// Takes the number of jobs accepted since the last call, by organisation and service.
    pub fn take_accepted(&mut self) -> HashMap<OrganisationId, HashMap<ServiceId, u64>> {
        let buckets = self.buckets.iter_mut();
        let accepted = buckets.filter(|(_, bucket)| !bucket.accepted.is_empty());
        accepted
            .map(|(id, bucket)| (id.clone(), std::mem::take(&mut bucket.accepted)))
            .collect()
    }

    /// Forgets the organisations that are no longer configured.
    pub fn retain_configured(&mut self, directory: &OrganisationDirectory) {
        self.buckets.retain(|id, _| directory.get(id).is_some());
    }
}
