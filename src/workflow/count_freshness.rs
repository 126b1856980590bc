//! Bounds the age of the published counts of pending jobs, as an entry host can tell from its own
//! clock.

use std::cell::Cell;

use serde::Deserialize;
use serde::Serialize;

use crate::id::Revision;
use crate::provider::TableRow;
use crate::workflow::lease::leader_record::read_record;

/// Max age of the counts that callers are given, in ms. The platform's protocol allows 2 s.
///
/// In normal operation the age stays below it: up to 300 ms until submissions are read, 250 ms
/// until they are counted, 300 ms until the lease is renewed, and two polls of the leader row, 300
/// ms each, besides the calls' own time.
pub const MAX_COUNT_AGE_MS: u64 = 2_000;

/// What the leader row says about the published counts.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct CountStamp {
    /// Time since the holder knew of all submissions that its published counts contain, in ms, as
    /// of the sending of the commit.
    pub age_ms: u64,
    /// The revision with which the holder claimed the lease. Counts with an earlier revision were
    /// written by earlier holders.
    pub claimed: Revision,
}

/// The newest counts that an entry host knows to be published.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct PublishedCounts {
    /// Time on the entry host's clock up to which all submissions are counted, in ms.
    pub counted_ms: u64,
    /// The epoch of the holder that published the counts.
    pub epoch: u64,
    /// The revision with which that holder claimed the lease.
    pub claimed: Revision,
}

impl PublishedCounts {
    /// Returns the age of the counts, in ms.
    pub fn age_ms(&self, now_ms: u64) -> u64 {
        now_ms.saturating_sub(self.counted_ms)
    }

    /// Returns whether callers may be given the counts.
    pub fn is_fresh(&self, now_ms: u64) -> bool {
        self.age_ms(now_ms) <= MAX_COUNT_AGE_MS
    }

    /// Returns the count in a queue's row, read after these counts were published. Returns `None`
    /// if the row cannot be decoded.
    ///
    /// The holder publishes each count that is not 0, and each change of a count that it has
    /// published. A queue without a row of this holder or a later one therefore has none pending.
    pub fn count(&self, row: Option<&TableRow>) -> Option<u64> {
        match row {
            Some(row) if row.revision > self.claimed => row.value.as_u64(),
            _ => Some(0),
        }
    }
}

/// Follows the leader row to bound the age of the published counts.
#[derive(Debug, Default)]
pub struct CountFreshness {
    /// The revision in the last read of the leader row, and when the read was sent, in ms.
    last_read: Cell<Option<(Revision, u64)>>,
    published: Cell<Option<PublishedCounts>>,
}

impl CountFreshness {
    /// Starts without knowledge of any counts.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records a read of the leader row that was sent at `sent_ms`.
    ///
    /// A row that differs from the one in the read before was written after that read was sent, so
    /// its counts are at least as recent as that time less the stated age. A row that was never
    /// seen to change may have any age. A row that states no counts leaves those known to age.
    pub fn record_read(&self, row: Option<&TableRow>, sent_ms: u64) {
        let revision = row.map_or(Revision::new(0), |row| row.revision);
        let previous = self.last_read.replace(Some((revision, sent_ms)));
        let Some((_, written_ms)) = previous.filter(|(previous, _)| *previous != revision) else {
            return;
        };
        let Some(record) = row.and_then(read_record) else {
            return;
        };
        let Some(stamp) = record.counts else {
            return;
        };
        if let Some(counted_ms) = written_ms.checked_sub(stamp.age_ms) {
            self.advance(PublishedCounts {
                counted_ms,
                epoch: record.term_epoch(),
                claimed: stamp.claimed,
            });
        }
    }

    /// Records counts that this entry host has published itself.
    pub fn record_commit(&self, counts: PublishedCounts) {
        // The leader row is not read during a term, so the last read says nothing about when a
        // later row was written.
        self.last_read.set(None);
        self.advance(counts);
    }

    /// Returns the newest counts known to be published, however old they are.
    pub fn published(&self) -> Option<PublishedCounts> {
        self.published.get()
    }

    fn advance(&self, counts: PublishedCounts) {
        let known = self.published.get();
        if known.is_none_or(|known| known.counted_ms <= counts.counted_ms) {
            self.published.set(Some(counts));
        }
    }
}
