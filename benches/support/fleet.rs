//! Generates fleets of the reference size and of other sizes.

#![allow(dead_code)] // Each bench uses some of the fixtures.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use zincpier::id::DataCentreId;
use zincpier::id::HostId;
use zincpier::version::Availability;
use zincpier::version::DataCentre;
use zincpier::version::FailureDomain;
use zincpier::version::ObjectiveWeights;
use zincpier::version::Pool;
use zincpier::version::PoolRole;
use zincpier::version::Rack;
use zincpier::version::Service;
use zincpier::version::ServiceText;
use zincpier::wave::dedicated_spares;
use zincpier::wave::shared_spares;
use zincpier::wave::FailureRates;
use zincpier::wave::FleetView;
use zincpier::wave::HostCondition;
use zincpier::wave::HostView;

/// The number of hosts of the reference fleet, spare hosts included.
pub(crate) const REFERENCE_HOSTS: usize = 830;
pub(crate) const REFERENCE_POOLS: usize = 186;
pub(crate) const REFERENCE_DATA_CENTRES: usize = 5;
/// Host failures of the reference fleet.
pub(crate) const FAILURES_PER_DAY: f64 = 9.0;
/// Unplanned restarts and replacements of hosts of the reference fleet.
pub(crate) const RESTARTS_PER_DAY: f64 = 260.0;
const POOLS_PER_SERVICE: usize = 3;
const HOSTS_PER_RACK: usize = 4;
/// 30 days.
const AVAILABILITY_WINDOW: Duration = Duration::from_secs(720 * 3_600);
const WAVE_STEP_TIME: Duration = Duration::from_secs(900);
/// The time in which waves restart every host once.
const WAVE_CYCLE: Duration = Duration::from_secs(14 * 86_400);
/// Spare hosts in each pool of the reference fleet; its load needs all other hosts.
const SPARE_PER_POOL: usize = 2;

/// The failures and unplanned restarts of the reference fleet, per host and day, and how long a
/// host is missing after each.
pub(crate) fn reference_rates() -> FailureRates {
    FailureRates {
        failures: FAILURES_PER_DAY / REFERENCE_HOSTS as f64,
        restarts: RESTARTS_PER_DAY / REFERENCE_HOSTS as f64,
        move_time: Duration::from_secs(1_200),
        restart_time: Duration::from_secs(300),
    }
}

/// Returns the weights of `examples/granite-bay.toml`, where spare capacity is expensive.
pub(crate) fn granite_bay() -> ObjectiveWeights {
    ObjectiveWeights {
        buffer_cost: 4.0,
        roll_out: 1.0,
        moves: 1.0,
    }
}

/// Returns the weights of `examples/guild.toml`, where short waves and fast changes matter most.
pub(crate) fn guild() -> ObjectiveWeights {
    ObjectiveWeights {
        buffer_cost: 1.0,
        roll_out: 4.0,
        moves: 1.0,
    }
}

/// The number of hosts that each pool of a fleet needs, without spare hosts.
pub(crate) struct FleetDemand {
    needed: Vec<usize>,
    data_centres: usize,
}

impl FleetDemand {
    /// Returns the demand of the reference fleet: its hosts less [`SPARE_PER_POOL`] for each pool.
    pub(crate) fn reference() -> Self {
        let total = REFERENCE_HOSTS - SPARE_PER_POOL * REFERENCE_POOLS;
        Self::new(REFERENCE_POOLS, total, REFERENCE_DATA_CENTRES)
    }

    /// Divides `total` needed hosts evenly among `pools` pools.
    pub(crate) fn new(pools: usize, total: usize, data_centres: usize) -> Self {
        let base = total / pools;
        let extra = total % pools;
        let needed = (0..pools)
            .map(|pool| base + usize::from(pool < extra))
            .collect();
        Self {
            needed,
            data_centres,
        }
    }

    /// Builds the fleet with `spare` dedicated spare hosts in each pool.
    pub(crate) fn with_fixed_spare(&self, spare: usize) -> ServiceText {
        self.build(&BTreeMap::new(), spare, 0)
    }

    /// Builds the fleet with dedicated spare hosts where availability budgets require them, and
    /// shared ones in each data centre.
    pub(crate) fn with_shared_spare(
        &self,
        rates: &FailureRates,
        weights: &ObjectiveWeights,
    ) -> ServiceText {
        let without_spares = self.build(&BTreeMap::new(), 0, 0);
        let dedicated = dedicated_spares(&without_spares, rates);
        let dedicated = dedicated
            .into_iter()
            .map(|(pool, count)| (pool.to_string(), count))
            .collect();
        let needed = self.needed.iter().sum::<usize>() / self.data_centres;
        let spares = shared_spares(needed, needed, WAVE_STEP_TIME, WAVE_CYCLE, weights);
        self.build(&dedicated, 0, spares + HOSTS_PER_RACK)
    }

