//! How many slots of each backend server this entry host may use now.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use crate::id::DataCentreId;
use crate::id::EntryId;
use crate::id::HostId;
use crate::id::Revision;
use crate::process::slot_share;
use crate::process::EntryIdentity;
use crate::process::MemberSet;
use crate::process::MemberTracker;
use crate::process::SlotShare;

/// How long full shares hold without a sign that the member set is current.
const CONFIRMATION: Duration = Duration::from_secs(3);
/// How long others wait for a lost member's shares to have fallen back.
const TAKEOVER: Duration = Duration::from_secs(4);

/// How long slots that an earlier run has lent may still be in use.
const EARLIER_LOANS: Duration = Duration::from_millis(6_500);

/// A backend server's place and slots, as far as shares depend on them.
#[derive(Clone, Debug)]
pub struct SharedServer {
    /// The host.
    pub host: HostId,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// The requests that it runs at the same time.
    pub slots: u32,
}

/// What slot shares depend on beside the servers.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareInputs {
    current: Revision,
    in_force: Revision,
    careful: bool,
}

/// Follows the member set without ever using a slot that another may still use.
///
/// Shares shrink as soon as a member set is known and grow once every other
/// member of the data centre has settled on it. An entry host without a sign
/// that its set is current falls back to its reserve.
#[derive(Debug)]
pub struct ShareManager {
    identity: EntryIdentity,
    current: MemberSet,
    current_revision: Revision,
    current_since: Instant,
    in_force: MemberSet,
    in_force_revision: Revision,
    confirmed_at: Instant,
    started: Instant,
}

impl ShareManager {
    /// Creates a keeper that has no member set and so no slots.
    pub fn new(identity: EntryIdentity, now: Instant) -> Self {
        Self {
            identity,
            current: MemberSet::new(),
            current_revision: Revision::new(0),
            current_since: now,
            in_force: MemberSet::new(),
            in_force_revision: Revision::new(0),
            confirmed_at: now,
            started: now,
        }
    }

    /// Takes in a member set.
    pub fn follow(&mut self, revision: Revision, members: MemberSet, now: Instant) {
        if revision <= self.current_revision {
            return;
        }
        self.current = members;
        self.current_revision = revision;
        self.current_since = now;
        self.confirmed_at = now;
    }

    /// Returns the revision of the member set followed.
    pub fn revision(&self) -> Revision {
        self.current_revision
    }

    /// Notes that the platform has shown the member set to be current.
    pub fn confirm(&mut self, now: Instant) {
        self.confirmed_at = now;
    }

    /// Decides which member set is in force, after what was heard from peers.
    pub fn decide(&mut self, tracker: &MemberTracker, now: Instant) {
        let mates = self.others(true);
        let live = mates.iter().filter(|(_, lost)| !lost);
        // A mate that knows a newer set may have marked this member as lost.
        let agreed = live.clone().all(|(entry, _)| {
            tracker.is_alive(entry, now) && tracker.members_known(entry) == self.current_revision
        });
        if agreed && live.count() > 0 {
            self.confirmed_at = now;
        }
        let newer = self.in_force_revision < self.current_revision;
        if newer && self.is_settled(tracker, now) && self.is_taken_over(now) {
            self.in_force = self.current.clone();
            self.in_force_revision = self.current_revision;
        }
    }

    /// Tells whether every member that may use the slots in question keeps within the current set.
    ///
    /// These are the members of this data centre, and all others when some data
    /// centre's slots were or are divided among them. Of a data centre that is
    /// new, others have fallen back by themselves after a while.
    fn is_settled(&self, tracker: &MemberTracker, now: Instant) -> bool {
        let fallen_back = now.saturating_duration_since(self.current_since) >= TAKEOVER;
        let orphans = has_orphans(&self.current) || has_orphans(&self.in_force);
        let far_count = orphans || (self.has_new_data_centre() && !fallen_back);
        self.others(!far_count)
            .iter()
            .filter(|(_, lost)| !lost)
            .all(|(entry, _)| tracker.settled(entry) >= self.current_revision)
    }

    /// Tells whether a data centre has its first live member, or may have.
    fn has_new_data_centre(&self) -> bool {
        let earlier = live_data_centres(&self.in_force);
        live_data_centres(&self.current)
            .iter()
            .any(|data_centre| !earlier.contains(data_centre))
    }

    /// Tells whether lost members have had the time to fall back to their reserves.
    fn is_taken_over(&self, now: Instant) -> bool {
        let any_lost = self.current.members().values().any(|member| member.lost);
        !any_lost || now.saturating_duration_since(self.current_since) >= TAKEOVER
    }

    /// Returns what the shares depend on beside the servers; while it stays the same, so do they.
    pub fn basis(&self, now: Instant) -> ShareInputs {
        ShareInputs {
            current: self.current_revision,
            in_force: self.in_force_revision,
            careful: self.is_careful(now),
        }
    }

    /// Returns the slots of each server that may be used now.
    pub fn shares(&self, servers: &[SharedServer], now: Instant) -> HashMap<HostId, SlotShare> {
        let careful = self.is_careful(now);
        servers
            .iter()
            .map(|server| {
                let current = self.share(&self.current, server);
                let in_force = self.share(&self.in_force, server);
                let reserve = current.reserve.min(in_force.reserve);
                let full = match careful {
                    true => reserve,
                    false => current.full.min(in_force.full),
                };
                (server.host.clone(), SlotShare { reserve, full })
            })
            .collect()
    }

    /// Tells whether only the reserve may be used now.
    fn is_careful(&self, now: Instant) -> bool {
        let isolated = now.saturating_duration_since(self.confirmed_at) > CONFIRMATION;
        isolated || self.may_have_lent(now)
    }

    /// Tells whether slots may still be in use that an earlier run of this entry host has lent.
    fn may_have_lent(&self, now: Instant) -> bool {
        let own = self.current.get(&self.identity.entry);
        let replaces = own.is_some_and(|member| {
            member.replaces || member.incarnation != self.identity.incarnation
        });
        replaces && now.saturating_duration_since(self.started) < EARLIER_LOANS
    }

    /// Returns the other members, of this data centre or of all, and whether they are lost.
    fn others(&self, near: bool) -> Vec<(EntryId, bool)> {
        let own = &self.identity;
        let members = self.current.members().iter();
        members
            .filter(|(entry, _)| **entry != own.entry)
            .filter(|(_, member)| !near || member.data_centre == own.data_centre)
            .map(|(entry, member)| (entry.clone(), member.lost))
            .collect()
    }

    fn share(&self, members: &MemberSet, server: &SharedServer) -> SlotShare {
        let entry = &self.identity.entry;
        slot_share(
            members,
            entry,
            &server.host,
            &server.data_centre,
            server.slots,
        )
    }
}

/// Returns the data centres that have a live member.
fn live_data_centres(members: &MemberSet) -> BTreeSet<&DataCentreId> {
    let live = members.members().values().filter(|member| !member.lost);
    live.map(|member| &member.data_centre).collect()
}

/// Tells whether some data centre has members, but no live one.
fn has_orphans(members: &MemberSet) -> bool {
    members.members().values().any(|member| {
        let mut mates = members.in_data_centre(&member.data_centre);
        mates.all(|(_, mate)| mate.lost)
    })
}
