//! How far a worker is trusted with new tasks.

use std::fmt::Display;
use std::fmt::Formatter;

/// How far a worker is trusted with new tasks.
#[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub enum HealthState {
    /// It gets tasks up to its capacity.
    Trusted,
    /// It has been in quarantine and gets few tasks until some of them have succeeded.
    Probing,
    /// It gets no new tasks.
    Quarantined,
}

impl HealthState {
    /// All states.
    pub const ALL: [Self; 3] = [Self::Trusted, Self::Probing, Self::Quarantined];

    /// Returns the state's name in logs and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Trusted => "trusted",
            Self::Probing => "probing",
            Self::Quarantined => "quarantined",
        }
    }
}

impl Display for HealthState {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(self.as_str())
    }
}
