//! The name of a rack.

name_id!(
    /// Names a rack.
    RackId
);
