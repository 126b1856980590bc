//! Selects the hosts that a wave maintains.

use std::fmt;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

use crate::id::DataCentreId;
use crate::id::NameError;
use crate::id::PoolId;
use crate::id::RackId;
use crate::id::ServiceId;
use crate::version::ServiceText;
use crate::wave::HostView;

/// A part of the fleet, written as `pool:NAME`, `service:NAME`, `rack:NAME` or `data-centre:NAME`.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum WaveScope {
    /// The hosts of a data centre.
    DataCentre(DataCentreId),
    /// The hosts of a pool.
    Pool(PoolId),
    /// The hosts of a rack.
    Rack(RackId),
    /// The hosts of all pools of a service.
    Service(ServiceId),
}

impl WaveScope {
    /// Returns whether a host is in the scope.
    pub fn contains(&self, text: &ServiceText, host: &HostView) -> bool {
        match self {
            Self::DataCentre(data_centre) => host.data_centre == *data_centre,
            Self::Pool(pool) => host.pool == *pool,
            Self::Rack(rack) => host.rack == *rack,
            Self::Service(service) => text
                .pools
                .get(&host.pool)
                .is_some_and(|pool| pool.service == *service),
        }
    }
}

impl fmt::Display for WaveScope {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::DataCentre(id) => write!(formatter, "data-centre:{id}"),
            Self::Pool(id) => write!(formatter, "pool:{id}"),
            Self::Rack(id) => write!(formatter, "rack:{id}"),
            Self::Service(id) => write!(formatter, "service:{id}"),
        }
    }
}

impl FromStr for WaveScope {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (kind, name) = text.split_once(':').unwrap_or((text, ""));
        let parsed = match kind {
            "data-centre" => name.parse().map(Self::DataCentre),
            "pool" => name.parse().map(Self::Pool),
            "rack" => name.parse().map(Self::Rack),
            "service" => name.parse().map(Self::Service),
            _ => {
                return Err(format!(
                    "{text:?} is not 'pool:', 'service:', 'rack:' or 'data-centre:' and a name"
                ))
            }
        };
        parsed.map_err(|error: NameError| error.to_string())
    }
}
