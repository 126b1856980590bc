//! Reuse of idle connections to one backend server.

use std::net::SocketAddr;
use std::time::Duration;

use monoio::time::Instant;

use crate::connection::HttpConnection;

/// The maximum idle time of a connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// The maximum idle time of a connection for a request that must not be retried: such a request
/// fails if the idle connection turns out to be broken.
const NON_RETRYABLE_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of idle connections kept per server.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Which idle connections a request may use.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReusePolicy {
    /// Any idle connection, since the request can be retried.
    Idle,
    /// A connection idle for at most 1 s, since the request must not be retried.
    RecentlyUsed,
    /// None: a fault that broke one connection may have broken the others as well.
    Never,
}

impl ReusePolicy {
    fn max_idle_time(self) -> Option<Duration> {
        match self {
            Self::Idle => Some(IDLE_TIMEOUT),
            Self::RecentlyUsed => Some(NON_RETRYABLE_IDLE_TIMEOUT),
            Self::Never => None,
        }
    }
}

/// The idle connections to one backend server.
///
/// A connection carries one request at a time, so that the number of open connections is
/// bounded by the slots in use plus the idle connections.
pub struct ServerConnections {
    address: SocketAddr,
    idle: Vec<HttpConnection>,
    /// Connections last used before this time are discarded.
    reusable_since: Instant,
}

impl ServerConnections {
    /// Creates a set without connections to `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Vec::new(),
            reusable_since: Instant::now(),
        }
    }

    /// Returns the address of every connection in the set.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection that `reuse` allows, is still open and has no unread bytes.
    pub fn take(&mut self, reuse: ReusePolicy) -> Option<HttpConnection> {
        let now = Instant::now();
        let limit = reuse.max_idle_time()?;
        while let Some(mut connection) = self.idle.pop() {
            let used = connection.last_used();
            if used < self.reusable_since || now - used > IDLE_TIMEOUT {
                // The remaining connections were put back earlier, so they are discarded as well.
                self.idle.clear();
                return None;
            }
            if now - used > limit {
                self.idle.push(connection);
                return None;
            }
            if connection.is_open_and_idle() {
                return Some(connection);
            }
        }
        None
    }

    /// Puts a connection back after a complete response. It is closed instead if it cannot be
    /// reused or the maximum number of idle connections is reached.
    pub fn put(&mut self, connection: HttpConnection) {
        if connection.is_reusable() && self.idle.len() < MAX_IDLE_CONNECTIONS {
            self.idle.push(connection);
        }
    }

    /// Discards all idle connections, and any put back later whose last response came before
    /// this call.
    pub fn discard_idle(&mut self) {
        self.reusable_since = Instant::now();
        self.idle.clear();
    }

    /// Closes connections that exceed the maximum idle time.
    pub fn close_expired(&mut self) {
        let now = Instant::now();
        self.idle
            .retain(|connection| now - connection.last_used() <= IDLE_TIMEOUT);
    }
}
