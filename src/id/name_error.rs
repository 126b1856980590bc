//! Validation of the names that identify hosts, services, jobs and the like.

use thiserror::Error;

const MAX_NAME_CHARS: usize = 64;

/// The error for a text that is not a valid name.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("a name has 1 to {MAX_NAME_CHARS} letters, digits, '-', '_' or '.', unlike {0:?}")]
pub struct NameError(String);

impl NameError {
    /// Creates the error for the rejected `text`.
    pub(crate) fn new(text: &str) -> Self {
        Self(text.to_owned())
    }
}

/// Checks that a name has 1 to 64 ASCII letters, digits, `-`, `_` or `.`.
pub(crate) fn check_name(text: &str) -> Result<(), NameError> {
    let valid_length = (1..=MAX_NAME_CHARS).contains(&text.len());
    let valid_chars = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if valid_length && valid_chars {
        return Ok(());
    }
    Err(NameError(text.to_owned()))
}
