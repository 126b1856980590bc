//! Limits the rate of log lines of each kind.

use std::collections::HashMap;

/// About four times the peak rate of the most frequent kind: starts of tasks reach about 120
/// lines per second on the days of highest load.
const MAX_LINES_PER_SECOND: u64 = 500;

/// The number of kinds with a limit of their own; further kinds share one.
const MAX_KINDS: usize = 200;

/// The kind of lines without `event=`. Once [`MAX_KINDS`] kinds are known, further ones are counted
/// under it too.
const OTHER_KIND: &str = "other";

/// The lines of one kind in the current second.
#[derive(Clone, Copy, Debug, Default)]
struct KindCount {
    second: u64,
    written: u64,
    suppressed: u64,
}

/// The decision whether a line is written.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineDecision {
    /// The line is written; the value is the number of lines of its kind suppressed since the
    /// last one written.
    Write(u64),
    /// The line is suppressed and counted.
    Suppress,
}

/// A rate limiter for log lines, by kind: the word after `event=`.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    kinds: HashMap<String, KindCount>,
}

impl LogRateLimiter {
    /// Creates a limiter that has counted no lines.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a line of `kind` and decides whether it is written; `now_ms` is the time on a
    /// monotonic clock.
    pub fn check(&mut self, kind: &str, now_ms: u64) -> LineDecision {
        let known = self.kinds.contains_key(kind);
        let kind = match known || self.kinds.len() < MAX_KINDS {
            true => kind,
            false => OTHER_KIND,
        };
        let count = match self.kinds.get_mut(kind) {
            Some(count) => count,
            None => self.kinds.entry(kind.to_owned()).or_default(),
        };
        let second = now_ms / 1_000;
        if count.second != second {
            count.second = second;
            count.written = 0;
        }
        if count.written >= MAX_LINES_PER_SECOND {
            count.suppressed += 1;
            return LineDecision::Suppress;
        }
        count.written += 1;
        LineDecision::Write(std::mem::take(&mut count.suppressed))
    }

    /// Returns the kind of a line, `other` if it does not start with `event=`.
    pub fn kind_of(line: &str) -> &str {
        let named = line.strip_prefix("event=");
        named.map_or(OTHER_KIND, |rest| rest.split(' ').next().unwrap_or(rest))
    }
}
