//! An output that keeps what is written to it.

use std::io::Result as IoResult;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;

/// An output that keeps each write.
#[derive(Clone, Default)]
pub(crate) struct WriteRecorder {
    pub(crate) writes: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl WriteRecorder {
    /// Returns the lines that contain `text`.
    pub(crate) fn lines_with(&self, text: &str) -> Vec<String> {
        let written = self.writes.lock().unwrap().concat();
        let written = String::from_utf8(written).unwrap();
        let lines = written.lines().filter(|line| line.contains(text));
        lines.map(str::to_owned).collect()
    }
}

impl Write for WriteRecorder {
    fn write(&mut self, bytes: &[u8]) -> IoResult<usize> {
        self.writes.lock().unwrap().push(bytes.to_vec());
        Ok(bytes.len())
    }

    fn flush(&mut self) -> IoResult<()> {
        Ok(())
    }
}
