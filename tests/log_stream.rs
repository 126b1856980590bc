//! Tests the log stream: what is written of lines at a high rate.

use std::io::Result as IoResult;
use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use zincpier::process::start_log_stream_to;
use zincpier::process::LogStream;

/// The largest write that a pipe takes as a whole, in bytes: `PIPE_BUF` of Linux.
const ATOMIC_WRITE_BYTES: usize = 4_096;

/// An output that keeps each write.
#[derive(Clone, Default)]
struct WriteRecorder {
    writes: Arc<Mutex<Vec<Vec<u8>>>>,
}

impl WriteRecorder {
    /// Returns the lines that contain `text`.
    fn lines_with(&self, text: &str) -> Vec<String> {
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

/// Returns the log stream of this process, since there is one logger per process, and its output.
fn log_stream() -> &'static (LogStream, WriteRecorder) {
    static STREAM: OnceLock<(LogStream, WriteRecorder)> = OnceLock::new();
    STREAM.get_or_init(|| {
        let recorder = WriteRecorder::default();
        (start_log_stream_to(recorder.clone()), recorder)
    })
}

/// Logs `count` lines of one kind at once, waits until they are written, and returns those written.
fn log_lines(kind: &str, count: u64) -> Vec<String> {
    let (stream, recorder) = log_stream();
    for number in 0..count {
        log::info!(target: "zincpier", "event={kind} number={number} outcome=accepted");
    }
    stream.flush(Duration::from_secs(5));
    recorder.lines_with(&format!("event={kind} "))
}

/// Guards against a rate limit that counts lines as suppressed and writes them all the same, without
/// their time and level.
#[test]
fn suppressed_lines_are_not_written_without_their_time() {
    let lines = log_lines("burst", 3_000);

    let unstamped = lines.iter().filter(|line| !line.starts_with("time_ms="));
    assert_eq!(unstamped.count(), 0);
    assert!(lines.len() < 2_000, "{} lines written", lines.len());
}

/// Guards against lines that are cut, or mixed with another process's, in a pipe that several write to.
#[test]
fn lines_are_written_in_pieces_that_a_pipe_takes_whole() {
    log_lines("steady", 400);

    let (_, recorder) = log_stream();
    let writes = recorder.writes.lock().unwrap();
    let longest = writes.iter().map(Vec::len).max().unwrap();
    assert!(longest <= ATOMIC_WRITE_BYTES, "{longest} bytes");
    let is_whole = |bytes: &Vec<u8>| bytes.ends_with(b"\n");
    assert!(writes.iter().all(is_whole));
}
