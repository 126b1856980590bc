//! Simulated backend server.

use std::cell::Cell;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use futures::future::join;
use futures::future::pending;
use futures::future::select;
use futures::future::Either;
use http::Method;
use http::Request;
use monoio::io::stream::Stream;
use monoio::io::AsyncWriteRentExt;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio::time::sleep;
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::FillPayload;
use monoio_http::h1::codec::decoder::RequestDecoder;
use monoio_http::h1::payload::Payload;
use serde::Deserialize;
use serde::Serialize;
use serde_json::json;

use crate::connection::exchange::collect_body;
use crate::id::HostId;
use crate::request::header;
use crate::request::header::header_text;
use crate::standin::BackendFaults;

/// The path prefix of calls that read the statistics or inject faults.
const CONTROL_PREFIX: &str = "/-/";
/// The body size of an oversized response; exceeds every caller's size limit.
const OVERSIZED_BYTES: usize = 64 * 1024 * 1024;
/// How long an unresponsive connection stays open.
const UNRESPONSIVE_DURATION: Duration = Duration::from_secs(3_600);

/// Statistics of a simulated backend server.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct BackendStats {
    /// The caller ids of the requests that were run, in order of their start.
    pub executions: Vec<String>,
    /// The maximum number of concurrent requests.
    pub most_in_flight: u32,
    /// The maximum number of concurrent connections.
    pub most_connections: u32,
    /// The number of requests rejected because every slot was in use.
    pub over_slots: u32,
    /// The number of requests whose caller disconnected before the response.
    pub abandoned: u32,
    /// The number of requests that are running now.
    pub in_flight: u32,
}

/// Simulates a backend server with a limited number of slots.
///
/// The query parameter `ms` of a request sets its service time in milliseconds, and `size` the
/// length of the response's padding in bytes. A request is answered with 503 if no slot is free.
pub struct BackendStandin {
    host: HostId,
    slots: u32,
    service_time: Duration,
    records_executions: bool,
    faults: RefCell<BackendFaults>,
    stats: RefCell<BackendStats>,
    open_connections: Cell<u32>,
    /// Connections with a number up to this are unresponsive; 0 means none.
    last_unresponsive: Cell<u64>,
    /// Connections with a number up to this are closed at their next request; 0 means none.
    last_closing: Cell<u64>,
    /// The number of connections accepted so far, which numbers them from 1.
    accepted_count: Cell<u64>,
}

impl BackendStandin {
    /// Creates a server on `host`; a request takes `service_time` unless its query has `ms`.
    pub fn new(host: HostId, slots: u32, service_time: Duration) -> Self {
        Self {
            host,
            slots,
            service_time,
            records_executions: true,
            faults: RefCell::default(),
            stats: RefCell::default(),
            open_connections: Cell::new(0),
            last_unresponsive: Cell::new(0),
            last_closing: Cell::new(0),
            accepted_count: Cell::new(0),
        }
    }

    /// Disables [`BackendStats::executions`], which grows with every request.
    #[must_use]
    pub fn without_execution_log(mut self) -> Self {
        self.records_executions = false;
        self
    }

    /// Returns a copy of the current statistics.
    pub fn stats(&self) -> BackendStats {
        self.stats.borrow().clone()
    }

