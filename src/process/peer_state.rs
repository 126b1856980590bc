//! What the caller side and the peer side of a daemon share.

use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::time::Duration;
use std::time::Instant;

use tokio::sync::mpsc;
use tokio::sync::oneshot;
use tokio::sync::Notify;

use crate::connection::PeerBeat;
use crate::connection::SlotRequest;
use crate::id::EntryId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::process::DrainReport;
use crate::process::EntryIdentity;
use crate::process::FlightLedger;
use crate::process::MemberSet;
use crate::process::MemberTracker;
use crate::provider::HostChanges;
use crate::version::FactKind;
use crate::version::FactStore;
use crate::version::HostList;
use crate::version::ServiceText;

/// A call to one peer, made on behalf of the caller side.
#[derive(Debug)]
pub enum PeerCall {
    /// Fetches what the peer has newer.
    CatchUp {
        /// The peer.
        entry: EntryId,
    },
    /// Tells that callers have submitted or cancelled jobs.
    WakeJobs {
        /// The peer.
        entry: EntryId,
    },
    /// Asks what is in flight at hosts.
    Drain {
        /// The peer.
        entry: EntryId,
        /// The hosts.
        hosts: Vec<HostId>,
        /// Where the answer goes.
        reply: oneshot::Sender<(Incarnation, Vec<DrainReport>)>,
    },
    /// Asks for the loan of slots.
    Borrow {
        /// The peer.
        entry: EntryId,
        /// The slots wanted.
        wanted: Vec<SlotRequest>,
        /// How long they are wanted.
        time: Duration,
        /// Where the answer goes.
        reply: oneshot::Sender<Vec<SlotRequest>>,
    },
}

impl PeerCall {
    /// Returns the peer that is called.
    pub fn entry(&self) -> &EntryId {
        match self {
            Self::CatchUp { entry }
            | Self::WakeJobs { entry }
            | Self::Drain { entry, .. }
            | Self::Borrow { entry, .. } => entry,
        }
    }
}

/// The state that both threads of a daemon see.
#[derive(Debug)]
pub struct PeerState {
    /// Who this entry host is.
    pub identity: EntryIdentity,
    /// The newest facts.
    pub facts: FactStore,
    /// The requests in flight.
    pub ledger: FlightLedger,
    hosts: Mutex<HostList>,
    tracker: Mutex<MemberTracker>,
    settled: AtomicU64,
    text_in_force: AtomicU64,
    text: Mutex<Option<Arc<ServiceText>>>,
    members: Mutex<(Revision, Arc<MemberSet>)>,
    beats: AtomicU64,
    fetched: AtomicU64,
    jobs_changed: Notify,
    calls: mpsc::UnboundedSender<PeerCall>,
}

impl PeerState {
    /// Creates the state of a daemon that knows nothing; calls go to the receiver.
    pub fn new(identity: EntryIdentity) -> (Self, mpsc::UnboundedReceiver<PeerCall>) {
        let (calls, receiver) = mpsc::unbounded_channel();
        let state = Self {
            identity,
            facts: FactStore::new(),
            ledger: FlightLedger::new(),
            hosts: Mutex::default(),
            tracker: Mutex::new(MemberTracker::new(Instant::now())),
            settled: AtomicU64::new(0),
            text_in_force: AtomicU64::new(0),
            text: Mutex::default(),
            members: Mutex::default(),
            beats: AtomicU64::new(0),
            fetched: AtomicU64::new(0),
            jobs_changed: Notify::new(),
            calls,
        };
        (state, receiver)
    }

    /// Returns this entry host's heartbeat.
    pub fn beat(&self) -> PeerBeat {
        PeerBeat {
            entry: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            facts: self.facts.digest(),
            hosts: self.hosts().revision(),
            text_in_force: self.text_in_force(),
            settled: self.settled(),
        }
    }

    /// Notes a peer's heartbeat.
    pub fn hear(&self, beat: &PeerBeat) {
        self.beats.fetch_add(1, Ordering::Relaxed);
        self.tracker().hear(beat, Instant::now());
    }

