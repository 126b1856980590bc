//! What the parts of the operators' interface share: headers and answers.

use bytes::Bytes;
use http::header::CONTENT_TYPE;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use serde::Serialize;

use crate::error::Error;
use crate::request::problem_response;

/// The header that names the operator, for the audit trail.
pub(crate) const OPERATOR_HEADER: &str = "zincpier-who";

/// Returns an answer with a JSON body.
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

/// Returns the answer that tells of an error.
pub(crate) fn error_response(error: &Error) -> Response<Bytes> {
    let status = match error {
        Error::Findings(_) => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    };
    problem_response(status, &error.to_string())
}
