//! The first word of a log line.

use std::fmt::Error;
use std::fmt::Result;
use std::fmt::Write;

/// Takes a line up to its first space, and fails there, so that the rest is not formatted.
#[derive(Debug, Default)]
pub(crate) struct LineStart {
    text: String,
}

impl LineStart {
    /// Returns what was taken.
    pub(crate) fn as_str(&self) -> &str {
        &self.text
    }
}

impl Write for LineStart {
    fn write_str(&mut self, text: &str) -> Result {
        let end = text.find(' ');
        self.text.push_str(&text[..end.unwrap_or(text.len())]);
        match end {
            Some(_) => Err(Error),
            None => Ok(()),
        }
    }
}
