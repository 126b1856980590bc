//! HTTP/1 client connection that carries one request at a time.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures::future::join;
use futures::FutureExt;
use http::header::CONNECTION;
use http::header::CONTENT_LENGTH;
use http::header::TRANSFER_ENCODING;
use http::Request;
use http::Response;
use http::StatusCode;
use monoio::io::sink::SinkExt;
use monoio::io::stream::Stream;
use monoio::io::OwnedReadHalf;
use monoio::io::OwnedWriteHalf;
use monoio::io::Splitable;
use monoio::net::TcpStream;
use monoio::time::timeout_at;
use monoio::time::Instant;
use monoio_http::common::body::Body;
use monoio_http::common::body::FixedBody;
use monoio_http::common::body::HttpBody;
use monoio_http::h1::codec::decoder::FillPayload;
use monoio_http::h1::codec::decoder::ResponseDecoder;
use monoio_http::h1::codec::encoder::GenericEncoder;
use thiserror::Error;

use crate::connection::check_framing;
use crate::connection::dial::connect;
use crate::connection::limited_reader::LimitedReader;
use crate::connection::limited_reader::ReadBudget;
use crate::connection::limited_reader::ReadRefusal;
use crate::connection::BodyFraming;
use crate::connection::BodyTime;
use crate::connection::MessageLimits;
use crate::connection::ResponseLimits;

// TCP keep-alive breaks an idle connection about 8 s after its server became unreachable.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(5);
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE_PROBES: u32 = 3;

/// Why an exchange gave no complete response.
#[derive(Clone, Debug, Error)]
pub enum ExchangeError {
    /// No connection could be established, so nothing was sent.
    #[error("cannot connect: {0}")]
    NotConnected(String),
    /// The process was frozen, so its state may be stale; nothing was sent.
    #[error("the entry host was paused")]
    Frozen,
    /// The deadline passed after sending had started.
    #[error("no whole answer in time")]
    TimedOut,
    /// The response exceeds a limit on size, that of the part named here.
    #[error("the answer is too large: {0}")]
    TooLarge(String),
    /// The connection ended early, or the response is malformed or belongs to another request.
    #[error("the answer is not whole: {0}")]
    InvalidResponse(String),
}

impl ExchangeError {
    /// Returns whether the server may have received any part of the request.
    pub fn may_have_run(&self) -> bool {
        !matches!(self, Self::NotConnected(_) | Self::Frozen)
    }
}

/// A client connection with at most one request in flight.
///
/// The connection must not be used again after an error.
pub struct HttpConnection {
    decoder: ResponseDecoder<LimitedReader<OwnedReadHalf<TcpStream>>>,
    encoder: GenericEncoder<OwnedWriteHalf<TcpStream>>,
    budget: Rc<ReadBudget>,
    last_used: Instant,
    reusable: bool,
}

impl HttpConnection {
    /// Connects to `address` before `deadline`. TCP keep-alive watches the connection while it is
    /// idle.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotConnected`] if the connection is refused or not established in
    /// time.
    pub async fn dial(
        address: SocketAddr,
        limits: MessageLimits,
        deadline: Instant,
    ) -> Result<Self, ExchangeError> {
        let stream = Self::connect_until(address, deadline).await?;
        let keep_alive = stream.set_tcp_keepalive(
            Some(KEEPALIVE_IDLE),
            Some(KEEPALIVE_INTERVAL),
            Some(KEEPALIVE_PROBES),
        );
        keep_alive.map_err(|error| ExchangeError::NotConnected(error.to_string()))?;
        Ok(Self::new(stream, limits))
    }

    /// Like [`HttpConnection::dial`], without TCP keep-alive, whose options are a quarter of a
    /// connection's system calls. For servers that are called so often that a call notices first that
    /// one is unreachable.
    ///
    /// # Errors
    ///
    /// Returns [`ExchangeError::NotConnected`] if the connection is refused or not established in
    /// time.
    pub(crate) async fn dial_unwatched(
        address: SocketAddr,
        limits: MessageLimits,
        deadline: Instant,
    ) -> Result<Self, ExchangeError> {
        let stream = Self::connect_until(address, deadline).await?;
        Ok(Self::new(stream, limits))
    }

    async fn connect_until(
        address: SocketAddr,
        deadline: Instant,
    ) -> Result<TcpStream, ExchangeError> {
        let stream = timeout_at(deadline, connect(address))
            .await
            .map_err(|_| ExchangeError::NotConnected("no answer in time".to_owned()))?
            .map_err(|error| ExchangeError::NotConnected(error.to_string()))?;
        stream
            .set_nodelay(true)
            .map_err(|error| ExchangeError::NotConnected(error.to_string()))?;
        Ok(stream)
    }

    fn new(stream: TcpStream, limits: MessageLimits) -> Self {
        let budget = ReadBudget::new(limits);
        let (reader, writer) = stream.into_split();
        let reader = LimitedReader::new(reader, Rc::clone(&budget));
        Self {
            decoder: ResponseDecoder::new(reader),
            encoder: GenericEncoder::new(writer),
            budget,
            last_used: Instant::now(),
            reusable: true,
        }
    }

    /// Returns when the last response completed, or when the connection was established.
    pub fn last_used(&self) -> Instant {
        self.last_used
    }

    /// Returns whether the connection is reusable, still open and has no unread bytes.
    pub fn is_open_and_idle(&mut self) -> bool {
        self.budget.start_idle();
        // The decoder yields at once if unread bytes or the end of the stream have arrived.
        self.reusable && self.decoder.next().now_or_never().is_none()
    }

