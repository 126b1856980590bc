//! The name of a customer, on whose behalf a request is made.

name_id!(
    /// Names a customer, on whose behalf a request is made.
    CustomerId
);
