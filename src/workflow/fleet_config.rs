//! The operator's configuration: queues and the pools that run their tasks.

use crate::id::ServiceId;

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Its name, kept across versions.
    pub name: String,
    /// The `Host` that callers address.
    pub host: String,
    /// What the paths of its jobs begin with, up to the job's id.
    pub prefix: String,
    /// The service whose workers run its tasks.
    pub service: ServiceId,
    /// 0 comes first.
    pub priority: u32,
    /// How often a task may fail.
    pub attempts: u32,
    /// The factor of a job's longest chain within which it should complete.
    pub stretch: f64,
    /// What is added to that, in ms.
    pub objective_ms: u64,
}

/// A pool of hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolConfig {
    /// The service it belongs to.
    pub service: ServiceId,
    /// Its workers refuse tasks beyond their room.
    pub rejects_overload: bool,
    /// Its hosts are switched off.
    pub standby: bool,
}

/// Bounds on what callers send.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// The greatest head, in bytes.
    pub head_bytes: usize,
    /// The greatest body, in bytes.
    pub body_bytes: usize,
    /// How long a head may take, in ms.
    pub head_ms: u64,
    /// How long a connection may stay idle, in ms.
    pub idle_ms: u64,
}

/// One version of the configuration, whole.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Rises with each change.
    pub version: u64,
    /// The queues.
    pub queues: Vec<QueueConfig>,
    /// The pools.
    pub pools: Vec<PoolConfig>,
    /// Bounds on callers, if they are set.
    pub limits: Option<CallerLimits>,
}

impl FleetConfig {
    /// Returns the queue with the longest prefix of `path`, for callers of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&QueueConfig> {
        let fits = |queue: &&QueueConfig| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix)
        };
        let queues = self.queues.iter().filter(fits);
        queues.max_by_key(|queue| queue.prefix.len())
    }

    /// Returns a queue by its name.
    pub fn queue(&self, name: &str) -> Option<&QueueConfig> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns a service's pool.
    pub fn pool(&self, service: &ServiceId) -> Option<&PoolConfig> {
        self.pools.iter().find(|pool| pool.service == *service)
    }

    /// Returns the pool whose hosts are switched off, if there is one.
    pub fn standby_pool(&self) -> Option<&PoolConfig> {
        self.pools.iter().find(|pool| pool.standby)
    }
}
