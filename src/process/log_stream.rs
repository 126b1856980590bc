//! Log lines on standard output, bounded in rate and never waited for.

use std::io::Write;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::sync::mpsc::sync_channel;
use std::sync::mpsc::Receiver;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::PoisonError;
use std::thread;

use fern::Output;
use log::LevelFilter;

use crate::process::boot_ms;
use crate::process::LineDecision;
use crate::process::LogRateLimiter;

/// The lines that may wait for the output: a few seconds' worth.
const WAITING_LINES: usize = 4_096;

/// Sends log lines to the standard output through a thread of its own.
///
/// A line that finds the queue full is dropped and counted, and the count is written as
/// soon as lines pass again, so that an output that nobody reads delays nothing. Lines
/// beyond the [`LogRateLimiter`] of their kind are suppressed and counted likewise.
pub fn start_log_stream() {
    let (lines, waiting) = sync_channel::<String>(WAITING_LINES);
    let dropped = Arc::new(AtomicU64::new(0));
    let counted = Arc::clone(&dropped);
    let send = move |line: String| {
        if lines.try_send(line).is_err() {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
    };
    let output = Output::call(move |record| send(record.args().to_string()));
    let budget = Mutex::new(LogRateLimiter::new());
    thread::spawn(move || write_lines(&waiting, &counted));
    let dispatch = fern::Dispatch::new()
        .level(LevelFilter::Warn)
        .level_for("zincpier", LevelFilter::Info)
        .level_for("zincpier_platform", LevelFilter::Info)
        .level_for("zincpier_entry", LevelFilter::Info)
        .format(move |out, message, record| {
            let text = message.to_string();
            let kind = LogRateLimiter::kind_of(&text);
            let mut budget = budget.lock().unwrap_or_else(PoisonError::into_inner);
            let verdict = budget.check(kind, boot_ms());
            drop(budget);
            let LineDecision::Write(suppressed) = verdict else {
                return;
            };
            let (time_ms, level) = (crate::process::now_ms(), record.level());
            if suppressed == 0 {
                out.finish(format_args!("time_ms={time_ms} level={level} {text}"));
                return;
            }
            out.finish(format_args!(
                "time_ms={time_ms} level=WARN event=log_lines_suppressed kind={kind} count={suppressed}\n\
                 time_ms={time_ms} level={level} {text}"
            ));
        })
        .chain(output);
    // A second daemon in the same process keeps the first one's logger.
    let _ = dispatch.apply();
}

fn write_lines(waiting: &Receiver<String>, dropped: &AtomicU64) {
    let mut output = std::io::stdout().lock();
    while let Ok(line) = waiting.recv() {
        let mut text = line;
        text.push('\n');
        while let Ok(line) = waiting.try_recv() {
            text.push_str(&line);
            text.push('\n');
            if text.len() > 16 * 1024 {
                break;
            }
        }
        let lost = dropped.swap(0, Ordering::Relaxed);
        if lost > 0 {
            text.push_str(&format!(
                "level=WARN event=log_lines_dropped count={lost}\n"
            ));
        }
        // Without an output there is nothing left to tell of the failure.
        let _ = output.write_all(text.as_bytes());
        let _ = output.flush();
    }
}
