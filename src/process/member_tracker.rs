//! What this entry host has heard from its peers.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::connection::PeerBeat;
use crate::id::EntryId;
use crate::id::Incarnation;
use crate::id::Revision;
use crate::process::MemberSet;
use crate::version::FactKind;

/// The silence after which a peer counts as lost.
pub(crate) const LOST_AFTER: Duration = Duration::from_secs(4);

/// The last heartbeat of a peer.
#[derive(Clone, Debug)]
struct HeartbeatRecord {
    incarnation: Incarnation,
    settled: Revision,
    text_in_force: Revision,
    members: Revision,
    at: Instant,
}

/// Keeps the last heartbeat of each peer; an older incarnation never replaces a newer one.
#[derive(Clone, Debug)]
pub struct MemberTracker {
    heard: HashMap<EntryId, HeartbeatRecord>,
    started: Instant,
}

impl MemberTracker {
    /// Creates a tracker that has heard nobody since `now`.
    pub fn new(now: Instant) -> Self {
        Self {
            heard: HashMap::new(),
            started: now,
        }
    }

    /// Notes a heartbeat and returns whether it counts.
    pub fn record_heartbeat(&mut self, beat: &PeerBeat, now: Instant) -> bool {
        let known = self.heard.get(&beat.entry);
        if known.is_some_and(|heard| heard.incarnation > beat.incarnation) {
            return false;
        }
        let heard = HeartbeatRecord {
            incarnation: beat.incarnation,
            settled: beat.settled,
            text_in_force: beat.text_in_force,
            members: beat.facts[FactKind::Members.index()],
            at: now,
        };
        self.heard.insert(beat.entry.clone(), heard);
        true
    }

    /// Tells whether a peer has been heard within the bound for lost ones.
    pub fn is_alive(&self, entry: &EntryId, now: Instant) -> bool {
        self.time_since_heartbeat(entry, now) < LOST_AFTER
    }

    /// Returns how long a peer has been silent.
    pub fn time_since_heartbeat(&self, entry: &EntryId, now: Instant) -> Duration {
        let last = self.heard.get(entry).map_or(self.started, |heard| heard.at);
        now.saturating_duration_since(last)
    }

    /// Returns the run that a peer was last heard in.
    pub fn incarnation(&self, entry: &EntryId) -> Option<Incarnation> {
        self.heard.get(entry).map(|heard| heard.incarnation)
    }

    /// Returns the member set that a peer keeps within, 0 if it was not heard.
    pub fn settled(&self, entry: &EntryId) -> Revision {
        self.heard
            .get(entry)
            .map_or(Revision::new(0), |heard| heard.settled)
    }

    /// Returns the newest member set that a peer knows of, 0 if it was not heard.
    pub fn members_known(&self, entry: &EntryId) -> Revision {
        self.heard
            .get(entry)
            .map_or(Revision::new(0), |heard| heard.members)
    }

    /// Returns the service text that a peer routes by, 0 if it was not heard.
    pub fn text_in_force(&self, entry: &EntryId) -> Revision {
        self.heard
            .get(entry)
            .map_or(Revision::new(0), |heard| heard.text_in_force)
    }

    /// Forgets everything heard before `now`, since the process was paused until then.
    pub fn restart(&mut self, now: Instant) {
        self.started = now;
        for heard in self.heard.values_mut() {
            heard.at = heard.at.max(now - LOST_AFTER / 2);
        }
    }

    /// Forgets peers that are no members any more.
    pub fn retain(&mut self, members: &MemberSet) {
        self.heard.retain(|entry, _| members.get(entry).is_some());
    }
}
