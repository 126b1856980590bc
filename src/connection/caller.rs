//! HTTP/1 server for callers: accepts connections, checks and reads requests, sends responses.

use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;

use bytes::Bytes;
use futures::future::join;
use futures::future::select;
use futures::future::Either;
use http::header::CONNECTION;
use http::header::EXPECT;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http::Version;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpListener;
use monoio::net::TcpStream;
use monoio::time::timeout;
use monoio_http::common::error::HttpError;
use monoio_http::h1::codec::decoder::FillPayload;
use monoio_http::h1::codec::decoder::RequestDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use monoio_http::h1::payload::Payload;

use crate::connection::check_framing;
use crate::connection::exchange::collect_body;
use crate::connection::exchange::discard_body;
use crate::connection::exchange::fixed_body;
use crate::connection::limited_reader::LimitedReader;
use crate::connection::limited_reader::MessagePart;
use crate::connection::limited_reader::ReadBudget;
use crate::connection::limited_reader::ReadRefusal;
use crate::connection::BodyFraming;
use crate::connection::MessageLimits;
use crate::process::ShutdownSignal;
use crate::request::problem_response;

/// The maximum number of decoder reads that discard the rest of a refused message.
const MAX_DISCARD_READS: u32 = 3;

/// Handles the requests of a listener.
pub trait RequestHandler {
    /// Responds to one request, whose body is complete.
    fn handle(&self, request: Request<Bytes>) -> impl Future<Output = Response<Bytes>>;

    /// Returns the limits of new connections, if they differ from those of the listener.
    fn limits(&self) -> Option<MessageLimits> {
        None
    }
}

/// Response extension that closes the connection in place of sending the response.
#[derive(Clone, Copy, Debug)]
struct CloseConnection;

/// Returns a marker response for which the connection is closed and nothing is sent.
pub fn close_without_response() -> Response<Bytes> {
    let mut response = Response::new(Bytes::new());
    response.extensions_mut().insert(CloseConnection);
    response
}

/// Accepts connections until shutdown and serves each in its own task.
///
/// Connections above `connection_limit` are closed at once.
pub async fn accept_connections<H>(
    listener: TcpListener,
    handler: Rc<H>,
    limits: MessageLimits,
    connection_limit: usize,
    shutdown: ShutdownSignal,
) where
    H: RequestHandler + 'static,
{
    let open = Rc::new(Cell::new(0_usize));
    loop {
        let accepted = select(Box::pin(listener.accept()), Box::pin(shutdown.closing())).await;
        let Either::Left((accepted, _)) = accepted else {
            return;
        };
        let Ok((stream, _)) = accepted else {
            continue;
        };
        if open.get() >= connection_limit {
            continue;
        }
        open.set(open.get() + 1);
        let open = Rc::clone(&open);
        let handler = Rc::clone(&handler);
        let shutdown = shutdown.clone();
        let limits = handler.limits().unwrap_or(limits);
        monoio::spawn(async move {
            serve_connection(stream, handler.as_ref(), limits, shutdown).await;
            open.set(open.get() - 1);
        });
    }
}

/// Serves the requests of one connection in sequence until it closes.
pub async fn serve_connection<H: RequestHandler>(
    stream: TcpStream,
    handler: &H,
    limits: MessageLimits,
    shutdown: ShutdownSignal,
) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let mut connection = CallerConnection::new(stream, limits);
    loop {
        let request = match connection.next_request(&shutdown).await {
            NextRequest::Request(request) => request,
            NextRequest::Refuse(response, payload) => {
                connection.refuse_message(response, payload).await;
                return;
            }
            NextRequest::End => return,
        };
        let close_after = requests_close(&request);
        let _in_flight = shutdown.enter();
        let response = handler.handle(request).await;
        if response.extensions().get::<CloseConnection>().is_some() {
            return;
        }
        let close_after = close_after || shutdown.is_closing() || has_connection_close(&response);
        if !connection.respond(response, close_after).await || close_after {
            return;
        }
    }
}

/// The next event on a caller's connection.
enum NextRequest {
    /// A complete request.
    Request(Request<Bytes>),
    /// A message to refuse before the connection closes, with its body if still unread.
    Refuse(Response<Bytes>, Option<Payload>),
    /// The connection ended, broke, or stayed idle until its time limit or the shutdown. It is
    /// closed without a response.
    End,
}

struct CallerConnection {
    decoder: RequestDecoder<LimitedReader<OwnedReadHalf<TcpStream>>>,
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    budget: Rc<ReadBudget>,
    limits: MessageLimits,
}

impl CallerConnection {
    fn new(stream: TcpStream, limits: MessageLimits) -> Self {
        let budget = ReadBudget::new(limits);
        let (reader, writer) = stream.into_split();
        let reader = LimitedReader::new(reader, Rc::clone(&budget));
        Self {
            decoder: RequestDecoder::new(reader),
            encoder: GenericEncoder::new(writer),
            budget,
            limits,
        }
    }

    /// Reads the next request. On shutdown an idle connection ends, while a request whose head has
    /// started to arrive is still read.
    async fn next_request(&mut self, shutdown: &ShutdownSignal) -> NextRequest {
        self.budget.start_idle();
        let budget = Rc::clone(&self.budget);
        let next = Box::pin(self.decoder.next());
        let head = match select(next, Box::pin(shutdown.closing())).await {
            Either::Left((head, _)) => head,
            Either::Right(((), next)) if budget.part() == MessagePart::Idle => {
                drop(next);
                return NextRequest::End;
            }
            Either::Right(((), next)) => next.await,
        };
        match head {
            None => NextRequest::End,
            Some(Ok(head)) => self.read_body(head).await,
            Some(Err(error)) => self.classify_read_error(&error),
        }
    }

