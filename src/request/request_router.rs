//! The way of a request from its caller to a backend server and back.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::channel::oneshot;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use monoio::time::sleep;
use monoio::time::timeout_at;
use monoio::time::Instant;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::sync::Notify;

use crate::connection::exchange::strip_hop_headers;
use crate::connection::ExchangeError;
use crate::connection::HttpConnection;
use crate::connection::MessageLimits;
use crate::connection::RequestHandler;
use crate::connection::ServerConnections;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::platform::ObjectService;
use crate::platform::TableService;
use crate::process::new_token;
use crate::process::now_ms;
use crate::process::AdmissionQueue;
use crate::process::DaemonMetrics;
use crate::process::FreezeGuard;
use crate::process::PeerState;
use crate::process::QueueAnswer;
use crate::process::QueueEntry;
use crate::process::QueuePlace;
use crate::process::RetryBudget;
use crate::process::ServerHealth;
use crate::process::ServerPicker;
use crate::request::header;
use crate::request::problem_response;
use crate::request::refusal_response;
use crate::request::request_fingerprint;
use crate::request::AnswerOutcome;
use crate::request::ClaimKeeper;
use crate::request::ClaimKey;
use crate::request::ClaimOutcome;
use crate::request::ClaimRow;
use crate::request::ClaimState;
use crate::request::RequestMeta;
use crate::version::BackendServer;
use crate::version::RoutingTable;
use crate::version::ServiceRoute;

/// The most times that a request is sent.
const MOST_ATTEMPTS: u32 = 3;
/// The time that a claim may take.
const CLAIM_TIME: Duration = Duration::from_secs(1);
/// The weight of the newest request in the average time of a service's requests.
const NEWEST_WEIGHT: f64 = 0.05;
/// How long a server is taken to work on a request that was given up here.
const ABANDONED_TIME: Duration = Duration::from_millis(500);
/// When to come back after a refusal for lack of capacity or of the platform.
const COME_BACK: Duration = Duration::from_secs(1);
/// When to come back while the same request is running.
const COME_BACK_RUNNING: Duration = Duration::from_secs(1);

/// A slot that a request holds at a backend server.
struct SlotGrant {
    server: Arc<BackendServer>,
    state: Arc<PeerState>,
}

impl Drop for SlotGrant {
    fn drop(&mut self) {
        self.state.ledger.end(&self.server.host);
    }
}

/// A request that waits for a slot.
struct Waiter {
    grant: oneshot::Sender<SlotGrant>,
    data_centre: DataCentreId,
    avoided: Vec<HostId>,
    repeatable: bool,
    deadline: Instant,
}

/// The queue and the average times of one service.
struct ServiceQueue {
    queue: AdmissionQueue<Waiter>,
    average_micros: f64,
}

/// Why a request was refused.
struct Refusal {
    status: StatusCode,
    outcome: AnswerOutcome,
    reason: String,
    retry_after: Option<Duration>,
}

impl Refusal {
    fn not_run(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            outcome: AnswerOutcome::NotRun,
            reason: reason.into(),
            retry_after: Some(COME_BACK),
        }
    }

    fn unknown(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            outcome: AnswerOutcome::Unknown,
            retry_after: None,
            ..Self::not_run(status, reason)
        }
    }

    fn into_response(self) -> Response<Bytes> {
        refusal_response(self.status, self.outcome, &self.reason, self.retry_after)
    }
}

/// Routes requests to backend servers within slots, deadlines and budgets.
pub struct RequestRouter<P> {
    state: Arc<PeerState>,
    claims: Rc<ClaimKeeper<P>>,
    metrics: Rc<DaemonMetrics>,
    guard: Rc<FreezeGuard>,
    limits: MessageLimits,
    queue_limit: usize,
    table: RefCell<Rc<RoutingTable>>,
    queues: RefCell<HashMap<ServiceId, ServiceQueue>>,
    health: RefCell<ServerHealth>,
    budget: RefCell<RetryBudget>,
    connections: RefCell<HashMap<HostId, ServerConnections>>,
    random: RefCell<SmallRng>,
    waiting: Cell<usize>,
    waiting_begun: Notify,
}

