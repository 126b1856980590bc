//! Headers and responses shared by the operator and job APIs.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use serde::Serialize;

use crate::error::Error;
use crate::request::problem_response;

/// Request header with the operator's name for the audit trail; set by the operator client.
pub(crate) const OPERATOR_HEADER: &str = "zincpier-who";

/// Serializes `value` into a JSON response; a serialization failure becomes a 500 problem.
pub(crate) fn json_response(value: &impl Serialize) -> Response<Bytes> {
    match serde_json::to_vec(value) {
        Ok(body) => {
            let mut response = Response::new(Bytes::from(body));
            response
                .headers_mut()
                .insert(CONTENT_TYPE, HeaderValue::from_static("application/json"));
            response
        }
        Err(error) => problem_response(StatusCode::INTERNAL_SERVER_ERROR, &error.to_string()),
    }
}

/// Converts an error to a problem response: 422 for findings in a service text,
/// 503 for anything else.
pub(crate) fn error_response(error: &Error) -> Response<Bytes> {
    let status = match error {
        Error::Findings(_) => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    problem_response(status, &error.to_string())
}
