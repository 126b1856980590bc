//! Identifier of a customer.

name_id!(
    /// The customer on whose behalf a request is made.
    CustomerId
);
