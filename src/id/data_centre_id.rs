//! Identifier of a data centre.

name_id!(
    /// The name of a data centre in the service text.
    DataCentreId
);
