//! New workers whose hosts no list has shown yet.

use std::collections::BTreeMap;
use std::rc::Rc;

use crate::id::WorkerId;
use crate::workflow::WorkerEntry;

/// How long a new worker is looked for in lists, in ms: their lag and a few intervals.
const MAX_ARRIVAL_MS: u64 = 3_000;

/// A new worker.
#[derive(Clone, Debug)]
struct NewArrival {
    entry: Rc<WorkerEntry>,
    since_ms: u64,
}

/// The new workers, each of which may be on a host that a list still shows as it was before.
#[derive(Debug, Default)]
pub(crate) struct NewArrivals {
    /// The last workers of hosts that are wanted empty. A new worker that may be on one of these hosts gets no
    /// tasks until a list shows its host; `None` if nothing is known of the host's last worker.
    wanted: Vec<Option<Rc<WorkerEntry>>>,
    arrivals: BTreeMap<WorkerId, NewArrival>,
}

/// Returns whether two workers may be of one host, which keeps its data centre, kind and rack.
fn may_share_host(one: &WorkerEntry, other: &WorkerEntry) -> bool {
    (&one.data_centre, &one.labels) == (&other.data_centre, &other.labels)
}

impl NewArrivals {
    /// Replaces the last workers of the hosts that are wanted empty.
    pub(crate) fn set_wanted(&mut self, wanted: Vec<Option<Rc<WorkerEntry>>>) {
        self.wanted = wanted;
    }

    /// Adds a host that is wanted empty, of whose workers nothing is known.
    pub(crate) fn want_unknown(&mut self) {
        self.wanted.push(None);
    }

    /// Records a new worker; returns whether it may be on a host that is wanted empty.
    pub(crate) fn insert(&mut self, entry: &Rc<WorkerEntry>, now_ms: u64) -> bool {
        let arrival = NewArrival {
            entry: Rc::clone(entry),
            since_ms: now_ms,
        };
        self.arrivals.insert(entry.id.clone(), arrival);
        let mut wanted = self.wanted.iter();
        wanted.any(|last| last.as_ref().is_none_or(|last| may_share_host(last, entry)))
    }

    /// Returns whether a new worker may be on a host of `service` on which a list shows `worker`, or none.
    pub(crate) fn may_replace(
        &self,
        service: &str,
        worker: Option<&WorkerEntry>,
        now_ms: u64,
    ) -> bool {
        let mut arrivals = self.arrivals.values();
        arrivals.any(|arrival| {
            let entry = &arrival.entry;
            entry.service.as_str() == service
                && now_ms <= arrival.since_ms + MAX_ARRIVAL_MS
                && worker.is_none_or(|worker| may_share_host(worker, entry))
        })
    }

    /// Removes the workers that `is_listed` says a list has shown, and those that were looked for in vain;
    /// returns them with the time in ms for which they were unlisted.
    pub(crate) fn take_listed(
        &mut self,
        is_listed: impl Fn(&WorkerId) -> bool,
        now_ms: u64,
    ) -> Vec<(WorkerId, u64)> {
        let mut taken = Vec::new();
        self.arrivals.retain(|id, arrival| {
            let unlisted_ms = now_ms.saturating_sub(arrival.since_ms);
            let is_over = unlisted_ms > MAX_ARRIVAL_MS || is_listed(id);
            if is_over {
                taken.push((id.clone(), unlisted_ms));
            }
            !is_over
        });
        taken
    }
}
