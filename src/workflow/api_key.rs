//! API key of an organisation.

use std::borrow::Borrow;
use std::fmt::Debug;
use std::fmt::Display;
use std::fmt::Formatter;
use std::str::FromStr;

use crate::workflow::ApiKeyError;

/// The limit on the length of a key, in bytes. It bounds the memory of the key index.
const MAX_KEY_BYTES: usize = 256;

/// A secret with which callers authenticate for an organisation. `Debug` and `Display` hide it, so
/// that it can't appear in a log line.
#[derive(Clone, Eq, Hash, Ord, PartialEq, PartialOrd)]
pub struct ApiKey(Box<str>);

/// Lets a map with keys be searched by what a caller sent. Both have the same hash.
impl Borrow<str> for ApiKey {
    fn borrow(&self) -> &str {
        &self.0
    }
}

impl Debug for ApiKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.write_str("ApiKey(hidden)")
    }
}

impl Display for ApiKey {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> std::fmt::Result {
        formatter.pad("(hidden)")
    }
}

impl FromStr for ApiKey {
    type Err = ApiKeyError;

    /// Accepts 1 to 256 bytes of visible ASCII characters, which is what a header can hold.
    fn from_str(text: &str) -> Result<Self, Self::Err> {
        if text.is_empty() || text.len() > MAX_KEY_BYTES {
            return Err(ApiKeyError::Length(text.len(), MAX_KEY_BYTES));
        }
        if !text.bytes().all(|byte| byte.is_ascii_graphic()) {
            return Err(ApiKeyError::Character);
        }
        Ok(Self(text.into()))
    }
}
