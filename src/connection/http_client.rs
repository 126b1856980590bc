//! HTTP client for one server, used for the platform and by operators' tools.

use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;

use bytes::Bytes;
use http::header::HOST;
use http::HeaderValue;
use http::Request;
use http::Response;
use monoio::time::Instant;

use crate::connection::connection_pool::ConnectionPool;
use crate::connection::ExchangeError;
use crate::connection::IdleBudget;
use crate::connection::MessageLimits;
use crate::connection::ResponseLimits;

/// The maximum number of idle connections of a client without a shared [`IdleBudget`].
const DEFAULT_MAX_IDLE: usize = 256;

/// The largest response body, in bytes: several times the largest page of the platform's table.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// Sends requests to one address and reuses idle connections.
pub struct HttpClient {
    address: SocketAddr,
    host: HeaderValue,
    pool: Rc<ConnectionPool>,
}

impl HttpClient {
    /// Creates a client of the server at `address` with an idle budget of its own.
    pub fn new(address: SocketAddr) -> Self {
        let budget = IdleBudget::new(DEFAULT_MAX_IDLE);
        Self::with_pool(address, Self::new_pool(address, budget))
    }

    /// Creates a client of the server at `address` whose idle connections count towards a shared
    /// `budget`. Requests share `usual_connections`, rather than opening more, if one becomes free
    /// shortly; later changes of that number take effect. The server is called so often that requests
    /// notice broken connections before TCP keep-alive would.
    pub fn with_idle_budget(
        address: SocketAddr,
        budget: Rc<IdleBudget>,
        usual_connections: Rc<Cell<usize>>,
    ) -> Self {
        let pool = Self::new_pool(address, budget)
            .with_usual_connections(usual_connections)
            .without_keep_alive();
        Self::with_pool(address, pool)
    }

    fn with_pool(address: SocketAddr, pool: ConnectionPool) -> Self {
        let host = address.to_string();
        Self {
            address,
            host: HeaderValue::try_from(host).unwrap_or(HeaderValue::from_static("server")),
            pool: Rc::new(pool),
        }
    }

    fn new_pool(address: SocketAddr, budget: Rc<IdleBudget>) -> ConnectionPool {
        let limits = MessageLimits {
            body_bytes: MAX_RESPONSE_BYTES,
            ..MessageLimits::default()
        };
        ConnectionPool::new(address, limits, budget)
    }

    /// Returns the address that requests are sent to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for its complete response. The connection and the response each have
    /// the time of `limits`, which may be a plain time. A process that gets processor time late sends
    /// the request up to a second, or that time if it is longer, after it had to be sent.
    ///
    /// Sets the `Host` header. Keeps the connection for reuse if the idle budget permits it.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrived in time.
    pub async fn send(
        &self,
        mut request: Request<Bytes>,
        limits: impl Into<ResponseLimits>,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let limits = limits.into();
        request.headers_mut().insert(HOST, self.host.clone());
        let mut busy = self.pool.acquire(limits.time).await?;
        let deadline = Instant::now() + limits.time;
        let exchange = busy.connection.exchange_within(request, deadline, &limits);
        let response = exchange.await?;
        busy.release();
        Ok(response)
    }

    /// Returns whether a request is under way.
    pub fn is_busy(&self) -> bool {
        self.pool.is_busy()
    }

    /// Closes the idle connections without an answer since `time`, which may be as unresponsive as one
    /// that gave no answer to a request of that time.
    pub fn close_unanswered(&self, time: Instant) {
        self.pool.close_unanswered(time);
    }

    /// Closes the idle connections that the server has closed. Returns whether any connection is left.
    pub fn close_broken(&self) -> bool {
        self.pool.close_broken()
    }

    /// Closes every idle connection.
    pub fn close_idle(&self) {
        self.pool.close_idle();
    }
}
