//! What shows that a worker has crashed.

use std::fmt;

use crate::workflow::HostState;

/// What shows that a worker's incarnation has ended without a shutdown or a command to its host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEvidence {
    /// Its host is listed as down.
    HostDown,
    /// Its host is listed with another worker, and was not commanded.
    Replaced,
    /// No host lists it, and it has not answered this controller.
    Unhosted,
    /// Another worker answers at its address.
    OtherIncarnation,
    /// It states a later start than before.
    Restarted,
}

impl CrashEvidence {
    /// Returns what shows that a host's worker has crashed, if the host listed it in the state `before` and
    /// no longer does in the state `after`. A host that `was_commanded` may have ended it for that.
    pub(crate) fn from_host(
        before: HostState,
        after: HostState,
        was_commanded: bool,
    ) -> Option<Self> {
        match (before, after) {
            (_, HostState::Down) => Some(Self::HostDown),
            (_, HostState::Moving | HostState::Upkeep) => None,
            (HostState::Up, HostState::Up) if !was_commanded => Some(Self::Replaced),
            (_, HostState::Up) => None,
        }
    }

    /// Returns the evidence in words, for the log.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::HostDown => "its host is down",
            Self::Replaced => "its host has another worker",
            Self::Unhosted => "no host lists it",
            Self::OtherIncarnation => "another incarnation answered",
            Self::Restarted => "it has started again",
        }
    }
}

impl fmt::Display for CrashEvidence {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}