impl<P: ObjectService + TableService> RequestRouter<P> {
    /// Creates a router without routes.
    pub fn new(
        state: Arc<PeerState>,
        claims: Rc<ClaimKeeper<P>>,
        metrics: Rc<DaemonMetrics>,
        guard: Rc<FreezeGuard>,
        queue_limit: usize,
        seed: u64,
    ) -> Self {
        Self {
            state,
            claims,
            metrics,
            guard,
            limits: MessageLimits::default(),
            queue_limit,
            table: RefCell::default(),
            queues: RefCell::default(),
            health: RefCell::default(),
            budget: RefCell::default(),
            connections: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            waiting: Cell::new(0),
            waiting_begun: Notify::new(),
        }
    }

    /// Puts new routes in force.
    pub fn install(&self, table: RoutingTable) {
        let table = Rc::new(table);
        let mut connections = self.connections.borrow_mut();
        let servers = table
            .routes()
            .flat_map(|route| route.servers.iter())
            .map(|server| (&server.host, server.address))
            .collect::<HashMap<_, _>>();
        connections.retain(|host, held| servers.get(host) == Some(&held.address()));
        self.table.replace(Rc::clone(&table));
    }

    /// Returns the routes in force.
    pub fn table(&self) -> Rc<RoutingTable> {
        Rc::clone(&self.table.borrow())
    }

    /// Returns the number of requests that wait for a slot of a service.
    pub fn waiting(&self, service: &ServiceId) -> usize {
        self.queues
            .borrow()
            .get(service)
            .map_or(0, |queue| queue.queue.len())
    }

    /// Tells whether any request waits for a slot.
    pub fn has_waiting(&self) -> bool {
        self.waiting.get() > 0
    }

    /// Waits until a request waits for a slot.
    pub async fn waiting_begun(&self) {
        self.waiting_begun.notified().await;
    }

    /// Gives free slots to waiting requests of every service.
    pub fn dispatch_all(&self) {
        if self.waiting.get() == 0 {
            return;
        }
        let table = self.table();
        table.routes().for_each(|route| self.dispatch(route));
    }

    /// Closes connections that have been idle for long.
    pub fn close_unused(&self) {
        self.connections
            .borrow_mut()
            .values_mut()
            .for_each(ServerConnections::close_unused);
    }

    async fn route(&self, request: Request<Bytes>) -> Response<Bytes> {
        let started = Instant::now();
        let Some(route) = self.table().route_for(request.uri().path()).cloned() else {
            return problem_response(StatusCode::NOT_FOUND, "no service has this path");
        };
        let answer = match RequestMeta::new(&request, &route.service) {
            Ok(meta) => self.serve(request, &route, &meta).await,
            Err(reason) => Err(Refusal {
                retry_after: None,
                ..Refusal::not_run(StatusCode::BAD_REQUEST, reason)
            }),
        };
        let time = started.elapsed();
        let service = route.service.id.as_str();
        match answer {
            Ok(answer) => {
                self.metrics.count_answer(service, "passed", time);
                answer
            }
            Err(refusal) => {
                self.metrics
                    .count_answer(service, refusal.outcome.as_str(), time);
                refusal.into_response()
            }
        }
    }

    async fn serve(
        &self,
        request: Request<Bytes>,
        route: &Arc<ServiceRoute>,
        meta: &RequestMeta,
    ) -> Result<Response<Bytes>, Refusal> {
        match &meta.idempotency_key {
            Some(key) if !meta.repeatable => {
                let key = ClaimKey::new(&route.service.id, meta, key);
                self.serve_once(request, route, meta, &key).await
            }
            _ => self.attempt(request, route, meta).await,
        }
    }

