//! The operator's configuration of queues and of the pools that run their tasks.

use crate::id::ServiceId;
use crate::workflow::OrganisationDirectory;

/// A queue that callers submit jobs to.
#[derive(Clone, Debug, PartialEq)]
pub struct QueueConfig {
    /// Identifies the queue across versions of the configuration.
    pub name: String,
    /// The value of the `Host` header that callers send.
    pub host: String,
    /// Path prefix of its jobs, up to the job's id.
    pub prefix: String,
    /// Workers of this service run its tasks.
    pub service: ServiceId,
    /// 0 is the highest.
    pub priority: u32,
    /// Failed runs of a task after which its job fails; 0 counts as 1.
    pub attempts: u32,
    /// A job should complete within the duration of its critical path times this factor, plus
    /// `objective_ms`.
    pub stretch: f64,
    /// Constant part of the completion objective, in ms.
    pub objective_ms: u64,
    /// Callers need no API key; its jobs belong to no organisation.
    pub is_public: bool,
}

/// A pool of hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct PoolConfig {
    /// The service that owns the pool; its id also names the pool.
    pub service: ServiceId,
    /// Workers refuse tasks beyond their free capacity.
    pub rejects_overload: bool,
    /// Standby pool: its hosts are switched off.
    pub standby: bool,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct CallerLimits {
    /// Max size of a request head, in bytes.
    pub head_bytes: usize,
    /// Max size of a request body, in bytes.
    pub body_bytes: usize,
    /// Max time to receive a request head, in ms.
    pub head_ms: u64,
    /// Max idle time of a connection, in ms.
    pub idle_ms: u64,
}

/// One complete version of the configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct FleetConfig {
    /// Rises with each change by the operator.
    pub version: u64,
    /// Looked up by name, or by the `Host` header and path of a request.
    pub queues: Vec<QueueConfig>,
    /// Looked up by service.
    pub pools: Vec<PoolConfig>,
    /// Limits on callers; `None` if not configured.
    pub limits: Option<CallerLimits>,
    /// The organisations; `None` if the configuration has no such list, so that no call needs a
    /// key. With an empty list, no key is valid.
    pub organisations: Option<OrganisationDirectory>,
}

impl FleetConfig {
    /// Returns the queue with the longest matching path prefix for requests with the given
    /// `Host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&QueueConfig> {
        let fits = |queue: &&QueueConfig| {
            queue.host.eq_ignore_ascii_case(host) && path.starts_with(&queue.prefix)
        };
        let queues = self.queues.iter().filter(fits);
        queues.max_by_key(|queue| queue.prefix.len())
    }

    /// Returns the queue of the given name.
    pub fn queue(&self, name: &str) -> Option<&QueueConfig> {
        self.queues.iter().find(|queue| queue.name == name)
    }

    /// Returns the pool of a service.
    pub fn pool(&self, service: &ServiceId) -> Option<&PoolConfig> {
        self.pools.iter().find(|pool| pool.service == *service)
    }

    /// Returns the standby pool, if there is one.
    pub fn standby_pool(&self) -> Option<&PoolConfig> {
        self.pools.iter().find(|pool| pool.standby)
    }
}
