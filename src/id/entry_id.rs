//! The name of an entry host.

name_id!(
    /// Names an entry host.
    EntryId
);
