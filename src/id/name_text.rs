//! The text of a name, kept without an allocation where it is short.

use std::cmp::Ordering;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::sync::Arc;

use serde::de::Error;
use serde::de::Visitor;
use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;

const WORD_BYTES: usize = 8;
const WORDS: usize = 3;

/// The longest text that is kept inline, in bytes; the last byte holds the length.
const MAX_INLINE_BYTES: usize = WORDS * WORD_BYTES - 1;

/// The text of a name. Names are compared far more often than made, mostly as keys of maps with
/// thousands of entries, where following a pointer for each comparison costs a cache miss.
#[derive(Clone)]
pub(crate) enum NameText {
    /// The text, padded with zeros, and its length in the last byte.
    Inline([[u8; WORD_BYTES]; WORDS]),
    /// A text of more than [`MAX_INLINE_BYTES`].
    Shared(Arc<str>),
}

impl NameText {
    pub(crate) fn new(text: &str) -> Self {
        if text.len() > MAX_INLINE_BYTES {
            return Self::Shared(text.into());
        }
        let mut words = [[0; WORD_BYTES]; WORDS];
        let bytes = words.as_flattened_mut();
        bytes[..text.len()].copy_from_slice(text.as_bytes());
        bytes[MAX_INLINE_BYTES] = text.len() as u8;
        Self::Inline(words)
    }

    pub(crate) fn as_str(&self) -> &str {
        match self {
            Self::Inline(words) => {
                let bytes = words.as_flattened();
                let length = usize::from(bytes[MAX_INLINE_BYTES]);
                // The bytes were taken from a text.
                std::str::from_utf8(&bytes[..length]).unwrap_or_default()
            }
            Self::Shared(text) => text,
        }
    }
}

/// Returns numbers that are in the order of the inline texts.
fn sort_key(words: &[[u8; WORD_BYTES]; WORDS]) -> [u64; WORDS] {
    words.map(u64::from_be_bytes)
}

impl Eq for NameText {}

impl Hash for NameText {
    fn hash<H: Hasher>(&self, state: &mut H) {
        // Entry hosts of different builds must agree on the hash of a name.
        self.as_str().hash(state);
    }
}

impl Ord for NameText {
    fn cmp(&self, other: &Self) -> Ordering {
        match (self, other) {
            (Self::Inline(words), Self::Inline(others)) => sort_key(words).cmp(&sort_key(others)),
            _ => self.as_str().cmp(other.as_str()),
        }
    }
}

impl PartialEq for NameText {
    fn eq(&self, other: &Self) -> bool {
        match (self, other) {
            (Self::Inline(words), Self::Inline(others)) => sort_key(words) == sort_key(others),
            (Self::Shared(text), Self::Shared(others)) => text == others,
            // The length decides which of the two a text is.
            _ => false,
        }
    }
}

impl PartialOrd for NameText {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl fmt::Debug for NameText {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self.as_str(), formatter)
    }
}

impl Serialize for NameText {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(self.as_str())
    }
}

impl<'de> Deserialize<'de> for NameText {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(NameTextVisitor)
    }
}

struct NameTextVisitor;

impl Visitor<'_> for NameTextVisitor {
    type Value = NameText;

    fn expecting(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("a string")
    }

    fn visit_str<E: Error>(self, text: &str) -> Result<NameText, E> {
        Ok(NameText::new(text))
    }
}
