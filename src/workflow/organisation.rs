//! An organisation as the operator configures it.

use crate::id::OrganisationId;
use crate::workflow::ApiKey;
use crate::workflow::ResourceCap;
use crate::workflow::ShareWeight;

/// An organisation that submits jobs.
#[derive(Clone, Debug, PartialEq)]
pub struct Organisation {
    /// Identifies the organisation across versions of the configuration.
    pub id: OrganisationId,
    /// The keys that its callers may use. Without any, its callers are rejected, and jobs that were
    /// accepted before still run.
    pub keys: Vec<ApiKey>,
    /// 0 comes first among jobs of the same queue priority.
    pub priority: u32,
    /// Its share of the capacity, and the number of jobs a second that it is entitled to.
    pub weight: ShareWeight,
    /// The limit on what it has running on all workers together.
    pub cap: ResourceCap,
}
