//! The backend server stand-in.

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

use crate::connection::exchange::collect;
use crate::id::HostId;
use crate::request::header;
use crate::request::header::header_text;
use crate::standin::BackendFaults;

const CONTROL_PREFIX: &str = "/-/";
const OVERSIZED_BYTES: usize = 64 * 1024 * 1024;
/// How long a silent connection stays open.
const SILENCE_TIME: Duration = Duration::from_secs(3_600);

/// What a backend server stand-in has seen.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
pub struct BackendStats {
    /// The requests run, by their callers' ids, in the order of their starts.
    pub executions: Vec<String>,
    /// The greatest number of requests in flight at once.
    pub most_in_flight: u32,
    /// The greatest number of connections open at once.
    pub most_connections: u32,
    /// The requests that found every slot taken.
    pub over_slots: u32,
    /// The requests whose caller went away before the answer.
    pub abandoned: u32,
    /// The requests in flight now.
    pub in_flight: u32,
}

/// Plays a backend server with a number of slots.
pub struct BackendStandin {
    host: HostId,
    slots: u32,
    service_time: Duration,
    keep_log: bool,
    faults: RefCell<BackendFaults>,
    stats: RefCell<BackendStats>,
    connections: Cell<u32>,
    silence_before: Cell<u64>,
    close_before: Cell<u64>,
    accepted: Cell<u64>,
}

impl BackendStandin {
    /// Creates a backend server on `host` whose requests take `service_time`.
    pub fn new(host: HostId, slots: u32, service_time: Duration) -> Self {
        Self {
            host,
            slots,
            service_time,
            keep_log: true,
            faults: RefCell::default(),
            stats: RefCell::default(),
            connections: Cell::new(0),
            silence_before: Cell::new(0),
            close_before: Cell::new(0),
            accepted: Cell::new(0),
        }
    }

    /// Makes the server keep no log of executions.
    #[must_use]
    pub fn without_execution_log(mut self) -> Self {
        self.keep_log = false;
        self
    }

    /// Returns what the server has seen.
    pub fn stats(&self) -> BackendStats {
        self.stats.borrow().clone()
    }

    /// Accepts connections for ever.
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
        self.accepted.set(self.accepted.get() + 1);
        let mut connection = BackendConnection::new(stream, self.accepted.get());
        self.connections.set(self.connections.get() + 1);
        {
            let mut stats = self.stats.borrow_mut();
            stats.most_connections = stats.most_connections.max(self.connections.get());
        }
        while let Some(request) = connection.next_request().await {
            let Some(answer) = self.answer(&mut connection, &request).await else {
                break;
            };
            if connection.number <= self.silence_before.get() {
                stay_silent().await;
            }
            let last = header_text(&request, "connection") == "close";
            if !connection.write(answer).await || last {
                break;
            }
        }
        self.connections.set(self.connections.get() - 1);
    }

    async fn answer(
        &self,
        connection: &mut BackendConnection,
        request: &Request<Bytes>,
    ) -> Option<WireAnswer> {
        if let Some(call) = request.uri().path().strip_prefix(CONTROL_PREFIX) {
            return Some(self.control(call, request));
        }
        if connection.number <= self.silence_before.get() {
            stay_silent().await;
        }
        if connection.number <= self.close_before.get() {
            return None;
        }
        if self.faults.borrow().fail_all {
            return Some(WireAnswer::new(
                500,
                request_id(request),
                "failed".to_owned(),
            ));
        }
        if !self.start(request) {
            return Some(WireAnswer::new(
                503,
                request_id(request),
                "no slot".to_owned(),
            ));
        }
        let worked = select(
            Box::pin(sleep(self.time_of(request))),
            Box::pin(connection.gone()),
        )
        .await;
        let gone = matches!(worked, Either::Right(_));
        drop(worked);
        let mut stats = self.stats.borrow_mut();
        stats.in_flight -= 1;
        if gone {
            stats.abandoned += 1;
            return None;
        }
        drop(stats);
        Some(self.finished(request))
    }

    /// Takes a slot for a request and notes that it runs.
    fn start(&self, request: &Request<Bytes>) -> bool {
        let mut stats = self.stats.borrow_mut();
        if stats.in_flight >= self.slots {
            stats.over_slots += 1;
            return false;
        }
        stats.in_flight += 1;
        stats.most_in_flight = stats.most_in_flight.max(stats.in_flight);
        if self.keep_log {
            stats.executions.push(caller_id(request));
        }
        true
    }

    fn finished(&self, request: &Request<Bytes>) -> WireAnswer {
        let body = json!({
            "host": self.host,
            "path": request.uri().path(),
            "caller": caller_id(request),
            "received": request.body().len(),
            "padding": "x".repeat(query_number(request, "size").unwrap_or(0) as usize),
        });
        let mut answer = WireAnswer::new(200, request_id(request), body.to_string());
        let mut faults = self.faults.borrow_mut();
        if take(&mut faults.half_answers) {
            answer.cut = true;
        }
        if take(&mut faults.crossed_answers) {
            answer.request_id = "another".to_owned();
            answer.body = json!({ "caller": "another" }).to_string();
        }
        answer.doubled = take(&mut faults.doubled_answers);
        if take(&mut faults.oversized_answers) {
            answer.body = "x".repeat(OVERSIZED_BYTES);
        }
        answer
    }

    fn time_of(&self, request: &Request<Bytes>) -> Duration {
        let asked = query_number(request, "ms").map(Duration::from_millis);
        let late = Duration::from_millis(self.faults.borrow().delay_ms);
        asked.unwrap_or(self.service_time) + late
    }

    fn control(&self, call: &str, request: &Request<Bytes>) -> WireAnswer {
        let body = match (request.method(), call) {
            (&Method::GET, "stats") => serde_json::to_string(&self.stats()),
            (&Method::POST, "faults") => {
                match serde_json::from_slice::<BackendFaults>(request.body()) {
                    Ok(faults) => {
                        if faults.silence_open {
                            self.silence_before.set(self.accepted.get() - 1);
                        }
                        if faults.close_open {
                            self.close_before.set(self.accepted.get() - 1);
                        }
                        self.faults.replace(faults);
                        Ok("null".to_owned())
                    }
                    Err(error) => return WireAnswer::new(400, String::new(), error.to_string()),
                }
            }
            _ => return WireAnswer::new(404, String::new(), "no such call".to_owned()),
        };
        WireAnswer::new(200, String::new(), body.unwrap_or_default())
    }
}

