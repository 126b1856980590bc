//! The connections to one backend server.

use std::net::SocketAddr;
use std::time::Duration;

use monoio::time::Instant;

use crate::connection::HttpConnection;

/// How long an idle connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(10);
/// How long an idle connection may carry a request that must not be repeated.
const IDLE_LIMIT_ONCE: Duration = Duration::from_secs(1);
/// The greatest number of idle connections kept.
const IDLE_COUNT: usize = 8;

/// Which idle connections may carry a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ReuseRule {
    /// Any, since the request can be sent again.
    Idle,
    /// One that was in use a moment ago.
    JustUsed,
    /// None, since a fault that broke one may have broken the others as well.
    Never,
}

impl ReuseRule {
    fn idle_limit(self) -> Option<Duration> {
        match self {
            Self::Idle => Some(IDLE_LIMIT),
            Self::JustUsed => Some(IDLE_LIMIT_ONCE),
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
    trusted_since: Instant,
}

impl ServerConnections {
    /// Creates an empty set of connections to `address`.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            idle: Vec::new(),
            trusted_since: Instant::now(),
        }
    }

    /// Returns the server's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Takes an idle connection that is open, silent and recently used.
    pub fn take(&mut self, reuse: ReuseRule) -> Option<HttpConnection> {
        let now = Instant::now();
        let limit = reuse.idle_limit()?;
        while let Some(mut connection) = self.idle.pop() {
            let used = connection.last_used();
            if used < self.trusted_since || now - used > IDLE_LIMIT {
                self.idle.clear();
                return None;
            }
            if now - used > limit {
                self.idle.push(connection);
                return None;
            }
            if connection.is_quiet() {
                return Some(connection);
            }
        }
        None
    }

    /// Gives a connection back after a whole answer.
    pub fn put(&mut self, connection: HttpConnection) {
        if connection.is_reusable() && self.idle.len() < IDLE_COUNT {
            self.idle.push(connection);
        }
    }

    /// Distrusts every connection that has been idle until now.
    pub fn suspect(&mut self) {
        self.trusted_since = Instant::now();
        self.idle.clear();
    }

    /// Closes connections that have been idle for too long.
    pub fn close_unused(&mut self) {
        let now = Instant::now();
        self.idle
            .retain(|connection| now - connection.last_used() <= IDLE_LIMIT);
    }
}