    /// Sends a request and waits for the complete response until `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrived; the request may then have run.
    pub async fn exchange(
        &mut self,
        request: Request<Bytes>,
        deadline: Instant,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let limits = ResponseLimits::new(deadline.saturating_duration_since(Instant::now()));
        self.exchange_within(request, deadline, &limits).await
    }

    /// Like [`HttpConnection::exchange`], with the limits on a response that has begun by
    /// `deadline`.
    ///
    /// # Errors
    ///
    /// Returns an error if no complete response arrived; the request may then have run.
    pub async fn exchange_within(
        &mut self,
        request: Request<Bytes>,
        deadline: Instant,
        limits: &ResponseLimits,
    ) -> Result<Response<Bytes>, ExchangeError> {
        self.reusable = false;
        let last_deadline = self.budget.start_response(deadline, limits.silence);
        let sent = timeout_at(deadline, self.send_request(request)).await;
        sent.map_err(|_| ExchangeError::TimedOut)??;
        let response = match last_deadline {
            None => self.read_response(limits).await,
            Some(last_deadline) => timeout_at(last_deadline, self.read_response(limits))
                .await
                .map_err(|_| ExchangeError::TimedOut)?,
        };
        let response = response?;
        self.last_used = Instant::now();
        self.reusable = !has_connection_close(&response);
        Ok(response)
    }

    /// Returns whether the last exchange completed and the server keeps the connection open.
    pub fn is_reusable(&self) -> bool {
        self.reusable
    }

    async fn send_request(&mut self, request: Request<Bytes>) -> Result<(), ExchangeError> {
        let request = request.map(fixed_body);
        self.encoder
            .send_and_flush(request)
            .await
            .map_err(|error| ExchangeError::InvalidResponse(error.to_string()))
    }

    async fn read_response(
        &mut self,
        limits: &ResponseLimits,
    ) -> Result<Response<Bytes>, ExchangeError> {
        let response = self.decoder.next().await;
        let response = response
            .ok_or_else(|| self.decode_error("the connection ended"))?
            .map_err(|error| self.decode_error(&error.to_string()))?;
        let framing = check_framing(response.version(), response.headers())
            .map_err(|error| ExchangeError::InvalidResponse(error.to_string()))?;
        if framing == BodyFraming::Empty && response.status() != StatusCode::NO_CONTENT {
            return Err(ExchangeError::InvalidResponse(
                "the answer has no length".to_owned(),
            ));
        }
        self.budget.start_body();
        if response.status().is_success() {
            self.budget.report_to(limits.clock.clone());
        }
        let body_started = Instant::now();
        let (mut parts, payload) = response.into_parts();
        let filled = self.decoder.fill_payload();
        let (filled, body) = join(filled, collect_body(payload)).await;
        let body = body.map_err(|error| self.decode_error(&error))?;
        filled.map_err(|error| self.decode_error(&error.to_string()))?;
        let body_time = BodyTime::new(body_started.elapsed());
        parts.extensions.insert(body_time);
        Ok(Response::from_parts(parts, body))
    }

    /// Returns the error of a failed read: the limit that it exceeded, otherwise `reason`.
    fn decode_error(&self, reason: &str) -> ExchangeError {
        match self.budget.refusal() {
            Some(ReadRefusal::TooSlow(_)) => ExchangeError::TimedOut,
            Some(ReadRefusal::TooLarge(part)) => ExchangeError::TooLarge(format!("{part:?}")),
            None => ExchangeError::InvalidResponse(reason.to_owned()),
        }
    }
}

/// Reads a complete body into one buffer.
pub(crate) async fn collect_body<B>(mut body: B) -> Result<Bytes, String>
where
    B: Body<Data = Bytes>,
    B::Error: ToString,
{
    let mut collected: Option<Bytes> = None;
    while let Some(part) = body.next_data().await {
        let part = part.map_err(|error| error.to_string())?;
        collected = Some(match collected {
            None => part,
            Some(previous) => {
                let mut joined = BytesMut::from(previous);
                joined.extend_from_slice(&part);
                joined.freeze()
            }
        });
    }
    Ok(collected.unwrap_or_default())
}

/// Reads a body to its end and discards it.
pub(crate) async fn discard_body<B>(mut body: B)
where
    B: Body<Data = Bytes>,
{
    while let Some(Ok(_)) = body.next_data().await {}
}

/// Wraps bytes in a body of known length, for which the encoder writes `Content-Length`.
pub(crate) fn fixed_body(bytes: Bytes) -> HttpBody {
    HttpBody::fixed_body(Some(bytes))
}

fn has_connection_close(response: &Response<Bytes>) -> bool {
    response
        .headers()
        .get(CONNECTION)
        .is_some_and(|value| value.as_bytes().eq_ignore_ascii_case(b"close"))
}

/// Removes hop-by-hop headers and `Content-Length`, which the encoder sets from the body.
pub(crate) fn strip_hop_headers(headers: &mut http::HeaderMap) {
    for name in [
        CONNECTION,
        CONTENT_LENGTH,
        TRANSFER_ENCODING,
        http::header::TE,
        http::header::TRAILER,
        http::header::UPGRADE,
        http::header::PROXY_AUTHORIZATION,
    ] {
        headers.remove(name);
    }
    headers.remove("keep-alive");
}
