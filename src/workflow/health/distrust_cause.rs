//! Why a worker is quarantined.

use std::fmt::Display;
use std::fmt::Formatter;

/// Why a worker is quarantined.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum DistrustCause {
    /// Too many of its runs failed.
    Failures,
    /// It repeatedly gave no answer for a short time, while most workers answered.
    Silences,
    /// Its tasks make no progress.
    Stall,
}

impl Display for DistrustCause {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str(match self {
            Self::Failures => "failures",
            Self::Silences => "silences",
            Self::Stall => "stall",
        })
    }
}
