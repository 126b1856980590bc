//! Problem documents (RFC 9457), the body of every refusal.

use std::time::Duration;

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::header::RETRY_AFTER;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use serde_json::json;

use crate::request::header;
use crate::request::RequestOutcome;

/// Returns a refusal of a request that has not run, without `Retry-After`.
pub fn problem_response(status: StatusCode, reason: &str) -> Response<Bytes> {
    refusal_response(status, RequestOutcome::NotRun, reason, None)
}

/// Returns a refusal with the outcome of the request; `retry_after` is rounded up to whole
/// seconds, at least 1.
pub fn refusal_response(
    status: StatusCode,
    outcome: RequestOutcome,
    reason: &str,
    retry_after: Option<Duration>,
) -> Response<Bytes> {
    let document = json!({
        "title": status.canonical_reason().unwrap_or_default(),
        "status": status.as_u16(),
        "detail": reason,
        "outcome": outcome.as_str(),
    });
    let mut response = Response::new(Bytes::from(document.to_string()));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(
        CONTENT_TYPE,
        HeaderValue::from_static("application/problem+json"),
    );
    headers.insert(header::OUTCOME, HeaderValue::from_static(outcome.as_str()));
    if let Some(time) = retry_after {
        let seconds = time.as_millis().div_ceil(1_000).max(1) as u64;
        headers.insert(RETRY_AFTER, HeaderValue::from(seconds));
    }
    response
}
