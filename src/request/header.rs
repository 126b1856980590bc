//! The names of the headers that zincpier reads and writes.

use bytes::Bytes;
use http::Request;

/// Names a request across its caller's retries.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Names the attempt towards a backend server, which echoes it.
pub const REQUEST_ID: &str = "x-request-id";
/// Names the caller's request, for the caller's own use; passed on as it is.
pub const CALLER_ID: &str = "x-caller-id";
/// Names the customer on whose behalf the request is made.
pub const CUSTOMER: &str = "zincpier-customer";
/// The time the request has, in milliseconds.
pub const DEADLINE_MS: &str = "zincpier-deadline-ms";
/// What became of a request that zincpier answers itself.
pub const OUTCOME: &str = "zincpier-outcome";
/// The data centre of the caller, when it is not the entry host's.
pub const DATA_CENTRE: &str = "zincpier-data-centre";

/// Returns a header as text, empty if it is absent or is no text.
pub(crate) fn header_text(request: &Request<Bytes>, name: &str) -> String {
    let value = request.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
        .to_owned()
}
