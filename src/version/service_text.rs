//! The operators' plain text, read and checked as a whole.

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

/// One version of the service text.
#[derive(Clone, Debug)]
pub struct ServiceText {
    /// Who runs the deployment.
    pub deployment: String,
    /// The time between two data centres, one way, in microseconds.
    pub link_latency_micros: u64,
    /// How much each measure counts.
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
    /// Reads and checks a text; `file` names it in the findings.
    ///
    /// # Errors
    ///
    /// Returns every finding, with its place.
    pub fn parse(file: &str, source: &str) -> Result<Self> {
        let mut findings = FindingList::new(file);
        let Some(root) = parse_toml(source, &mut findings) else {
            return Err(Error::Findings(findings));
        };
        let mut reader = TextReader::new(source, &mut findings);
        let text = reader.read(TableReader::new(source, root.get_ref(), root.span()));
        findings.into_result(text).map_err(Error::Findings)
    }

    /// Returns the services that need `service` to work, itself included.
    pub fn dependants_of(&self, service: &ServiceId) -> BTreeSet<ServiceId> {
        let mut dependants = BTreeSet::from([service.clone()]);
        loop {
            let before = dependants.len();
            let more = self
                .services
                .values()
                .filter(|other| other.depends_on.iter().any(|id| dependants.contains(id)))
                .map(|other| other.id.clone())
                .collect::<Vec<_>>();
            dependants.extend(more);
            if dependants.len() == before {
                return dependants;
            }
        }
    }

    /// Returns the rack of each host.
    pub fn racks_by_host(&self) -> BTreeMap<&HostId, &Rack> {
        self.racks
            .values()
            .flat_map(|rack| rack.hosts.iter().map(move |host| (host, rack)))
            .collect()
    }

    /// Returns the pool that each host has at first.
    pub fn initial_pools_by_host(&self) -> BTreeMap<&HostId, &Pool> {
        self.pools
            .values()
            .flat_map(|pool| pool.hosts.iter().map(move |host| (host, pool)))
            .collect()
    }
}
