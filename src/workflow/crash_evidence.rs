//! What shows that a worker has crashed.

use std::fmt;

/// What shows that a worker's incarnation has ended without a shutdown or a command to its host.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CrashEvidence {
    /// Its host is listed as down.
    HostDown,
    /// Its host is listed with another worker, and was not commanded.
    Replaced,
    /// No host lists it, as a new controller finds.
    Unhosted,
    /// Another worker answers at its address.
    OtherIncarnation,
    /// It states a later start than before.
    Restarted,
}

impl CrashEvidence {
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
