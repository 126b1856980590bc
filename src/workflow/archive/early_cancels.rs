//! The records of early cancellations that a controller knows of.

use std::collections::BTreeMap;

use crate::id::JobId;
use crate::id::Revision;

/// How long a record is kept. A submission under way is carried out within seconds, and a caller may look
/// up a job that it has submitted again for 120 s.
const RETENTION_MS: u64 = 150_000;

/// The limit on the records. Beyond it, the oldest ones are deleted before their time.
const MAX_RECORDS: usize = 20_000;

/// A record as it was last read.
#[derive(Clone, Copy, Debug)]
struct KnownRecord {
    revision: Revision,
    until_ms: u64,
}

/// The cancellations that were answered before their jobs were stored. Unlike archived jobs they don't
/// keep a job from the engine: one of another organisation may replace the record.
#[derive(Debug, Default)]
pub struct EarlyCancels {
    records: BTreeMap<JobId, KnownRecord>,
}

impl EarlyCancels {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a record, or its newer revision, that is `age_ms` old at `now_ms`.
    pub fn insert(&mut self, id: JobId, revision: Revision, age_ms: u64, now_ms: u64) {
        let until_ms = now_ms + RETENTION_MS.saturating_sub(age_ms);
        let record = KnownRecord { revision, until_ms };
        let known = self.records.entry(id).or_insert(record);
        if revision > known.revision {
            *known = record;
        }
    }

    /// Returns the records to delete, each with the revision that it must still have.
    pub fn expired(&self, now_ms: u64) -> Vec<(JobId, Revision)> {
        let mut records: Vec<_> = self.records.iter().collect();
        records.sort_by_key(|(_, record)| record.until_ms);
        let excess = records.len().saturating_sub(MAX_RECORDS);
        let expired = records
            .iter()
            .enumerate()
            .filter(|(position, (_, record))| *position < excess || now_ms > record.until_ms);
        expired
            .map(|(_, (id, record))| ((*id).clone(), record.revision))
            .collect()
    }

    /// Removes a record that is gone or replaced; no effect if a newer revision is known.
    pub fn remove(&mut self, id: &JobId, revision: Revision) {
        let is_same = |record: &KnownRecord| record.revision == revision;
        if self.records.get(id).is_some_and(is_same) {
            self.records.remove(id);
        }
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.records.len()
    }

    /// Returns whether there is no record.
    pub fn is_empty(&self) -> bool {
        self.records.is_empty()
    }
}
