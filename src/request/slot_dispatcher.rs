//! The slots of backend servers, given to requests in their turn.

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
use crate::process::FreezeGuard;
use crate::process::PeerState;
use crate::process::QueueAnswer;
use crate::process::QueueEntry;
use crate::process::QueuePlace;
use crate::process::ServerHealth;
use crate::process::ServerPicker;
use crate::request::refusal::Refusal;
use crate::request::refusal::COME_BACK;
use crate::request::RequestMeta;
use crate::version::BackendServer;
use crate::version::RoutingTable;
use crate::version::ServiceRoute;

/// The weight of the newest request in the average time of a service's requests.
const NEWEST_WEIGHT: f64 = 0.05;
/// How long a server is taken to work on a request that was given up here.
const ABANDONED_TIME: Duration = Duration::from_millis(500);

/// A slot that a request holds at a backend server.
pub(super) struct SlotGrant {
    pub(super) server: Arc<BackendServer>,
    state: Arc<PeerState>,
}

impl SlotGrant {
    /// Gives the slot back, later if the server may still work on the request.
    pub(super) fn release(self, abandoned: bool) {
        if abandoned {
            monoio::spawn(async move {
                sleep(ABANDONED_TIME).await;
                drop(self);
            });
        }
    }
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

/// Gives slots to requests: at once, or in the order of their service's queue.
pub struct SlotDispatcher {
    state: Arc<PeerState>,
    metrics: Rc<DaemonMetrics>,
    guard: Rc<FreezeGuard>,
    queue_limit: usize,
    table: RefCell<Rc<RoutingTable>>,
    queues: RefCell<HashMap<ServiceId, ServiceQueue>>,
    health: RefCell<ServerHealth>,
    random: RefCell<SmallRng>,
    waiting: Cell<usize>,
    waiting_begun: Notify,
}

impl SlotDispatcher {
    /// Creates a dispatcher without routes, whose queues hold `queue_limit` requests each.
    pub fn new(
        state: Arc<PeerState>,
        metrics: Rc<DaemonMetrics>,
        guard: Rc<FreezeGuard>,
        queue_limit: usize,
        seed: u64,
    ) -> Self {
        Self {
            state,
            metrics,
            guard,
            queue_limit,
            table: RefCell::default(),
            queues: RefCell::default(),
            health: RefCell::default(),
            random: RefCell::new(SmallRng::seed_from_u64(seed)),
            waiting: Cell::new(0),
            waiting_begun: Notify::new(),
        }
    }

    /// Puts new routes in force.
    pub(super) fn install(&self, table: Rc<RoutingTable>) {
        self.table.replace(table);
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

    /// Notes that a request is sent to a server.
    pub(super) fn note_sent(&self, host: &HostId) {
        self.health.borrow_mut().begin(host);
    }

    /// Notes a whole answer that is no failure.
    pub(super) fn note_success(&self, route: &Arc<ServiceRoute>, host: &HostId, time: Duration) {
        self.health.borrow_mut().succeed(host, time);
        self.note_time(route, time);
    }

    /// Notes that a request ended without saying anything of its server.
    pub(super) fn note_nothing(&self, host: &HostId) {
        self.health.borrow_mut().abandon(host);
    }

    /// Takes a slot of a server, or waits for one.
    pub(super) async fn acquire(
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
    pub(super) fn dispatch(&self, route: &Arc<ServiceRoute>) {
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
            .route_for_service(&route.service.id)
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

    /// Notes a failure of a server, which may eject it.
    pub(super) fn note_failure(&self, host: &HostId) {
        let now = std::time::Instant::now();
        if self.health.borrow_mut().fail(host, now) {
            self.metrics.count_event("ejection");
            log::info!(target: "zincpier::servers", "{host} is ejected");
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
