//! When a controller's lease is over, as others see it.

use crate::id::Revision;
use crate::platform::TableRow;
use crate::workflow::leader_seat::read_record;

/// The lease ends when its row stays unchanged for this long, in ms: three renewals of a
/// holder at 300 ms.
const LEASE_MS: u64 = 1_000;

/// How many times the duration of a look is added to that: a renewal of a slow table takes
/// about two looks, and the look that would show it another one.
const LOOKS_ADDED: u64 = 5;

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

    /// Notes a look at the row, which took `look_ms`, and tells whether `own_name` may claim
    /// the lease.
    pub fn may_claim(
        &mut self,
        row: Option<&TableRow>,
        own_name: &str,
        look_ms: u64,
        now_ms: u64,
    ) -> bool {
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
            Some((revision, since_ms)) if revision == row.revision => {
                now_ms > since_ms + LEASE_MS + LOOKS_ADDED * look_ms
            }
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
