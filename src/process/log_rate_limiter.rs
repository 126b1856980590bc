//! How many log lines of each kind a second may bring.

use std::collections::HashMap;

/// The lines of one kind in a second: some times what the busiest kind, starts of tasks,
/// reached on the users' days of highest load (about 120).
const LINES_A_SECOND: u64 = 500;

/// The kinds that are counted apart; those beyond share one budget.
const MOST_KINDS: usize = 200;

/// The kind of lines that name none, and of those beyond the most.
const OTHER_KIND: &str = "other";

/// What was written of one kind.
#[derive(Clone, Copy, Debug, Default)]
struct KindCount {
    second: u64,
    written: u64,
    suppressed: u64,
}

/// What becomes of a line.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum LineDecision {
    /// It is written; so many of its kind were suppressed before.
    Write(u64),
    /// It is suppressed and counted.
    Suppress,
}

/// The budget of each kind of log lines, by the word after `event=`.
#[derive(Debug, Default)]
pub struct LogRateLimiter {
    kinds: HashMap<String, KindCount>,
}

impl LogRateLimiter {
    /// Creates a budget of which nothing is spent.
    pub fn new() -> Self {
        Self::default()
    }

    /// Judges a line of `kind` at `now_ms`.
    pub fn check(&mut self, kind: &str, now_ms: u64) -> LineDecision {
        let known = self.kinds.contains_key(kind);
        let kind = match known || self.kinds.len() < MOST_KINDS {
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
        if count.written >= LINES_A_SECOND {
            count.suppressed += 1;
            return LineDecision::Suppress;
        }
        count.written += 1;
        LineDecision::Write(std::mem::take(&mut count.suppressed))
    }

    /// Returns the kind of a line.
    pub fn kind_of(line: &str) -> &str {
        let named = line.strip_prefix("event=");
        named.map_or(OTHER_KIND, |rest| rest.split(' ').next().unwrap_or(rest))
    }
}
