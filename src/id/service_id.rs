//! The name of a service.

name_id!(
    /// Names a service.
    ServiceId
);
