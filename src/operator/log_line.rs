//! One line of an entry host's log.

use std::collections::BTreeMap;

/// What a line says, with the entry host that wrote it if the collection names it.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct LogLine {
    /// When it was written, in ms since 1970 on the host's clock.
    pub time_ms: u64,
    /// The entry host, from the last word before the line's own text.
    pub host: Option<String>,
    /// What happened.
    pub event: String,
    /// The other fields.
    pub fields: BTreeMap<String, String>,
    /// The line's own text.
    pub text: String,
}

impl LogLine {
    /// Reads a line; one of another program gives nothing.
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

    /// Returns a field, empty if the line has none of that name.
    pub fn field(&self, name: &str) -> &str {
        self.fields.get(name).map_or("", String::as_str)
    }

    /// Returns a field that is a number.
    pub fn u64_field(&self, name: &str) -> Option<u64> {
        self.field(name).parse().ok()
    }

    /// Tells whether the line is about a job: by its id, or by a task of it.
    pub fn is_about_job(&self, job: &str) -> bool {
        let task = self.field("task");
        let of_task = task
            .strip_prefix(job)
            .is_some_and(|rest| rest.starts_with('.'));
        self.field("job") == job || of_task
    }
}

/// Reads `name=value` pairs; a value in quotes may hold blanks.
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

fn parse_value(text: &str) -> (&str, &str) {
    match text.strip_prefix('"') {
        Some(quoted) => quoted.split_once('"').unwrap_or((quoted, "")),
        None => text.split_once(' ').unwrap_or((text, "")),
    }
}
