//! Local replica of the facts: the latest known version of each.

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

/// How long a started fetch blocks fetches of the same or an earlier revision. The end of a fetch
/// is not recorded, so a failed one can be repeated only after this time.
const FETCH_TIMEOUT: Duration = Duration::from_secs(1);

/// The last fetch of a fact from a peer; it may already have ended.
#[derive(Clone, Copy, Debug)]
struct StartedFetch {
    revision: Revision,
    started: Instant,
}

/// Keeps the highest known revision of each fact, so that a fact never reverts.
///
/// Updates come from the platform, from peers and from this process's own
/// transactions. They may be out of order or repeated.
#[derive(Debug, Default)]
pub struct FactStore {
    facts: Mutex<[Fact; FACT_KINDS.len()]>,
    fetches: Mutex<[Option<StartedFetch>; FACT_KINDS.len()]>,
    changes: watch::Sender<u64>,
}

impl FactStore {
    /// Creates a store in which every fact has revision 0.
    pub fn new() -> Self {
        Self::default()
    }

    /// If a version is newer than the stored one, stores it and notifies the subscribers.
    ///
    /// Returns whether it was newer.
    pub fn update_if_newer(&self, kind: FactKind, revision: Revision, value: &[u8]) -> bool {
        let mut facts = self.lock();
        let stored = &mut facts[kind.index()];
        if revision <= stored.revision {
            return false;
        }
        stored.revision = revision;
        stored.value = Bytes::copy_from_slice(value);
        drop(facts);
        self.notify_subscribers();
        true
    }

    /// Registers a fetch of a version and returns true, unless a fetch of this or a later revision
    /// was started within the last second.
    pub fn try_start_fetch(&self, kind: FactKind, revision: Revision) -> bool {
        let mut fetches = self.fetches.lock().unwrap_or_else(PoisonError::into_inner);
        let fetch = &mut fetches[kind.index()];
        let running = fetch.is_some_and(|fetch| {
            fetch.revision >= revision && fetch.started.elapsed() < FETCH_TIMEOUT
        });
        if !running {
            *fetch = Some(StartedFetch {
                revision,
                started: Instant::now(),
            });
        }
        !running
    }

    /// Returns the stored version; its revision is 0 before the first update.
    pub fn get(&self, kind: FactKind) -> Fact {
        self.lock()[kind.index()].clone()
    }

    /// Returns the stored revision of each kind, in the order of [`FACT_KINDS`].
    pub fn digest(&self) -> [Revision; FACT_KINDS.len()] {
        let facts = self.lock();
        FACT_KINDS.map(|kind| facts[kind.index()].revision)
    }

    /// Wakes the subscribers; also used when the host list or the applied member set has changed.
    pub fn notify_subscribers(&self) {
        self.changes.send_modify(|count| *count += 1);
    }

    /// Creates a receiver that is woken by every new version and by
    /// [`Self::notify_subscribers`]; its value counts the notifications.
    pub fn subscribe(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    fn lock(&self) -> MutexGuard<'_, [Fact; FACT_KINDS.len()]> {
        self.facts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