    /// Builds the fleet with spare hosts: per pool in `dedicated_spares`, `fixed` in each pool, and
    /// `shared` in each data centre.
    fn build(
        &self,
        dedicated_spares: &BTreeMap<String, usize>,
        fixed: usize,
        shared: usize,
    ) -> ServiceText {
        let mut builder = TextBuilder::new(self.data_centres);
        for (number, needed) in self.needed.iter().enumerate() {
            let name = format!("pool-{number:03}");
            let service = format!("service-{:02}", number / POOLS_PER_SERVICE);
            let spare = dedicated_spares.get(&name).copied().unwrap_or(0) + fixed;
            builder.add_service(&service, number / POOLS_PER_SERVICE);
            builder.add_pool(&name, &service, number % self.data_centres, *needed, spare);
        }
        for data_centre in 0..self.data_centres {
            if shared > 0 {
                let name = format!("spare-{data_centre}");
                builder.add_pool(&name, "service-00", data_centre, 0, shared);
            }
        }
        builder.finish()
    }
}

struct TextBuilder {
    text: ServiceText,
    hosts: Vec<Vec<HostId>>,
}

impl TextBuilder {
    fn new(data_centres: usize) -> Self {
        let names = (0..data_centres).map(|number| {
            let id: DataCentreId = format!("dc-{number}").parse().unwrap();
            let region = if number < 3 { "one" } else { "two" };
            (
                id.clone(),
                DataCentre {
                    id,
                    region: region.to_owned(),
                    caller_latency_micros: 1_000,
                },
            )
        });
        Self {
            text: ServiceText {
                deployment: "generated".to_owned(),
                link_latency_micros: 500,
                weights: ObjectiveWeights::default(),
                data_centres: names.collect(),
                services: BTreeMap::new(),
                pools: BTreeMap::new(),
                teams: BTreeMap::new(),
                racks: BTreeMap::new(),
            },
            hosts: vec![Vec::new(); data_centres],
        }
    }

    fn add_service(&mut self, name: &str, number: usize) {
        let percent = [99.9, 99.5, 99.0][number % 3];
        let service = Service {
            id: name.parse().unwrap(),
            path: format!("/{name}"),
            depends_on: Vec::new(),
            availability: Availability::from_percent(percent).unwrap(),
            window: AVAILABILITY_WINDOW,
            failure_domain: FailureDomain::Rack,
            deadline: Duration::from_secs(2),
            attempt: None,
            at_most_once: Vec::new(),
            urgent: Vec::new(),
            slots: 8,
            connections: 64,
            echoes_request_id: true,
        };
        self.text.services.insert(service.id.clone(), service);
    }

    fn add_pool(
        &mut self,
        name: &str,
        service: &str,
        data_centre: usize,
        needed: usize,
        spare: usize,
    ) {
        let hosts = (0..needed + spare)
            .map(|number| format!("{name}-h{number:02}").parse::<HostId>().unwrap())
            .collect::<Vec<_>>();
        self.hosts[data_centre].extend(hosts.iter().cloned());
        let pool = Pool {
            id: name.parse().unwrap(),
            service: service.parse().unwrap(),
            role: PoolRole::Executor,
            needed,
            cores: 64,
            memory_gb: 128,
            accelerators: 0,
            hosts,
        };
        self.text.pools.insert(pool.id.clone(), pool);
    }

    /// Distributes the hosts of each data centre over racks of up to four, so that neighbours in
    /// the list, mostly of the same pool, are in different racks.
    fn finish(mut self) -> ServiceText {
        for (number, hosts) in self.hosts.iter().enumerate() {
            let racks = hosts.len().div_ceil(HOSTS_PER_RACK);
            for rack in 0..racks {
                let id = format!("dc-{number}-r{rack:02}")
                    .parse::<zincpier::id::RackId>()
                    .unwrap();
                let rack_hosts = hosts.iter().skip(rack).step_by(racks).cloned().collect();
                let data_centre = format!("dc-{number}").parse().unwrap();
                self.text.racks.insert(
                    id.clone(),
                    Rack {
                        id,
                        data_centre,
                        hosts: rack_hosts,
                    },
                );
            }
        }
        self.text
    }
}

/// Returns the view of a fleet in which every host is up.
pub(crate) fn view_of(text: &ServiceText) -> FleetView {
    let racks = text.racks_by_host();
    let hosts = text
        .initial_pools_by_host()
        .into_iter()
        .map(|(host, pool)| HostView {
            id: host.clone(),
            pool: pool.id.clone(),
            rack: racks[host].id.clone(),
            data_centre: racks[host].data_centre.clone(),
            condition: HostCondition::Up,
            pinned: false,
        });
    FleetView::new(Arc::new(text.clone()), hosts.collect())
}

/// Returns the data centre of a pool's first host.
pub(crate) fn data_centre_of<'t>(text: &'t ServiceText, pool: &Pool) -> Option<&'t DataCentreId> {
    let first = pool.hosts.first()?;
    let mut racks = text.racks.values();
    racks
        .find(|rack| rack.hosts.contains(first))
        .map(|rack| &rack.data_centre)
}
