//! Decides when the controller's lease has expired, from reads of the leader row.

use crate::id::Revision;
use crate::provider::TableRow;
use crate::workflow::lease::leader_record::read_record;

/// Time after which an unchanged lease has expired: three renewals of a holder that renews every
/// 300 ms.
const LEASE_MS: u64 = 1_000;

/// Multiple of a read's duration that is added to the lease time. On a slow table, a renewal
/// takes about as long as two reads, and another read is needed to see it.
const READ_TIME_FACTOR: u64 = 5;

/// Age up to which a process claims a released lease at once. During a rolling restart such a
/// process has already been restarted.
const RECENT_START_MS: u64 = 10_000;

/// Time for which an older process leaves a released lease to recently started ones: enough for
/// each to read the row once.
const YIELD_MS: u64 = 400;

/// Time for which an entry host leaves the lease to others if it has less processor time than the
/// last holder: enough for each to read the row once.
const WEAKER_HOST_DELAY_MS: u64 = 400;

/// Time for which an entry host leaves the first lease to others, for each core that it has less than
/// one. Hosts that differ by a quarter of a core are then apart by more than one read.
const FIRST_CLAIM_DELAY_PER_CORE_MS: u64 = 1_600;

/// Decides from reads of the leader row whether its holder is still active.
#[derive(Debug)]
pub struct LeaseMonitor {
    started_ms: u64,
    /// Time added before a claim, except of a lease that an earlier process of this host held.
    claim_delay_ms: u64,
    /// The processor time of this entry host, in millicores; `None` if unknown.
    processor_millis: Option<u64>,
    /// The revision in the last read, and the time in ms at which it was first read.
    last_read: Option<(Revision, u64)>,
}

impl LeaseMonitor {
    /// Creates the monitor of a process that started at `started_ms`.
    pub fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            claim_delay_ms: 0,
            processor_millis: None,
            last_read: None,
        }
    }

    /// Leaves the lease to other entry hosts for `claim_delay_ms` before each claim.
    pub fn with_claim_delay(mut self, claim_delay_ms: u64) -> Self {
        self.claim_delay_ms = claim_delay_ms;
        self
    }

    /// Sets the processor time of the entry host, in millicores. A host with less of it than the last
    /// holder claims the lease later, since the fleet's load may need a host like the last one.
    pub fn with_processor_millis(mut self, processor_millis: Option<u64>) -> Self {
        self.processor_millis = processor_millis;
        self
    }

    /// Records a read of the leader row that took `read_ms`. Returns whether the entry host
    /// `own_name` may claim the lease; true, after the claim delay, if the row is missing or cannot
    /// be decoded.
    pub fn may_claim(
        &mut self,
        row: Option<&TableRow>,
        own_name: &str,
        read_ms: u64,
        now_ms: u64,
    ) -> bool {
        let revision = row.map_or(Revision::new(0), |row| row.revision);
        let Some(record) = row.and_then(read_record) else {
            let delay_ms = self.claim_delay_ms + self.first_claim_delay_ms();
            return now_ms >= self.unchanged_since(revision, now_ms) + delay_ms;
        };
        // This process does not hold the lease, so the holder was an earlier process of this entry
        // host, which has ended.
        if record.holder == own_name {
            return true;
        }
        let since_ms = self.unchanged_since(revision, now_ms);
        let is_weaker = self
            .processor_millis
            .is_some_and(|millis| millis < record.processor_millis);
        let claim_delay_ms = match is_weaker {
            true => self.claim_delay_ms.max(WEAKER_HOST_DELAY_MS),
            false => self.claim_delay_ms,
        };
        let recently_started = now_ms < self.started_ms + RECENT_START_MS;
        let lease_ms = match (record.released, recently_started) {
            (true, true) => return now_ms >= since_ms + claim_delay_ms,
            (true, false) => YIELD_MS,
            (false, _) => LEASE_MS + READ_TIME_FACTOR * read_ms,
        };
        now_ms > since_ms + lease_ms + claim_delay_ms
    }

    /// Returns the time in ms for which this host leaves a lease without a holder to hosts with more
    /// processor time. A host with a whole core leaves it to nobody.
    fn first_claim_delay_ms(&self) -> u64 {
        let missing_millis = self
            .processor_millis
            .map_or(0, |millis| 1_000_u64.saturating_sub(millis));
        missing_millis * FIRST_CLAIM_DELAY_PER_CORE_MS / 1_000
    }

    /// Returns the time in ms at which `revision` was first read.
    fn unchanged_since(&mut self, revision: Revision, now_ms: u64) -> u64 {
        match self.last_read {
            Some((last_revision, since_ms)) if last_revision == revision => since_ms,
            _ => {
                self.last_read = Some((revision, now_ms));
                now_ms
            }
        }
    }

    /// Forgets the last read, because a gap between reads may hide renewals.
    pub fn reset(&mut self) {
        self.last_read = None;
    }
}
