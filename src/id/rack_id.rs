//! Identifier of a rack.

name_id!(
    /// The name of a rack in the service text.
    RackId
);
