//! Hosts of a service text, as a simulated platform lists them.

use std::net::SocketAddr;

use crate::id::HostId;
use crate::version::HostRecord;
use crate::version::HostState;
use crate::version::PoolRole;
use crate::version::ServiceText;

/// Returns a live record for every host of the text for which `address_of` has an address.
pub fn host_records(
    text: &ServiceText,
    address_of: impl Fn(&HostId) -> Option<SocketAddr>,
) -> Vec<HostRecord> {
    let mut records = Vec::new();
    for rack in text.racks.values() {
        for host in &rack.hosts {
            let Some(address) = address_of(host) else {
                continue;
            };
            records.push(HostRecord {
                id: host.clone(),
                address,
                data_centre: rack.data_centre.clone(),
                rack: rack.id.clone(),
                state: HostState::Live,
                boots: 0,
            });
        }
    }
    records
}

/// Returns the hosts of the text that run backend servers.
pub fn executor_hosts(text: &ServiceText) -> Vec<HostId> {
    text.pools
        .values()
        .filter(|pool| pool.role == PoolRole::Executor)
        .flat_map(|pool| pool.hosts.iter().cloned())
        .collect()
}
