//! Identifier of a worker.

name_id! {
    /// Identifies one incarnation of a worker; a restarted worker on the same host gets a new id.
    WorkerId
}
