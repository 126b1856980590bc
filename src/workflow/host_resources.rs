//! Processor time and link of an entry host, and what a controller needs of them.

use std::time::Duration;

use crate::workflow::controller_term::DEFAULT_START_BYTES;

/// The bytes of a MB, and the share of a process's memory that its jobs may take.
const BYTES_PER_MB: f64 = 1_000_000.0;
const JOB_MEMORY_SHARE: f64 = 0.5;

/// Processor time that a controller needs, in cores: the smallest share at which the sweep in
/// docs/CAPACITY.md shows one of 1,000 workers that leaves two thirds of its share free.
const MIN_PROCESSOR_SHARE: f64 = 0.25;

/// Link that a controller needs, in Mbit/s: it reads a state of 6 MB within the lease time of 1 s.
const MIN_LINK_MBPS: f64 = 50.0;

/// Time in ms for which other entry hosts are left to claim the lease: two of their polls.
const CLAIM_DELAY_MS: u64 = 600;

/// Bytes that a link of 1 Mbit/s carries in 0.1 s.
const BYTES_PER_MBPS: f64 = 12_500.0;

/// The fewest bytes of start commands that may be on their way together: the largest command.
pub(crate) const MIN_START_BYTES: usize = 6_000;

/// The link that is assumed for commits if none is known, in Mbit/s: that of the thinnest entry hosts.
const UNKNOWN_LINK_MBPS: f64 = 2.0;

/// The limit on the bytes of rows in one commit: half of the platform's limit, because the encoding
/// adds a third.
const MAX_COMMIT_BYTES: usize = 400_000;

/// Bytes of one host in a list of hosts.
const HOST_LIST_BYTES: usize = 200;

/// How many times longer than a list of hosts takes on the link it is until the next one.
const LIST_LINK_SHARE: f64 = 10.0;

/// The longest interval between lists of hosts: waves and moves must still meet their times.
const MAX_LIST_INTERVAL: Duration = Duration::from_millis(1_500);

/// What an entry host provides. An unknown value counts as enough to hold the lease.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct HostResources {
    /// Processor time, in cores.
    pub processor_share: Option<f64>,
    /// Bandwidth of the link, in Mbit/s.
    pub link_mbps: Option<f64>,
    /// Memory that the process may take, in MB.
    pub memory_mb: Option<f64>,
}

impl HostResources {
    /// Returns the limit on the bytes that jobs take in memory; `None` if the memory is unknown. The rest is for
    /// the process itself, connections, and the rows of a commit or of a load.
    pub fn job_bytes(&self) -> Option<usize> {
        let bytes = self.memory_mb? * BYTES_PER_MB * JOB_MEMORY_SHARE;
        Some(bytes as usize)
    }

    /// Returns the bytes of start commands that may be on their way together: what the link carries
    /// in 0.1 s. An unknown link counts as one of 10 Mbit/s.
    pub fn start_bytes(&self) -> usize {
        let bytes = self.link_mbps.map(|mbps| (mbps * BYTES_PER_MBPS) as usize);
        bytes.unwrap_or(DEFAULT_START_BYTES).max(MIN_START_BYTES)
    }

    /// Returns the bytes of rows that one commit may hold: what the link carries in 0.1 s, so that each
    /// commit, which also renews the lease, is answered long before the lease expires. An unknown link
    /// counts as one of 2 Mbit/s.
    pub fn commit_bytes(&self) -> usize {
        let mbps = self.link_mbps.unwrap_or(UNKNOWN_LINK_MBPS);
        // The platform's encoding adds a third.
        let bytes = (mbps * BYTES_PER_MBPS) as usize / 4 * 3;
        bytes.min(MAX_COMMIT_BYTES)
    }

    /// Returns the interval at which `hosts` hosts may be listed without using more than a tenth of
    /// the link.
    pub fn host_list_interval(&self, hosts: usize) -> Duration {
        let Some(mbps) = self.link_mbps.filter(|mbps| *mbps > 0.0) else {
            return Duration::ZERO;
        };
        let link_s = (hosts * HOST_LIST_BYTES) as f64 / (mbps * BYTES_PER_MBPS * 10.0);
        let interval_s = (link_s * LIST_LINK_SHARE).min(MAX_LIST_INTERVAL.as_secs_f64());
        Duration::from_secs_f64(interval_s)
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
