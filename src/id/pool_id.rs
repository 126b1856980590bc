//! The name of a pool of hosts.

name_id!(
    /// Names a pool of hosts.
    PoolId
);
