//! The entry hosts that are agreed to be members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentreId;
use crate::id::EntryId;
use crate::id::Incarnation;
use crate::version::Fact;

/// The number of members up to which everybody beats to everybody.
const FULL_MESH: usize = 8;
/// The members of the own data centre that each member of a large set beats to.
const RING_BEATS: usize = 2;

/// One entry host that may send work to backend servers.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Member {
    /// The run of its daemon.
    pub incarnation: Incarnation,
    /// The data centre it stands in.
    pub data_centre: DataCentreId,
    /// Where it talks to its peers.
    pub peer: SocketAddr,
    /// Whether this run took the place of another one, which may have lent slots.
    #[serde(default)]
    pub replaces: bool,
    /// Whether others have stopped hearing it; it may still run, cut off.
    #[serde(default)]
    pub lost: bool,
}

/// Every entry host that may send work, by name.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct MemberSet {
    members: BTreeMap<EntryId, Member>,
}

impl MemberSet {
    /// Creates a set without members.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads a fact's value; an absent row has no members.
    pub fn from_fact(fact: &Fact) -> Self {
        serde_json::from_slice(&fact.value).unwrap_or_default()
    }

    /// Returns the members, by name.
    pub fn members(&self) -> &BTreeMap<EntryId, Member> {
        &self.members
    }

    /// Returns a member.
    pub fn get(&self, entry: &EntryId) -> Option<&Member> {
        self.members.get(entry)
    }

    /// Adds a member or replaces its earlier incarnation.
    #[must_use]
    pub fn with_member(mut self, entry: EntryId, member: Member) -> Self {
        self.members.insert(entry, member);
        self
    }

    /// Removes a member.
    #[must_use]
    pub fn without_member(mut self, entry: &EntryId) -> Self {
        self.members.remove(entry);
        self
    }

    /// Tells whether everybody beats to everybody.
    pub fn is_full_mesh(&self) -> bool {
        self.members.len() <= FULL_MESH
    }

    /// Tells whether a member beats to another at each interval.
    ///
    /// In a small set each pair does, by the lower name; in a large one each
    /// member beats to the next ones of its data centre, in the order of names.
    pub fn sends_heartbeats_to(&self, from: &EntryId, to: &EntryId) -> bool {
        if self.is_full_mesh() {
            return from < to;
        }
        let follows = self.is_next(from, to);
        follows && !(to < from && self.is_next(to, from))
    }

    /// Tells whether two members hear each other at each interval.
    pub fn are_neighbours(&self, one: &EntryId, other: &EntryId) -> bool {
        self.sends_heartbeats_to(one, other) || self.sends_heartbeats_to(other, one)
    }

    /// Tells whether `to` is among the next members after `from` in the ring of its data centre.
    fn is_next(&self, from: &EntryId, to: &EntryId) -> bool {
        let Some(own) = self.members.get(from) else {
            return false;
        };
        let ring = self
            .in_data_centre(&own.data_centre)
            .map(|(entry, _)| entry);
        let ring = ring.collect::<Vec<_>>();
        let start = ring.iter().position(|entry| *entry == from).unwrap_or(0);
        let next = ring.iter().cycle().skip(start + 1).take(RING_BEATS);
        from != to && next.into_iter().any(|entry| *entry == to)
    }

    /// Returns the members of a data centre.
    pub fn in_data_centre<'s>(
        &'s self,
        data_centre: &'s DataCentreId,
    ) -> impl Iterator<Item = (&'s EntryId, &'s Member)> {
        self.members
            .iter()
            .filter(move |(_, member)| member.data_centre == *data_centre)
    }
}
