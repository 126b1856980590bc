//! Team of the service text.

use crate::id::TeamId;
use crate::job::JobSize;

/// A team with its resource quota.
#[derive(Clone, Debug)]
pub struct Team {
    /// The unique name in the service text.
    pub id: TeamId,
    /// The resources that the team's jobs may use at the same time without borrowing.
    pub quota: JobSize,
}
