//! Decides how many slots of each backend server this entry host may use.

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

/// How long full shares stay valid without a confirmation that the member set is current.
const CONFIRMATION_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the other members wait for a lost member to fall back to its reserve. It must be longer
/// than [`CONFIRMATION_TIMEOUT`], after which the lost member falls back by itself.
const TAKEOVER_DELAY: Duration = Duration::from_secs(4);

/// How long slots lent by an earlier run of this entry host may still be in use: the duration of a
/// loan, 6 s, and the lender's margin of 500 ms.
const EARLIER_LOANS_TIMEOUT: Duration = Duration::from_millis(6_500);

/// The properties of a backend server that slot shares depend on.
#[derive(Clone, Debug)]
pub struct SharedServer {
    /// The host of the server.
    pub host: HostId,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// The number of requests that it processes concurrently.
    pub slots: u32,
}

/// The inputs of the slot shares besides the servers; equal inputs give equal shares.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ShareInputs {
    /// The revision of the newest known member set.
    current: Revision,
    /// The revision of the member set in force; a share is the minimum of its values in both sets.
    in_force: Revision,
    reserve_only: bool,
}

/// Computes the slot shares from the member set, without using a slot that another member may
/// still use.
///
/// Shares shrink as soon as a new member set is known, and grow once no other member of the data
/// centre exceeds its shares in that set. An entry host without a confirmation that its set is
/// current falls back to its reserve.
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
    /// Creates a manager without a member set, and therefore without slots.
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

    /// Installs a newer member set; an older one is ignored.
    pub fn install_members(&mut self, revision: Revision, members: MemberSet, now: Instant) {
        if revision <= self.current_revision {
            return;
        }
        self.current = members;
        self.current_revision = revision;
        self.current_since = now;
        self.confirmed_at = now;
    }

    /// Returns the revision of the newest member set installed.
    pub fn revision(&self) -> Revision {
        self.current_revision
    }

    /// Records that a read of the platform has confirmed the member set as current.
    pub fn record_confirmation(&mut self, now: Instant) {
        self.confirmed_at = now;
    }

    /// Puts the newest member set in force once the heartbeats of peers allow it.
    pub fn update(&mut self, tracker: &MemberTracker, now: Instant) {
        let local_members = self.others(true);
        let live = local_members.iter().filter(|(_, lost)| !lost);
        // A local member that knows another set may have marked this member as lost, so only
        // members that know the same set confirm it.
        let agreed = live.clone().all(|(entry, _)| {
            tracker.is_alive(entry, now) && tracker.known_members(entry) == self.current_revision
        });
        if agreed && live.count() > 0 {
            self.confirmed_at = now;
        }
        let newer = self.in_force_revision < self.current_revision;
        if newer
            && self.is_applied_by_others(tracker, now)
            && self.have_lost_members_fallen_back(now)
        {
            self.in_force = self.current.clone();
            self.in_force_revision = self.current_revision;
        }
    }

    /// Returns whether no live member that may use the same slots exceeds its shares in the current
    /// set.
    ///
    /// Normally these are the members of this data centre. If the current set or the set in force
    /// has a data centre whose members are all lost, all members count, since its slots are divided
    /// among all. If a data centre gets its first live member, all members count too, but only for
    /// [`TAKEOVER_DELAY`]: by then the members of other data centres have given up its slots.
    fn is_applied_by_others(&self, tracker: &MemberTracker, now: Instant) -> bool {
        let fallen_back = now.saturating_duration_since(self.current_since) >= TAKEOVER_DELAY;
        let any_lost_data_centre =
            has_lost_data_centre(&self.current) || has_lost_data_centre(&self.in_force);
        let include_remote = any_lost_data_centre || (self.has_new_data_centre() && !fallen_back);
        self.others(!include_remote)
            .iter()
            .filter(|(_, lost)| !lost)
            .all(|(entry, _)| tracker.applied_members(entry) >= self.current_revision)
    }

    /// Returns whether a data centre has a live member now and had none in the set in force.
    fn has_new_data_centre(&self) -> bool {
        let earlier = live_data_centres(&self.in_force);
        live_data_centres(&self.current)
            .iter()
            .any(|data_centre| !earlier.contains(data_centre))
    }

    /// Returns whether lost members have had enough time to fall back to their reserves.
    fn have_lost_members_fallen_back(&self, now: Instant) -> bool {
        let any_lost = self.current.members().values().any(|member| member.lost);
        !any_lost || now.saturating_duration_since(self.current_since) >= TAKEOVER_DELAY
    }

    /// Returns the inputs of [`Self::shares`] besides the servers; equal inputs give equal shares.
    pub fn inputs(&self, now: Instant) -> ShareInputs {
        ShareInputs {
            current: self.current_revision,
            in_force: self.in_force_revision,
            reserve_only: self.is_reserve_only(now),
        }
    }

    /// Returns the slots of each server that may be used at `now`.
    pub fn shares(&self, servers: &[SharedServer], now: Instant) -> HashMap<HostId, SlotShare> {
        let reserve_only = self.is_reserve_only(now);
        servers
            .iter()
            .map(|server| {
                let current = self.share(&self.current, server);
                let in_force = self.share(&self.in_force, server);
                let reserve = current.reserve.min(in_force.reserve);
                let full = match reserve_only {
                    true => reserve,
                    false => current.full.min(in_force.full),
                };
                (server.host.clone(), SlotShare { reserve, full })
            })
            .collect()
    }

    /// Returns whether only the reserve may be used at `now`.
    fn is_reserve_only(&self, now: Instant) -> bool {
        let isolated = now.saturating_duration_since(self.confirmed_at) > CONFIRMATION_TIMEOUT;
        isolated || self.may_have_lent(now)
    }

    /// Returns whether slots lent by an earlier run of this entry host may still be in use.
    fn may_have_lent(&self, now: Instant) -> bool {
        let own = self.current.get(&self.identity.entry);
        let replaces = own.is_some_and(|member| {
            member.replaces || member.incarnation != self.identity.incarnation
        });
        replaces && now.saturating_duration_since(self.started) < EARLIER_LOANS_TIMEOUT
    }

    /// Returns the other members of all data centres, or only of this one, with their `lost` flags.
    fn others(&self, local_only: bool) -> Vec<(EntryId, bool)> {
        let own = &self.identity;
        let members = self.current.members().iter();
        members
            .filter(|(entry, _)| **entry != own.entry)
            .filter(|(_, member)| !local_only || member.data_centre == own.data_centre)
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

/// Returns the data centres with at least one live member.
fn live_data_centres(members: &MemberSet) -> BTreeSet<&DataCentreId> {
    let live = members.members().values().filter(|member| !member.lost);
    live.map(|member| &member.data_centre).collect()
}

/// Returns whether some data centre has members, all of them lost.
fn has_lost_data_centre(members: &MemberSet) -> bool {
    members.members().values().any(|member| {
        let mut local_members = members.in_data_centre(&member.data_centre);
        local_members.all(|(_, other)| other.lost)
    })
}
