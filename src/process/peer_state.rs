//! State shared by the two threads of a daemon: one serves callers and operators, the other peers.

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

use crate::connection::PeerHeartbeat;
use crate::connection::SlotRequest;
use crate::id::EntryId;
use crate::id::HostId;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::process::DrainReport;
use crate::process::EntryIdentity;
use crate::process::MemberSet;
use crate::process::MemberTracker;
use crate::process::SlotAllocator;
use crate::provider::HostChanges;
use crate::version::FactKind;
use crate::version::FactStore;
use crate::version::HostList;
use crate::version::ServiceText;

/// A call to one peer, queued for the peer thread.
#[derive(Debug)]
pub enum PeerCall {
    /// Fetches the facts and host list of the peer that are newer than the local ones.
    FetchNewer {
        /// The peer to fetch from.
        entry: EntryId,
    },
    /// Notifies the peer that callers have submitted or cancelled jobs.
    WakeJobs {
        /// The peer to notify.
        entry: EntryId,
    },
    /// Requests the peer's drain reports for hosts.
    Drain {
        /// The peer whose requests in flight are reported.
        entry: EntryId,
        /// The hosts to report on.
        hosts: Vec<HostId>,
        /// Receives the peer's incarnation and reports; dropped without a value if the call fails.
        reply: oneshot::Sender<(Incarnation, Vec<DrainReport>)>,
    },
    /// Requests a loan of slots.
    Borrow {
        /// The lender.
        entry: EntryId,
        /// The slots wanted, by host.
        wanted: Vec<SlotRequest>,
        /// The duration of the loan.
        time: Duration,
        /// Receives the slots lent, by host; dropped without a value if the call fails.
        reply: oneshot::Sender<Vec<SlotRequest>>,
    },
}

impl PeerCall {
    /// Returns the name of the peer to call.
    pub fn entry(&self) -> &EntryId {
        match self {
            Self::FetchNewer { entry }
            | Self::WakeJobs { entry }
            | Self::Drain { entry, .. }
            | Self::Borrow { entry, .. } => entry,
        }
    }

    /// Returns whether the caller no longer waits for the reply.
    pub fn is_abandoned(&self) -> bool {
        match self {
            Self::FetchNewer { .. } | Self::WakeJobs { .. } => false,
            Self::Drain { reply, .. } => reply.is_closed(),
            Self::Borrow { reply, .. } => reply.is_closed(),
        }
    }
}

/// The state of a daemon that both threads use.
#[derive(Debug)]
pub struct PeerState {
    /// The identity of this entry host.
    pub identity: EntryIdentity,
    /// The newest revision of each fact that is known here.
    pub facts: FactStore,
    /// The slots of backend servers and the requests in flight.
    pub allocator: SlotAllocator,
    hosts: Mutex<HostList>,
    tracker: Mutex<MemberTracker>,
    applied_members: AtomicU64,
    /// The revision of `text`.
    text_in_force: AtomicU64,
    text: Mutex<Option<Arc<ServiceText>>>,
    members: Mutex<(Revision, Arc<MemberSet>)>,
    heartbeat_count: AtomicU64,
    fetched_bytes: AtomicU64,
    jobs_changed: Notify,
    calls: mpsc::UnboundedSender<PeerCall>,
}

impl PeerState {
    /// Creates the state of a daemon without facts, and the receiver from which the peer thread
    /// takes its calls.
    pub fn new(identity: EntryIdentity) -> (Self, mpsc::UnboundedReceiver<PeerCall>) {
        let (calls, receiver) = mpsc::unbounded_channel();
        let state = Self {
            identity,
            facts: FactStore::new(),
            allocator: SlotAllocator::new(),
            hosts: Mutex::default(),
            tracker: Mutex::new(MemberTracker::new(Instant::now())),
            applied_members: AtomicU64::new(0),
            text_in_force: AtomicU64::new(0),
            text: Mutex::default(),
            members: Mutex::default(),
            heartbeat_count: AtomicU64::new(0),
            fetched_bytes: AtomicU64::new(0),
            jobs_changed: Notify::new(),
            calls,
        };
        (state, receiver)
    }

    /// Returns the heartbeat that this entry host sends now.
    pub fn heartbeat(&self) -> PeerHeartbeat {
        PeerHeartbeat {
            entry: self.identity.entry.clone(),
            incarnation: self.identity.incarnation,
            facts: self.facts.digest(),
            hosts: self.hosts().revision(),
            text_in_force: self.text_in_force(),
            applied_member_set: self.applied_members(),
        }
    }

