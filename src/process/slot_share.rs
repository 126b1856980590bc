//! Divides the slots of a backend server among entry hosts.

use std::hash::Hash;
use std::hash::Hasher;

use siphasher::sip::SipHasher13;

use crate::id::DataCentreId;
use crate::id::EntryId;
use crate::id::HostId;
use crate::process::Member;
use crate::process::MemberSet;

/// The slots of one backend server that one entry host may use.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct SlotShare {
    /// The slots that no other member uses while this member is in the set, even if it is marked
    /// as lost.
    pub reserve: u32,
    /// The slots that may be used while the other members know that this one is alive; includes
    /// the reserve.
    pub full: u32,
}

/// Returns the share of `entry` in the `slots` of `host`.
///
/// The members of the host's data centre own its slots. Each owner has a reserve of half an
/// equal share, also while it is lost, since it may still run behind a network partition. The
/// live owners divide the rest; if no owner is live, all live members do.
pub fn slot_share(
    members: &MemberSet,
    entry: &EntryId,
    host: &HostId,
    data_centre: &DataCentreId,
    slots: u32,
) -> SlotShare {
    let owners = members.in_data_centre(data_centre).collect::<Vec<_>>();
    let owner_count = owners.len() as u32;
    let reserve = slots / (2 * owner_count.max(1));
    let is_owner = owners.iter().any(|(owner, _)| *owner == entry);
    let own_reserve = if is_owner { reserve } else { 0 };
    let mut live = live_by_rank(&owners, host);
    if live.is_empty() {
        live = live_by_rank(&members.members().iter().collect::<Vec<_>>(), host);
    }
    let Some(rank) = live.iter().position(|owner| *owner == entry) else {
        return SlotShare {
            reserve: own_reserve,
            full: own_reserve,
        };
    };
    let unreserved = slots - reserve * owner_count;
    let live_count = live.len() as u32;
    let extra = u32::from((rank as u32) < unreserved % live_count);
    SlotShare {
        reserve: own_reserve,
        full: own_reserve + unreserved / live_count + extra,
    }
}

/// Orders the live owners by a hash of owner and host, so that the remainders of the divisions are
/// spread evenly over the owners.
fn live_by_rank<'m>(owners: &[(&'m EntryId, &Member)], host: &HostId) -> Vec<&'m EntryId> {
    let mut live = owners
        .iter()
        .filter(|(_, member)| !member.lost)
        .map(|(owner, _)| *owner)
        .collect::<Vec<_>>();
    live.sort_by_key(|owner| rendezvous_weight(owner, host));
    live
}

fn rendezvous_weight(owner: &EntryId, host: &HostId) -> u64 {
    let mut hasher = SipHasher13::new();
    owner.hash(&mut hasher);
    host.hash(&mut hasher);
    hasher.finish()
}
