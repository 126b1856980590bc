//! Writes log lines to standard output without blocking the caller, at a limited rate.

use std::fmt::Write as _;
use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::sync_channel;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use fern::Output;
use log::LevelFilter;
use log::Record;

use crate::process::boot_ms;
use crate::process::now_ms;
use crate::process::LineBatch;
use crate::process::LineDecision;
use crate::process::LineStart;
use crate::process::LogLimits;
use crate::process::LogRateLimiter;
use crate::process::SamplingChange;

/// The capacity of the line queue: a few seconds of logging at peak load.
const QUEUE_LINES: usize = 4_096;

/// How long the writer collects lines after the first one. While it collects, queueing a line wakes
/// no thread.
const COLLECT_TIME: Duration = Duration::from_millis(20);

/// Interval at which a flush looks whether all lines are written.
const FLUSH_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// Counts of lines, shared by the code that logs and the writer.
#[derive(Default)]
struct LineCounts {
    queued: AtomicU64,
    written: AtomicU64,
    dropped: AtomicU64,
}

/// A log whose lines are written by a thread of its own.
pub struct LogStream {
    counts: Arc<LineCounts>,
}

impl LogStream {
    /// Waits until the lines logged so far are written, at most `limit`. A process that exits
    /// without it may lose its last lines.
    pub fn flush(&self, limit: Duration) {
        let deadline = Instant::now() + limit;
        let queued = self.counts.queued.load(Ordering::Acquire);
        while self.counts.written.load(Ordering::Acquire) < queued && Instant::now() < deadline {
            thread::sleep(FLUSH_POLL_INTERVAL);
        }
    }
}

/// Writes log lines to standard output, see [`start_log_stream_to`].
pub fn start_log_stream() -> LogStream {
    start_log_stream_to(std::io::stdout())
}

/// Writes log lines to `output` from a dedicated thread.
///
/// A line is dropped and counted if the queue is full, so that a blocked standard output does not
/// block the code that logs. The count is logged as soon as lines are written again. Lines over the
/// limit of the [`LogRateLimiter`] are suppressed; their count is logged before the next line of
/// the same kind. Lines about jobs are sampled by job, see [`crate::process::JobSampler`]; each change
/// of the rate is logged.
pub fn start_log_stream_to(output: impl Write + Send + 'static) -> LogStream {
    let (lines, queued) = sync_channel::<String>(QUEUE_LINES);
    let counts = Arc::new(LineCounts::default());
    let limits = Mutex::new(LogLimits::default());
    let sent = Arc::clone(&counts);
    // A line that a formatter of the dispatch leaves out would be written without format, so lines
    // are formatted and suppressed here.
    let sender = Output::call(move |record| {
        let Some(line) = format_line(record, &limits) else {
            return;
        };
        let counter = match lines.try_send(line) {
            Ok(()) => &sent.queued,
            Err(_) => &sent.dropped,
        };
        counter.fetch_add(1, Ordering::Release);
    });
    let writer_counts = Arc::clone(&counts);
    thread::spawn(move || write_lines(output, &queued, &writer_counts));
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("zincpier", LevelFilter::Info)
        .level_for("zincpier_platform", LevelFilter::Info)
        .level_for("zincpier_entry", LevelFilter::Info)
        .chain(sender);
    // The logger is global: a second daemon in the same process logs through the first one's.
    let _ = dispatch.apply();
    LogStream { counts }
}

/// Returns the line of a record with its time and level; before it, the number of lines of its kind that
/// were suppressed since the last one, and a change of the sampling. `None` if nothing is to be written.
fn format_line(record: &Record<'_>, limits: &Mutex<LogLimits>) -> Option<String> {
    // Of lines over a limit, which most are at a peak, only the first words are formatted.
    let mut start = LineStart::default();
    let _ = start.write_fmt(*record.args());
    let start = start.as_str();
    let (decision, change) = {
        let mut limits = limits.lock().unwrap_or_else(PoisonError::into_inner);
        let decision = limits.check(start, record.level(), record.target(), boot_ms());
        (decision, limits.take_change())
    };
    let time_ms = now_ms();
    let change = change.map(|change| {
        let SamplingChange {
            kept_per_mille,
            dropped,
        } = change;
        format!("time_ms={time_ms} level=WARN event=log_sampling kept_per_mille={kept_per_mille} dropped={dropped}")
    });
    let LineDecision::Write(suppressed) = decision else {
        return change;
    };
    let suppressed = (suppressed > 0).then(|| {
        let kind = LogRateLimiter::kind_of(start);
        format!("time_ms={time_ms} level=WARN event=log_lines_suppressed kind={kind} count={suppressed}")
    });
    let (level, text) = (record.level(), record.args());
    let line = format!("time_ms={time_ms} level={level} {text}");
    if change.is_none() && suppressed.is_none() {
        return Some(line);
    }
    let lines: Vec<_> = change.into_iter().chain(suppressed).chain([line]).collect();
    Some(lines.join("\n"))
}

/// Writes queued lines in batches of whole lines until the logger is dropped.
fn write_lines(mut output: impl Write, queued: &Receiver<String>, counts: &LineCounts) {
    while let Ok(line) = queued.recv() {
        thread::sleep(COLLECT_TIME);
        let mut batch = LineBatch::default();
        batch.push(&line);
        while let Ok(line) = queued.try_recv() {
            if !batch.has_room(&line) {
                write_batch(&mut batch, &mut output, counts);
            }
            batch.push(&line);
        }
        write_batch(&mut batch, &mut output, counts);
        let dropped_lines = counts.dropped.swap(0, Ordering::Relaxed);
        if dropped_lines > 0 {
            let text = format!("level=WARN event=log_lines_dropped count={dropped_lines}\n");
            let _ = output.write_all(text.as_bytes());
        }
    }
}

fn write_batch(batch: &mut LineBatch, output: &mut impl Write, counts: &LineCounts) {
    let lines = batch.write_to(output);
    counts.written.fetch_add(lines, Ordering::Release);
}
