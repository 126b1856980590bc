//! Identifier of a host.

name_id!(
    /// A host that runs a backend server or a worker.
    HostId
);
