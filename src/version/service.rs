//! A service of the service text.

use std::fmt;
use std::str::FromStr;
use std::time::Duration;

use crate::id::ServiceId;
use crate::version::Availability;

/// The largest part of the fleet whose sudden loss a service must outlive.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum FailureDomain {
    /// One rack.
    Rack,
    /// One data centre.
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

/// A service, what it depends on and what its callers were promised.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub id: ServiceId,
    /// The path prefix of its requests, such as `/reports`.
    pub path: String,
    /// The services that it cannot work without.
    pub depends_on: Vec<ServiceId>,
    /// The availability it is promised.
    pub availability: Availability,
    /// The span of time over which the availability is counted.
    pub window: Duration,
    /// The largest domain whose loss it must outlive.
    pub failure_domain: FailureDomain,
    /// The time a request has when its caller names none.
    pub deadline: Duration,
    /// The time after which a request that may be repeated is tried elsewhere; half of
    /// what is left to its deadline if the text names none.
    pub attempt: Option<Duration>,
    /// The path prefixes whose requests must run at most once.
    pub at_most_once: Vec<String>,
    /// The path prefixes whose requests go first when capacity is short.
    pub urgent: Vec<String>,
    /// The requests that one backend server runs at the same time.
    pub slots: u32,
    /// The connections that one backend server accepts.
    pub connections: u32,
    /// Whether its backend servers echo `x-request-id`; an answer without it is then not passed on.
    pub echoes_request_id: bool,
}

impl Service {
    /// Tells whether a request for `path` must run at most once.
    pub fn is_at_most_once(&self, path: &str) -> bool {
        has_prefix(&self.at_most_once, path)
    }

    /// Tells whether a request for `path` goes before others.
    pub fn is_urgent(&self, path: &str) -> bool {
        has_prefix(&self.urgent, path)
    }
}

fn has_prefix(prefixes: &[String], path: &str) -> bool {
    prefixes.iter().any(|prefix| path_has_prefix(path, prefix))
}

/// Tells whether `path` is `prefix` or stands below it.
pub(crate) fn path_has_prefix(path: &str, prefix: &str) -> bool {
    path.strip_prefix(prefix)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/') || prefix.ends_with('/'))
}
