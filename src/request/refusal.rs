//! Refusals of requests, as problem documents.

use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http::StatusCode;

use crate::connection::ExchangeError;
use crate::request::refusal_response;
use crate::request::RequestOutcome;

/// The default `Retry-After` delay, used when no slot is free or the platform is unavailable.
pub(crate) const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// An answer to the caller from zincpier itself, in place of a backend server's response.
pub(super) struct Refusal {
    pub(super) status: StatusCode,
    pub(super) outcome: RequestOutcome,
    pub(super) reason: String,
    /// The `Retry-After` delay; without one the header is left out.
    pub(super) retry_after: Option<Duration>,
}

impl Refusal {
    /// Refuses a request that has not run; the caller may retry after [`DEFAULT_RETRY_AFTER`].
    pub(super) fn not_run(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            status,
            outcome: RequestOutcome::NotRun,
            reason: reason.into(),
            retry_after: Some(DEFAULT_RETRY_AFTER),
        }
    }

    /// Refuses a request that may have run, without `Retry-After`.
    pub(super) fn unknown(status: StatusCode, reason: impl Into<String>) -> Self {
        Self {
            outcome: RequestOutcome::Unknown,
            retry_after: None,
            ..Self::not_run(status, reason)
        }
    }

    /// Refuses a request whose last attempt failed; `may_have_run` covers all of its attempts.
    pub(super) fn failed(error: &ExchangeError, may_have_run: bool) -> Self {
        let status = match error {
            ExchangeError::TimedOut => StatusCode::GATEWAY_TIMEOUT,
            ExchangeError::Frozen => StatusCode::SERVICE_UNAVAILABLE,
            ExchangeError::NotConnected(_)
            | ExchangeError::TooLarge(_)
            | ExchangeError::InvalidResponse(_) => StatusCode::BAD_GATEWAY,
        };
        match may_have_run {
            true => Self::unknown(status, error.to_string()),
            false => Self::not_run(status, error.to_string()),
        }
    }

    pub(super) fn into_response(self) -> Response<Bytes> {
        refusal_response(self.status, self.outcome, &self.reason, self.retry_after)
    }
}
