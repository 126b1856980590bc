//! Assignment of backend server slots to requests, with a queue for each service.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use futures::channel::oneshot;
use http::StatusCode;
use monoio::time::sleep;
use monoio::time::timeout_at;
use monoio::time::Instant;
use rand::rngs::SmallRng;
use rand::SeedableRng;
use tokio::sync::Notify;

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::ServiceId;
use crate::process::AdmissionQueue;
use crate::process::DaemonMetrics;
use crate::process::FreezeDetector;
use crate::process::PeerState;
use crate::process::PushOutcome;
use crate::process::QueueEntry;
use crate::process::QueuePlace;
use crate::process::ServerHealth;
use crate::process::ServerPicker;
use crate::request::refusal::Refusal;
use crate::request::refusal::DEFAULT_RETRY_AFTER;
use crate::request::RequestMeta;
use crate::version::BackendServer;
use crate::version::RoutingTable;
use crate::version::ServiceRoute;

/// The weight of the newest sample in the moving average of a service's response time.
const EWMA_WEIGHT: f64 = 0.05;
/// How long a slot stays taken after the daemon abandoned its request, since the server may
/// still be working on it.
const ABANDONED_SLOT_DELAY: Duration = Duration::from_millis(500);

/// A backend server slot held by one request; dropping it releases the slot.
pub(super) struct SlotGrant {
    pub(super) server: Arc<BackendServer>,
    state: Arc<PeerState>,
}

impl SlotGrant {
    /// Releases the slot; if the request was `abandoned`, after [`ABANDONED_SLOT_DELAY`].
    pub(super) fn release(self, abandoned: bool) {
        if abandoned {
            monoio::spawn(async move {
                sleep(ABANDONED_SLOT_DELAY).await;
                drop(self);
            });
        }
    }
}

impl Drop for SlotGrant {
    fn drop(&mut self) {
        self.state.allocator.release(&self.server.host);
    }
}

/// A request that waits for a slot.
struct Waiter {
    grant: oneshot::Sender<SlotGrant>,
    /// The preferred data centre.
    data_centre: DataCentreId,
    /// The servers of failed attempts.
    avoided: Vec<HostId>,
    retryable: bool,
    deadline: Instant,
}

/// The queue and the average response time of one service.
struct ServiceQueue {
    queue: AdmissionQueue<Waiter>,
    /// The average response time, 0 without samples.
    average_micros: f64,
}

/// Grants slots to requests: at once if one is free, else in the order of the service's queue.
pub struct SlotDispatcher {
    state: Arc<PeerState>,
    metrics: Rc<DaemonMetrics>,
    detector: Rc<FreezeDetector>,
    queue_limit: usize,
    table: RefCell<Rc<RoutingTable>>,
    queues: RefCell<HashMap<ServiceId, ServiceQueue>>,
    health: RefCell<ServerHealth>,
    random: RefCell<SmallRng>,
    total_waiting: Cell<usize>,
    waiting_started: Notify,
}

impl SlotDispatcher {
    /// Creates a dispatcher without routes, whose queues hold up to `queue_limit` requests each;
    /// `seed` seeds the choice of servers.
    pub fn new(
        state: Arc<PeerState>,
        metrics: Rc<DaemonMetrics>,
        detector: Rc<FreezeDetector>,
        queue_limit: usize,
        seed: u64,
    ) -> Self {
        Self {
            state,
            metrics,
            detector,
            queue_limit,
            table: RefCell::default(),
            queues: RefCell::default(),
            health: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            total_waiting: Cell::new(0),
            waiting_started: Notify::new(),
        }
    }

    /// Replaces the routes in force.
    pub(super) fn install(&self, table: Rc<RoutingTable>) {
        self.table.replace(table);
    }

    /// Returns the routes in force.
    pub fn table(&self) -> Rc<RoutingTable> {
        Rc::clone(&self.table.borrow())
    }

    /// Returns the number of requests waiting for a slot of a service.
    pub fn waiting(&self, service: &ServiceId) -> usize {
        self.queues
            .borrow()
            .get(service)
            .map_or(0, |queue| queue.queue.len())
    }

    /// Returns whether any request, of any service, is waiting for a slot.
    pub fn has_waiting(&self) -> bool {
        self.total_waiting.get() > 0
    }

    /// Completes when the number of waiting requests rises from zero.
    pub async fn waiting_started(&self) {
        self.waiting_started.notified().await;
    }

    /// Grants free slots to the waiting requests of every service.
    pub fn dispatch_all(&self) {
        if self.total_waiting.get() == 0 {
            return;
        }
        let table = self.table();
        table.routes().for_each(|route| self.dispatch(route));
    }

    /// Records that a request is being sent to a server.
    pub(super) fn record_sent(&self, host: &HostId) {
        self.health.borrow_mut().record_start(host);
    }

    /// Records a complete response, received after `time`, that is not a server error.
    pub(super) fn record_success(&self, route: &Arc<ServiceRoute>, host: &HostId, time: Duration) {
        self.health.borrow_mut().record_success(host, time);
        self.record_latency(route, time);
    }

    /// Records that a request ended in a way that tells nothing about the health of its server.
    pub(super) fn record_inconclusive(&self, host: &HostId) {
        self.health.borrow_mut().record_cancelled(host);
    }