/// An answer as it goes over the wire, faults included.
struct WireAnswer {
    status: u16,
    request_id: String,
    body: String,
    cut: bool,
    doubled: bool,
}

impl WireAnswer {
    fn new(status: u16, request_id: String, body: String) -> Self {
        Self {
            status,
            request_id,
            body,
            cut: false,
            doubled: false,
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
        let kept = if self.cut {
            self.body.len() / 2
        } else {
            self.body.len()
        };
        let mut wire = [head.as_bytes(), &self.body.as_bytes()[..kept]].concat();
        if self.doubled {
            wire.extend_from_within(..);
        }
        wire
    }
}

/// One accepted connection of the stand-in.
struct BackendConnection {
    decoder: RequestDecoder<OwnedReadHalf<TcpStream>>,
    writer: OwnedWriteHalf<TcpStream>,
    next: Option<Request<Payload>>,
    number: u64,
}

impl BackendConnection {
    fn new(stream: TcpStream, number: u64) -> Self {
        let (reader, writer) = stream.into_split();
        Self {
            decoder: RequestDecoder::new(reader),
            writer,
            next: None,
            number,
        }
    }

    async fn next_request(&mut self) -> Option<Request<Bytes>> {
        let head = match self.next.take() {
            Some(head) => head,
            None => self.decoder.next().await?.ok()?,
        };
        let (parts, payload) = head.into_parts();
        let filled = self.decoder.fill_payload();
        let (filled, body): (Result<(), HttpError>, _) = join(filled, collect(payload)).await;
        filled.ok()?;
        Some(Request::from_parts(parts, body.ok()?))
    }

    /// Waits until the caller has closed the connection.
    async fn gone(&mut self) {
        if self.next.is_some() {
            return pending().await;
        }
        if let Some(Ok(head)) = self.decoder.next().await {
            self.next = Some(head);
            pending().await
        }
    }

    async fn write(&mut self, answer: WireAnswer) -> bool {
        let (written, _) = self.writer.write_all(answer.encode()).await;
        written.is_ok() && !answer.cut
    }
}

/// Keeps a connection open without an answer.
///
/// A task that nothing can wake would be dropped, and its connection closed.
async fn stay_silent() {
    sleep(SILENCE_TIME).await;
}

fn take(count: &mut u32) -> bool {
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
