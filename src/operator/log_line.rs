//! Parser for entry hosts' `key=value` log lines.

use std::collections::BTreeMap;

/// A parsed log line, with the entry host that wrote it if the log collector prefixed its name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// Time of writing, in ms since the Unix epoch, on the host's clock.
    pub time_ms: u64,
    /// The entry host: the last word before `time_ms=`, or `None` if the line starts with it.
    pub host: Option<String>,
    /// Value of `event`.
    pub event: String,
    /// All fields but `time_ms` and `event`.
    pub fields: BTreeMap<String, String>,
    /// The line from `time_ms=` on, without the collector's prefix.
    pub text: String,
}

impl LogLine {
    /// Parses a line; returns `None` if it lacks `time_ms` or `event`, as lines of other programs do.
    pub fn parse(line: &str) -> Option<Self> {
        let start = line.find("time_ms=")?;
        let (prefix, text) = line.split_at(start);
        let mut fields = parse_fields(text);
        Some(Self {
            time_ms: fields.remove("time_ms")?.parse().ok()?,
            host: prefix.split_whitespace().last().map(ToOwned::to_owned),
            event: fields.remove("event")?,
            fields,
            text: text.trim_end().to_owned(),
        })
    }

    /// Returns the value of a field, or an empty string if it is absent.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns a field as an integer, or `None` if it is absent or not one.
    pub fn u64_field(&self, name: &str) -> Option<u64> {
        self.field(name).parse().ok()
    }

    /// Whether the line names the job in `job`, or one of its tasks in `task`.
    pub fn is_about_job(&self, job: &str) -> bool {
        let task = self.field("task");
        let names_task = task
            .strip_prefix(job)
            .is_some_and(|rest| rest.starts_with('.'));
        self.field("job") == job || names_task
    }
}

/// Parses `name=value` pairs and skips other words; a quoted value may contain spaces.
fn parse_fields(text: &str) -> BTreeMap<String, String> {
    let mut fields = BTreeMap::new();
    let mut rest = text.trim();
    while let Some((name, after)) = rest.split_once('=') {
        let name = name.rsplit(' ').next().unwrap_or(name);
        let (value, next) = parse_value(after);
        fields.insert(name.to_owned(), value.to_owned());
        rest = next.trim_start();
    }
    fields
}

/// Returns the value at the start of `text`, and the text after it.
fn parse_value(text: &str) -> (&str, &str) {
    match text.strip_prefix('"') {
        Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
        None => text.split_once(' ').unwrap_or((text, "")),
    }
}
