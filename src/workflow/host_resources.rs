//! Processor time and link of an entry host, and what a controller needs of them.

use crate::workflow::controller_term::MIN_START_BYTES;

/// Processor time that a controller needs, in cores: the smallest share at which the sweep in
/// docs/CAPACITY.md shows one of 1,000 workers that leaves two thirds of its share free.
const MIN_PROCESSOR_SHARE: f64 = 0.25;

/// Link that a controller needs, in Mbit/s: it reads a state of 6 MB within the lease time of 1 s.
const MIN_LINK_MBPS: f64 = 50.0;

/// Time in ms for which other entry hosts are left to claim the lease: two of their polls.
const CLAIM_DELAY_MS: u64 = 600;

/// Bytes that a link of 1 Mbit/s carries in 0.1 s.
const BYTES_PER_MBPS: f64 = 12_500.0;

/// What an entry host provides. An unknown value counts as enough.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostResources {
    /// Processor time, in cores.
    pub processor_share: Option<f64>,
    /// Bandwidth of the link, in Mbit/s.
    pub link_mbps: Option<f64>,
}

impl HostResources {
    /// Returns the bytes of start commands that may be on their way together: what the link carries
    /// in 0.1 s. An unknown link counts as the thinnest.
    pub fn start_bytes(&self) -> usize {
        let bytes = self.link_mbps.map(|mbps| (mbps * BYTES_PER_MBPS) as usize);
        bytes.unwrap_or_default().max(MIN_START_BYTES)
    }

    /// Returns the processor time in millicores, if it is known.
    pub fn processor_millis(&self) -> Option<u64> {
        self.processor_share
            .map(|share| (share * 1_000.0).round() as u64)
    }

    /// Returns the time in ms for which this host leaves the controller's lease to others.
    pub fn claim_delay_ms(&self) -> u64 {
        let has_processor = self
            .processor_share
            .is_none_or(|share| share >= MIN_PROCESSOR_SHARE);
        let has_link = self.link_mbps.is_none_or(|mbps| mbps >= MIN_LINK_MBPS);
        if has_processor && has_link {
            0
        } else {
            CLAIM_DELAY_MS
        }
    }
}
