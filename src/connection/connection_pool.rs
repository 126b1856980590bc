//! The connections of a client to one server.

use std::cell::Cell;
use std::cell::RefCell;
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use futures::future::select;
use futures::future::Either;
use monoio::time::timeout;
use monoio::time::timeout_at;
use monoio::time::Instant;
use tokio::sync::oneshot;
use tokio::sync::oneshot::Receiver;
use tokio::sync::Notify;

use crate::connection::ExchangeError;
use crate::connection::HttpConnection;
use crate::connection::IdleBudget;
use crate::connection::IdlePermit;
use crate::connection::MessageLimits;

/// How long a request waits for one of the connections in use, before it opens another beyond their
/// usual number: many round trips within a region. A client that is short of processor time needs
/// some of it; opening connections would make it slower still.
const CONNECTION_WAIT: Duration = Duration::from_millis(100);

/// How long a connection may be idle before it is tested for its next use.
const UNTESTED_IDLE_TIME: Duration = Duration::from_millis(30);

/// How long a connection may take to be established. It outlasts the request that it is opened for:
/// a client that is short of processor time would otherwise drop each one that it notices late, and
/// open the next.
const DIAL_TIME: Duration = Duration::from_secs(1);

/// How long a request waits after its deadline was noticed, for a connection that a client short of
/// processor time has begun to open late: many round trips within a region.
const LATE_DIAL_TIME: Duration = Duration::from_millis(50);

/// How long after its deadline a request may still be sent, if its time is not longer.
const MIN_SEND_DELAY: Duration = Duration::from_secs(1);

/// The open connections to one server: those that are in use are counted, the idle ones are kept here.
pub(crate) struct ConnectionPool {
    address: SocketAddr,
    limits: MessageLimits,
    idle: RefCell<Vec<(HttpConnection, IdlePermit)>>,
    budget: Rc<IdleBudget>,
    /// Connections that carry a request or are being established.
    busy: Cell<usize>,
    /// Connections in use from which on a request waits for one of them.
    usual_connections: Rc<Cell<usize>>,
    /// Whether TCP keep-alive watches idle connections.
    has_keep_alive: bool,
    /// Notified when a connection in use becomes free or is closed.
    released: Notify,
}

/// Counts a connection as in use until it is dropped.
struct BusyCount(Rc<ConnectionPool>);

impl BusyCount {
    fn new(pool: &Rc<ConnectionPool>) -> Self {
        pool.busy.set(pool.busy.get() + 1);
        Self(Rc::clone(pool))
    }
}

impl Drop for BusyCount {
    fn drop(&mut self) {
        self.0.busy.set(self.0.busy.get() - 1);
        self.0.released.notify_one();
    }
}

/// A connection in use, which is closed on drop unless it is released.
pub(crate) struct BusyConnection {
    pub(crate) connection: HttpConnection,
    count: BusyCount,
}

impl BusyConnection {
    /// Keeps the connection for reuse if the server and the idle budget permit it.
    pub(crate) fn release(self) {
        let Self { connection, count } = self;
        let pool = &count.0;
        if !connection.is_reusable() {
            return;
        }
        let mut idle = pool.idle.borrow_mut();
        let permit = match idle.is_empty() {
            true => pool.budget.try_acquire_first(),
            false => pool.budget.try_acquire(),
        };
        idle.extend(permit.map(|permit| (connection, permit)));
    }
}

impl ConnectionPool {
    /// Creates an empty pool whose idle connections count towards `budget`.
    pub(crate) fn new(address: SocketAddr, limits: MessageLimits, budget: Rc<IdleBudget>) -> Self {
        Self {
            address,
            limits,
            idle: RefCell::new(Vec::new()),
            budget,
            busy: Cell::new(0),
            usual_connections: Rc::new(Cell::new(usize::MAX)),
            has_keep_alive: true,
            released: Notify::new(),
        }
    }

    /// Sets the number of connections that requests share, rather than opening more, if one becomes
    /// free shortly.
    pub(crate) fn with_usual_connections(mut self, count: Rc<Cell<usize>>) -> Self {
        self.usual_connections = count;
        self
    }

    /// Leaves it to the requests to notice that an idle connection is broken.
    pub(crate) fn without_keep_alive(mut self) -> Self {
        self.has_keep_alive = false;
        self
    }

