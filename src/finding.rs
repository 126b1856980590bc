//! Validation findings with their positions in a source text.

use std::fmt;
use std::ops::Range;

/// One validation finding with its line and column; columns are counted in characters.
///
/// Findings compare by position first.
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

    /// Returns the message for the author of the text, without the position.
    pub fn reason(&self) -> &str {
        &self.reason
    }
}

/// The findings of one text, which are reported together in order of position.
#[derive(Clone, Debug, Default)]
pub struct FindingList {
    file: String,
    findings: Vec<Finding>,
}

impl FindingList {
    /// Creates an empty list; `file` is the name that prefixes each displayed finding.
    pub fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            findings: Vec::new(),
        }
    }

    /// Adds a finding at the start of `span`, a byte range of `source`; a start outside `source`
    /// gives the position of its end.
    pub fn add(&mut self, source: &str, span: Range<usize>, reason: impl Into<String>) {
        let (line, column) = line_and_column(source, span.start);
        self.findings.push(Finding {
            line,
            column,
            reason: reason.into(),
        });
    }

    /// Returns the findings in the order in which they were added.
    pub fn findings(&self) -> &[Finding] {
        &self.findings
    }

    /// Returns `value` if the text that was validated has no findings.
    ///
    /// # Errors
    ///
    /// Returns the list, sorted by position, if it has at least one finding.
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

/// Converts a byte offset to a line and a column in characters, both counted from 1.
fn line_and_column(source: &str, offset: usize) -> (usize, usize) {
    let before = source.get(..offset).unwrap_or(source);
    let line = before.matches('\n').count() + 1;
    let line_start = before.rfind('\n').map_or(0, |index| index + 1);
    let column = before[line_start..].chars().count() + 1;
    (line, column)
}
