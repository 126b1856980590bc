//! Log lines that are written together.

use std::io::Write;

/// The largest write, in bytes: `PIPE_BUF` of Linux, up to which writes to a pipe are not split or mixed
/// with those of others. A longer line is written by itself.
const MAX_WRITE_BYTES: usize = 4_096;

/// Lines that are written with one call.
#[derive(Debug, Default)]
pub(crate) struct LineBatch {
    text: String,
    lines: u64,
}

impl LineBatch {
    /// Returns whether the line can be written together with those of the batch.
    pub(crate) fn has_room(&self, line: &str) -> bool {
        self.text.len() + line.len() < MAX_WRITE_BYTES
    }

    /// Appends a line, which has no line break at its end.
    pub(crate) fn push(&mut self, line: &str) {
        self.text.push_str(line);
        self.text.push('\n');
        self.lines += 1;
    }

    /// Writes all lines, leaves the batch empty, and returns how many lines it had.
    pub(crate) fn write_to(&mut self, output: &mut impl Write) -> u64 {
        // A failure of the output cannot be reported: it is the log's only output.
        let _ = output.write_all(self.text.as_bytes());
        let _ = output.flush();
        self.text.clear();
        std::mem::take(&mut self.lines)
    }
}
