//! Identifier of a service.

name_id!(
    /// The name of a service in the service text.
    ServiceId
);
