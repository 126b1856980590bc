//! The choice of a backend server for a request.

use std::sync::Arc;
use std::time::Instant;

use rand::Rng;

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::process::ServerHealth;
use crate::process::SlotAllocator;
use crate::version::BackendServer;

/// The greatest share of a service's servers that ejection may take out, as a divisor.
const EJECTED_DIVISOR: usize = 2;

/// Picks among the servers of a service that have a free slot.
///
/// Servers of the wanted data centre come first. Of two random ones the one
/// with the lower load, weighted by its latency, is taken.
#[derive(Debug)]
pub struct ServerPicker<'p> {
    allocator: &'p SlotAllocator,
    health: &'p ServerHealth,
    now: Instant,
    deadline: Instant,
}

/// The groups of servers that are tried in turn.
#[derive(Clone, Copy, Debug)]
enum PickTier {
    /// Servers of the wanted data centre that have not failed the request.
    Local,
    /// Servers anywhere that have not failed the request.
    Anywhere,
    /// All servers.
    Any,
}

const PICK_TIERS: [PickTier; 3] = [PickTier::Local, PickTier::Anywhere, PickTier::Any];

impl PickTier {
    fn admits(
        self,
        server: &BackendServer,
        data_centre: &DataCentreId,
        avoided: &[HostId],
    ) -> bool {
        let fresh = !avoided.contains(&server.host);
        match self {
            Self::Local => fresh && server.data_centre == *data_centre,
            Self::Anywhere => fresh,
            Self::Any => true,
        }
    }
}

struct Candidate<'s> {
    server: &'s Arc<BackendServer>,
    cost: f64,
}

impl<'p> ServerPicker<'p> {
    /// Creates a picker for one moment, for a request that ends by `deadline`.
    pub fn new(
        allocator: &'p SlotAllocator,
        health: &'p ServerHealth,
        now: Instant,
        deadline: Instant,
    ) -> Self {
        Self {
            allocator,
            health,
            now,
            deadline,
        }
    }

    /// Picks a server and takes a slot of it.
    ///
    /// `avoided` holds the hosts that an earlier attempt has failed at; they
    /// are taken only if there is no other.
    pub fn pick<'s>(
        &self,
        servers: &'s [Arc<BackendServer>],
        data_centre: &DataCentreId,
        avoided: &[HostId],
        repeatable: bool,
        random: &mut impl Rng,
    ) -> Option<&'s Arc<BackendServer>> {
        let ejection = self.may_eject(servers);
        PICK_TIERS.iter().find_map(|tier| {
            let candidates = servers
                .iter()
                .filter(|server| !ejection || self.is_trusted(server, repeatable))
                .filter(|server| tier.admits(server, data_centre, avoided));
            self.pick_of_two(candidates, random)
        })
    }

    /// Tells whether a server may get a request while others are ejected.
    ///
    /// The trial of an ejected server is left to a repeatable request.
    fn is_trusted(&self, server: &BackendServer, repeatable: bool) -> bool {
        let host = &server.host;
        !self.health.is_ejected(host, self.now) && (repeatable || !self.health.is_on_trial(host))
    }

    /// Tells whether ejection leaves enough servers with slots for us; otherwise all are tried.
    fn may_eject(&self, servers: &[Arc<BackendServer>]) -> bool {
        let usable = servers.iter().filter(|server| self.load(server).1 > 0);
        let (ejected, trusted): (Vec<_>, Vec<_>) =
            usable.partition(|server| self.health.is_ejected(&server.host, self.now));
        ejected.len() <= (ejected.len() + trusted.len()) / EJECTED_DIVISOR
    }

    fn pick_of_two<'s>(
        &self,
        servers: impl Iterator<Item = &'s Arc<BackendServer>>,
        random: &mut impl Rng,
    ) -> Option<&'s Arc<BackendServer>> {
        let mut candidates = servers
            .filter_map(|server| self.candidate(server))
            .collect::<Vec<_>>();
        while !candidates.is_empty() {
            let first = random.random_range(0..candidates.len());
            let second = random.random_range(0..candidates.len());
            let cheaper = candidates[second].cost < candidates[first].cost;
            let chosen = if cheaper { second } else { first };
            let server = candidates.swap_remove(chosen).server;
            if self
                .allocator
                .acquire(&server.host, self.now, self.deadline)
            {
                return Some(server);
            }
        }
        None
    }

    fn load(&self, server: &BackendServer) -> (u32, u32) {
        self.allocator.load(&server.host, self.now, self.deadline)
    }

    fn candidate<'s>(&self, server: &'s Arc<BackendServer>) -> Option<Candidate<'s>> {
        let (in_flight, usable) = self.load(server);
        if in_flight >= usable {
            return None;
        }
        let load = f64::from(in_flight + 1) / f64::from(usable);
        let latency = self.health.latency_micros(&server.host).max(1.0);
        Some(Candidate {
            server,
            cost: load * latency,
        })
    }
}