    /// Records a peer's heartbeat, such as its reply to one of ours.
    pub fn record_heartbeat(&self, heartbeat: &PeerHeartbeat) {
        self.heartbeat_count.fetch_add(1, Ordering::Relaxed);
        self.tracker().record_heartbeat(heartbeat, Instant::now());
    }

    /// Records a heartbeat that is not a reply, and fetches facts and hosts from its sender if
    /// they are newer there.
    pub fn record_incoming_heartbeat(&self, heartbeat: &PeerHeartbeat) {
        self.record_heartbeat(heartbeat);
        let local = self.facts.digest();
        let newer = heartbeat
            .facts
            .iter()
            .zip(&local)
            .any(|(remote, local)| remote > local);
        if newer || heartbeat.hosts > self.hosts().revision() {
            let entry = heartbeat.entry.clone();
            // The receiver is dropped only when the process exits.
            let _ = self.calls.send(PeerCall::FetchNewer { entry });
        }
    }

    /// Returns the number of heartbeats received, replies included.
    pub fn heartbeat_count(&self) -> u64 {
        self.heartbeat_count.load(Ordering::Relaxed)
    }

    /// Adds to the bytes of facts fetched from peers.
    pub fn count_fetched_bytes(&self, bytes: usize) {
        self.fetched_bytes
            .fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Returns the total bytes of facts fetched from peers.
    pub fn fetched_bytes(&self) -> u64 {
        self.fetched_bytes.load(Ordering::Relaxed)
    }

    /// Returns the newest known member set, decoded once for each revision.
    pub fn members(&self) -> Arc<MemberSet> {
        let fact = self.facts.get(FactKind::Members);
        let mut cached = self.members.lock().unwrap_or_else(PoisonError::into_inner);
        if cached.0 != fact.revision {
            *cached = (fact.revision, Arc::new(MemberSet::from_fact(&fact)));
        }
        Arc::clone(&cached.1)
    }

    /// Locks the host list.
    pub fn hosts(&self) -> MutexGuard<'_, HostList> {
        self.hosts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Merges changes into the host list and notifies subscribers of the facts if it differs.
    pub fn merge_hosts(&self, changes: HostChanges) {
        let differs = self.hosts().merge(changes);
        if differs {
            self.facts.notify_subscribers();
        }
    }

    /// Locks the tracker of heartbeats.
    pub fn tracker(&self) -> MutexGuard<'_, MemberTracker> {
        self.tracker.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the revision of the newest member set whose slot shares this entry host does not
    /// exceed.
    pub fn applied_members(&self) -> Revision {
        Revision::new(self.applied_members.load(Ordering::Acquire))
    }

    /// Records that this entry host does not exceed the slot shares of a member set, and notifies
    /// peers if the revision is newer.
    pub fn set_applied_members(&self, revision: Revision) {
        let before = self
            .applied_members
            .fetch_max(revision.get(), Ordering::AcqRel);
        if before < revision.get() {
            self.facts.notify_subscribers();
        }
    }

    /// Returns the revision of the service text that requests are routed by; 0 if there is none.
    pub fn text_in_force(&self) -> Revision {
        Revision::new(self.text_in_force.load(Ordering::Acquire))
    }

    /// Returns the service text that requests are routed by; `None` until the first arrives.
    pub fn text(&self) -> Option<Arc<ServiceText>> {
        let text = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        text.clone()
    }

    /// Records the service text that requests are routed by from now on.
    pub fn set_text_in_force(&self, revision: Revision, text: Arc<ServiceText>) {
        let mut current = self.text.lock().unwrap_or_else(PoisonError::into_inner);
        *current = Some(text);
        self.text_in_force
            .fetch_max(revision.get(), Ordering::AcqRel);
    }

    /// Wakes the job controller of this process after callers have changed jobs.
    pub fn wake_jobs(&self) {
        self.jobs_changed.notify_one();
    }

    /// Waits until `wake_jobs` is called.
    pub async fn jobs_changed(&self) {
        self.jobs_changed.notified().await;
    }

    /// Wakes the job controller of a peer after callers have changed jobs.
    pub fn wake_jobs_at(&self, entry: &EntryId) {
        let entry = entry.clone();
        // The receiver is dropped only when the process exits.
        let _ = self.calls.send(PeerCall::WakeJobs { entry });
    }

    /// Requests a peer's incarnation and drain reports for hosts; `None` if the peer is
    /// unreachable.
    pub async fn fetch_drain_reports(
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

    /// Requests slots from a peer; returns the slots lent, or `None` if the peer is unreachable.
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
