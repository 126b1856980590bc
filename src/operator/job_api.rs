//! HTTP API for jobs, served on the caller and the operator listener.

use std::rc::Rc;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde_json::json;

use crate::error::Error;
use crate::error::Result;
use crate::id::JobId;
use crate::job::JobSpec;
use crate::job::ENDED_PREFIX;
use crate::job::OPEN_PREFIX;
use crate::operator::api_answer::error_response;
use crate::operator::api_answer::json_response;
use crate::operator::JobSummary;
use crate::process::DaemonParts;
use crate::request::hash_parts;
use crate::request::header;
use crate::request::header::header_text;
use crate::request::problem_response;
use crate::request::refusal_response;
use crate::request::RequestOutcome;
use crate::request::DEFAULT_RETRY_AFTER;

/// Maximum jobs on one page of a list.
const MAX_LISTED_JOBS: usize = 1_000;
/// Maximum jobs in one cancel request; a request with more is answered with status 400.
const MAX_CANCELLED_JOBS: usize = 10_000;

#[derive(Deserialize)]
struct JobCancelRequest {
    jobs: Vec<JobId>,
}

/// Request handler of the job API.
pub struct JobApi {
    parts: Rc<DaemonParts>,
}

impl JobApi {
    /// Creates a handler that uses the daemon's components.
    pub fn new(parts: Rc<DaemonParts>) -> Self {
        Self { parts }
    }

    /// Handles a request; `segments` are the segments of its path after `jobs`.
    pub async fn answer(&self, request: &Request<Bytes>, segments: &[&str]) -> Response<Bytes> {
        let answer = match (request.method(), segments) {
            (&Method::POST, []) => self.submit(request).await,
            (&Method::POST, ["cancel"]) => self.cancel(request).await,
            (&Method::GET, ["open"]) => self.list(request, OPEN_PREFIX).await,
            (&Method::GET, ["ended"]) => self.list(request, ENDED_PREFIX).await,
            (&Method::GET, [id]) => self.show(id).await,
            _ => Ok(problem_response(StatusCode::NOT_FOUND, "no such call")),
        };
        answer.unwrap_or_else(|error| error_response(&error))
    }

    async fn submit(&self, request: &Request<Bytes>) -> Result<Response<Bytes>> {
        let key = header_text(request, header::IDEMPOTENCY_KEY);
        if key.is_empty() {
            return Ok(bad_request("the idempotency key is missing"));
        }
        let spec = match serde_json::from_slice::<JobSpec>(request.body()) {
            Ok(spec) => spec,
            Err(error) => return Ok(bad_request(&error.to_string())),
        };
        let Ok(id) = hash_parts(&[spec.team.as_str().as_bytes(), key.as_bytes()]).parse() else {
            return Ok(bad_request("the idempotency key cannot be used"));
        };
        let outcome = self.parts.jobs.submit(id, spec).await;
        let record = match outcome {
            Ok(Some(record)) => record,
            Ok(None) => {
                let reason = "the idempotency key was used for another job";
                return Ok(problem_response(StatusCode::UNPROCESSABLE_ENTITY, reason));
            }
            Err(error) => return Ok(unknown_outcome_response(&error)),
        };
        self.notify_controller().await;
        let mut answer = json_response(&JobSummary::new(&record));
        *answer.status_mut() = StatusCode::ACCEPTED;
        Ok(answer)
    }

    async fn cancel(&self, request: &Request<Bytes>) -> Result<Response<Bytes>> {
        let cancel_request = match serde_json::from_slice::<JobCancelRequest>(request.body()) {
            Ok(cancel_request) if cancel_request.jobs.len() <= MAX_CANCELLED_JOBS => cancel_request,
            Ok(_) => return Ok(bad_request("too many jobs for one call")),
            Err(error) => return Ok(bad_request(&error.to_string())),
        };
        let cancelled = self.parts.jobs.cancel(&cancel_request.jobs).await?;
        self.notify_controller().await;
        Ok(json_response(&json!({ "cancelled": cancelled })))
    }

    async fn show(&self, id: &str) -> Result<Response<Bytes>> {
        let Ok(id) = id.parse() else {
            return Ok(bad_request("this is no job's name"));
        };
        let record = self.parts.jobs.show(&id).await?;
        Ok(match record {
            Some(record) => json_response(&JobSummary::new(&record)),
            None => problem_response(StatusCode::NOT_FOUND, "no such job"),
        })
    }

    async fn list(&self, request: &Request<Bytes>, prefix: &str) -> Result<Response<Bytes>> {
        let query = request.uri().query().unwrap_or_default();
        let after = query.strip_prefix("after=").unwrap_or_default();
        let after = match after {
            "" => String::new(),
            id => format!("{prefix}{id}"),
        };
        let listed = self
            .parts
            .jobs
            .list(prefix, &after, MAX_LISTED_JOBS)
            .await?;
        let listed = listed.iter().map(JobSummary::new).collect::<Vec<_>>();
        Ok(json_response(&listed))
    }

    /// Notifies the job controller of a change, on a best-effort basis.
    ///
    /// A controller that misses the notification reads the change at its next poll of the table.
    async fn notify_controller(&self) {
        let state = &self.parts.state;
        if self.parts.lease.epoch().is_some() {
            return state.wake_jobs();
        }
        if let Ok(Some(holder)) = self.parts.lease.holder().await {
            state.wake_jobs_at(&holder);
        }
    }
}

/// Returns the response to a submission whose outcome is unknown: the job may have been recorded.
/// Repeating the submission is safe, since its idempotency key determines the job id.
fn unknown_outcome_response(error: &Error) -> Response<Bytes> {
    let status = StatusCode::SERVICE_UNAVAILABLE;
    let reason = error.to_string();
    refusal_response(
        status,
        RequestOutcome::Unknown,
        &reason,
        Some(DEFAULT_RETRY_AFTER),
    )
}

fn bad_request(reason: &str) -> Response<Bytes> {
    problem_response(StatusCode::BAD_REQUEST, reason)
}
