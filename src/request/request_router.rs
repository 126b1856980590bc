//! Routing of requests from callers to backend servers, with retries and at-most-once claims.

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
use crate::connection::ReusePolicy;
use crate::connection::ServerConnections;
use crate::id::HostId;
use crate::process::new_token;
use crate::process::now_ms;
use crate::process::DaemonMetrics;
use crate::process::FreezeDetector;
use crate::process::PeerState;
use crate::process::RetryBudget;
use crate::provider::ObjectService;
use crate::provider::TableService;
use crate::request::duplicate_responder::DuplicateResponder;
use crate::request::header;
use crate::request::problem_response;
use crate::request::refusal::Refusal;
use crate::request::request_fingerprint;
use crate::request::slot_dispatcher::SlotGrant;
use crate::request::ClaimKey;
use crate::request::ClaimManager;
use crate::request::ClaimOutcome;
use crate::request::ClaimRow;
use crate::request::ClaimState;
use crate::request::RequestMeta;
use crate::request::RequestOutcome;
use crate::request::SlotDispatcher;
use crate::version::BackendServer;
use crate::version::RoutingTable;
use crate::version::ServiceRoute;

/// The maximum number of attempts for one request, including the first.
const MAX_ATTEMPTS: u32 = 3;
/// The maximum time to wait for a claim to be committed.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(1);

/// Routes requests to backend servers within their slots, deadlines and retry budget.
pub struct RequestRouter<P> {
    state: Arc<PeerState>,
    claims: Rc<ClaimManager<P>>,
    responder: DuplicateResponder<P>,
    metrics: Rc<DaemonMetrics>,
    detector: Rc<FreezeDetector>,
    limits: MessageLimits,
    slots: SlotDispatcher,
    budget: RefCell<RetryBudget>,
    connections: RefCell<HashMap<HostId, ServerConnections>>,
}

impl<P: ObjectService + TableService> RequestRouter<P> {
    /// Creates a router without routes; `queue_limit` bounds the queue of each service.
    pub fn new(
        state: Arc<PeerState>,
        claims: Rc<ClaimManager<P>>,
        metrics: Rc<DaemonMetrics>,
        detector: Rc<FreezeDetector>,
        queue_limit: usize,
        seed: u64,
    ) -> Self {
        let slots = SlotDispatcher::new(
            Arc::clone(&state),
            Rc::clone(&metrics),
            Rc::clone(&detector),
            queue_limit,
            seed,
        );
        let responder =
            DuplicateResponder::new(Arc::clone(&state), Rc::clone(&claims), Rc::clone(&metrics));
        Self {
            state,
            claims,
            responder,
            metrics,
            detector,
            limits: MessageLimits::default(),
            slots,
            budget: RefCell::default(),
            connections: RefCell::default(),
        }
    }

    /// Returns the dispatcher of slots and waiting requests.
    pub fn slots(&self) -> &SlotDispatcher {
        &self.slots
    }

    /// Replaces the routes and closes connections to servers that were removed or changed address.
    pub fn install(&self, table: RoutingTable) {
        let table = Rc::new(table);
        let mut connections = self.connections.borrow_mut();
        let servers = table
            .routes()
            .flat_map(|route| route.servers.iter())
            .map(|server| (&server.host, server.address))
            .collect::<HashMap<_, _>>();
        connections.retain(|host, reusable| servers.get(host) == Some(&reusable.address()));
        self.slots.install(Rc::clone(&table));
    }

