//! HTTP client for one server, used for the platform and by operators' tools.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::header::HOST;
use http::HeaderValue;
use http::Request;
use http::Response;
use monoio::time::timeout;
use monoio::time::Instant;
use tokio::sync::Notify;

use crate::connection::ExchangeError;
use crate::connection::HttpConnection;
use crate::connection::IdleBudget;
use crate::connection::IdlePermit;
use crate::connection::MessageLimits;
use crate::connection::ResponseLimits;

/// The maximum number of idle connections of a client without a shared [`IdleBudget`].
const DEFAULT_MAX_IDLE: usize = 256;

/// The largest response body, in bytes: several times the largest page of the platform's table.
const MAX_RESPONSE_BYTES: usize = 16 * 1024 * 1024;

/// How long a request waits for one of the connections in use, before it opens another beyond their
/// usual number: many round trips within a region. A client that is short of processor time needs
/// some of it; opening connections would make it slower still.
const CONNECTION_WAIT: Duration = Duration::from_millis(100);

/// How long a connection may be idle before it is tested for its next use.
const UNTESTED_IDLE_TIME: Duration = Duration::from_millis(30);

/// Sends requests to one address and reuses idle connections.
pub struct HttpClient {
    address: SocketAddr,
    host: HeaderValue,
    limits: MessageLimits,
    idle: RefCell<Vec<(HttpConnection, IdlePermit)>>,
    budget: Rc<IdleBudget>,
    /// Connections that carry a request.
    busy: Cell<usize>,
    /// Connections in use from which on a request waits for one of them.
    usual_connections: Rc<Cell<usize>>,
    /// Notified when a connection in use becomes free or is closed.
    released: Notify,
}

/// Counts a connection as in use until it is dropped.
struct BusyConnection<'c>(&'c HttpClient);

impl Drop for BusyConnection<'_> {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
        self.0.released.notify_one();
    }
}

impl HttpClient {
    /// Creates a client of the server at `address` with an idle budget of its own.
    pub fn new(address: SocketAddr) -> Self {
        Self::with_idle_budget(address, IdleBudget::new(DEFAULT_MAX_IDLE))
    }

    /// Creates a client of the server at `address` whose idle connections count towards a shared
    /// `budget`.
    pub fn with_idle_budget(address: SocketAddr, budget: Rc<IdleBudget>) -> Self {
        let limits = MessageLimits {
            body_bytes: MAX_RESPONSE_BYTES,
            ..MessageLimits::default()
        };
        let host = address.to_string();
        Self {
            address,
            host: HeaderValue::try_from(host).unwrap_or(HeaderValue::from_static("server")),
            limits,
            idle: RefCell::new(Vec::new()),
            budget,
            busy: Cell::new(0),
            usual_connections: Rc::new(Cell::new(usize::MAX)),
            released: Notify::new(),
        }
    }

    /// Sets the number of connections that requests share, rather than opening more, if one becomes
    /// free shortly. Later changes of `count` take effect.
    pub fn with_usual_connections(mut self, count: Rc<Cell<usize>>) -> Self {
        self.usual_connections = count;
        self
    }

    /// Returns the address that requests are sent to.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for its complete response within `limits`, which may be a plain
    /// time.
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
        let deadline = Instant::now() + limits.time;
        request.headers_mut().insert(HOST, self.host.clone());
        let idle = match self.take_idle() {
            None if self.busy.get() >= self.usual_connections.get() => self.wait_for_idle().await,
            idle => idle,
        };
        self.busy.set(self.busy.get() + 1);
        let busy = BusyConnection(self);
        let mut connection = match idle {
            Some(connection) => connection,
            None => HttpConnection::dial(self.address, self.limits, deadline).await?,
        };
        let response = connection
            .exchange_within(request, deadline, &limits)
            .await?;
        let permit = connection.is_reusable().then(|| self.budget.try_acquire());
        if let Some(permit) = permit.flatten() {
            self.idle.borrow_mut().push((connection, permit));
        }
        drop(busy);
        Ok(response)
    }

    /// Waits for a connection that becomes idle, for [`CONNECTION_WAIT`] at most.
    async fn wait_for_idle(&self) -> Option<HttpConnection> {
        let released = async {
            loop {
                self.released.notified().await;
                let idle = self.take_idle();
                if idle.is_some() || self.busy.get() < self.usual_connections.get() {
                    return idle;
                }
            }
        };
        timeout(CONNECTION_WAIT, released).await.ok().flatten()
    }

    /// Returns whether a request is under way.
    pub fn is_busy(&self) -> bool {
        self.busy.get() > 0
    }

    /// Closes every idle connection.
    pub fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    fn take_idle(&self) -> Option<HttpConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some((mut connection, _)) = idle.pop() {
            // A connection that has just been used is as good as one that is tested.
            let is_recent = connection.last_used().elapsed() < UNTESTED_IDLE_TIME;
            if is_recent || connection.is_open_and_idle() {
                return Some(connection);
            }
        }
        None
    }
}
