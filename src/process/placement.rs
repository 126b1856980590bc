//! Which hosts are closed, and which have left the pool of the service text.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::PoolId;
use crate::id::WaveId;
use crate::version::Fact;

/// How far a planned stop or move of a host has come.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostPhase {
    /// It serves.
    Active,
    /// It gets no new work; entry hosts finish what is in flight.
    Leaving,
    /// The platform restarts it.
    Restarting,
}

impl fmt::Display for HostPhase {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Active => "active",
            Self::Leaving => "leaving",
            Self::Restarting => "restarting",
        })
    }
}

/// What is agreed about one host beyond the service text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostPlacement {
    /// The pool it belongs to, if it is not that of the service text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolId>,
    /// The pool it is to belong to, while a move is under way.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moving_to: Option<PoolId>,
    /// Whether an operator has moved it, so that the planner does not move it back.
    #[serde(default)]
    pub pinned: bool,
    /// How far its stop or move has come.
    pub phase: HostPhase,
    /// The wave that closed it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wave: Option<WaveId>,
    /// How many restarts it had when the wave closed it.
    #[serde(default)]
    pub boots: u64,
}

/// The one row that says which hosts are closed or moved; others are as the text says.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Placement {
    hosts: BTreeMap<HostId, HostPlacement>,
}

impl Placement {
    /// Creates a placement without exceptions to the text.
    pub fn new() -> Self {
        Self::default()
    }

    /// Reads a fact's value; an absent row has no exceptions.
    pub fn from_fact(fact: &Fact) -> Self {
        serde_json::from_slice(&fact.value).unwrap_or_default()
    }

    /// Returns the exceptions, by host.
    pub fn hosts(&self) -> &BTreeMap<HostId, HostPlacement> {
        &self.hosts
    }

    /// Returns the pool of a host that has left the pool of the text.
    pub fn pool_of(&self, host: &HostId) -> Option<&PoolId> {
        self.hosts.get(host).and_then(|held| held.pool.as_ref())
    }

    /// Tells whether an operator has moved a host.
    pub fn is_pinned(&self, host: &HostId) -> bool {
        self.hosts.get(host).is_some_and(|held| held.pinned)
    }

    /// Tells whether a host must get no new work.
    pub fn is_closed(&self, host: &HostId) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|held| held.phase != HostPhase::Active)
    }

    /// Returns the hosts that must get no new work.
    pub fn closed_hosts(&self) -> impl Iterator<Item = &HostId> {
        self.hosts.keys().filter(|host| self.is_closed(host))
    }

    /// Closes a host that is to change its pool; `pinned` says that an operator wants it.
    pub fn begin_move(&mut self, host: &HostId, to: &PoolId, pinned: bool) {
        let leaving = HostPlacement {
            pool: self.pool_of(host).cloned(),
            moving_to: Some(to.clone()),
            pinned,
            phase: HostPhase::Leaving,
            wave: None,
            boots: 0,
        };
        self.set(host.clone(), leaving);
    }

    /// Changes what is agreed about a host.
    pub fn set(&mut self, host: HostId, placement: HostPlacement) {
        if placement.phase == HostPhase::Active && placement.pool.is_none() {
            self.hosts.remove(&host);
            return;
        }
        self.hosts.insert(host, placement);
    }
}
