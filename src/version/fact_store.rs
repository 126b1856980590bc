//! The newest version seen of each fact.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use tokio::sync::watch;

use crate::id::Revision;
use crate::version::Fact;
use crate::version::FactKind;
use crate::version::FACT_KINDS;

/// How long a fetch may keep others from fetching the same version.
const FETCH_TIME: Duration = Duration::from_secs(1);

/// A version that is being fetched from a peer.
#[derive(Clone, Copy, Debug)]
struct RunningFetch {
    revision: Revision,
    since: Instant,
}

/// Keeps the highest version seen of each fact, so that none ever reverts.
///
/// Offers come from the platform, from peers and from this process's own
/// transactions, in any order and any number of times.
#[derive(Debug, Default)]
pub struct FactStore {
    facts: Mutex<[Fact; FACT_KINDS.len()]>,
    fetches: Mutex<[Option<RunningFetch>; FACT_KINDS.len()]>,
    changes: watch::Sender<u64>,
}

impl FactStore {
    /// Creates a store that has seen nothing.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in a version and returns whether it is newer than the one held.
    pub fn update_if_newer(&self, kind: FactKind, revision: Revision, value: &[u8]) -> bool {
        let mut facts = self.lock();
        let held = &mut facts[kind.index()];
        if revision <= held.revision {
            return false;
        }
        held.revision = revision;
        held.value = Bytes::copy_from_slice(value);
        drop(facts);
        self.notify_subscribers();
        true
    }

    /// Tells whether a version is to be fetched, since no other fetch of it is running.
    pub fn try_start_fetch(&self, kind: FactKind, revision: Revision) -> bool {
        let mut fetches = self.fetches.lock().unwrap_or_else(PoisonError::into_inner);
        let fetch = &mut fetches[kind.index()];
        let running = fetch
            .is_some_and(|fetch| fetch.revision >= revision && fetch.since.elapsed() < FETCH_TIME);
        if !running {
            *fetch = Some(RunningFetch {
                revision,
                since: Instant::now(),
            });
        }
        !running
    }

    /// Returns the version held.
    pub fn get(&self, kind: FactKind) -> Fact {
        self.lock()[kind.index()].clone()
    }

    /// Returns the revision held of each kind, in the order of [`FACT_KINDS`].
    pub fn digest(&self) -> [Revision; FACT_KINDS.len()] {
        let facts = self.lock();
        FACT_KINDS.map(|kind| facts[kind.index()].revision)
    }

    /// Wakes the receivers, since something kept beside the facts has changed.
    pub fn notify_subscribers(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Returns a receiver that is woken by every version taken in.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, [Fact; FACT_KINDS.len()]> {
        self.facts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
