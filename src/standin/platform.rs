//! HTTP interface of the simulated platform.

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

use crate::connection::close_without_response;
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

/// The maximum number of rows that one scan returns, whatever its limit.
const MAX_SCAN_ROWS: usize = 1_000;

/// Simulates the platform's table, object store, host list and workers.
///
/// Calls that control the simulation, which a real platform does not have: `POST /faults`,
/// `GET /counts`, `PUT /hosts`, `PUT /hosts/HOST/state` and `GET /tasks/starts`.
pub struct PlatformStandin {
    state: Rc<RefCell<PlatformState>>,
    tasks: RefCell<TaskSimulator>,
    faults: Rc<RefCell<PlatformFaults>>,
    call_counts: RefCell<HashMap<&'static str, u64>>,
    reboot_time: Duration,
    write_interval: Duration,
    /// The earliest time of the next transaction; `None` before the first one.
    next_write_time: Cell<Option<Instant>>,
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
struct StateChange {
    state: HostState,
}

impl PlatformStandin {
    /// Creates a platform whose hosts take `reboot_time` to restart and whose
    /// table runs at most `writes_per_second` transactions.
    pub fn new(reboot_time: Duration, writes_per_second: u32) -> Self {
        Self {
            state: Rc::default(),
            tasks: RefCell::default(),
            faults: Rc::default(),
            call_counts: RefCell::default(),
            reboot_time,
            write_interval: Duration::from_secs(1) / writes_per_second.max(1),
            next_write_time: Cell::new(None),
        }
    }

    /// Adds a host or replaces its record.
    pub fn put_host(&self, record: HostRecord) {
        self.state.borrow_mut().put_host(record);
    }

    /// Replaces the injected faults.
    pub fn set_faults(&self, faults: PlatformFaults) {
        let mut state = self.state.borrow_mut();
        let previous = self.faults.replace(faults.clone());
        if previous.frozen_list != faults.frozen_list {
            state.set_hosts_frozen(faults.frozen_list);
        }
        if previous.stale_reads != faults.stale_reads {
            state.set_rows_frozen(faults.stale_reads);
        }
    }

    async fn route(&self, request: &Request<Bytes>) -> Response<Bytes> {
        let path = request.uri().path().trim_start_matches('/');
        let segments = path.split('/').collect::<Vec<_>>();
        match (request.method(), segments.as_slice()) {
            (&Method::POST, ["faults"]) => self.change_faults(request.body()),
            (&Method::GET, ["counts"]) => to_json(&*self.call_counts.borrow()),
            (&Method::PUT, ["hosts"]) => self.add_host(request.body()),
            (&Method::PUT, ["hosts", host, "state"]) => {
                self.change_host_state(host, request.body())
            }
            (&Method::GET, ["tasks", "starts"]) => to_json(&self.tasks.borrow().starts()),
            _ => self.handle_platform_call(request, &segments).await,
        }
    }

    /// Handles a call that a real platform also has; only these are affected by faults.
    async fn handle_platform_call(
        &self,
        request: &Request<Bytes>,
        segments: &[&str],
    ) -> Response<Bytes> {
        let (outage, delay_ms) = {
            let faults = self.faults.borrow();
            (faults.outage, faults.delay_ms)
        };
        if delay_ms > 0 {
            sleep(Duration::from_millis(delay_ms)).await;
        }
        if outage {
            return empty_response(StatusCode::SERVICE_UNAVAILABLE);
        }
        match (request.method(), segments) {
            (&Method::POST, ["table", "transact"]) => self.transact(request.body()).await,
            (&Method::POST, ["table", "read"]) => {
                self.count_call("reads");
                self.with_body(request.body(), |list: KeyList| {
                    to_json(&self.state.borrow().read(&list.keys))
                })
            }
            (&Method::POST, ["table", "revisions"]) => {
                self.count_call("reads");
                self.with_body(request.body(), |list: KeyList| {
                    to_json(&self.state.borrow().revisions(&list.keys))
                })
            }
            (&Method::POST, ["table", "scan"]) => {
                self.count_call("scans");
                self.with_body(request.body(), |range: KeyRange| {
                    let limit = range.limit.min(MAX_SCAN_ROWS);
                    let state = self.state.borrow();
                    to_json(&state.scan(&range.prefix, &range.after, limit))
                })
            }
            (&Method::GET, ["hosts"]) => self.list_hosts(request),
            (&Method::GET, ["tasks"]) => self.list_tasks(request),
            (&Method::POST, ["tasks", "orders"]) => self.run_task_commands(request.body()),
            (&Method::POST, ["tasks", "lease"]) => self.with_body(request.body(), |lease| {
                self.tasks
                    .borrow_mut()
                    .renew_lease(lease, std::time::Instant::now());
                to_json(&())
            }),
            (&Method::POST, ["hosts", host, "reboot"]) => self.reboot(host, request.body()),
            (&Method::PUT, ["objects", name @ ..]) => {
                self.count_call("object_writes");
                let mut state = self.state.borrow_mut();
                state.objects.insert(name.join("/"), request.body().clone());
                to_json(&())
            }
            (&Method::GET, ["objects", name @ ..]) => {
                self.count_call("object_reads");
                match self.state.borrow().objects.get(&name.join("/")) {
                    Some(content) => Response::new(content.clone()),
                    None => empty_response(StatusCode::NOT_FOUND),
                }
            }
            _ => empty_response(StatusCode::NOT_FOUND),
        }
    }

