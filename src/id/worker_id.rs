//! The name of a worker.

name_id! {
    /// One incarnation of a worker; the next one on its host has another name.
    WorkerId
}
