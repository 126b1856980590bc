//! The row that lets a request run at most once.

use std::fmt;
use std::hash::Hasher;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use siphasher::sip128::Hasher128;
use siphasher::sip128::SipHasher13;

use crate::id::CustomerId;
use crate::id::EntryId;
use crate::id::Incarnation;
use crate::id::ServiceId;
use crate::request::RequestMeta;

/// The headers of an answer that are kept with it.
const KEPT_HEADERS: [&str; 5] = [
    "content-type",
    "content-language",
    "content-encoding",
    "etag",
    "location",
];

/// Names a request that must run at most once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    row: String,
}

impl ClaimKey {
    /// Creates the key of a service's request; keys of two customers never meet.
    pub fn new(service: &ServiceId, meta: &RequestMeta, key: &[u8]) -> Self {
        Self::with_parts(service, meta.customer.as_ref(), key)
    }

    /// Creates the key of a customer's request, named by `key`.
    pub fn with_parts(service: &ServiceId, customer: Option<&CustomerId>, key: &[u8]) -> Self {
        let customer = customer.map_or("", |id| id.as_str());
        let hash = hash_parts(&[customer.as_bytes(), key]);
        Self {
            row: format!("claim/{service}/{hash}"),
        }
    }

    /// Returns the key of the claim's row.
    pub fn row(&self) -> &str {
        &self.row
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(&self.row)
    }
}

/// How far a claimed request has come.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// Its owner may have sent it.
    Claimed,
    /// It has run, and this was its answer.
    Finished(StoredResponse),
}

/// The answer of a finished request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status.
    pub status: u16,
    /// The headers that are kept.
    pub headers: Vec<(String, String)>,
    /// The body, if it is short text.
    pub body: Option<String>,
    /// The object that holds the body otherwise.
    pub object: Option<String>,
}

impl StoredResponse {
    /// Keeps the status and headers of an answer; the body is put in its place later.
    pub fn from_head(response: &Response<Bytes>) -> Self {
        let headers = KEPT_HEADERS
            .iter()
            .filter_map(|name| {
                let value = response.headers().get(*name)?.to_str().ok()?;
                Some(((*name).to_owned(), value.to_owned()))
            })
            .collect();
        Self {
            status: response.status().as_u16(),
            headers,
            body: None,
            object: None,
        }
    }

    /// Returns the answer with its body.
    pub fn to_response(&self, body: Bytes) -> Response<Bytes> {
        let mut response = Response::new(body);
        *response.status_mut() = StatusCode::from_u16(self.status).unwrap_or(StatusCode::OK);
        for (name, value) in &self.headers {
            let name = name.parse::<http::HeaderName>();
            let value = value.parse::<http::HeaderValue>();
            if let (Ok(name), Ok(value)) = (name, value) {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }
}

/// The value of a claim's row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimRow {
    /// Names the attempt that made the claim.
    pub token: String,
    /// What the request was, so that a key used for another one is refused.
    pub fingerprint: String,
    /// The entry host that made the claim.
    pub entry: EntryId,
    /// The run of its daemon.
    pub incarnation: Incarnation,
    /// When it was made, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// How far the request has come.
    pub state: ClaimState,
}

/// Returns what tells one request from another that has the same key.
pub fn request_fingerprint(request: &Request<Bytes>) -> String {
    hash_parts(&[
        request.method().as_str().as_bytes(),
        request.uri().to_string().as_bytes(),
        request.body(),
    ])
}

pub(crate) fn hash_parts(parts: &[&[u8]]) -> String {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    format!("{:032x}", hasher.finish128().as_u128())
}
