//! Which backend servers may serve which service.

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

/// A backend server that may get requests.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct BackendServer {
    /// The host it runs on.
    pub host: HostId,
    /// Where it listens.
    pub address: SocketAddr,
    /// The data centre of its host.
    pub data_centre: DataCentreId,
    /// The rack of its host.
    pub rack: RackId,
    /// The pool of its host.
    pub pool: PoolId,
    /// How many restarts its host has had.
    pub boots: u64,
}

/// A service together with its backend servers.
#[derive(Clone, Debug)]
pub struct ServiceRoute {
    /// The service.
    pub service: Service,
    /// Its backend servers that may get new work.
    pub servers: Vec<Arc<BackendServer>>,
}

/// The routes of every service, built from one text, one placement and one host list.
#[derive(Clone, Debug, Default)]
pub struct RoutingTable {
    routes: BTreeMap<ServiceId, Arc<ServiceRoute>>,
}

impl RoutingTable {
    /// Builds the routes out of what is known of text, placement and hosts.
    pub fn new(text: &ServiceText, placement: &Placement, hosts: &HostList) -> Self {
        let mut routes = text
            .services
            .values()
            .map(|service| (service.id.clone(), empty_route(service)))
            .collect::<BTreeMap<_, _>>();
        let first_pools = text.initial_pools_by_host();
        for record in hosts.records() {
            let first_pool = first_pools.get(&record.id).map(|pool| &pool.id);
            let Some(pool_id) = placement.pool_of(&record.id).or(first_pool) else {
                continue;
            };
            let Some(pool) = text.pools.get(pool_id) else {
                continue;
            };
            let open = record.state == HostState::Live && !placement.is_closed(&record.id);
            if !open || pool.role != PoolRole::Executor {
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

    /// Returns the route whose service's path prefix is the longest that fits `path`.
    pub fn route_for_path(&self, path: &str) -> Option<&Arc<ServiceRoute>> {
        self.routes
            .values()
            .filter(|route| super::service::path_has_prefix(path, &route.service.path))
            .max_by_key(|route| route.service.path.len())
    }

    /// Returns the route of a service.
    pub fn route_for_service(&self, service: &ServiceId) -> Option<&Arc<ServiceRoute>> {
        self.routes.get(service)
    }

    /// Returns every route.
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
