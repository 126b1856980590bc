//! Errors in API keys.

use thiserror::Error;

/// Why a text is not an API key. The message doesn't contain the text, which may be a secret.
#[derive(Clone, Copy, Debug, Eq, Error, PartialEq)]
pub enum ApiKeyError {
    /// Its length and the maximum, in bytes.
    #[error("an API key has 1 to {1} bytes, this one has {0}")]
    Length(usize, usize),
    /// It contains a character that a header can't hold, or a space.
    #[error("an API key has visible ASCII characters only")]
    Character,
}
