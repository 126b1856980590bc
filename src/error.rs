//! The library's error type.

use std::io;
use std::path::PathBuf;

use thiserror::Error;

use crate::finding::FindingList;

/// The reason why an operation of the library failed.
#[derive(Debug, Error)]
#[non_exhaustive]
pub enum Error {
    /// A file could not be read.
    #[error("{}: {source}", path.display())]
    ReadFile {
        /// The path that was opened.
        path: PathBuf,
        /// The error of the operating system.
        source: io::Error,
    },
    /// A settings file or service text was rejected because of these findings.
    #[error("{0}")]
    Findings(FindingList),
    /// A socket operation failed.
    #[error("{action}: {source}")]
    Socket {
        /// The operation that failed, with the address if there is one.
        action: String,
        /// The error of the operating system.
        source: io::Error,
    },
    /// The platform timed out, answered 429 or a 5xx status, or sent an unreadable response.
    ///
    /// The call may have taken effect. Also used if the platform's data cannot be used, such as
    /// a table row that cannot be decoded. The name of this variant appears in log lines.
    #[error("the platform did not answer: {0}")]
    PlatformSilent(String),
    /// The platform rejected the call.
    #[error("the platform refused with status {status}: {reason}")]
    PlatformRefused {
        /// The HTTP status of the response.
        status: u16,
        /// The body of the response.
        reason: String,
    },
    /// A daemon rejected an operator's call.
    #[error("{address}: refused with status {status}: {reason}")]
    DaemonRefused {
        /// The operator address that was called.
        address: String,
        /// The HTTP status of the response.
        status: u16,
        /// The body of the response.
        reason: String,
    },
    /// A call failed, or its response was incomplete or unreadable; the call may have taken
    /// effect.
    #[error("{address}: {reason}")]
    Exchange {
        /// The address that was called.
        address: String,
        /// Why no usable response was received.
        reason: String,
    },
}

/// A `Result` whose error is [`enum@Error`].
pub type Result<T> = std::result::Result<T, Error>;
