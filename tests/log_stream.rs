//! Tests the log stream: what is written of lines at a high rate.

#[path = "common/write_recorder.rs"]
mod write_recorder;

use std::sync::OnceLock;
use std::time::Duration;

use zincpier::process::start_log_stream_to;
use zincpier::process::LogStream;
use zincpier::process::LONG_RUNNING_TARGET;

use crate::write_recorder::WriteRecorder;

/// The largest write that a pipe takes as a whole, in bytes: `PIPE_BUF` of Linux.
const ATOMIC_WRITE_BYTES: usize = 4_096;

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

/// Logs `count` warnings and then `count` lines with the target of long-running tasks, of one kind each and
/// about as many jobs, during a peak of lines about jobs. Returns the numbers of those written.
fn log_beside_a_peak(count: usize) -> (usize, usize) {
    let (stream, recorder) = log_stream();
    for number in 0..20_000 {
        log::info!(target: "zincpier", "event=peak_line job={number:016x}");
    }
    for number in 0..count {
        log::warn!(target: "zincpier", "event=peak_warning job={number:016x} failures=4");
        log::info!(target: LONG_RUNNING_TARGET, "event=peak_start task={number:016x}.0.0.0 run=1");
    }
    stream.flush(Duration::from_secs(5));
    let warnings = recorder.lines_with("event=peak_warning ").len();
    (warnings, recorder.lines_with("event=peak_start ").len())
}

/// Guards against a peak at which the lines that matter most are left to chance.
#[test]
fn sampling_never_drops_warnings() {
    let (warnings, long_running) = log_beside_a_peak(300);

    assert_eq!((warnings, long_running), (300, 300));
    let (_, recorder) = log_stream();
    let lines = recorder.lines_with("event=peak_line ").len();
    assert!((1..3_500).contains(&lines), "{lines} lines written");
    assert!(!recorder.lines_with("event=log_sampling ").is_empty());
}