    async fn read_body(&mut self, head: Request<Payload>) -> NextRequest {
        if let Some(refusal) = check_head(&head, self.limits.body_bytes) {
            return NextRequest::Refuse(refusal, Some(head.into_body()));
        }
        self.budget.start_body();
        let (parts, payload) = head.into_parts();
        let filled = self.decoder.fill_payload();
        let (filled, body) = join(filled, collect_body(payload)).await;
        if let Err(error) = filled {
            return self.classify_read_error(&error);
        }
        match body {
            Ok(body) => NextRequest::Request(Request::from_parts(parts, body)),
            Err(_) => NextRequest::Refuse(bad_request("the body cannot be read"), None),
        }
    }

    /// Returns how to end the connection after a read error: by a refusal that names the exceeded
    /// limit, or without a response if it was idle or is broken.
    fn classify_read_error(&self, error: &HttpError) -> NextRequest {
        let (status, reason) = match self.budget.refusal() {
            Some(ReadRefusal::TooSlow(MessagePart::Idle)) => return NextRequest::End,
            Some(ReadRefusal::TooSlow(_)) => {
                (StatusCode::REQUEST_TIMEOUT, "the request took too long")
            }
            Some(ReadRefusal::TooLarge(MessagePart::Body)) => {
                (StatusCode::PAYLOAD_TOO_LARGE, "the body is too large")
            }
            Some(ReadRefusal::TooLarge(_)) => (
                StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
                "the head is too large",
            ),
            None if matches!(error, HttpError::IOError(_)) => return NextRequest::End,
            None => (StatusCode::BAD_REQUEST, "the request cannot be read"),
        };
        NextRequest::Refuse(problem_response(status, reason), None)
    }

    /// Responds to a refused message, discards the rest of it and closes.
    ///
    /// Closing a socket with unread bytes resets the connection, which may lose the response.
    async fn refuse_message(&mut self, response: Response<Bytes>, payload: Option<Payload>) {
        if !self.send(response, true).await {
            return;
        }
        self.budget.start_discard();
        match payload {
            // The message is already refused, so errors in the rest of it do not matter.
            Some(payload) => drop(join(self.decoder.fill_payload(), discard_body(payload)).await),
            None => {
                // After an error the decoder first yields the end of the stream, then reads again.
                for _ in 0..MAX_DISCARD_READS {
                    if self.budget.part() == MessagePart::Refused {
                        drop(self.decoder.next().await);
                    }
                }
            }
        }
        self.close().await;
    }

    /// Writes a response, then closes if `close_after`; returns whether it was fully written.
    async fn respond(&mut self, response: Response<Bytes>, close_after: bool) -> bool {
        let sent = self.send(response, close_after).await;
        if close_after {
            self.close().await;
        }
        sent
    }

    /// Closes the sending side.
    async fn close(&mut self) {
        let closed = monoio::io::sink::Sink::<Response<monoio_http::common::body::HttpBody>>::close(
            &mut self.encoder,
        );
        // The connection is dropped whether or not the close succeeds.
        let _ = timeout(self.limits.write, closed).await;
    }

    /// Writes a response, with `Connection: close` if `close_after`; returns whether it was fully
    /// written.
    async fn send(&mut self, mut response: Response<Bytes>, close_after: bool) -> bool {
        if close_after {
            response
                .headers_mut()
                .insert(CONNECTION, HeaderValue::from_static("close"));
        }
        let response = response.map(fixed_body);
        let sent = timeout(self.limits.write, self.encoder.send_and_flush(response)).await;
        matches!(sent, Ok(Ok(())))
    }
}

/// Returns the refusal of a head with ambiguous framing, a body over the limit, an `Expect` header
/// or an unsupported method.
fn check_head(head: &Request<Payload>, body_limit: usize) -> Option<Response<Bytes>> {
    match check_framing(head.version(), head.headers()) {
        Err(error) => return Some(bad_request(&error.to_string())),
        Ok(BodyFraming::Length(length)) if length > body_limit as u64 => {
            let reason = "the body is too large";
            return Some(problem_response(StatusCode::PAYLOAD_TOO_LARGE, reason));
        }
        Ok(_) => {}
    }
    if head.headers().contains_key(EXPECT) {
        let reason = "'Expect' is not supported";
        return Some(problem_response(StatusCode::EXPECTATION_FAILED, reason));
    }
    let unsupported = [Method::CONNECT, Method::HEAD, Method::TRACE];
    if unsupported.contains(head.method()) {
        let reason = "this method is not supported";
        return Some(problem_response(StatusCode::NOT_IMPLEMENTED, reason));
    }
    None
}

fn bad_request(reason: &str) -> Response<Bytes> {
    problem_response(StatusCode::BAD_REQUEST, reason)
}

fn requests_close(request: &Request<Bytes>) -> bool {
    request.version() < Version::HTTP_11 || is_close_option(request.headers().get(CONNECTION))
}

fn has_connection_close(response: &Response<Bytes>) -> bool {
    is_close_option(response.headers().get(CONNECTION))
}

fn is_close_option(value: Option<&HeaderValue>) -> bool {
    value.is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}