    /// Closes backend connections that exceed their maximum idle time.
    pub fn close_expired(&self) {
        self.connections
            .borrow_mut()
            .values_mut()
            .for_each(ServerConnections::close_expired);
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
        let response = match RequestMeta::new(&request, &route.service) {
            Ok(meta) => self.serve(request, &route, &meta).await,
            Err(reason) => Err(Refusal {
                retry_after: None,
                ..Refusal::not_run(StatusCode::BAD_REQUEST, reason)
            }),
        };
        let latency = started.elapsed();
        let service = route.service.id.as_str();
        match response {
            Ok(response) => {
                self.metrics.count_answer(service, "passed", latency);
                response
            }
            Err(refusal) => {
                self.metrics
                    .count_answer(service, refusal.outcome.as_str(), latency);
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
            Some(key) if !meta.retryable => {
                let key = ClaimKey::new(&route.service.id, meta, key);
                self.serve_at_most_once(request, route, meta, &key).await
            }
            _ => self.send_with_retries(request, route, meta).await,
        }
    }

    /// Claims the key of a request, sends the request and stores its response.
    async fn serve_at_most_once(
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
        let deadline = meta.deadline.min(Instant::now() + CLAIM_TIMEOUT);
        let revision = match self.claims.claim(key, &row, deadline).await {
            ClaimOutcome::Granted(revision) => revision,
            ClaimOutcome::Held(held) => return self.responder.respond(&row, held).await,
            ClaimOutcome::Unavailable => {
                let reason = "the platform cannot record the request now";
                return Err(Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, reason));
            }
        };
        let response = self.send_with_retries(request, route, meta).await;
        match &response {
            Ok(response) => self.claims.finish(key, &row, revision, response).await,
            Err(refusal) if refusal.outcome == RequestOutcome::NotRun => {
                self.claims.release(key, revision);
            }
            Err(_) => {} // The request may have run, so its claim stays.
        }
        response
    }

    /// Sends a request until it gets a response other than 503 or may not be retried again.
    async fn send_with_retries(
        &self,
        request: Request<Bytes>,
        route: &Arc<ServiceRoute>,
        meta: &RequestMeta,
    ) -> Result<Response<Bytes>, Refusal> {
        self.budget.borrow_mut().deposit();
        let mut avoided = Vec::new();
        let mut may_have_run = false;
        for attempt in 1.. {
            let grant = match self.slots.acquire(route, meta, &avoided).await {
                Ok(grant) => grant,
                Err(refusal) if may_have_run => {
                    return Err(Refusal {
                        outcome: RequestOutcome::Unknown,
                        ..refusal
                    })
                }
                Err(refusal) => return Err(refusal),
            };
            let server = Arc::clone(&grant.server);
            let outcome = self.send_once(&request, route, meta, grant, attempt).await;
            self.slots.dispatch(route);
            // `Ok` is an attempt without a response, `Err` a response with status 503.
            let failure = match outcome {
                Ok(response) if response.status() != StatusCode::SERVICE_UNAVAILABLE => {
                    return Ok(response)
                }
                Ok(response) => Err(response),
                Err(error) => Ok(error),
            };
            let is_safe_to_retry = match &failure {
                Ok(error) => meta.retryable || !error.may_have_run(),
                Err(_) => meta.retryable,
            };
            may_have_run |= failure.as_ref().map_or(true, ExchangeError::may_have_run);
            let may_retry = is_safe_to_retry
                && attempt < MAX_ATTEMPTS
                && Instant::now() < meta.deadline
                && self.budget.borrow_mut().withdraw();
            if may_retry {
                self.metrics.count_event("retry");
                avoided.push(server.host.clone());
                continue;
            }
            return match failure {
                Err(response) => Ok(response),
                Ok(error) => Err(Refusal::failed(&error, may_have_run)),
            };
        }
        unreachable!("the loop returns after at most MAX_ATTEMPTS attempts")
    }

    /// Sends a request once and records the result in the health of the server.
    async fn send_once(
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
        self.slots.record_sent(&host);
        let response = self
            .exchange(request, route, meta, &grant.server, attempt, deadline)
            .await;
        let latency = started.elapsed();
        let abandoned = response.as_ref().is_err_and(ExchangeError::may_have_run);
        grant.release(abandoned);
        match &response {
            Ok(response) if !response.status().is_server_error() => {
                self.slots.record_success(route, &host, latency);
            }
            Ok(_) => self.slots.record_failure(&host),
            Err(ExchangeError::Frozen) => self.slots.record_inconclusive(&host),
            Err(error) => {
                if error.may_have_run() {
                    self.discard_idle(&host);
                }
                self.slots.record_failure(&host);
            }
        }
        response
    }

