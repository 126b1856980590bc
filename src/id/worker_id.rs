//! The name of a worker.

name_id! {
    /// One life of a worker; a host's next life has another name.
    WorkerId
}