    /// Acquires a slot of a server, queueing until one is free.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no server serves the service, the queue is full, the deadline passes
    /// or cannot be met, or a later request displaces this one.
    pub(super) async fn acquire(
        &self,
        route: &Arc<ServiceRoute>,
        meta: &RequestMeta,
        avoided: &[HostId],
    ) -> Result<SlotGrant, Refusal> {
        let preferred = meta.data_centre.as_ref();
        let data_centre = preferred
            .unwrap_or(&self.state.identity.data_centre)
            .clone();
        let (grant, granted) = oneshot::channel();
        let waiter = Waiter {
            grant,
            data_centre,
            avoided: avoided.to_vec(),
            retryable: meta.retryable,
            deadline: meta.deadline,
        };
        if self.waiting(&route.service.id) == 0 {
            if let Some(grant) = self.try_grant(&waiter, route) {
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
                self.remove_waiter(route, &place);
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
        if self.current_route(route).servers.is_empty() {
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
        let response_time = self.estimate_response_time(route, service, meta);
        let time_left = meta.deadline.saturating_duration_since(Instant::now());
        if response_time > time_left {
            self.metrics.count_event("refused_late");
            return Err(Refusal {
                retry_after: Some(response_time),
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
            PushOutcome::Waiting(place) => {
                self.adjust_waiting(1);
                Ok(place)
            }
            PushOutcome::Displaced(place, displaced) => {
                self.metrics.count_event("displaced");
                // Closes the channel of the displaced request, which is then refused.
                drop(displaced);
                Ok(place)
            }
            PushOutcome::Full(_) => {
                self.metrics.count_event("refused_full");
                Err(Refusal {
                    retry_after: Some(response_time.max(DEFAULT_RETRY_AFTER)),
                    ..Refusal::not_run(StatusCode::SERVICE_UNAVAILABLE, "too many requests wait")
                })
            }
        }
    }

    /// Estimates the time until the response to a new request, from the requests queued before it
    /// and the average response time.
    fn estimate_response_time(
        &self,
        route: &Arc<ServiceRoute>,
        service: &ServiceQueue,
        meta: &RequestMeta,
    ) -> Duration {
        let now = std::time::Instant::now();
        let deadline = meta.deadline.into_std();
        let allocator = &self.state.allocator;
        let slots = self
            .current_route(route)
            .servers
            .iter()
            .map(|server| allocator.load(&server.host, now, deadline).1)
            .sum::<u32>()
            .max(1);
        let queued_before = service.queue.count_before(meta.urgent, &meta.customer) as f64;
        let rounds = queued_before / f64::from(slots) + 1.0;
        Duration::from_micros((rounds * service.average_micros) as u64)
    }

    fn remove_waiter(&self, route: &Arc<ServiceRoute>, place: &QueuePlace) {
        let mut queues = self.queues.borrow_mut();
        let removed = queues
            .get_mut(&route.service.id)
            .and_then(|service| service.queue.remove(place));
        drop(queues);
        if removed.is_some() {
            self.adjust_waiting(-1);
        }
    }

    /// Grants free slots to the waiting requests of a service.
    pub(super) fn dispatch(&self, route: &Arc<ServiceRoute>) {
        while let Some((place, waiter)) = self.pop_waiter(route) {
            if waiter.grant.is_canceled() {
                self.adjust_waiting(-1);
                continue;
            }
            let Some(grant) = self.try_grant(&waiter, route) else {
                let mut queues = self.queues.borrow_mut();
                if let Some(service) = queues.get_mut(&route.service.id) {
                    service.queue.reinsert(place, waiter);
                }
                return;
            };
            self.adjust_waiting(-1);
            // If the receiver is gone, dropping the returned grant releases its slot.
            drop(waiter.grant.send(grant));
        }
    }

    fn pop_waiter(&self, route: &Arc<ServiceRoute>) -> Option<(QueuePlace, Waiter)> {
        let mut queues = self.queues.borrow_mut();
        queues.get_mut(&route.service.id)?.queue.pop()
    }

    /// Grants a free slot; `None` if there is none or the state is stale after a freeze.
    fn try_grant(&self, waiter: &Waiter, route: &Arc<ServiceRoute>) -> Option<SlotGrant> {
        let now = std::time::Instant::now();
        if self.detector.is_stale(now) {
            return None;
        }
        let health = self.health.borrow();
        let picker = ServerPicker::new(
            &self.state.allocator,
            &health,
            now,
            waiter.deadline.into_std(),
        );
        let current_route = self.current_route(route);
        let server = picker.pick(
            &current_route.servers,
            &waiter.data_centre,
            &waiter.avoided,
            waiter.retryable,
            &mut *self.random.borrow_mut(),
        )?;
        Some(SlotGrant {
            server: Arc::clone(server),
            state: Arc::clone(&self.state),
        })
    }

    /// Returns the current route of the service, or `route` if the service was removed.
    fn current_route(&self, route: &Arc<ServiceRoute>) -> Arc<ServiceRoute> {
        let table = self.table.borrow();
        table
            .route_for_service(&route.service.id)
            .cloned()
            .unwrap_or_else(|| Arc::clone(route))
    }

    fn record_latency(&self, route: &Arc<ServiceRoute>, latency: Duration) {
        let mut queues = self.queues.borrow_mut();
        if let Some(service) = queues.get_mut(&route.service.id) {
            let micros = latency.as_micros() as f64;
            service.average_micros += (micros - service.average_micros) * EWMA_WEIGHT;
        }
    }

    /// Records a failed request, which may eject the server.
    pub(super) fn record_failure(&self, host: &HostId) {
        let now = std::time::Instant::now();
        if self.health.borrow_mut().record_failure(host, now) {
            self.metrics.count_event("ejection");
            log::info!(target: "zincpier::servers", "backend server {host} ejected after failures");
        }
    }

    fn adjust_waiting(&self, change: isize) {
        let waiting = self.total_waiting.get().saturating_add_signed(change);
        if self.total_waiting.replace(waiting) == 0 && waiting > 0 {
            self.waiting_started.notify_one();
        }
        self.metrics.set_waiting(waiting);
    }
}