    /// Serves a request at most once: claim, run, record.
    async fn serve_once(
        &self,
        request: Request<Bytes>,
        route: &Arc<ServiceRoute>,
        meta: &RequestMeta,
        key: &ClaimKey,
    ) -> Result<Response<Bytes>, Refusal> {
        let row = ClaimRow {
            token: new_token(),
            fingerprint: request_fingerprint(&request),
            entry: self.state.identity.entry.clone(),
            incarnation: self.state.identity.incarnation,
            at_ms: now_ms(),
            state: ClaimState::Claimed,
        };
        let deadline = meta.deadline.min(Instant::now() + CLAIM_TIME);
        let revision = match self.claims.claim(key, &row, deadline).await {
            ClaimOutcome::Granted(revision) => revision,
            ClaimOutcome::Held(held) => return self.answer_held(&row, held).await,
            ClaimOutcome::Unavailable => {
                let reason = "the platform cannot record the request now";
                return Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason));
            }
        };
        let answer = self.attempt(request, route, meta).await;
        match &answer {
            Ok(answer) => self.claims.finish(key, &row, revision, answer).await,
            Err(refusal) if refusal.outcome == AnswerOutcome::NotRun => {
                self.claims.release(key, revision);
            }
            Err(_) => {}
        }
        answer
    }

    /// Answers a request whose key another attempt has claimed.
    async fn answer_held(
        &self,
        own: &ClaimRow,
        held: ClaimRow,
    ) -> Result<Response<Bytes>, Refusal> {
        if held.fingerprint != own.fingerprint {
            return Err(Refusal {
                retry_after: None,
                ..Refusal::not_run(
                    StatusCode::UNPROCESSABLE_ENTITY,
                    "the idempotency key was used for another request",
                )
            });
        }
        let ClaimState::Finished(stored) = &held.state else {
            return Err(self.answer_running(&held));
        };
        self.metrics.count_event("stored_answer");
        let stored = self.claims.stored_answer(stored).await;
        stored.ok_or_else(|| {
            let reason = "the request has run, its answer cannot be read now";
            Refusal {
                retry_after: Some(COME_BACK),
                ..Refusal::unknown(StatusCode::SERVICE_UNAVAILABLE, reason)
            }
        })
    }

    fn answer_running(&self, held: &ClaimRow) -> Refusal {
        let own = &self.state.identity;
        let running = match held.entry == own.entry {
            true => held.incarnation == own.incarnation,
            false => self.is_member_run(held),
        };
        if running {
            return Refusal {
                status: StatusCode::CONFLICT,
                outcome: AnswerOutcome::InProgress,
                reason: "a request with this key is running".to_owned(),
                retry_after: Some(COME_BACK_RUNNING),
            };
        }
        let reason = "the entry host that ran a request with this key is gone";
        Refusal::unknown(StatusCode::CONFLICT, reason)
    }

    /// Tells whether the run that made a claim is still a member.
    fn is_member_run(&self, held: &ClaimRow) -> bool {
        let members = self.state.members();
        let owner = members.get(&held.entry);
        owner.is_some_and(|owner| !owner.lost && owner.incarnation == held.incarnation)
    }

    /// Sends a request until an answer is whole or no further attempt is allowed.
    async fn attempt(
        &self,
        request: Request<Bytes>,
        route: &Arc<ServiceRoute>,
        meta: &RequestMeta,
    ) -> Result<Response<Bytes>, Refusal> {
        self.budget.borrow_mut().earn();
        let mut avoided = Vec::new();
        let mut ran = false;
        for attempt in 1.. {
            let grant = match self.acquire(route, meta, &avoided).await {
                Ok(grant) => grant,
                Err(refusal) if ran => {
                    return Err(Refusal {
                        outcome: AnswerOutcome::Unknown,
                        ..refusal
                    })
                }
                Err(refusal) => return Err(refusal),
            };
            let server = Arc::clone(&grant.server);
            let outcome = self.send(&request, route, meta, grant, attempt).await;
            self.dispatch(route);
            let failure = match outcome {
                Ok(answer) if answer.status() != StatusCode::SERVICE_UNAVAILABLE => {
                    return Ok(answer)
                }
                Ok(answer) => Err(answer),
                Err(error) => Ok(error),
            };
            let may_repeat = match &failure {
                Ok(error) => meta.repeatable || !error.may_have_run(),
                Err(_) => meta.repeatable,
            };
            ran |= failure.as_ref().map_or(true, ExchangeError::may_have_run);
            let again = may_repeat
                && attempt < MOST_ATTEMPTS
                && Instant::now() < meta.deadline
                && self.budget.borrow_mut().spend();
            if again {
                self.metrics.count_event("retry");
                avoided.push(server.host.clone());
                continue;
            }
            return match failure {
                Err(answer) => Ok(answer),
                Ok(error) => Err(failed(&error, ran)),
            };
        }
        unreachable!("attempts end by their limit")
    }

    /// Sends a request once and judges the server by what comes back.
    async fn send(
        &self,
        request: &Request<Bytes>,
        route: &Arc<ServiceRoute>,
        meta: &RequestMeta,
        grant: SlotGrant,
        attempt: u32,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let host = grant.server.host.clone();
        let started = Instant::now();
        let deadline = attempt_deadline(route, meta, started, attempt);
        self.metrics.count_event("attempt");
        self.health.borrow_mut().begin(&host);
        let answer = self
            .exchange(request, route, meta, &grant.server, deadline)
            .await;
        let time = started.elapsed();
        let abandoned = answer.as_ref().is_err_and(ExchangeError::may_have_run);
        release(grant, abandoned);
        match &answer {
            Ok(answer) if !answer.status().is_server_error() => {
                self.health.borrow_mut().succeed(&host, time);
                self.note_time(route, time);
            }
            Ok(_) => self.note_failure(&host),
            Err(ExchangeError::Paused) => self.health.borrow_mut().abandon(&host),
            Err(error) => {
                if error.may_have_run() {
                    self.suspect(&host);
                }
                self.note_failure(&host);
            }
        }
        answer
    }

    async fn exchange(
        &self,
        request: &Request<Bytes>,
        route: &Arc<ServiceRoute>,
        meta: &RequestMeta,
        server: &Arc<BackendServer>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let mut connection = self.connect(server, meta.repeatable, deadline).await?;
        if self.guard.is_stale(std::time::Instant::now()) {
            return Err(ExchangeError::Paused);
        }
        let id = new_token();
        let sent = outgoing(request, server, &id);
        let mut answer = connection.exchange(sent, deadline).await?;
        let echoed = answer.headers().get(header::REQUEST_ID);
        let own = echoed.is_some_and(|echo| echo.as_bytes() == id.as_bytes());
        let unnamed = echoed.is_none() && !route.service.echoes_request_id;
        if !own && !unnamed {
            self.metrics.count_event("crossed_answer");
            return Err(ExchangeError::NotWhole(
                "it answers another request".to_owned(),
            ));
        }
        if let Some(held) = self.connections.borrow_mut().get_mut(&server.host) {
            held.put(connection);
        }
        strip_hop_headers(answer.headers_mut());
        answer.headers_mut().remove(header::REQUEST_ID);
        Ok(answer)
    }

    async fn connect(
        &self,
        server: &Arc<BackendServer>,
        repeatable: bool,
        deadline: Instant,
    ) -> Result<HttpConnection, ExchangeError> {
        let idle = {
            let mut connections = self.connections.borrow_mut();
            let held = connections
                .entry(server.host.clone())
                .or_insert_with(|| ServerConnections::new(server.address, self.limits));
            held.take(repeatable)
        };
        match idle {
            Some(connection) => Ok(connection),
            None => HttpConnection::dial(server.address, self.limits, deadline).await,
        }
    }

    /// Takes a slot of a server, or waits for one.
    async fn acquire(
        &self,
        route: &Arc<ServiceRoute>,
        meta: &RequestMeta,
        avoided: &[HostId],
    ) -> Result<SlotGrant, Refusal> {
        let wanted = meta.data_centre.as_ref();
        let data_centre = wanted.unwrap_or(&self.state.identity.data_centre).clone();
        let (grant, granted) = oneshot::channel();
        let waiter = Waiter {
            grant,
            data_centre,
            avoided: avoided.to_vec(),
            repeatable: meta.repeatable,
            deadline: meta.deadline,
        };
        if self.waiting(&route.service.id) == 0 {
            if let Some(grant) = self.pick(&waiter, route) {
                return Ok(grant);
            }
        }
        let place = self.enqueue(route, meta, waiter)?;
        self.dispatch(route);
        let granted = timeout_at(meta.deadline, granted).await;
        match granted {
            Ok(Ok(grant)) => Ok(grant),
            Ok(Err(_)) => Err(Refusal::not_run(
                StatusCode::SERVICE_UNAVAILABLE,
                "others were served first",
            )),
            Err(_) => {
                self.leave_queue(route, &place);
                Err(Refusal::not_run(
                    StatusCode::GATEWAY_TIMEOUT,
                    "no backend server was free in time",
                ))
            }
        }
    }

    fn enqueue(
        &self,
        route: &Arc<ServiceRoute>,
        meta: &RequestMeta,
        waiter: Waiter,
    ) -> Result<QueuePlace, Refusal> {
        if self.current(route).servers.is_empty() {
            let reason = "no backend server serves this now";
            return Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason));
        }
        let mut queues = self.queues.borrow_mut();
        let service = queues
            .entry(route.service.id.clone())
            .or_insert_with(|| ServiceQueue {
                queue: AdmissionQueue::new(self.queue_limit),
                average_micros: 0.0,
            });
        let wait = self.expected_wait(route, service, meta);
        let left = meta.deadline.saturating_duration_since(Instant::now());
        if wait > left {
            self.metrics.count_event("refused_late");
            return Err(Refusal {
                retry_after: Some(wait),
                ..Refusal::not_run(
                    StatusCode::SERVICE_UNAVAILABLE,
                    "its turn would come after its deadline",
                )
            });
        }
        let entry = QueueEntry {
            urgent: meta.urgent,
            customer: meta.customer.clone(),
            deadline: meta.deadline.into_std(),
        };
        match service.queue.push(entry, waiter) {
            QueueAnswer::Waiting(place) => {
                self.add_waiting(1);
                Ok(place)
            }
            QueueAnswer::Displaced(place, displaced) => {
                self.metrics.count_event("displaced");
                drop(displaced);
                Ok(place)
            }
            QueueAnswer::Full(_) => {
                self.metrics.count_event("refused_full");
                Err(Refusal {
                    retry_after: Some(wait.max(COME_BACK)),
                    ..Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "too many requests wait")
                })
            }
        }
    }

    /// Returns the time until a new request's own answer, if others take the average time.
    fn expected_wait(
        &self,
        route: &Arc<ServiceRoute>,
        service: &ServiceQueue,
        meta: &RequestMeta,
    ) -> Duration {
        let now = std::time::Instant::now();
        let deadline = meta.deadline.into_std();
        let ledger = &self.state.ledger;
        let slots = self
            .current(route)
            .servers
            .iter()
            .map(|server| ledger.load(&server.host, now, deadline).1)
            .sum::<u32>()
            .max(1);
        let ahead = service.queue.ahead_of(meta.urgent, &meta.customer) as f64;
        let rounds = ahead / f64::from(slots) + 1.0;
        Duration::from_micros((rounds * service.average_micros) as u64)
    }

    fn leave_queue(&self, route: &Arc<ServiceRoute>, place: &QueuePlace) {
        let mut queues = self.queues.borrow_mut();
        let removed = queues
            .get_mut(&route.service.id)
            .and_then(|service| service.queue.remove(place));
        drop(queues);
        if removed.is_some() {
            self.add_waiting(-1);
        }
    }

    /// Gives free slots to waiting requests of a service.
    fn dispatch(&self, route: &Arc<ServiceRoute>) {
        while let Some((place, waiter)) = self.pop_waiter(route) {
            if waiter.grant.is_canceled() {
                self.add_waiting(-1);
                continue;
            }
            let Some(grant) = self.pick(&waiter, route) else {
                let mut queues = self.queues.borrow_mut();
                if let Some(service) = queues.get_mut(&route.service.id) {
                    service.queue.put_back(place, waiter);
                }
                return;
            };
            self.add_waiting(-1);
            // A grant that nobody waits for any more gives its slot back.
            drop(waiter.grant.send(grant));
        }
    }

    fn pop_waiter(&self, route: &Arc<ServiceRoute>) -> Option<(QueuePlace, Waiter)> {
        let mut queues = self.queues.borrow_mut();
        queues.get_mut(&route.service.id)?.queue.pop()
    }

    fn pick(&self, waiter: &Waiter, route: &Arc<ServiceRoute>) -> Option<SlotGrant> {
        let now = std::time::Instant::now();
        if self.guard.is_stale(now) {
            return None;
        }
        let health = self.health.borrow();
        let picker =
            ServerPicker::new(&self.state.ledger, &health, now, waiter.deadline.into_std());
        let current = self.current(route);
        let server = picker.pick(
            &current.servers,
            &waiter.data_centre,
            &waiter.avoided,
            waiter.repeatable,
            &mut *self.random.borrow_mut(),
        )?;
        Some(SlotGrant {
            server: Arc::clone(server),
            state: Arc::clone(&self.state),
        })
    }

    /// Returns the route of the same service that is in force now.
    fn current(&self, route: &Arc<ServiceRoute>) -> Arc<ServiceRoute> {
        let table = self.table.borrow();
        table
            .route_of(&route.service.id)
            .cloned()
            .unwrap_or_else(|| Arc::clone(route))
    }

    fn note_time(&self, route: &Arc<ServiceRoute>, time: Duration) {
        let mut queues = self.queues.borrow_mut();
        if let Some(service) = queues.get_mut(&route.service.id) {
            let micros = time.as_micros() as f64;
            service.average_micros += (micros - service.average_micros) * NEWEST_WEIGHT;
        }
    }

    fn note_failure(&self, host: &HostId) {
        let now = std::time::Instant::now();
        if self.health.borrow_mut().fail(host, now) {
            self.metrics.count_event("ejection");
            log::info!(target: "zincpier::servers", "{host} is ejected");
        }
    }

    /// Distrusts the idle connections of a server, since one has gone silent or broken.
    fn suspect(&self, host: &HostId) {
        if let Some(held) = self.connections.borrow_mut().get_mut(host) {
            held.suspect();
        }
    }

    fn add_waiting(&self, change: isize) {
        let waiting = self.waiting.get().saturating_add_signed(change);
        if self.waiting.replace(waiting) == 0 && waiting > 0 {
            self.waiting_begun.notify_one();
        }
        self.metrics.set_waiting(waiting);
    }
}

