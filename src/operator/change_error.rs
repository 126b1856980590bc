//! Errors of changes requested by operators.

use bytes::Bytes;
use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::error::Error;

#[derive(Debug)]
pub(super) enum ChangeError {
    /// The change is invalid or conflicts with the current state; holds the HTTP status and the
    /// reason for the response.
    Refused(StatusCode, String),
    /// The platform could not be reached or returned an error.
    Failed(Error),
}

pub(super) type ChangeResult<T> = std::result::Result<T, ChangeError>;

impl From<Error> for ChangeError {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

/// Parses the JSON body of a change.
///
/// # Errors
///
/// Returns a 400 refusal with the parse error.
pub(super) fn parse_body<T: DeserializeOwned>(body: &Bytes) -> ChangeResult<T> {
    serde_json::from_slice(body)
        .map_err(|error| ChangeError::Refused(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Returns a 409 refusal: the change conflicts with the current state.
pub(super) fn conflict(reason: &str) -> ChangeError {
    ChangeError::Refused(StatusCode::CONFLICT, reason.to_owned())
}
