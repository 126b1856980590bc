//! The service text: the operators' TOML description of the deployment.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::error::Error;
use crate::error::Result;
use crate::finding::FindingList;
use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::PoolId;
use crate::id::RackId;
use crate::id::ServiceId;
use crate::id::TeamId;
use crate::toml_reader::parse_toml;
use crate::toml_reader::TableReader;
use crate::version::text_reader::TextReader;
use crate::version::DataCentre;
use crate::version::ObjectiveWeights;
use crate::version::Pool;
use crate::version::Rack;
use crate::version::Service;
use crate::version::Team;

/// One parsed and validated version of the service text.
#[derive(Clone, Debug)]
pub struct ServiceText {
    /// The name of the organisation that runs the deployment.
    pub deployment: String,
    /// The one-way latency between two data centres, in microseconds.
    pub link_latency_micros: u64,
    /// The relative weights of the planning objectives.
    pub weights: ObjectiveWeights,
    /// The data centres, by name.
    pub data_centres: BTreeMap<DataCentreId, DataCentre>,
    /// The services, by name.
    pub services: BTreeMap<ServiceId, Service>,
    /// The pools, by name.
    pub pools: BTreeMap<PoolId, Pool>,
    /// The racks, by name.
    pub racks: BTreeMap<RackId, Rack>,
    /// The teams whose jobs run on workers, by name.
    pub teams: BTreeMap<TeamId, Team>,
}

impl ServiceText {
    /// Parses and validates a text; `file` is its name in the findings.
    ///
    /// # Errors
    ///
    /// Returns all findings with their positions, as [`Error::Findings`].
    pub fn parse(file: &str, source: &str) -> Result<Self> {
        let mut findings = FindingList::new(file);
        let Some(root) = parse_toml(source, &mut findings) else {
            return Err(Error::Findings(findings));
        };
        let mut reader = TextReader::new(source, &mut findings);
        let text = reader.read(TableReader::new(source, root.get_ref(), root.span()));
        findings.into_result(text).map_err(Error::Findings)
    }

    /// Returns the services that depend on `service` directly or indirectly, including itself.
    pub fn dependants_of(&self, service: &ServiceId) -> BTreeSet<ServiceId> {
        let mut dependants = BTreeSet::from([service.clone()]);
        loop {
            let before = dependants.len();
            let added = self
                .services
                .values()
                .filter(|other| other.depends_on.iter().any(|id| dependants.contains(id)))
                .map(|other| other.id.clone())
                .collect::<Vec<_>>();
            dependants.extend(added);
            if dependants.len() == before {
                return dependants;
            }
        }
    }

    /// Maps each host to its rack; no host is in two racks.
    pub fn racks_by_host(&self) -> BTreeMap<&HostId, &Rack> {
        self.racks
            .values()
            .flat_map(|rack| rack.hosts.iter().map(move |host| (host, rack)))
            .collect()
    }

    /// Maps each host to its initial pool, before any move; no host is in two pools.
    pub fn initial_pools_by_host(&self) -> BTreeMap<&HostId, &Pool> {
        self.pools
            .values()
            .flat_map(|pool| pool.hosts.iter().map(move |host| (host, pool)))
            .collect()
    }
}
