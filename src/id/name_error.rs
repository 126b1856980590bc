//! The check that every name passes.

use thiserror::Error;

/// The greatest length of a name, in characters.
const NAME_LIMIT: usize = 64;

/// A text that cannot be a name.
#[derive(Clone, Debug, Eq, Error, PartialEq)]
#[error("a name has 1 to {NAME_LIMIT} letters, digits, '-', '_' or '.', unlike {0:?}")]
pub struct NameError(String);

impl NameError {
    /// Creates the error about a text.
    pub(crate) fn new(text: &str) -> Self {
        Self(text.to_owned())
    }
}

/// Checks that `text` can be a name.
pub(crate) fn check_name(text: &str) -> Result<(), NameError> {
    let sized = (1..=NAME_LIMIT).contains(&text.len());
    let plain = text
        .bytes()
        .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    if sized && plain {
        return Ok(());
    }
    Err(NameError(text.to_owned()))
}
