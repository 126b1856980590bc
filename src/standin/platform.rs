//! The platform stand-in's HTTP interface.

use std::cell::Cell;
use std::cell::RefCell;
use std::collections::HashMap;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use monoio::time::sleep;
use monoio::time::Instant;
use serde::de::DeserializeOwned;
use serde::Deserialize;
use serde::Serialize;

use crate::connection::close_without_answer;
use crate::connection::RequestHandler;
use crate::id::HostId;
use crate::id::Revision;
use crate::provider::RebootCommand;
use crate::provider::TaskCommand;
use crate::provider::Transaction;
use crate::standin::platform_state::PlatformState;
use crate::standin::task_simulator::TaskSimulator;
use crate::standin::PlatformFaults;
use crate::version::HostRecord;
use crate::version::HostState;

const SCAN_LIMIT: usize = 1_000;

/// Plays the platform's table, objects, host list and workers.
pub struct PlatformStandin {
    state: Rc<RefCell<PlatformState>>,
    tasks: RefCell<TaskSimulator>,
    faults: Rc<RefCell<PlatformFaults>>,
    counts: RefCell<HashMap<&'static str, u64>>,
    reboot_time: Duration,
    write_gap: Duration,
    next_write: Cell<Option<Instant>>,
}

#[derive(Deserialize)]
struct KeyList {
    keys: Vec<String>,
}

#[derive(Deserialize)]
struct KeyRange {
    prefix: String,
    after: String,
    limit: usize,
}

#[derive(Deserialize)]
struct StateOrder {
    state: HostState,
}

impl PlatformStandin {
    /// Creates a platform whose hosts take `reboot_time` to restart and whose
    /// table takes at most `writes_per_second` transactions.
    pub fn new(reboot_time: Duration, writes_per_second: u32) -> Self {
        Self {
            state: Rc::default(),
            tasks: RefCell::default(),
            faults: Rc::default(),
            counts: RefCell::default(),
            reboot_time,
            write_gap: Duration::from_secs(1) / writes_per_second.max(1),
            next_write: Cell::new(None),
        }
    }

    /// Adds a host or replaces its record.
    pub fn put_host(&self, record: HostRecord) {
        self.state.borrow_mut().put_host(record);
    }

