//! Picks a backend server for a request.

use std::sync::Arc;
use std::time::Instant;

use rand::Rng;

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::process::ServerHealth;
use crate::process::SlotAllocator;
use crate::version::BackendServer;

/// Ejection is ignored if more than `1 / MAX_EJECTED_DIVISOR` of the usable servers are ejected.
const MAX_EJECTED_DIVISOR: usize = 2;

/// Picks a server with a free slot by power-of-two-choices load balancing.
///
/// Servers of the requested data centre come first. Of two random servers, the one with the
/// lower product of load and latency is picked.
#[derive(Debug)]
pub struct ServerPicker<'p> {
    allocator: &'p SlotAllocator,
    health: &'p ServerHealth,
    now: Instant,
    deadline: Instant,
}

/// The groups of servers, tried in this order until one has a server with a free slot.
#[derive(Clone, Copy, Debug)]
enum PickTier {
    /// Servers of the requested data centre at which no earlier attempt of the request failed.
    LocalUntried,
    /// Servers of all data centres at which no earlier attempt of the request failed.
    Untried,
    /// All servers.
    All,
}

const PICK_TIERS: [PickTier; 3] = [PickTier::LocalUntried, PickTier::Untried, PickTier::All];

impl PickTier {
    fn admits(
        self,
        server: &BackendServer,
        data_centre: &DataCentreId,
        avoided: &[HostId],
    ) -> bool {
        let untried = !avoided.contains(&server.host);
        match self {
            Self::LocalUntried => untried && server.data_centre == *data_centre,
            Self::Untried => untried,
            Self::All => true,
        }
    }
}

struct Candidate<'s> {
    server: &'s Arc<BackendServer>,
    /// The fraction of slots in use with this request, multiplied by the average latency in
    /// microseconds.
    cost: f64,
}

impl<'p> ServerPicker<'p> {
    /// Creates a picker for one request at `now` that ends by `deadline`.
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

    /// Picks a server and acquires one of its slots.
    ///
    /// `avoided` holds the hosts at which an earlier attempt failed; they are picked only if no
    /// other server has a free slot.
    pub fn pick<'s>(
        &self,
        servers: &'s [Arc<BackendServer>],
        data_centre: &DataCentreId,
        avoided: &[HostId],
        repeatable: bool,
        random: &mut impl Rng,
    ) -> Option<&'s Arc<BackendServer>> {
        let ejection_applies = self.ejection_applies(servers);
        PICK_TIERS.iter().find_map(|tier| {
            let candidates = servers
                .iter()
                .filter(|server| !ejection_applies || self.is_eligible(server, repeatable))
                .filter(|server| tier.admits(server, data_centre, avoided));
            self.pick_of_two(candidates, random)
        })
    }

    /// Returns whether a server may get the request while ejection applies.
    ///
    /// Only a repeatable request is used for the trial of an ejected server.
    fn is_eligible(&self, server: &BackendServer, repeatable: bool) -> bool {
        let host = &server.host;
        !self.health.is_ejected(host, self.now) && (repeatable || !self.health.is_on_trial(host))
    }

    /// Returns whether at most half of the servers with slots for this entry host are ejected;
    /// otherwise ejection is ignored and all servers are tried.
    fn ejection_applies(&self, servers: &[Arc<BackendServer>]) -> bool {
        let usable = servers.iter().filter(|server| self.load(server).1 > 0);
        let (ejected, healthy): (Vec<_>, Vec<_>) =
            usable.partition(|server| self.health.is_ejected(&server.host, self.now));
        ejected.len() <= (ejected.len() + healthy.len()) / MAX_EJECTED_DIVISOR
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
            let second_is_cheaper = candidates[second].cost < candidates[first].cost;
            let chosen = if second_is_cheaper { second } else { first };
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

    /// Returns the requests in flight at a server and the slots available to the request.
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