    /// Takes an idle connection, waits for one, or opens one, within `time`.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotConnected`] if there is no connection in time, or if it was noticed
    /// so late that the request must not be sent any more. A connection that is established later is
    /// kept for the next request.
    pub(crate) async fn acquire(
        self: &Rc<Self>,
        time: Duration,
    ) -> Result<BusyConnection, ExchangeError> {
        if let Some(connection) = self.take_idle() {
            return Ok(connection);
        }
        let deadline = Instant::now() + time;
        let shared = match self.has_usual_connections() {
            true => timeout(CONNECTION_WAIT, self.wait_for_share()).await,
            false => Ok(None),
        };
        let connection = match shared {
            Ok(Some(connection)) => connection,
            _ => self.dial_or_reuse(deadline).await?,
        };
        // Whether the request may be sent was decided when it was made.
        if Instant::now() >= deadline + time.max(MIN_SEND_DELAY) {
            connection.release();
            return Err(late_connection());
        }
        Ok(connection)
    }

    /// Closes the idle connections without an answer since `time`.
    pub(crate) fn close_unanswered(&self, time: Instant) {
        let mut idle = self.idle.borrow_mut();
        idle.retain(|(connection, _)| connection.last_used() >= time);
    }

    /// Closes every idle connection.
    pub(crate) fn close_idle(&self) {
        self.idle.borrow_mut().clear();
    }

    /// Closes the idle connections that the server has closed. Returns whether any connection is left.
    pub(crate) fn close_broken(&self) -> bool {
        let mut idle = self.idle.borrow_mut();
        idle.retain_mut(|(connection, _)| connection.is_open_and_idle());
        self.is_busy() || !idle.is_empty()
    }

    /// Returns whether a request is under way.
    pub(crate) fn is_busy(&self) -> bool {
        self.busy.get() > 0
    }

    fn has_usual_connections(&self) -> bool {
        self.busy.get() >= self.usual_connections.get()
    }

    /// Opens a connection. Returns that of another request if it becomes free earlier.
    async fn dial_or_reuse(
        self: &Rc<Self>,
        deadline: Instant,
    ) -> Result<BusyConnection, ExchangeError> {
        let dialled = self.start_dial();
        let reused = pin!(self.wait_for_idle());
        let mut connected = select(dialled, reused);
        let mut outcome = timeout_at(deadline, &mut connected).await;
        if outcome.is_err() {
            outcome = timeout(LATE_DIAL_TIME, &mut connected).await;
        }
        match outcome {
            Ok(Either::Left((dialled, _))) => dialled.unwrap_or_else(|_| Err(late_connection())),
            Ok(Either::Right((connection, _))) => Ok(connection),
            Err(_) => Err(late_connection()),
        }
    }

    /// Starts to open a connection, which is kept if nobody waits for it any more.
    fn start_dial(self: &Rc<Self>) -> Receiver<Result<BusyConnection, ExchangeError>> {
        let (sender, receiver) = oneshot::channel();
        let count = BusyCount::new(self);
        monoio::spawn(async move {
            let deadline = Instant::now() + DIAL_TIME;
            let pool = &count.0;
            let (address, limits) = (pool.address, pool.limits);
            let dialled = match pool.has_keep_alive {
                true => HttpConnection::dial(address, limits, deadline).await,
                false => HttpConnection::dial_unwatched(address, limits, deadline).await,
            };
            let dialled = dialled.map(|connection| BusyConnection { connection, count });
            if let Err(Ok(unwanted)) = sender.send(dialled) {
                unwanted.release();
            }
        });
        receiver
    }

    /// Waits for a connection that becomes idle.
    async fn wait_for_idle(self: &Rc<Self>) -> BusyConnection {
        loop {
            self.released.notified().await;
            if let Some(connection) = self.take_idle() {
                return connection;
            }
        }
    }

    /// Waits for a connection that becomes idle, or until there are fewer than usual.
    async fn wait_for_share(self: &Rc<Self>) -> Option<BusyConnection> {
        loop {
            self.released.notified().await;
            let idle = self.take_idle();
            if idle.is_some() || !self.has_usual_connections() {
                return idle;
            }
        }
    }

    fn take_idle(self: &Rc<Self>) -> Option<BusyConnection> {
        let mut idle = self.idle.borrow_mut();
        while let Some((mut connection, _)) = idle.pop() {
            // A connection that has just been used is as good as one that is tested.
            let is_recent = connection.last_used().elapsed() < UNTESTED_IDLE_TIME;
            if is_recent || connection.is_open_and_idle() {
                let count = BusyCount::new(self);
                return Some(BusyConnection { connection, count });
            }
        }
        None
    }
}

fn late_connection() -> ExchangeError {
    ExchangeError::NotConnected("no answer in time".to_owned())
}