    /// Switches faults on and off.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let mut state = self.state.borrow_mut();
        let before = self.faults.replace(faults.clone());
        if before.frozen_list != faults.frozen_list {
            state.set_frozen(faults.frozen_list);
        }
        if before.stale_reads != faults.stale_reads {
            state.set_stale(faults.stale_reads);
        }
    }

    async fn answer(&self, request: &Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().trim_start_matches('/');
        let segments = path.split('/').collect::<Vec<_>>();
        match (request.method(), segments.as_slice()) {
            (&Method::POST, ["faults"]) => self.change_faults(request.body()),
            (&Method::GET, ["counts"]) => to_json(&*self.counts.borrow()),
            (&Method::PUT, ["hosts"]) => self.add_host(request.body()),
            (&Method::PUT, ["hosts", host, "state"]) => self.change_host(host, request.body()),
            (&Method::GET, ["tasks", "starts"]) => to_json(&self.tasks.borrow().starts()),
            _ => self.answer_service(request, &segments).await,
        }
    }

    async fn answer_service(&self, request: &Request<Bytes>, segments: &[&str]) -> Response<Bytes> {
        let (outage, delay_ms) = {
            let faults = self.faults.borrow();
            (faults.outage, faults.delay_ms)
        };
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        if outage {
            return status(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (request.method(), segments) {
            (&Method::POST, ["table", "transact"]) => self.transact(request.body()).await,
            (&Method::POST, ["table", "read"]) => {
                self.count("reads");
                self.with_body(request.body(), |list: KeyList| {
                    to_json(&self.state.borrow().read(&list.keys))
                })
            }
            (&Method::POST, ["table", "revisions"]) => {
                self.count("reads");
                self.with_body(request.body(), |list: KeyList| {
                    to_json(&self.state.borrow().revisions(&list.keys))
                })
            }
            (&Method::POST, ["table", "scan"]) => {
                self.count("scans");
                self.with_body(request.body(), |range: KeyRange| {
                    let limit = range.limit.min(SCAN_LIMIT);
                    let state = self.state.borrow();
                    to_json(&state.scan(&range.prefix, &range.after, limit))
                })
            }
            (&Method::GET, ["hosts"]) => self.list_hosts(request),
            (&Method::GET, ["tasks"]) => self.list_tasks(request),
            (&Method::POST, ["tasks", "orders"]) => self.send_task_commands(request.body()),
            (&Method::POST, ["tasks", "lease"]) => self.with_body(request.body(), |lease| {
                self.tasks
                    .borrow_mut()
                    .renew(lease, std::time::Instant::now());
                to_json(&())
            }),
            (&Method::POST, ["hosts", host, "reboot"]) => self.reboot(host, request.body()),
            (&Method::PUT, ["objects", name @ ..]) => {
                self.count("object_writes");
                let mut state = self.state.borrow_mut();
                state.objects.insert(name.join("/"), request.body().clone());
                to_json(&())
            }
            (&Method::GET, ["objects", name @ ..]) => {
                self.count("object_reads");
                match self.state.borrow().objects.get(&name.join("/")) {
                    Some(content) => Response::new(content.clone()),
                    None => status(StatusCode::NOT_FOUND),
                }
            }
            _ => status(StatusCode::NOT_FOUND),
        }
    }

    async fn transact(&self, body: &Bytes) -> Response<Bytes> {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return status(StatusCode::BAD_REQUEST);
        };
        self.count("writes");
        self.wait_for_write().await;
        let outcome = self.state.borrow_mut().transact(&transaction);
        self.lose_or(&outcome)
    }

    /// Holds a transaction back until the table's rate allows it.
    async fn wait_for_write(&self) {
        let now = Instant::now();
        let turn = self.next_write.get().unwrap_or(now).max(now);
        self.next_write.set(Some(turn + self.write_gap));
        if turn > now {
            monoio::time::sleep_until(turn).await;
        }
    }

    fn list_hosts(&self, request: &Request<Bytes>) -> Response<Bytes> {
        self.count("lists");
        to_json(&self.state.borrow().changed_hosts(since_of(request)))
    }

    fn list_tasks(&self, request: &Request<Bytes>) -> Response<Bytes> {
        self.count("task_lists");
        self.advance_tasks();
        to_json(&self.tasks.borrow().changed(since_of(request)))
    }

    fn send_task_commands(&self, body: &Bytes) -> Response<Bytes> {
        self.count("task_orders");
        self.with_body(body, |orders: Vec<TaskCommand>| {
            self.advance_tasks();
            let now = std::time::Instant::now();
            let state = self.state.borrow();
            for order in orders {
                let up = state.is_live(&order.host);
                self.tasks.borrow_mut().order(order, up, now);
            }
            self.lose_or(&())
        })
    }

    fn advance_tasks(&self) {
        let state = self.state.borrow();
        let bad_workers = &self.faults.borrow().bad_workers;
        let now = std::time::Instant::now();
        let mut tasks = self.tasks.borrow_mut();
        if self.faults.borrow().end_leases {
            tasks.end_leases();
        }
        tasks.advance(now, |host| state.is_live(host), bad_workers);
    }

    /// Returns an answer, unless it is to be lost.
    fn lose_or(&self, answer: &impl Serialize) -> Response<Bytes> {
        let mut faults = self.faults.borrow_mut();
        if faults.lost_answers > 0 {
            faults.lost_answers -= 1;
            return close_without_answer();
        }
        to_json(answer)
    }

    fn reboot(&self, host: &str, body: &Bytes) -> Response<Bytes> {
        self.with_body(body, |order: RebootCommand| {
            let Some(host) = self.known_host(host) else {
                return status(StatusCode::NOT_FOUND);
            };
            if self.state.borrow_mut().take_reboot(&order.token) {
                self.count("reboots");
                self.restart(host);
            }
            self.lose_or(&())
        })
    }

    fn restart(&self, host: HostId) {
        let state = Rc::clone(&self.state);
        state.borrow_mut().set_host_state(&host, HostState::Down);
        if self.faults.borrow().stuck_reboots {
            return;
        }
        let reboot_time = self.reboot_time;
        monoio::spawn(async move {
            sleep(reboot_time).await;
            state.borrow_mut().set_host_state(&host, HostState::Live);
        });
    }

    fn known_host(&self, host: &str) -> Option<HostId> {
        let host = host.parse().ok()?;
        let known = self.state.borrow().host(&host).is_some();
        known.then_some(host)
    }

    fn change_faults(&self, body: &Bytes) -> Response<Bytes> {
        self.with_body(body, |faults| {
            self.set_faults(faults);
            to_json(&())
        })
    }

    fn add_host(&self, body: &Bytes) -> Response<Bytes> {
        self.with_body(body, |record| {
            self.put_host(record);
            to_json(&())
        })
    }

    fn change_host(&self, host: &str, body: &Bytes) -> Response<Bytes> {
        self.with_body(body, |order: StateOrder| match self.known_host(host) {
            Some(host) => {
                self.state.borrow_mut().set_host_state(&host, order.state);
                to_json(&())
            }
            None => status(StatusCode::NOT_FOUND),
        })
    }

    fn with_body<T: DeserializeOwned>(
        &self,
        body: &Bytes,
        act: impl FnOnce(T) -> Response<Bytes>,
    ) -> Response<Bytes> {
        match serde_json::from_slice(body) {
            Ok(value) => act(value),
            Err(_) => status(StatusCode::BAD_REQUEST),
        }
    }

    fn count(&self, name: &'static str) {
        *self.counts.borrow_mut().entry(name).or_default() += 1;
    }
}

impl RequestHandler for PlatformStandin {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        self.answer(&request).await
    }
}

fn since_of(request: &Request<Bytes>) -> Revision {
    let query = request.uri().query();
    let since = query.and_then(|query| query.strip_prefix("since="));
    since
        .and_then(|since| since.parse().ok())
        .unwrap_or_default()
}

fn to_json(value: &impl Serialize) -> Response<Bytes> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Bytes::from(body)),
        Err(_) => status(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn status(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
