//! The entry hosts that are agreed to be members.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentreId;
use crate::id::EntryId;
use crate::id::Incarnation;
use crate::version::Fact;

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
