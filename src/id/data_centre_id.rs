//! The name of a data centre.

name_id!(
    /// Names a data centre.
    DataCentreId
);