    /// Sends a request over one connection; rejects a response with the id of another request.
    async fn exchange(
        &self,
        request: &Request<Bytes>,
        route: &Arc<ServiceRoute>,
        meta: &RequestMeta,
        server: &Arc<BackendServer>,
        attempt: u32,
        deadline: Instant,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let reuse = match (meta.retryable, attempt) {
            (true, 1) => ReusePolicy::Idle,
            (false, 1) => ReusePolicy::RecentlyUsed,
            _ => ReusePolicy::Never,
        };
        let mut connection = self.connect(server, reuse, deadline).await?;
        // After a freeze the route may be outdated: the host may have started leaving meanwhile.
        if self.detector.is_stale(std::time::Instant::now()) {
            return Err(ExchangeError::Frozen);
        }
        let id = new_token();
        let outgoing = outgoing_request(request, server, &id);
        let mut response = connection.exchange(outgoing, deadline).await?;
        let echoed = response.headers().get(header::REQUEST_ID);
        let id_matches = echoed.is_some_and(|echo| echo.as_bytes() == id.as_bytes());
        let may_omit_echo = echoed.is_none() && !route.service.echoes_request_id;
        if !id_matches && !may_omit_echo {
            self.metrics.count_event("crossed_answer");
            return Err(ExchangeError::InvalidResponse(
                "it answers another request".to_owned(),
            ));
        }
        if let Some(reusable) = self.connections.borrow_mut().get_mut(&server.host) {
            reusable.put(connection);
        }
        strip_hop_headers(response.headers_mut());
        response.headers_mut().remove(header::REQUEST_ID);
        Ok(response)
    }

    async fn connect(
        &self,
        server: &Arc<BackendServer>,
        reuse: ReusePolicy,
        deadline: Instant,
    ) -> Result<HttpConnection, ExchangeError> {
        let idle = {
            let mut connections = self.connections.borrow_mut();
            let reusable = connections
                .entry(server.host.clone())
                .or_insert_with(|| ServerConnections::new(server.address));
            reusable.take(reuse)
        };
        match idle {
            Some(connection) => Ok(connection),
            None => HttpConnection::dial(server.address, self.limits, deadline).await,
        }
    }

    /// Discards the idle connections of a server after one was unresponsive or broken.
    fn discard_idle(&self, host: &HostId) {
        if let Some(reusable) = self.connections.borrow_mut().get_mut(host) {
            reusable.discard_idle();
        }
    }
}

impl<P: ObjectService + TableService> RequestHandler for RequestRouter<P> {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        self.route(request).await
    }
}

/// Returns the deadline of one attempt: by default half of the time left if a retry is allowed.
fn attempt_deadline(
    route: &ServiceRoute,
    meta: &RequestMeta,
    started: Instant,
    attempt: u32,
) -> Instant {
    if !meta.retryable || attempt == MAX_ATTEMPTS {
        return meta.deadline;
    }
    let half = meta.deadline.saturating_duration_since(started) / 2;
    let time = route.service.attempt.unwrap_or(half);
    meta.deadline.min(started + time)
}

fn outgoing_request(request: &Request<Bytes>, server: &BackendServer, id: &str) -> Request<Bytes> {
    let mut outgoing = request.clone();
    let headers = outgoing.headers_mut();
    strip_hop_headers(headers);
    headers.remove(header::REQUEST_ID);
    if let Ok(id) = HeaderValue::from_str(id) {
        headers.insert(header::REQUEST_ID, id);
    }
    if let Ok(host) = HeaderValue::from_str(&server.address.to_string()) {
        headers.entry(http::header::HOST).or_insert(host);
    }
    outgoing
}
