//! The member set: the entry hosts that share the slots of backend servers.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentreId;
use crate::id::EntryId;
use crate::id::Incarnation;
use crate::version::Fact;

/// The size of the member set up to which all pairs exchange heartbeats at each interval.
const MAX_FULL_MESH_MEMBERS: usize = 8;
/// The number of successors in the ring of its data centre that each member of a larger set
/// sends heartbeats to.
const RING_SUCCESSORS: usize = 2;

/// An entry host that may send requests to backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The run of its daemon; a newer run has a higher value.
    pub incarnation: Incarnation,
    /// The data centre of the entry host.
    pub data_centre: DataCentreId,
    /// The address at which peers call it.
    pub peer: SocketAddr,
    /// Whether this run replaced an earlier one, which may have lent slots.
    #[serde(default)]
    pub replaces: bool,
    /// Whether a member that monitors it gets no heartbeats from it; it may still run behind a
    /// network partition.
    #[serde(default)]
    pub lost: bool,
}

/// The entry hosts that may send requests to backend servers, by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct MemberSet {
    members: BTreeMap<EntryId, Member>,
}

impl MemberSet {
    /// Creates an empty set.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decodes a fact's value; an absent or unreadable row gives an empty set.
    pub fn from_fact(fact: &Fact) -> Self {
        serde_json::from_slice(&fact.value).unwrap_or_default()
    }

    /// Returns the members in the order of their names.
    pub fn members(&self) -> &BTreeMap<EntryId, Member> {
        &self.members
    }

    /// Returns a member, lost or live; `None` if the entry host is not in the set.
    pub fn get(&self, entry: &EntryId) -> Option<&Member> {
        self.members.get(entry)
    }

    /// Adds a member or replaces its earlier entry.
    #[must_use]
    pub fn with_member(mut self, entry: EntryId, member: Member) -> Self {
        self.members.insert(entry, member);
        self
    }

    /// Removes a member, if it is in the set.
    #[must_use]
    pub fn without_member(mut self, entry: &EntryId) -> Self {
        self.members.remove(entry);
        self
    }

    /// Returns whether the set is small enough for all pairs to exchange heartbeats.
    pub fn is_full_mesh(&self) -> bool {
        self.members.len() <= MAX_FULL_MESH_MEMBERS
    }

    /// Returns whether a member sends a heartbeat to another at each interval.
    ///
    /// In a full mesh the member with the lower name of each pair sends. In a larger set each
    /// member sends to its successors in the ring of its data centre, ordered by name; of two
    /// members that are successors of each other, the one with the lower name sends.
    pub fn sends_heartbeats_to(&self, from: &EntryId, to: &EntryId) -> bool {
        if self.is_full_mesh() {
            return from < to;
        }
        let is_successor = self.is_ring_successor(from, to);
        is_successor && !(to < from && self.is_ring_successor(to, from))
    }

    /// Returns whether two members exchange heartbeats at each interval.
    pub fn are_neighbours(&self, one: &EntryId, other: &EntryId) -> bool {
        self.sends_heartbeats_to(one, other) || self.sends_heartbeats_to(other, one)
    }

    /// Returns whether `to` is one of the successors of `from` in the ring of its data centre.
    fn is_ring_successor(&self, from: &EntryId, to: &EntryId) -> bool {
        let Some(own) = self.members.get(from) else {
            return false;
        };
        let ring = self
            .in_data_centre(&own.data_centre)
            .map(|(entry, _)| entry);
        let ring = ring.collect::<Vec<_>>();
        let start = ring.iter().position(|entry| *entry == from).unwrap_or(0);
        let successors = ring.iter().cycle().skip(start + 1).take(RING_SUCCESSORS);
        from != to && successors.into_iter().any(|entry| *entry == to)
    }

    /// Returns the members of a data centre, lost ones included.
    pub fn in_data_centre<'s>(
        &'s self,
        data_centre: &'s DataCentreId,
    ) -> impl Iterator<Item = (&'s EntryId, &'s Member)> {
        self.members
            .iter()
            .filter(move |(_, member)| member.data_centre == *data_centre)
    }
}
