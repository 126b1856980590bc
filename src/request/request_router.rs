//! The way of a request from its caller to a backend server and back.

use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Request;
use http::Response;
use http::StatusCode;
use monoio::time::Instant;

use crate::connection::exchange::strip_hop_headers;
use crate::connection::ExchangeError;
use crate::connection::HttpConnection;
use crate::connection::MessageLimits;
use crate::connection::RequestHandler;
use crate::connection::ReuseRule;
use crate::connection::ServerConnections;
use crate::id::HostId;
use crate::process::new_token;
use crate::process::now_ms;
use crate::process::DaemonMetrics;
use crate::process::FreezeGuard;
use crate::process::PeerState;
use crate::process::RetryBudget;
use crate::provider::ObjectService;
use crate::provider::TableService;
use crate::request::claim_answerer::ClaimAnswerer;
use crate::request::header;
use crate::request::problem_response;
use crate::request::refusal::Refusal;
use crate::request::request_fingerprint;
use crate::request::slot_dispatcher::SlotGrant;
use crate::request::AnswerOutcome;
use crate::request::ClaimKeeper;
use crate::request::ClaimKey;
use crate::request::ClaimOutcome;
use crate::request::ClaimRow;
use crate::request::ClaimState;
use crate::request::RequestMeta;
use crate::request::SlotDispatcher;
use crate::version::BackendServer;
use crate::version::RoutingTable;
use crate::version::ServiceRoute;

/// The most times that a request is sent.
const MOST_ATTEMPTS: u32 = 3;
/// The time that a claim may take.
const CLAIM_TIME: Duration = Duration::from_secs(1);

/// Routes requests to backend servers within slots, deadlines and budgets.
pub struct RequestRouter<P> {
    state: Arc<PeerState>,
    claims: Rc<ClaimKeeper<P>>,
    answerer: ClaimAnswerer<P>,
    metrics: Rc<DaemonMetrics>,
    guard: Rc<FreezeGuard>,
    limits: MessageLimits,
    slots: SlotDispatcher,
    budget: RefCell<RetryBudget>,
    connections: RefCell<HashMap<HostId, ServerConnections>>,
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
        let slots = SlotDispatcher::new(
            Arc::clone(&state),
            Rc::clone(&metrics),
            Rc::clone(&guard),
            queue_limit,
            seed,
        );
        let answerer =
            ClaimAnswerer::new(Arc::clone(&state), Rc::clone(&claims), Rc::clone(&metrics));
        Self {
            state,
            claims,
            answerer,
            metrics,
            guard,
            limits: MessageLimits::default(),
            slots,
            budget: RefCell::default(),
            connections: RefCell::default(),
        }
    }

    /// Returns the slots and the requests that wait for them.
    pub fn slots(&self) -> &SlotDispatcher {
        &self.slots
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
        self.slots.install(Rc::clone(&table));
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
        let Some(route) = self
            .slots
            .table()
            .route_for_path(request.uri().path())
            .cloned()
        else {
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
            ClaimOutcome::Held(held) => return self.answerer.answer(&row, held).await,
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
            let grant = match self.slots.acquire(route, meta, &avoided).await {
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
            self.slots.dispatch(route);
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
                Ok(error) => Err(Refusal::failed(&error, ran)),
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
        self.slots.note_sent(&host);
        let answer = self
            .exchange(request, route, meta, &grant.server, attempt, deadline)
            .await;
        let time = started.elapsed();
        let abandoned = answer.as_ref().is_err_and(ExchangeError::may_have_run);
        grant.release(abandoned);
        match &answer {
            Ok(answer) if !answer.status().is_server_error() => {
                self.slots.note_success(route, &host, time);
            }
            Ok(_) => self.slots.note_failure(&host),
            Err(ExchangeError::Paused) => self.slots.note_nothing(&host),
            Err(error) => {
                if error.may_have_run() {
                    self.suspect(&host);
                }
                self.slots.note_failure(&host);
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
        attempt: u32,
        deadline: Instant,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let reuse = match (meta.repeatable, attempt) {
            (true, 1) => ReuseRule::Idle,
            (false, 1) => ReuseRule::JustUsed,
            _ => ReuseRule::Never,
        };
        let mut connection = self.connect(server, reuse, deadline).await?;
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
        reuse: ReuseRule,
        deadline: Instant,
    ) -> Result<HttpConnection, ExchangeError> {
        let idle = {
            let mut connections = self.connections.borrow_mut();
            let held = connections
                .entry(server.host.clone())
                .or_insert_with(|| ServerConnections::new(server.address));
            held.take(reuse)
        };
        match idle {
            Some(connection) => Ok(connection),
            None => HttpConnection::dial(server.address, self.limits, deadline).await,
        }
    }

    /// Distrusts the idle connections of a server, since one has gone silent or broken.
    fn suspect(&self, host: &HostId) {
        if let Some(held) = self.connections.borrow_mut().get_mut(host) {
            held.suspect();
        }
    }
}

impl<P: ObjectService + TableService> RequestHandler for RequestRouter<P> {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        self.route(request).await
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
