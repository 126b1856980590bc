//! Identifier of a pool of hosts.

name_id!(
    /// The name of a pool of hosts in the service text.
    PoolId
);
