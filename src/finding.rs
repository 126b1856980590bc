//! Findings in a text: what is wrong and where.

use std::fmt;
use std::ops::Range;

/// One thing wrong with a text, with its place.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Finding {
    line: usize,
    column: usize,
    reason: String,
}

impl Finding {
    /// Returns the line, counted from 1.
    pub fn line(&self) -> usize {
        self.line
    }

    /// Returns what is wrong.
    pub fn reason(&self) -> &str {
        &self.reason
    }
}

/// All findings of one text, reported together in the order of their places.
#[derive(Clone, Debug, Default)]
pub struct FindingList {
    file: String,
    findings: Vec<Finding>,
}

impl FindingList {
    /// Creates an empty list for the text called `file`.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            findings: Vec::new(),
        }
    }

    /// Adds a finding at the byte range `span` of `source`.
    pub fn add(&mut self, source: &str, span: Range<usize>, reason: impl Into<String>) {
        let (line, column) = place_of(source, span.start);
        self.findings.push(Finding {
            line,
            column,
            reason: reason.into(),
        });
    }

    /// Returns the findings found so far.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns `value` if there are no findings, and the sorted list otherwise.
    ///
    /// # Errors
    ///
    /// Returns the list itself when it holds at least one finding.
    pub fn into_result<T>(mut self, value: T) -> Result<T, Self> {
        if self.findings.is_empty() {
            return Ok(value);
        }
        self.findings.sort();
        Err(self)
    }
}

impl fmt::Display for FindingList {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.findings.iter().enumerate() {
            let separator = if index == 0 { "" } else { "\n" };
            write!(
                formatter,
                "{separator}{}:{}:{}: {}",
                self.file, finding.line, finding.column, finding.reason
            )?;
        }
        Ok(())
    }
}

/// Returns the line and column, both counted from 1, of a byte offset.
fn place_of(source: &str, offset: usize) -> (usize, usize) {
    let before = source.get(..offset).unwrap_or(source);
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |index| index + 1);
    let column = before[line_start..].chars().count() + 1;
    (line, column)
}
