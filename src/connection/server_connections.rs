//! The connections to one backend server.

use std::net::SocketAddr;
use std::time::Duration;

use monoio::time::Instant;

use crate::connection::HttpConnection;

/// How long an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(10);
/// How long an idle connection may carry a request that must not be repeated.
const NON_RETRYABLE_IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// The greatest number of idle connections kept.
const MAX_IDLE_CONNECTIONS: usize = 8;

/// Which idle connections may carry a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReusePolicy {
    /// Any, since the request can be sent again.
    Idle,
    /// One that was in use a moment ago.
    RecentlyUsed,
    /// None, since a fault that broke one may have broken the others as well.
    Never,
}

impl ReusePolicy {
    fn max_idle_age(self) -> Option<Duration> {
        match self {
            Self::Idle => Some(IDLE_TIMEOUT),
            Self::RecentlyUsed => Some(NON_RETRYABLE_IDLE_TIMEOUT),
            Self::Never => None,
        }
    }
}

/// The idle connections to one backend server.
///
/// Connections are in use one request at a time, so that there are never more
/// of them than slots in use and idle ones together.
pub struct ServerConnections {
    address: SocketAddr,
    idle: Vec<HttpConnection>,
    reusable_since: Instant,
}

impl ServerConnections {
    /// Creates an empty set of connections to `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Vec::new(),
            reusable_since: Instant::now(),
        }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection that is open, silent and recently used.
    pub fn take(&mut self, reuse: ReusePolicy) -> Option<HttpConnection> {
        let now = Instant::now();
        let limit = reuse.max_idle_age()?;
        while let Some(mut connection) = self.idle.pop() {
            let used = connection.last_used();
            if used < self.reusable_since || now - used > IDLE_TIMEOUT {
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

    /// Gives a connection back after a whole answer.
    pub fn put(&mut self, connection: HttpConnection) {
        if connection.is_reusable() && self.idle.len() < MAX_IDLE_CONNECTIONS {
            self.idle.push(connection);
        }
    }

    /// Distrusts every connection that has been idle until now.
    pub fn discard_idle(&mut self) {
        self.reusable_since = Instant::now();
        self.idle.clear();
    }

    /// Closes connections that have been idle for too long.
    pub fn close_expired(&mut self) {
        let now = Instant::now();
        self.idle
            .retain(|connection| now - connection.last_used() <= IDLE_TIMEOUT);
    }
}
