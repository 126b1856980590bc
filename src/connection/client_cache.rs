//! Clients of many servers that come and go, with a shared limit on their connections.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use monoio::time::Instant;

use crate::connection::HttpClient;
use crate::connection::IdleBudget;

/// The minimum time between searches for clients of servers that are gone, and the time without a
/// request after which a client's connections are tested.
const PURGE_INTERVAL: Duration = Duration::from_secs(1);

/// The fewest connections to one server that its requests share: one for a call that the server
/// holds back, and one for all others.
const MIN_USUAL_CONNECTIONS: usize = 2;

/// The most connections to one server that its requests share.
const MAX_USUAL_CONNECTIONS: usize = 3;

/// Clients by the address of their server, created on first use.
///
/// The requests to a server share two or three connections, fewer the more servers there are. They
/// open more only if none becomes free shortly.
///
/// A server that moves comes back at another address. The clients of addresses that are no longer
/// used are dropped with their connections, early if the server has closed them; otherwise they would
/// use up the limit, and each request to the others would open a connection.
pub struct ClientCache {
    clients: RefCell<HashMap<SocketAddr, CachedClient>>,
    /// The limit on the connections of all clients together.
    max_connections: usize,
    /// The number of connections to one server that its requests share.
    usual_connections: Rc<Cell<usize>>,
    /// How long a client without requests is kept.
    unused_time: Duration,
    idle_budget: Rc<IdleBudget>,
    purged: Cell<Instant>,
}

struct CachedClient {
    client: Rc<HttpClient>,
    used: Instant,
}

impl ClientCache {
    /// Creates an empty cache, whose clients keep at most `max_connections` connections: one is
    /// reserved for each server, the others may be idle, one for each server before further ones.
    pub fn new(max_connections: usize, unused_time: Duration) -> Self {
        Self {
            clients: RefCell::default(),
            max_connections,
            usual_connections: Rc::new(Cell::new(MAX_USUAL_CONNECTIONS)),
            unused_time,
            idle_budget: IdleBudget::new(max_connections),
            purged: Cell::new(Instant::now()),
        }
    }

    /// Returns the client of the server at `address`.
    pub fn get(&self, address: SocketAddr) -> Rc<HttpClient> {
        let mut clients = self.clients.borrow_mut();
        if let Some(cached) = clients.get_mut(&address) {
            cached.used = Instant::now();
            return Rc::clone(&cached.client);
        }
        if self.purged.get().elapsed() >= PURGE_INTERVAL {
            self.purged.set(Instant::now());
            clients.retain(|_, cached| !self.is_unused(cached));
        }
        let budget = Rc::clone(&self.idle_budget);
        let usual_connections = Rc::clone(&self.usual_connections);
        let client = Rc::new(HttpClient::with_idle_budget(
            address,
            budget,
            usual_connections,
        ));
        let cached = CachedClient {
            client: Rc::clone(&client),
            used: Instant::now(),
        };
        clients.insert(address, cached);
        let idle_limit = self.max_connections.saturating_sub(clients.len());
        self.idle_budget.set_max(idle_limit);
        self.idle_budget.set_clients(clients.len());
        // Half of the limit is left for what a burst opens beyond the usual number.
        let usual = self.max_connections / (2 * clients.len());
        self.usual_connections
            .set(usual.clamp(MIN_USUAL_CONNECTIONS, MAX_USUAL_CONNECTIONS));
        client
    }

    /// Returns whether a client's server is gone or has not been called for long.
    fn is_unused(&self, cached: &CachedClient) -> bool {
        let unused_time = cached.used.elapsed();
        !cached.client.is_busy()
            && (unused_time >= self.unused_time
                || unused_time >= PURGE_INTERVAL && !cached.client.close_broken())
    }

    /// Returns the number of clients.
    pub fn len(&self) -> usize {
        self.clients.borrow().len()
    }

    /// Returns whether there are no clients.
    pub fn is_empty(&self) -> bool {
        self.clients.borrow().is_empty()
    }
}
