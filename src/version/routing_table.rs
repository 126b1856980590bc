//! Routes from request paths to the backend servers of a service.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use crate::id::DataCentreId;
use crate::id::HostId;
use crate::id::PoolId;
use crate::id::RackId;
use crate::id::ServiceId;
use crate::process::Placement;
use crate::version::HostList;
use crate::version::HostState;
use crate::version::PoolRole;
use crate::version::Service;
use crate::version::ServiceText;

/// A backend server that may receive requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// The host on which the server runs.
    pub host: HostId,
    /// The address on which the server listens.
    pub address: SocketAddr,
    /// The data centre of the host.
    pub data_centre: DataCentreId,
    /// The rack of the host.
    pub rack: RackId,
    /// The current pool of the host.
    pub pool: PoolId,
    /// The number of restarts of the host.
    pub boots: u64,
}

/// A service with its available backend servers.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// The service as the text in force defines it.
    pub service: Service,
    /// The backend servers that may receive new requests.
    pub servers: Vec<Arc<BackendServer>>,
}

/// The routes of all services for one version of the service text, placement and host list.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    routes: BTreeMap<ServiceId, Arc<ServiceRoute>>,
}

impl RoutingTable {
    /// Builds a route for each service from the live hosts of its executor pools.
    ///
    /// Leaves out hosts that the placement has closed to new requests. A pool in
    /// the placement takes precedence over the one in the service text.
    pub fn new(text: &ServiceText, placement: &Placement, hosts: &HostList) -> Self {
        let mut routes = text
            .services
            .values()
            .map(|service| (service.id.clone(), empty_route(service)))
            .collect::<BTreeMap<_, _>>();
        let initial_pools = text.initial_pools_by_host();
        for record in hosts.records() {
            let initial_pool = initial_pools.get(&record.id).map(|pool| &pool.id);
            let Some(pool_id) = placement.pool_of(&record.id).or(initial_pool) else {
                continue;
            };
            let Some(pool) = text.pools.get(pool_id) else {
                continue;
            };
            let available = record.state == HostState::Live && !placement.is_closed(&record.id);
            if !available || pool.role != PoolRole::Executor {
                continue;
            }
            if let Some(route) = routes.get_mut(&pool.service) {
                route.servers.push(Arc::new(BackendServer {
                    host: record.id.clone(),
                    address: record.address,
                    data_centre: record.data_centre.clone(),
                    rack: record.rack.clone(),
                    pool: pool.id.clone(),
                    boots: record.boots,
                }));
            }
        }
        Self {
            routes: routes
                .into_iter()
                .map(|(id, route)| (id, Arc::new(route)))
                .collect(),
        }
    }

    /// Returns the route with the longest path prefix that matches `path`; `None` if none matches.
    pub fn route_for_path(&self, path: &str) -> Option<&Arc<ServiceRoute>> {
        self.routes
            .values()
            .filter(|route| super::service::path_has_prefix(path, &route.service.path))
            .max_by_key(|route| route.service.path.len())
    }

    /// Returns the route of a service; `None` if the service text does not list it.
    pub fn route_for_service(&self, service: &ServiceId) -> Option<&Arc<ServiceRoute>> {
        self.routes.get(service)
    }

    /// Returns all routes, sorted by service.
    pub fn routes(&self) -> impl Iterator<Item = &Arc<ServiceRoute>> {
        self.routes.values()
    }
}

fn empty_route(service: &Service) -> ServiceRoute {
    ServiceRoute {
        service: service.clone(),
        servers: Vec::new(),
    }
}
