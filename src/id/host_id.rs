//! The name of a host that runs a backend server or a worker.

name_id!(
    /// Names a host that runs a backend server or a worker.
    HostId
);
