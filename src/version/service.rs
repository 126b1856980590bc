//! Service of the service text.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::id::ServiceId;
use crate::version::Availability;

/// The largest failure domain whose sudden loss a service must survive.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailureDomain {
    /// The hosts of one rack.
    Rack,
    /// The hosts of one data centre.
    DataCentre,
}

impl fmt::Display for FailureDomain {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Rack => "rack",
            Self::DataCentre => "data-centre",
        })
    }
}

impl FromStr for FailureDomain {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "rack" => Ok(Self::Rack),
            "data-centre" => Ok(Self::DataCentre),
            _ => Err(format!("{text:?} is neither 'rack' nor 'data-centre'")),
        }
    }
}

/// A service with its dependencies, availability target and request limits.
#[derive(Clone, Debug)]
pub struct Service {
    /// The unique name in the service text.
    pub id: ServiceId,
    /// The path prefix of the requests to the service, such as `/reports`.
    pub path: String,
    /// The services without which this one does not work.
    pub depends_on: Vec<ServiceId>,
    /// The availability target.
    pub availability: Availability,
    /// The time window over which the availability is measured.
    pub window: Duration,
    /// The failure domain whose loss the service must survive.
    pub failure_domain: FailureDomain,
    /// The default deadline of a request, from its arrival; used if the caller sets none.
    pub deadline: Duration,
    /// The time-out of one attempt, after which a retryable request is sent to another server;
    /// half of the time left to the deadline if the service text sets none. The last attempt
    /// may use all the time left.
    pub attempt: Option<Duration>,
    /// The path prefixes of requests that must run at most once.
    pub at_most_once: Vec<String>,
    /// The path prefixes of requests that have priority when capacity is short.
    pub urgent: Vec<String>,
    /// The number of requests that one backend server runs concurrently.
    pub slots: u32,
    /// The number of connections that one backend server accepts.
    pub connections: u32,
    /// Whether the backend servers echo `x-request-id`; if so, a response without it is not
    /// passed on, because it may belong to another request.
    pub echoes_request_id: bool,
}

impl Service {
    /// Returns whether a request for `path` must run at most once.
    pub fn is_at_most_once(&self, path: &str) -> bool {
        matches_any(&self.at_most_once, path)
    }

    /// Returns whether a request for `path` has priority over others.
    pub fn is_urgent(&self, path: &str) -> bool {
        matches_any(&self.urgent, path)
    }
}

fn matches_any(prefixes: &[String], path: &str) -> bool {
    prefixes.iter().any(|prefix| path_has_prefix(path, prefix))
}

/// Returns whether `path` equals `prefix` or is below it; only whole path segments match.
pub(crate) fn path_has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
