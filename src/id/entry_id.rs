//! Identifier of an entry host.

name_id!(
    /// The configured name of an entry host, which stays the same over restarts.
    EntryId
);
