//! When a controller's lease is over, as others see it.

use crate::id::Revision;
use crate::provider::TableRow;
use crate::workflow::leader_lease::read_record;

/// The lease ends when its row stays unchanged for this long, in ms: three renewals of a
/// holder at 300 ms.
const LEASE_MS: u64 = 1_000;

/// How many times the duration of a look is added to that: a renewal of a slow table takes
/// about two looks, and the look that would show it another one.
const LOOKS_ADDED: u64 = 5;

/// A process of less than this age claims a released lease at once, in ms: in a rolling
/// restart it is one that has been restarted already.
const YOUNG_MS: u64 = 10_000;

/// How long an older process leaves a released lease to younger ones, in ms: a look of each.
const YIELD_MS: u64 = 400;

/// Judges from looks at the leader row whether its holder is still there.
#[derive(Debug)]
pub struct LeaseMonitor {
    started_ms: u64,
    seen: Option<(Revision, u64)>,
}

impl LeaseMonitor {
    /// Creates the watch of a process that started at `started_ms`.
    pub fn new(started_ms: u64) -> Self {
        Self {
            started_ms,
            seen: None,
        }
    }

    /// Notes a look at the row, which took `read_ms`, and tells whether `own_name` may claim
    /// the lease.
    pub fn may_claim(
        &mut self,
        row: Option<&TableRow>,
        own_name: &str,
        read_ms: u64,
        now_ms: u64,
    ) -> bool {
        let Some(row) = row else {
            return true;
        };
        let Some(record) = read_record(row) else {
            return true;
        };
        // The process that held it has ended: this one has its name and doesn't hold it.
        if record.holder == own_name {
            return true;
        }
        let since_ms = match self.seen {
            Some((revision, since_ms)) if revision == row.revision => since_ms,
            _ => {
                self.seen = Some((row.revision, now_ms));
                now_ms
            }
        };
        let young = now_ms < self.started_ms + YOUNG_MS;
        let lease_ms = match (record.released, young) {
            (true, true) => return true,
            (true, false) => YIELD_MS,
            (false, _) => LEASE_MS + LOOKS_ADDED * read_ms,
        };
        now_ms > since_ms + lease_ms
    }

    /// Forgets what was seen, after a time without looks.
    pub fn reset(&mut self) {
        self.seen = None;
    }
}
