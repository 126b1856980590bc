//! The newest incarnation of each worker that a controller has learnt of, and those that ended.

use std::collections::BTreeMap;

use crate::id::IncarnationStart;
use crate::id::WorkerId;

/// How an entry or answer relates to the newest known incarnation of its worker.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum IncarnationOrder {
    /// It is of an earlier incarnation.
    Late,
    /// It is of the known incarnation, of the first one, or does not say of which it is.
    Current,
    /// It is of an incarnation that was not known before.
    New,
}

struct KnownIncarnation {
    start: IncarnationStart,
    /// When this controller learnt of it, in ms.
    seen_ms: u64,
    /// When it learnt of the one before, in ms.
    previous_ms: Option<u64>,
}

/// The incarnations of all workers that a controller has learnt of in its term.
#[derive(Default)]
pub(crate) struct KnownIncarnations {
    newest: BTreeMap<WorkerId, KnownIncarnation>,
    /// Incarnations that have ended for good; `None` if no start was known.
    ended: BTreeMap<WorkerId, Option<IncarnationStart>>,
}

impl KnownIncarnations {
    /// Compares the start in a worker's entry or answer with the known one, and records a larger
    /// one. A message without a start is taken for one of the known incarnation.
    pub(crate) fn observe(
        &mut self,
        id: &WorkerId,
        start: Option<IncarnationStart>,
        now_ms: u64,
    ) -> IncarnationOrder {
        let Some(start) = start else {
            return IncarnationOrder::Current;
        };
        let known = self.start(id);
        if known.is_some_and(|known| start < known) {
            return IncarnationOrder::Late;
        }
        if known == Some(start) {
            return IncarnationOrder::Current;
        }
        let incarnation = KnownIncarnation {
            start,
            seen_ms: now_ms,
            previous_ms: self.seen_ms(id),
        };
        self.newest.insert(id.clone(), incarnation);
        match known {
            Some(_) => IncarnationOrder::New,
            None => IncarnationOrder::Current,
        }
    }

    /// Returns the start of a worker's newest known incarnation.
    pub(crate) fn start(&self, id: &WorkerId) -> Option<IncarnationStart> {
        self.newest.get(id).map(|known| known.start)
    }

    /// Returns whether the newest known incarnation of a worker was known at `time_ms`; true if
    /// the worker states no start.
    pub(crate) fn was_known_at(&self, id: &WorkerId, time_ms: u64) -> bool {
        let known = self.newest.get(id);
        known.is_none_or(|known| known.seen_ms <= time_ms)
    }

    /// Returns when the controller learnt of a worker's newest incarnation, in ms; `None` if the worker
    /// states no start.
    pub(crate) fn seen_ms(&self, id: &WorkerId) -> Option<u64> {
        self.newest.get(id).map(|known| known.seen_ms)
    }

    /// Like [`KnownIncarnations::seen_ms`], for the incarnation before the newest.
    pub(crate) fn previous_seen_ms(&self, id: &WorkerId) -> Option<u64> {
        self.newest.get(id)?.previous_ms
    }

    /// Records that a worker's known incarnation has ended for good; returns whether it was not
    /// recorded before.
    pub(crate) fn end(&mut self, id: &WorkerId) -> bool {
        if self.has_ended(id) {
            return false;
        }
        self.ended.insert(id.clone(), self.start(id));
        true
    }

    /// Returns whether a worker's newest known incarnation has ended for good.
    pub(crate) fn has_ended(&self, id: &WorkerId) -> bool {
        let ended = self.ended.get(id);
        ended.is_some_and(|ended| self.start(id) <= *ended)
    }
}
