//! The library's error type.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::finding::FindingList;

/// Anything that stops an operation of the library.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// A file could not be read.
    #[error("{}: {source}", path.display())]
    ReadFile {
        /// The file that was asked for.
        path: PathBuf,
        /// What the system answered.
        source: io::Error,
    },
    /// A text has findings and was not used.
    #[error("{0}")]
    Findings(FindingList),
    /// A socket operation failed.
    #[error("{action}: {source}")]
    Socket {
        /// What was attempted, with the address.
        action: String,
        /// What the system answered.
        source: io::Error,
    },
    /// The platform did not answer in time, or not with an answer that can be read.
    #[error("the platform did not answer: {0}")]
    PlatformUnavailable(String),
    /// The platform refused the call.
    #[error("the platform refused with status {status}: {reason}")]
    PlatformRefused {
        /// The HTTP status of the refusal.
        status: u16,
        /// The body of the refusal.
        reason: String,
    },
    /// A daemon refused an operator's call.
    #[error("{address}: refused with status {status}: {reason}")]
    DaemonRefused {
        /// The operator address that was called.
        address: String,
        /// The HTTP status of the refusal.
        status: u16,
        /// The body of the refusal.
        reason: String,
    },
    /// An HTTP exchange failed.
    #[error("{address}: {reason}")]
    Exchange {
        /// The address that was called.
        address: String,
        /// Why no whole answer came.
        reason: String,
    },
}

/// A result with the library's [`Error`].
pub type Result<T> = std::result::Result<T, Error>;