    /// Accepts connections until the runtime ends.
    pub async fn serve(self: Rc<Self>, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            let server = Rc::clone(&self);
            monoio::spawn(async move { server.serve_connection(stream).await });
        }
    }

    async fn serve_connection(&self, stream: TcpStream) {
        if stream.set_nodelay(true).is_err() {
            return;
        }
        self.accepted_count.set(self.accepted_count.get() + 1);
        let mut connection = BackendConnection::new(stream, self.accepted_count.get());
        self.open_connections.set(self.open_connections.get() + 1);
        {
            let mut stats = self.stats.borrow_mut();
            stats.most_connections = stats.most_connections.max(self.open_connections.get());
        }
        while let Some(request) = connection.next_request().await {
            let Some(response) = self.handle_request(&mut connection, &request).await else {
                break;
            };
            // The fault may have been injected while the request was running.
            if connection.number <= self.last_unresponsive.get() {
                keep_unresponsive().await;
            }
            let closes_after = header_text(&request, "connection") == "close";
            if !connection.write(response).await || closes_after {
                break;
            }
        }
        self.open_connections.set(self.open_connections.get() - 1);
    }

    /// Handles a request; `None` closes the connection without a response.
    async fn handle_request(
        &self,
        connection: &mut BackendConnection,
        request: &Request<Bytes>,
    ) -> Option<WireResponse> {
        if let Some(endpoint) = request.uri().path().strip_prefix(CONTROL_PREFIX) {
            return Some(self.handle_control(endpoint, request));
        }
        if connection.number <= self.last_unresponsive.get() {
            keep_unresponsive().await;
        }
        if connection.number <= self.last_closing.get() {
            return None;
        }
        if self.faults.borrow().fail_all {
            return Some(WireResponse::new(
                500,
                request_id(request),
                "failed".to_owned(),
            ));
        }
        if !self.acquire_slot(request) {
            return Some(WireResponse::new(
                503,
                request_id(request),
                "no slot".to_owned(),
            ));
        }
        let outcome = select(
            Box::pin(sleep(self.service_time_of(request))),
            Box::pin(connection.wait_for_close()),
        )
        .await;
        let abandoned = matches!(outcome, Either::Right(_));
        drop(outcome);
        let mut stats = self.stats.borrow_mut();
        stats.in_flight -= 1;
        if abandoned {
            stats.abandoned += 1;
            return None;
        }
        drop(stats);
        Some(self.success_response(request))
    }

    /// Acquires a slot for a request and records its execution; returns false if none is free.
    fn acquire_slot(&self, request: &Request<Bytes>) -> bool {
        let mut stats = self.stats.borrow_mut();
        if stats.in_flight >= self.slots {
            stats.over_slots += 1;
            return false;
        }
        stats.in_flight += 1;
        stats.most_in_flight = stats.most_in_flight.max(stats.in_flight);
        if self.records_executions {
            stats.executions.push(caller_id(request));
        }
        true
    }

    fn success_response(&self, request: &Request<Bytes>) -> WireResponse {
        let body = json!({
            "host": self.host,
            "path": request.uri().path(),
            "caller": caller_id(request),
            "received": request.body().len(),
            "padding": "x".repeat(query_number(request, "size").unwrap_or(0) as usize),
        });
        let mut response = WireResponse::new(200, request_id(request), body.to_string());
        let mut faults = self.faults.borrow_mut();
        if take_fault(&mut faults.half_answers) {
            response.truncated = true;
        }
        if take_fault(&mut faults.crossed_answers) {
            response.request_id = "another".to_owned();
            response.body = json!({ "caller": "another" }).to_string();
        }
        response.duplicated = take_fault(&mut faults.doubled_answers);
        if take_fault(&mut faults.oversized_answers) {
            response.body = "x".repeat(OVERSIZED_BYTES);
        }
        response
    }

    fn service_time_of(&self, request: &Request<Bytes>) -> Duration {
        let requested = query_number(request, "ms").map(Duration::from_millis);
        let delay = Duration::from_millis(self.faults.borrow().delay_ms);
        requested.unwrap_or(self.service_time) + delay
    }

    fn handle_control(&self, endpoint: &str, request: &Request<Bytes>) -> WireResponse {
        let body = match (request.method(), endpoint) {
            (&Method::GET, "stats") => serde_json::to_string(&self.stats()),
            (&Method::POST, "faults") => {
                match serde_json::from_slice::<BackendFaults>(request.body()) {
                    Ok(faults) => {
                        // Excludes the last accepted connection, which carries this call.
                        if faults.silence_open {
                            self.last_unresponsive.set(self.accepted_count.get() - 1);
                        }
                        if faults.close_open {
                            self.last_closing.set(self.accepted_count.get() - 1);
                        }
                        self.faults.replace(faults);
                        Ok("null".to_owned())
                    }
                    Err(error) => return WireResponse::new(400, String::new(), error.to_string()),
                }
            }
            _ => return WireResponse::new(404, String::new(), "no such call".to_owned()),
        };
        WireResponse::new(200, String::new(), body.unwrap_or_default())
    }
}