impl<P: ObjectService + TableService> RequestHandler for RequestRouter<P> {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        self.route(request).await
    }
}

/// Gives a slot back, later if the server may still work on the request.
fn release(grant: SlotGrant, abandoned: bool) {
    if abandoned {
        monoio::spawn(async move {
            sleep(ABANDONED_TIME).await;
            drop(grant);
        });
    }
}

/// Returns when an attempt is given up, so that another one may still be made.
fn attempt_deadline(
    route: &ServiceRoute,
    meta: &RequestMeta,
    started: Instant,
    attempt: u32,
) -> Instant {
    if !meta.repeatable || attempt == MOST_ATTEMPTS {
        return meta.deadline;
    }
    let half = meta.deadline.saturating_duration_since(started) / 2;
    let time = route.service.attempt.unwrap_or(half);
    meta.deadline.min(started + time)
}

fn outgoing(request: &Request<Bytes>, server: &BackendServer, id: &str) -> Request<Bytes> {
    let mut sent = request.clone();
    let headers = sent.headers_mut();
    strip_hop_headers(headers);
    headers.remove(header::REQUEST_ID);
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(header::REQUEST_ID, id);
    }
    if let Ok(host) = HeaderValue::from_str(&server.address.to_string()) {
        headers.entry(http::header::HOST).or_insert(host);
    }
    sent
}

fn failed(error: &ExchangeError, ran: bool) -> Refusal {
    let status = match error {
        ExchangeError::TimedOut => StatusCode::GATEWAY_TIMEOUT,
        ExchangeError::Paused => StatusCode::SERVICE_UNAVAILABLE,
        ExchangeError::NotConnected(_) | ExchangeError::NotWhole(_) => StatusCode::BAD_GATEWAY,
    };
    if ran {
        return Refusal::unknown(status, error.to_string());
    }
    Refusal::not_run(status, error.to_string())
}
