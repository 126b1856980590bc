//! HTTP headers that zincpier reads and writes.

use bytes::Bytes;
use http::Request;

/// Identifies a request across its caller's retries.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Identifies one attempt at a backend server; set by zincpier and echoed by the server.
pub const REQUEST_ID: &str = "x-request-id";
/// The caller's own id of the request; forwarded unchanged.
pub const CALLER_ID: &str = "x-caller-id";
/// The customer on whose behalf the request is made.
pub const CUSTOMER: &str = "zincpier-customer";
/// The time allowed for the request from its receipt, in milliseconds; capped at 60 s.
pub const DEADLINE_MS: &str = "zincpier-deadline-ms";
/// The outcome of a request that zincpier answers itself.
pub const OUTCOME: &str = "zincpier-outcome";
/// The data centre whose backend servers are preferred; by default that of the entry host.
pub const DATA_CENTRE: &str = "zincpier-data-centre";

/// Returns a header value, or an empty string if it is absent or not visible ASCII.
pub(crate) fn header_text(request: &Request<Bytes>, name: &str) -> String {
    let value = request.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
