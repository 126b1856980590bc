//! When a controller's lease is over, as others see it.

use crate::id::Revision;
use crate::platform::TableRow;
use crate::workflow::leader_seat::read_record;

/// The lease ends when its row stays unchanged for this long, in ms: three renewals of a
/// holder at 400 ms and a look of the watcher at 350 ms.
const LEASE_MS: u64 = 1_500;

/// Judges from looks at the leader row whether its holder is still there.
#[derive(Debug, Default)]
pub struct LeaderWatch {
    seen: Option<(Revision, u64)>,
}

impl LeaderWatch {
    /// Creates a watch that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Notes a look at the row and tells whether `own_name` may claim the lease.
    pub fn may_claim(&mut self, row: Option<&TableRow>, own_name: &str, now_ms: u64) -> bool {
        let Some(row) = row else {
            return true;
        };
        let Some(record) = read_record(row) else {
            return true;
        };
        // The process that held it has ended: this one has its name and doesn't hold it.
        if record.released || record.holder == own_name {
            return true;
        }
        match self.seen {
            Some((revision, since_ms)) if revision == row.revision => now_ms > since_ms + LEASE_MS,
            _ => {
                self.seen = Some((row.revision, now_ms));
                false
            }
        }
    }

    /// Forgets what was seen, after a time without looks.
    pub fn reset(&mut self) {
        self.seen = None;
    }
}
