//! A team of the service text.

use crate::id::TeamId;
use crate::job::JobSize;

/// A team and what it may use at any moment.
#[derive(Clone, Debug)]
pub struct Team {
    /// Its name.
    pub id: TeamId,
    /// What it may use without borrowing.
    pub quota: JobSize,
}
