//! Claims: table rows that reserve an idempotency key, so that its request runs at most once, and
//! keep the response for duplicates of the request.

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

/// The response headers that are stored with a claim; a replayed response has no others.
const STORED_HEADERS: [&str; 5] = [
    "content-type",
    "content-language",
    "content-encoding",
    "etag",
    "location",
];

/// The row key of a request that must run at most once.
#[derive(Clone, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ClaimKey {
    row: String,
}

impl ClaimKey {
    /// Creates the key of a service's request. The customer is part of the hash, so that equal
    /// idempotency keys of different customers get different rows.
    pub fn new(service: &ServiceId, meta: &RequestMeta, idempotency_key: &[u8]) -> Self {
        Self::with_parts(service, meta.customer.as_ref(), idempotency_key)
    }

    /// Creates the key from its parts; `idempotency_key` is the header value as sent.
    pub fn with_parts(
        service: &ServiceId,
        customer: Option<&CustomerId>,
        idempotency_key: &[u8],
    ) -> Self {
        let customer = customer.map_or("", |id| id.as_str());
        let hash = hash_parts(&[customer.as_bytes(), idempotency_key]);
        Self {
            row: format!("claim/{service}/{hash}"),
        }
    }

    /// Returns the key of the claim row, `claim/<service>/<hash>`.
    pub fn row(&self) -> &str {
        &self.row
    }
}

impl fmt::Display for ClaimKey {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(&self.row)
    }
}

/// The progress of a claimed request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum ClaimState {
    /// The entry host that made the claim may have sent the request to a backend server.
    Claimed,
    /// The request has run; holds its response.
    Finished(StoredResponse),
}

/// The stored response of a finished request.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct StoredResponse {
    /// The HTTP status code.
    pub status: u16,
    /// The stored headers, as name and value.
    pub headers: Vec<(String, String)>,
    /// The body, if it is valid UTF-8 of at most 8 KiB.
    pub body: Option<String>,
    /// The name of the object that holds the body if `body` is `None`.
    pub object: Option<String>,
}

impl StoredResponse {
    /// Copies the status and the stored headers of a response, without its body. Header values
    /// that are not visible ASCII are left out.
    pub fn from_head(response: &Response<Bytes>) -> Self {
        let headers = STORED_HEADERS
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

    /// Rebuilds the response with `body`; an invalid status becomes 200, invalid headers are left
    /// out.
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

/// The value of a claim row.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub struct ClaimRow {
    /// A random token of the request that made the claim. It distinguishes the claims of duplicate
    /// requests, and is part of the name of the object with the response body.
    pub token: String,
    /// The hash of the request; reuse of the key for a request with another hash is refused.
    pub fingerprint: String,
    /// The entry host that made the claim.
    pub entry: EntryId,
    /// The incarnation of that host's daemon.
    pub incarnation: Incarnation,
    /// The time of the claim, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The progress of the request.
    pub state: ClaimState,
}

/// Returns a hash of method, URI and body, to detect different requests with the same key.
pub fn request_fingerprint(request: &Request<Bytes>) -> String {
    hash_parts(&[
        request.method().as_str().as_bytes(),
        request.uri().to_string().as_bytes(),
        request.body(),
    ])
}

/// Returns the 128-bit SipHash of the parts as 32 hexadecimal digits.
///
/// The hash key is constant, since all daemons must compute the same row keys. The length of each
/// part is hashed as well, so that `["ab", "c"]` and `["a", "bc"]` differ.
pub(crate) fn hash_parts(parts: &[&[u8]]) -> String {
    let mut hasher = SipHasher13::new();
    for part in parts {
        hasher.write_usize(part.len());
        hasher.write(part);
    }
    format!("{:032x}", hasher.finish128().as_u128())
}
