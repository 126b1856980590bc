//! Identifier of an organisation.

name_id!(
    /// An organisation on whose behalf jobs are submitted, and which has API keys, a share of the
    /// capacity and a resource cap.
    OrganisationId
);
