//! The first words of a log line.

use std::fmt::Error;
use std::fmt::Result;
use std::fmt::Write;

/// The number of words that are taken: the event, and the job or task that it is about.
const WORDS: usize = 2;

/// Takes a line up to its second space, and fails there, so that the rest is not formatted.
#[derive(Debug, Default)]
pub(crate) struct LineStart {
    text: String,
    spaces: usize,
}

impl LineStart {
    /// Returns what was taken.
    pub(crate) fn as_str(&self) -> &str {
        &self.text
    }
}

impl Write for LineStart {
    fn write_str(&mut self, text: &str) -> Result {
        for (place, _) in text.match_indices(' ') {
            self.spaces += 1;
            if self.spaces == WORDS {
                self.text.push_str(&text[..place]);
                return Err(Error);
            }
        }
        self.text.push_str(text);
        Ok(())
    }
}