/// An HTTP response as it is sent, including injected faults.
struct WireResponse {
    status: u16,
    request_id: String,
    body: String,
    /// Whether only the first half of the body is sent.
    truncated: bool,
    /// Whether the response is sent twice.
    duplicated: bool,
}

impl WireResponse {
    fn new(status: u16, request_id: String, body: String) -> Self {
        Self {
            status,
            request_id,
            body,
            truncated: false,
            duplicated: false,
        }
    }

    fn encode(&self) -> Vec<u8> {
        let head = format!(
            "HTTP/1.1 {} Status\r\ncontent-type: application/json\r\n{}: {}\r\ncontent-length: {}\r\n\r\n",
            self.status,
            header::REQUEST_ID,
            self.request_id,
            self.body.len()
        );
        let sent_bytes = if self.truncated {
            self.body.len() / 2
        } else {
            self.body.len()
        };
        let mut wire = [head.as_bytes(), &self.body.as_bytes()[..sent_bytes]].concat();
        if self.duplicated {
            wire.extend_from_within(..);
        }
        wire
    }
}

/// One accepted connection.
struct BackendConnection {
    decoder: RequestDecoder<OwnedReadHalf<TcpStream>>,
    writer: OwnedWriteHalf<TcpStream>,
    /// A request head that was received while an earlier request was running.
    pending_request: Option<Request<Payload>>,
    /// The position in the order of acceptance, counted from 1.
    number: u64,
}

impl BackendConnection {
    fn new(stream: TcpStream, number: u64) -> Self {
        let (reader, writer) = stream.into_split();
        Self {
            decoder: RequestDecoder::new(reader),
            writer,
            pending_request: None,
            number,
        }
    }

    async fn next_request(&mut self) -> Option<Request<Bytes>> {
        let head = match self.pending_request.take() {
            Some(head) => head,
            None => self.decoder.next().await?.ok()?,
        };
        let (parts, payload) = head.into_parts();
        let filled = self.decoder.fill_payload();
        let (filled, body): (Result<(), HttpError>, _) = join(filled, collect_body(payload)).await;
        filled.ok()?;
        Some(Request::from_parts(parts, body.ok()?))
    }

    /// Waits until the caller closes the connection.
    ///
    /// A pipelined request that arrives meanwhile is kept for [`Self::next_request`]; from then
    /// on a close is not detected.
    async fn wait_for_close(&mut self) {
        if self.pending_request.is_some() {
            return pending().await;
        }
        if let Some(Ok(head)) = self.decoder.next().await {
            self.pending_request = Some(head);
            pending().await
        }
    }

    /// Sends a response and returns whether the connection can be used further.
    async fn write(&mut self, response: WireResponse) -> bool {
        let (written, _) = self.writer.write_all(response.encode()).await;
        written.is_ok() && !response.truncated
    }
}

/// Keeps a connection open without a response.
///
/// Sleeps rather than waiting for ever: a task that nothing can wake would be
/// dropped, which closes its connection.
async fn keep_unresponsive() {
    sleep(UNRESPONSIVE_DURATION).await;
}

/// Decrements the number of faults left to inject and returns whether there was one.
fn take_fault(count: &mut u32) -> bool {
    let taken = *count > 0;
    *count -= u32::from(taken);
    taken
}

fn request_id(request: &Request<Bytes>) -> String {
    header_text(request, header::REQUEST_ID)
}

fn caller_id(request: &Request<Bytes>) -> String {
    header_text(request, header::CALLER_ID)
}

fn query_number(request: &Request<Bytes>, key: &str) -> Option<u64> {
    let query = request.uri().query()?;
    query
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(name, _)| *name == key)
        .and_then(|(_, value)| value.parse().ok())
}