    async fn transact(&self, body: &Bytes) -> Response<Bytes> {
        let Ok(transaction) = serde_json::from_slice::<Transaction>(body) else {
            return empty_response(StatusCode::BAD_REQUEST);
        };
        self.count_call("writes");
        self.wait_for_write().await;
        let outcome = self.state.borrow_mut().transact(&transaction);
        self.respond_unless_lost(&outcome)
    }

    /// Delays a transaction to keep to the table's maximum rate.
    async fn wait_for_write(&self) {
        let now = Instant::now();
        let write_time = self.next_write_time.get().unwrap_or(now).max(now);
        self.next_write_time
            .set(Some(write_time + self.write_interval));
        if write_time > now {
            monoio::time::sleep_until(write_time).await;
        }
    }

    fn list_hosts(&self, request: &Request<Bytes>) -> Response<Bytes> {
        self.count_call("lists");
        to_json(&self.state.borrow().changed_hosts(since_revision(request)))
    }

    fn list_tasks(&self, request: &Request<Bytes>) -> Response<Bytes> {
        self.count_call("task_lists");
        self.advance_tasks();
        to_json(&self.tasks.borrow().changed_since(since_revision(request)))
    }

    fn run_task_commands(&self, body: &Bytes) -> Response<Bytes> {
        self.count_call("task_orders");
        self.with_body(body, |commands: Vec<TaskCommand>| {
            self.advance_tasks();
            let now = std::time::Instant::now();
            let state = self.state.borrow();
            for command in commands {
                let up = state.is_up(&command.host);
                self.tasks.borrow_mut().apply_command(command, up, now);
            }
            self.respond_unless_lost(&())
        })
    }

    /// Advances the simulated tasks to the current time; called before tasks are read or changed.
    fn advance_tasks(&self) {
        let state = self.state.borrow();
        let bad_workers = &self.faults.borrow().bad_workers;
        let now = std::time::Instant::now();
        let mut tasks = self.tasks.borrow_mut();
        if self.faults.borrow().end_leases {
            tasks.end_leases();
        }
        tasks.advance(now, |host| state.is_up(host), bad_workers);
    }

    /// Builds a response, or closes the connection without one if it must be lost.
    fn respond_unless_lost(&self, value: &impl Serialize) -> Response<Bytes> {
        let mut faults = self.faults.borrow_mut();
        if faults.lost_answers > 0 {
            faults.lost_answers -= 1;
            return close_without_response();
        }
        to_json(value)
    }

    fn reboot(&self, host: &str, body: &Bytes) -> Response<Bytes> {
        self.with_body(body, |command: RebootCommand| {
            let Some(host) = self.find_host(host) else {
                return empty_response(StatusCode::NOT_FOUND);
            };
            if self.state.borrow_mut().record_reboot_token(&command.token) {
                self.count_call("reboots");
                self.restart(host);
            }
            self.respond_unless_lost(&())
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

    /// Returns the id of a host, if the platform lists it.
    fn find_host(&self, host: &str) -> Option<HostId> {
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

    fn change_host_state(&self, host: &str, body: &Bytes) -> Response<Bytes> {
        self.with_body(body, |change: StateChange| match self.find_host(host) {
            Some(host) => {
                self.state.borrow_mut().set_host_state(&host, change.state);
                to_json(&())
            }
            None => empty_response(StatusCode::NOT_FOUND),
        })
    }

    fn with_body<T: DeserializeOwned>(
        &self,
        body: &Bytes,
        handler: impl FnOnce(T) -> Response<Bytes>,
    ) -> Response<Bytes> {
        match serde_json::from_slice(body) {
            Ok(value) => handler(value),
            Err(_) => empty_response(StatusCode::BAD_REQUEST),
        }
    }

    /// Counts a call under a name that `GET /counts` shows.
    fn count_call(&self, name: &'static str) {
        *self.call_counts.borrow_mut().entry(name).or_default() += 1;
    }
}

impl RequestHandler for PlatformStandin {
    async fn handle(&self, request: Request<Bytes>) -> Response<Bytes> {
        self.route(&request).await
    }
}

/// Returns the query parameter `since`, or revision 0 if it is missing or invalid.
fn since_revision(request: &Request<Bytes>) -> Revision {
    let query = request.uri().query();
    let since = query.and_then(|query| query.strip_prefix("since="));
    since
        .and_then(|since| since.parse().ok())
        .unwrap_or_default()
}

fn to_json(value: &impl Serialize) -> Response<Bytes> {
    match serde_json::to_vec(value) {
        Ok(body) => Response::new(Bytes::from(body)),
        Err(_) => empty_response(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

fn empty_response(status: StatusCode) -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    *response.status_mut() = status;
    response
}