    /// Notes a heartbeat that a peer has sent, and fetches what it has newer.
    pub fn hear_sent(&self, beat: &PeerBeat) {
        self.hear(beat);
        let held = self.facts.digest();
        let newer = beat
            .facts
            .iter()
            .zip(&held)
            .any(|(shown, held)| shown > held);
        if newer || beat.hosts > self.hosts().revision() {
            let entry = beat.entry.clone();
            // The links end before this state only when the process does.
            let _ = self.calls.send(PeerCall::CatchUp { entry });
        }
    }

    /// Returns the number of heartbeats heard.
    pub fn beats(&self) -> u64 {
        self.beats.load(Ordering::Relaxed)
    }

    /// Counts bytes of facts fetched from peers.
    pub fn count_fetched(&self, bytes: usize) {
        self.fetched.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the bytes of facts fetched from peers.
    pub fn fetched(&self) -> u64 {
        self.fetched.load(Ordering::Relaxed)
    }

    /// Returns the agreed members.
    pub fn members(&self) -> Arc<MemberSet> {
        let fact = self.facts.get(FactKind::Members);
        let mut held = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        if held.0 != fact.revision {
            *held = (fact.revision, Arc::new(MemberSet::from_fact(&fact)));
        }
        Arc::clone(&held.1)
    }

    /// Locks the host list.
    pub fn hosts(&self) -> MutexGuard<'_, HostList> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes changes into the host list and wakes those who route by it.
    pub fn merge_hosts(&self, changes: HostChanges) {
        let differs = self.hosts().merge(changes);
        if differs {
            self.facts.notify_subscribers();
        }
    }

    /// Locks the record of heartbeats.
    pub fn tracker(&self) -> MutexGuard<'_, MemberTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the member set within whose shares this entry host keeps.
    pub fn settled(&self) -> Revision {
        Revision::new(self.settled.load(Ordering::Acquire))
    }

    /// Notes that this entry host keeps within the shares of a member set, and tells peers.
    pub fn settle(&self, revision: Revision) {
        let before = self.settled.fetch_max(revision.get(), Ordering::AcqRel);
        if before < revision.get() {
            self.facts.notify_subscribers();
        }
    }

    /// Returns the revision of the service text that requests are routed by.
    pub fn text_in_force(&self) -> Revision {
        Revision::new(self.text_in_force.load(Ordering::Acquire))
    }

    /// Returns the service text that requests are routed by, once there is one.
    pub fn text(&self) -> Option<Arc<ServiceText>> {
        let text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        text.clone()
    }

    /// Notes that requests are routed by a revision of the service text.
    pub fn put_in_force(&self, revision: Revision, text: Arc<ServiceText>) {
        let mut held = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        *held = Some(text);
        self.text_in_force
            .fetch_max(revision.get(), Ordering::AcqRel);
    }

    /// Tells the job controller of this process that callers have changed jobs.
    pub fn wake_jobs(&self) {
        self.jobs_changed.notify_one();
    }

    /// Waits until callers have changed jobs.
    pub async fn jobs_changed(&self) {
        self.jobs_changed.notified().await;
    }

    /// Tells the job controller of a peer that callers have changed jobs.
    pub fn wake_jobs_at(&self, entry: &EntryId) {
        let entry = entry.clone();
        // The links end before this state only when the process does.
        let _ = self.calls.send(PeerCall::WakeJobs { entry });
    }

    /// Asks a peer what it has in flight at hosts.
    pub async fn drain_of(
        &self,
        entry: &EntryId,
        hosts: &[HostId],
    ) -> Option<(Incarnation, Vec<DrainReport>)> {
        let (reply, answer) = oneshot::channel();
        let call = PeerCall::Drain {
            entry: entry.clone(),
            hosts: hosts.to_vec(),
            reply,
        };
        self.calls.send(call).ok()?;
        answer.await.ok()
    }

    /// Asks a peer to lend slots.
    pub async fn borrow_from(
        &self,
        entry: &EntryId,
        wanted: Vec<SlotRequest>,
        time: Duration,
    ) -> Option<Vec<SlotRequest>> {
        let (reply, answer) = oneshot::channel();
        let call = PeerCall::Borrow {
            entry: entry.clone(),
            wanted,
            time,
            reply,
        };
        self.calls.send(call).ok()?;
        answer.await.ok()
    }
}
