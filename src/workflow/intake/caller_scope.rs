//! The jobs that a caller may see and cancel.

use serde::Deserialize;
use serde::Serialize;

use crate::id::OrganisationId;

/// Whose jobs a caller may see and cancel. Its own jobs belong to its organisation.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum CallerScope {
    /// All jobs, since the configuration has no organisations.
    Everything,
    /// The jobs without an owner, since the caller uses a public queue.
    Public,
    /// The jobs of this organisation and those without an owner.
    Organisation(OrganisationId),
}

impl CallerScope {
    /// Returns the organisation that the caller submits jobs for.
    pub fn organisation(&self) -> Option<&OrganisationId> {
        match self {
            Self::Organisation(organisation) => Some(organisation),
            Self::Everything | Self::Public => None,
        }
    }

    /// Returns whether the caller may see and cancel the jobs of `owner`.
    pub fn includes(&self, owner: Option<&OrganisationId>) -> bool {
        match self {
            Self::Everything => true,
            Self::Public => owner.is_none(),
            Self::Organisation(organisation) => owner.is_none_or(|owner| owner == organisation),
        }
    }
}
