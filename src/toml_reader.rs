//! Reads TOML tables and collects every finding with its position.
//!
//! Reading continues after an invalid value, so that one pass reports them all.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::Range;
use std::str::FromStr;

use toml::de::DeTable;
use toml::de::DeValue;
use toml::Spanned;

use crate::finding::FindingList;

/// A value with its position in the source text.
#[derive(Clone, Debug)]
pub struct SpannedValue<T> {
    /// The parsed value.
    pub value: T,
    /// The byte range of the value in the source text.
    pub span: Range<usize>,
}

/// Reads one TOML table; keys that were not read are reported as unknown.
///
/// Strings, numbers and booleans are all parsed from their text with `FromStr`, so `5` and `"5"`
/// are the same value.
pub struct TableReader<'t> {
    source: &'t str,
    table: &'t DeTable<'t>,
    span: Range<usize>,
    read_keys: BTreeSet<&'static str>,
}

/// Parses a TOML text; on a syntax error, adds it to `findings` and returns `None`.
pub fn parse_toml<'t>(source: &'t str, findings: &mut FindingList) -> Option<Spanned<DeTable<'t>>> {
    let parsed = DeTable::parse(source);
    let add_error = |error: &toml::de::Error| {
        findings.add(source, error.span().unwrap_or(0..0), error.message());
    };
    parsed.inspect_err(add_error).ok()
}

impl<'t> TableReader<'t> {
    /// Creates a reader of `table`, which covers the byte range `span` of `source`.
    pub fn new(source: &'t str, table: &'t DeTable<'t>, span: Range<usize>) -> Self {
        Self {
            source,
            table,
            span,
            read_keys: BTreeSet::new(),
        }
    }

    /// Returns the byte range of the table in the source text.
    pub fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Reads a mandatory value; if it is missing or invalid, adds a finding and returns `None`.
    ///
    /// The finding of a missing value has the position of the table.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        findings: &mut FindingList,
    ) -> Option<SpannedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let value = self.optional(key, findings);
        if value.is_none() && self.value(key).is_none() {
            findings.add(
                self.source,
                self.span.clone(),
                format!("'{key}' is missing"),
            );
        }
        value
    }

    /// Reads an optional value; if it is invalid, adds a finding and returns `None`.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        findings: &mut FindingList,
    ) -> Option<SpannedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.read_keys.insert(key);
        let value = self.value(key)?;
        self.parse(key, value, findings)
    }

    /// Reads an optional value; returns `default` if it is absent or invalid, and adds a finding
    /// if it is invalid.
    pub fn or_default<T>(&mut self, key: &'static str, default: T, findings: &mut FindingList) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(key, findings)
            .map_or(default, |spanned| spanned.value)
    }

    /// Reads a list of values, empty if the key is absent; adds a finding for each invalid item.
    pub fn list<T>(&mut self, key: &'static str, findings: &mut FindingList) -> Vec<SpannedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.read_keys.insert(key);
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.add_type_mismatch(key, "a list", value, findings);
            return Vec::new();
        };
        items
            .iter()
            .filter_map(|item| self.parse(key, item, findings))
            .collect()
    }

    /// Reads a list of tables, empty if the key is absent; adds a finding for each item that is
    /// not a table.
    pub fn tables(
        &mut self,
        key: &'static str,
        findings: &mut FindingList,
    ) -> Vec<TableReader<'t>> {
        self.read_keys.insert(key);
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.add_type_mismatch(key, "a list of tables", value, findings);
            return Vec::new();
        };
        let mut readers = Vec::new();
        for item in items {
            match item.get_ref().as_table() {
                Some(table) => readers.push(TableReader::new(self.source, table, item.span())),
                None => self.add_type_mismatch(key, "a table", item, findings),
            }
        }
        readers
    }

    /// Adds a finding for every key of the table that was not read.
    pub fn finish(self, findings: &mut FindingList) {
        for key in self.table.keys() {
            if !self.read_keys.contains(key.get_ref().as_ref()) {
                findings.add(
                    self.source,
                    key.span(),
                    format!("unknown key '{}'", key.get_ref()),
                );
            }
        }
    }

    fn value(&self, key: &str) -> Option<&'t Spanned<DeValue<'t>>> {
        self.table
            .iter()
            .find(|(name, _)| name.get_ref().as_ref() == key)
            .map(|(_, value)| value)
    }

    fn parse<T>(
        &self,
        key: &str,
        value: &Spanned<DeValue<'t>>,
        findings: &mut FindingList,
    ) -> Option<SpannedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let Some(text) = scalar_to_string(value.get_ref()) else {
            self.add_type_mismatch(key, "a single value", value, findings);
            return None;
        };
        match text.parse() {
            Ok(parsed) => Some(SpannedValue {
                value: parsed,
                span: value.span(),
            }),
            Err(error) => {
                findings.add(self.source, value.span(), format!("'{key}': {error}"));
                None
            }
        }
    }

    fn add_type_mismatch(
        &self,
        key: &str,
        expected: &str,
        value: &Spanned<DeValue<'t>>,
        findings: &mut FindingList,
    ) {
        findings.add(
            self.source,
            value.span(),
            format!("'{key}' is {expected}, not {}", value.get_ref().type_str()),
        );
    }
}

/// Formats a string, number or boolean so that `FromStr` can parse it; `None` for other types.
fn scalar_to_string(value: &DeValue<'_>) -> Option<String> {
    match value {
        DeValue::String(text) => Some(text.to_string()),
        DeValue::Integer(number) => Some(number.to_string()),
        DeValue::Float(number) => Some(number.to_string()),
        DeValue::Boolean(flag) => Some(flag.to_string()),
        DeValue::Datetime(_) | DeValue::Array(_) | DeValue::Table(_) => None,
    }
}
