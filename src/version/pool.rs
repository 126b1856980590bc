//! A pool of the service text.

use std::fmt;
use std::str::FromStr;

use crate::id::HostId;
use crate::id::PoolId;
use crate::id::ServiceId;
use crate::job::JobSize;

/// The megabytes of a gigabyte.
const MB_PER_GB: u32 = 1_024;

/// What the hosts of a pool do.
#[derive(Clone, Copy, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub enum PoolRole {
    /// They run backend servers that answer requests.
    Executor,
    /// They run tasks under leases.
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

/// A pool of hosts that serve one service.
#[derive(Clone, Debug)]
pub struct Pool {
    /// Its name.
    pub id: PoolId,
    /// The service its hosts work for.
    pub service: ServiceId,
    /// What its hosts do.
    pub role: PoolRole,
    /// The number of hosts that the service's load needs.
    pub needed: usize,
    /// The processors of each host; 0 if the text does not say.
    pub cores: u32,
    /// The memory of each host in gigabytes; 0 if the text does not say.
    pub memory_gb: u32,
    /// The accelerators of each host.
    pub accelerators: u32,
    /// The hosts it has at first; moves are kept by the platform's table.
    pub hosts: Vec<HostId>,
}

impl Pool {
    /// Returns what each host offers to jobs.
    pub fn worker_size(&self) -> JobSize {
        JobSize::new(self.cores, self.memory_gb * MB_PER_GB, self.accelerators)
    }
}
