//! The placement: hosts that are closed to new requests or moved to another pool.

use std::collections::BTreeMap;
use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::id::HostId;
use crate::id::PoolId;
use crate::id::WaveId;
use crate::version::Fact;

/// The progress of a planned restart or move of a host.
#[derive(Clone, Copy, Debug, Deserialize, Eq, Ord, PartialEq, PartialOrd, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum HostPhase {
    /// The host serves requests.
    Active,
    /// The host gets no new requests; those in flight finish.
    Leaving,
    /// The platform is restarting the host.
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

/// The state of a host that is closed to new requests or outside its pool of the service text.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct HostPlacement {
    /// The current pool, if it differs from the service text.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<PoolId>,
    /// The target pool while a move is in progress.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub moving_to: Option<PoolId>,
    /// Whether an operator has moved it; the planner does not move a pinned host back.
    #[serde(default)]
    pub pinned: bool,
    /// The progress of its restart or move.
    pub phase: HostPhase,
    /// The wave that closed it to new requests.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub wave: Option<WaveId>,
    /// Its restart count when the wave closed it; a higher count at the platform shows that it has
    /// restarted since.
    #[serde(default)]
    pub boots: u64,
}

/// The hosts that are closed or moved, stored in one row; all others are as in the service
/// text.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(transparent)]
pub struct Placement {
    hosts: BTreeMap<HostId, HostPlacement>,
}

impl Placement {
    /// Creates a placement in which all hosts are as in the service text.
    pub fn new() -> Self {
        Self::default()
    }

    /// Decodes a fact's value; an absent or unreadable row gives an empty placement.
    pub fn from_fact(fact: &Fact) -> Self {
        serde_json::from_slice(&fact.value).unwrap_or_default()
    }

    /// Returns the hosts that differ from the service text.
    pub fn hosts(&self) -> &BTreeMap<HostId, HostPlacement> {
        &self.hosts
    }

    /// Returns the current pool of a host; `None` if it is in its pool of the service text.
    pub fn pool_of(&self, host: &HostId) -> Option<&PoolId> {
        self.hosts
            .get(host)
            .and_then(|placement| placement.pool.as_ref())
    }

    /// Returns whether an operator has moved a host, so that the planner does not move it back.
    pub fn is_pinned(&self, host: &HostId) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|placement| placement.pinned)
    }

    /// Returns whether a host must get no new requests.
    pub fn is_closed(&self, host: &HostId) -> bool {
        self.hosts
            .get(host)
            .is_some_and(|placement| placement.phase != HostPhase::Active)
    }

    /// Returns the hosts that must get no new requests.
    pub fn closed_hosts(&self) -> impl Iterator<Item = &HostId> {
        self.hosts.keys().filter(|host| self.is_closed(host))
    }

    /// Closes a host that is to move to another pool; `pinned` marks a move by an operator.
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

    /// Sets the state of a host; one that is as in the service text is removed.
    pub fn set(&mut self, host: HostId, placement: HostPlacement) {
        if placement.phase == HostPhase::Active && placement.pool.is_none() {
            self.hosts.remove(&host);
            return;
        }
        self.hosts.insert(host, placement);
    }
}
