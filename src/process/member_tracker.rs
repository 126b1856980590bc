//! Tracks the last heartbeat of each peer.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::PeerHeartbeat;
use crate::id::EntryId;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::process::MemberSet;
use crate::version::FactKind;

/// The time without a heartbeat after which a peer counts as lost.
pub(crate) const LOST_AFTER: Duration = Duration::from_secs(4);

/// The last heartbeat of a peer.
#[derive(Clone, Debug)]
struct HeartbeatRecord {
    incarnation: Incarnation,
    applied_members: Revision,
    text_in_force: Revision,
    known_members: Revision,
    /// When it was received.
    received_at: Instant,
    /// The start of the timeout: when it was received, or later after a freeze.
    at: Instant,
}

/// Keeps the last heartbeat of each peer; a heartbeat of an older incarnation is ignored.
#[derive(Clone, Debug)]
pub struct MemberTracker {
    heartbeats: HashMap<EntryId, HeartbeatRecord>,
    /// The start of the timeouts of peers without a heartbeat.
    started: Instant,
}

impl MemberTracker {
    /// Creates a tracker without heartbeats; timeouts are measured from `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            heartbeats: HashMap::new(),
            started: now,
        }
    }

    /// Records a heartbeat; returns `false` if it comes from an older incarnation.
    pub fn record_heartbeat(&mut self, heartbeat: &PeerHeartbeat, now: Instant) -> bool {
        let known = self.heartbeats.get(&heartbeat.entry);
        if known.is_some_and(|record| record.incarnation > heartbeat.incarnation) {
            return false;
        }
        let record = HeartbeatRecord {
            incarnation: heartbeat.incarnation,
            applied_members: heartbeat.applied_member_set,
            text_in_force: heartbeat.text_in_force,
            known_members: heartbeat.facts[FactKind::Members.index()],
            received_at: now,
            at: now,
        };
        self.heartbeats.insert(heartbeat.entry.clone(), record);
        true
    }

    /// Returns whether a peer has sent a heartbeat within the timeout for lost peers. A peer
    /// without a heartbeat counts as alive until that timeout has passed since the start.
    pub fn is_alive(&self, entry: &EntryId, now: Instant) -> bool {
        self.time_since_heartbeat(entry, now) < LOST_AFTER
    }

    /// Returns the time since the last heartbeat of a peer, or since the start if there was
    /// none.
    pub fn time_since_heartbeat(&self, entry: &EntryId, now: Instant) -> Duration {
        let last = self
            .heartbeats
            .get(entry)
            .map_or(self.started, |record| record.at);
        now.saturating_duration_since(last)
    }

    /// Returns whether a heartbeat of a peer was received after `since`.
    pub fn has_heartbeat_since(&self, entry: &EntryId, since: Instant) -> bool {
        let last = self.heartbeats.get(entry);
        last.is_some_and(|record| record.received_at > since)
    }

    /// Returns the incarnation in a peer's last heartbeat.
    pub fn incarnation(&self, entry: &EntryId) -> Option<Incarnation> {
        self.heartbeats.get(entry).map(|record| record.incarnation)
    }

    /// Returns the revision of the newest member set whose slot shares a peer does not exceed; 0
    /// without a heartbeat.
    pub fn applied_members(&self, entry: &EntryId) -> Revision {
        self.heartbeats
            .get(entry)
            .map_or(Revision::new(0), |record| record.applied_members)
    }

    /// Returns the revision of the newest member set that a peer knows; 0 without a heartbeat.
    pub fn known_members(&self, entry: &EntryId) -> Revision {
        self.heartbeats
            .get(entry)
            .map_or(Revision::new(0), |record| record.known_members)
    }

    /// Returns the revision of the service text that a peer routes by; 0 without a heartbeat.
    pub fn text_in_force(&self, entry: &EntryId) -> Revision {
        self.heartbeats
            .get(entry)
            .map_or(Revision::new(0), |record| record.text_in_force)
    }

    /// Extends the timeouts of peers after the process was frozen; the freeze ended at `now`.
    ///
    /// Peers may have sent heartbeats that were not read during the freeze. A peer with a recorded
    /// heartbeat then has at least half of the timeout left; for a peer without one, the timeout
    /// restarts.
    pub fn reset_after_freeze(&mut self, now: Instant) {
        self.started = now;
        for record in self.heartbeats.values_mut() {
            record.at = record.at.max(now - LOST_AFTER / 2);
        }
    }

    /// Removes peers that are no longer members.
    pub fn retain(&mut self, members: &MemberSet) {
        self.heartbeats
            .retain(|entry, _| members.get(entry).is_some());
    }
}
