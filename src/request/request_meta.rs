//! Request metadata: deadline, priority, customer, idempotency key and retryability.

use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use monoio::time::Instant;

use crate::id::CustomerId;
use crate::id::DataCentreId;
use crate::request::header;
use crate::version::Service;

/// The maximum time allowed for a request; longer times are shortened to it.
const MAX_DEADLINE: Duration = Duration::from_secs(60);
/// The maximum length of an idempotency key; longer ones are refused.
const MAX_KEY_BYTES: usize = 255;

/// The properties of a request that follow from its headers, method, path and service.
#[derive(Clone, Debug)]
pub struct RequestMeta {
    /// The time at which the caller stops waiting.
    pub deadline: Instant,
    /// The customer on whose behalf the request is made.
    pub customer: Option<CustomerId>,
    /// The data centre whose backend servers are preferred; `None` for that of the entry host.
    pub data_centre: Option<DataCentreId>,
    /// Identifies the request across its caller's retries; 1 to 255 bytes.
    pub idempotency_key: Option<Bytes>,
    /// Whether the request is queued before requests that are not urgent.
    pub urgent: bool,
    /// Whether the request may be retried after an attempt that may have run.
    pub retryable: bool,
}

impl RequestMeta {
    /// Parses the metadata of a request to `service`.
    ///
    /// # Errors
    ///
    /// Returns the reason why a header is invalid.
    pub fn new(request: &Request<Bytes>, service: &Service) -> Result<Self, String> {
        let path = request.uri().path();
        let time = match parse_header::<u64>(request, header::DEADLINE_MS)? {
            Some(millis) => Duration::from_millis(millis).min(MAX_DEADLINE),
            None => service.deadline,
        };
        let idempotency_key = parse_idempotency_key(request)?;
        let idempotent = is_idempotent(request.method());
        Ok(Self {
            deadline: Instant::now() + time,
            customer: parse_header(request, header::CUSTOMER)?,
            data_centre: parse_header(request, header::DATA_CENTRE)?,
            idempotency_key,
            urgent: service.is_urgent(path),
            retryable: idempotent && !service.is_at_most_once(path),
        })
    }
}

fn is_idempotent(method: &Method) -> bool {
    [Method::GET, Method::PUT, Method::DELETE, Method::OPTIONS].contains(method)
}

fn parse_idempotency_key(request: &Request<Bytes>) -> Result<Option<Bytes>, String> {
    let mut keys = request.headers().get_all(header::IDEMPOTENCY_KEY).iter();
    let Some(key) = keys.next() else {
        return Ok(None);
    };
    if keys.next().is_some() || key.is_empty() || key.len() > MAX_KEY_BYTES {
        return Err(format!(
            "'{}' is one value of 1 to {MAX_KEY_BYTES} bytes",
            header::IDEMPOTENCY_KEY
        ));
    }
    Ok(Some(Bytes::copy_from_slice(key.as_bytes())))
}

fn parse_header<T: std::str::FromStr>(
    request: &Request<Bytes>,
    name: &str,
) -> Result<Option<T>, String> {
    let Some(value) = request.headers().get(name) else {
        return Ok(None);
    };
    value
        .to_str()
        .ok()
        .and_then(|text| text.parse().ok())
        .map(Some)
        .ok_or_else(|| format!("'{name}' cannot be read"))
}
