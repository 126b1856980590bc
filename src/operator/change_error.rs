//! Why an operator's change was not made.

use bytes::Bytes;
use http::StatusCode;
use serde::de::DeserializeOwned;

use crate::error::Error;

/// Why a change was not made.
#[derive(Debug)]
pub(super) enum ChangeError {
    /// The change makes no sense as things stand.
    Refused(StatusCode, String),
    /// The platform did not answer.
    Failed(Error),
}

/// What comes of a change.
pub(super) type ChangeResult<T> = std::result::Result<T, ChangeError>;

impl From<Error> for ChangeError {
    fn from(error: Error) -> Self {
        Self::Failed(error)
    }
}

/// Reads the body of a change.
///
/// # Errors
///
/// Returns a refusal that says what cannot be read.
pub(super) fn parse_body<T: DeserializeOwned>(body: &Bytes) -> ChangeResult<T> {
    serde_json::from_slice(body)
        .map_err(|error| ChangeError::Refused(StatusCode::BAD_REQUEST, error.to_string()))
}

/// Returns the refusal of a change that conflicts with how things stand.
pub(super) fn conflict(reason: &str) -> ChangeError {
    ChangeError::Refused(StatusCode::CONFLICT, reason.to_owned())
}
