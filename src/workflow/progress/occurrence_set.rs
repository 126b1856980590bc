//! A set of occurrences of a job.

use std::collections::BTreeMap;

/// A set of numbers of occurrences, kept as ranges: occurrences mostly end in the order in which they are due.
#[derive(Clone, Debug, Default)]
pub(crate) struct OccurrenceSet {
    /// The first number of each range with the one after its last.
    ranges: BTreeMap<u32, u32>,
    len: u32,
}

impl OccurrenceSet {
    /// Returns the number of occurrences in the set.
    pub(crate) fn len(&self) -> u32 {
        self.len
    }

    /// Returns whether an occurrence is in the set.
    pub(crate) fn contains(&self, occurrence: u32) -> bool {
        self.end_of(occurrence).is_some()
    }

    /// Returns the first occurrence from `occurrence` on that is not in the set.
    pub(crate) fn next_absent(&self, occurrence: u32) -> u32 {
        self.end_of(occurrence).unwrap_or(occurrence)
    }

    /// Adds an occurrence.
    pub(crate) fn insert(&mut self, occurrence: u32) {
        if self.contains(occurrence) {
            return;
        }
        self.len += 1;
        let end = match self.ranges.remove(&(occurrence + 1)) {
            Some(end) => end,
            None => occurrence + 1,
        };
        let before = self.ranges.range_mut(..occurrence).next_back();
        match before.filter(|(_, end)| **end == occurrence) {
            Some((_, before)) => *before = end,
            None => {
                self.ranges.insert(occurrence, end);
            }
        }
    }

    /// Returns the end of the range that an occurrence is in.
    fn end_of(&self, occurrence: u32) -> Option<u32> {
        let range = self.ranges.range(..=occurrence).next_back();
        range.map(|(_, end)| *end).filter(|end| occurrence < *end)
    }
}
