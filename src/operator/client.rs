//! Client of a daemon's operator listener.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use serde::de::DeserializeOwned;
use serde_json::Value;

use crate::connection::HttpClient;
use crate::error::Error;
use crate::error::Result;
use crate::id::Revision;
use crate::job::JobSpec;
use crate::operator::api::REPLACES_HEADER;
use crate::operator::api_answer::OPERATOR_HEADER;
use crate::operator::JobSummary;
use crate::operator::StatusReport;
use crate::operator::TOKEN_HEADER;
use crate::provider::TableRow;
use crate::request::header;

/// Time limit for one request, until its answer is complete.
const CALL_TIMEOUT: Duration = Duration::from_secs(15);

/// Client of one daemon's operator listener.
pub struct OperatorClient {
    client: HttpClient,
    token: String,
    who: String,
}

impl OperatorClient {
    /// Creates a read-only client, without a token.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            client: HttpClient::new(address),
            token: String::new(),
            who: String::new(),
        }
    }

    /// Sets the token that permits changes and the operator name (`who`) for the audit trail.
    #[must_use]
    pub fn with_token(mut self, token: &str, who: &str) -> Self {
        self.token = token.to_owned();
        self.who = who.to_owned();
        self
    }

    /// Fetches the daemon's view of entry hosts and services.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer or its answer cannot be decoded.
    pub async fn status(&self) -> Result<StatusReport> {
        self.get("/status").await
    }

    /// Fetches a page of at most 1000 audit rows whose keys are greater than `after`, in key order.
    ///
    /// An empty `after` starts at the first row; an empty page means that there are no more.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon or the platform does not answer, or the answer cannot be
    /// decoded.
    pub async fn audit(&self, after: &str) -> Result<Vec<TableRow>> {
        self.get(&format!("/audit?after={after}")).await
    }

    /// Fetches the latest service text and its revision; an empty text with revision 0 if none has
    /// been applied.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer or refuses the request.
    pub async fn text(&self) -> Result<(Revision, String)> {
        let answer = self.call(Method::GET, "/text", Bytes::new()).await?;
        let revision = answer
            .headers()
            .get(REPLACES_HEADER)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok())
            .unwrap_or_default();
        let source = String::from_utf8_lossy(answer.body()).into_owned();
        Ok((revision, source))
    }

    /// Replaces revision `replaces` of the service text and returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns an error if the text has findings, `replaces` is not the latest revision, or the
    /// daemon does not answer.
    pub async fn apply_text(&self, source: &str, replaces: Revision) -> Result<Revision> {
        let body = Bytes::copy_from_slice(source.as_bytes());
        let mut request = self.request(Method::POST, "/text", body)?;
        let replaces = HeaderValue::from(replaces.get());
        request.headers_mut().insert(REPLACES_HEADER, replaces);
        let answer = self.send(request).await?;
        self.decode(&answer)
    }

    /// Submits a job; a repeated submission with the same idempotency key has no further effect.
    ///
    /// # Errors
    ///
    /// Returns an error if the job is refused or the daemon does not answer.
    pub async fn submit_job(&self, key: &str, spec: &JobSpec) -> Result<JobSummary> {
        let body = serde_json::to_vec(spec).map_err(|error| self.exchange_error(&error))?;
        let mut request = self.request(Method::POST, "/jobs", Bytes::from(body))?;
        let key = HeaderValue::from_str(key).map_err(|error| self.exchange_error(&error))?;
        request.headers_mut().insert(header::IDEMPOTENCY_KEY, key);
        let answer = self.send(request).await?;
        self.decode(&answer)
    }

    /// Sends a change as a POST request with a JSON body.
    ///
    /// # Errors
    ///
    /// Returns an error if the change is refused or the daemon does not answer.
    pub async fn post<A: DeserializeOwned>(&self, path: &str, body: &Value) -> Result<A> {
        let body = Bytes::from(body.to_string());
        let answer = self.call(Method::POST, path, body).await?;
        self.decode(&answer)
    }

    /// Fetches and parses a JSON document.
    ///
    /// # Errors
    ///
    /// Returns an error if the daemon does not answer or refuses the request, or if the document
    /// cannot be decoded.
    pub async fn get<A: DeserializeOwned>(&self, path: &str) -> Result<A> {
        let answer = self.call(Method::GET, path, Bytes::new()).await?;
        self.decode(&answer)
    }

    /// Fetches the metrics of the process at this address, in the Prometheus text format.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not answer or refuses the request.
    pub async fn metrics(&self) -> Result<String> {
        let answer = self.call(Method::GET, "/metrics", Bytes::new()).await?;
        Ok(String::from_utf8_lossy(answer.body()).into_owned())
    }

    async fn call(&self, method: Method, path: &str, body: Bytes) -> Result<Response<Bytes>> {
        let request = self.request(method, path, body)?;
        self.send(request).await
    }

    fn request(&self, method: Method, path: &str, body: Bytes) -> Result<Request<Bytes>> {
        let mut request = Request::new(body);
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().map_err(|error| self.exchange_error(&error))?;
        let headers = request.headers_mut();
        for (name, value) in [(TOKEN_HEADER, &self.token), (OPERATOR_HEADER, &self.who)] {
            let value =
                HeaderValue::from_str(value).map_err(|error| self.exchange_error(&error))?;
            headers.insert(name, value);
        }
        Ok(request)
    }

    async fn send(&self, request: Request<Bytes>) -> Result<Response<Bytes>> {
        let answer = self.client.send(request, CALL_TIMEOUT).await;
        let answer = answer.map_err(|error| self.exchange_error(&error))?;
        if answer.status().is_success() {
            return Ok(answer);
        }
        Err(Error::DaemonRefused {
            address: self.client.address().to_string(),
            status: answer.status().as_u16(),
            reason: problem_detail(answer.body()),
        })
    }

    fn decode<A: DeserializeOwned>(&self, answer: &Response<Bytes>) -> Result<A> {
        serde_json::from_slice(answer.body()).map_err(|error| self.exchange_error(&error))
    }

    fn exchange_error(&self, reason: &impl ToString) -> Error {
        Error::Exchange {
            address: self.client.address().to_string(),
            reason: reason.to_string(),
        }
    }
}

/// Returns the `detail` of a problem document, or the raw body if it is not one.
fn problem_detail(body: &[u8]) -> String {
    serde_json::from_slice::<Value>(body)
        .ok()
        .and_then(|document| Some(document.get("detail")?.as_str()?.to_owned()))
        .unwrap_or_else(|| String::from_utf8_lossy(body).into_owned())
}
