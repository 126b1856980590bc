//! Pools of the service text.

use std::fmt;
use std::str::FromStr;

use crate::id::HostId;
use crate::id::PoolId;
use crate::id::ServiceId;
use crate::job::JobSize;

const MB_PER_GB: u32 = 1_024;

/// The role of the hosts of a pool.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PoolRole {
    /// The hosts run backend servers, which answer requests.
    Executor,
    /// The hosts run tasks under leases.
    Worker,
}

impl fmt::Display for PoolRole {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.pad(match self {
            Self::Executor => "executor",
            Self::Worker => "worker",
        })
    }
}

impl FromStr for PoolRole {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "executor" => Ok(Self::Executor),
            "worker" => Ok(Self::Worker),
            _ => Err(format!("{text:?} is neither 'executor' nor 'worker'")),
        }
    }
}

/// A pool: hosts with the same role that belong to one service.
#[derive(Clone, Debug)]
pub struct Pool {
    /// The unique name in the service text.
    pub id: PoolId,
    /// The service that the hosts belong to.
    pub service: ServiceId,
    /// The role of the hosts.
    pub role: PoolRole,
    /// The number of hosts required for the load of the service.
    pub needed: usize,
    /// The processor cores that each host offers to jobs; 0 if the service text does not specify
    /// them.
    pub cores: u32,
    /// The memory of each host in gigabytes of 1,024 megabytes; 0 if the service text does not
    /// specify it.
    pub memory_gb: u32,
    /// The number of accelerators of each host.
    pub accelerators: u32,
    /// The initial hosts; later moves between pools are stored in the platform's table.
    pub hosts: Vec<HostId>,
}

impl Pool {
    /// Returns the resources that each host offers to jobs.
    pub fn worker_size(&self) -> JobSize {
        JobSize::new(self.cores, self.memory_gb * MB_PER_GB, self.accelerators)
    }
}
