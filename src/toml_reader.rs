//! Reading of TOML tables that collects every finding with its place.

use std::collections::BTreeSet;
use std::fmt::Display;
use std::ops::Range;
use std::str::FromStr;

use toml::de::DeTable;
use toml::de::DeValue;
use toml::Spanned;

use crate::finding::FindingList;

/// A value together with its byte range in the text.
#[derive(Clone, Debug)]
pub struct SpannedValue<T> {
    /// The value.
    pub value: T,
    /// Its byte range.
    pub span: Range<usize>,
}

/// Reads one TOML table; keys that nobody asked for become findings.
pub struct TableReader<'t> {
    source: &'t str,
    table: &'t DeTable<'t>,
    span: Range<usize>,
    known: BTreeSet<&'static str>,
}

/// Opens a TOML text; one that is no TOML becomes a finding.
pub fn parse_toml<'t>(source: &'t str, findings: &mut FindingList) -> Option<Spanned<DeTable<'t>>> {
    let opened = DeTable::parse(source);
    let find = |error: &toml::de::Error| {
        findings.add(source, error.span().unwrap_or(0..0), error.message());
    };
    opened.inspect_err(find).ok()
}

impl<'t> TableReader<'t> {
    /// Creates a reader of `table`, which stands at `span` of `source`.
    pub fn new(source: &'t str, table: &'t DeTable<'t>, span: Range<usize>) -> Self {
        Self {
            source,
            table,
            span,
            known: BTreeSet::new(),
        }
    }

    /// Returns the byte range of the table itself.
    pub fn span(&self) -> Range<usize> {
        self.span.clone()
    }

    /// Reads a value that must be there and parse as `T`.
    pub fn required<T>(
        &mut self,
        key: &'static str,
        findings: &mut FindingList,
    ) -> Option<SpannedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        let found = self.optional(key, findings);
        if found.is_none() && self.value(key).is_none() {
            findings.add(
                self.source,
                self.span.clone(),
                format!("'{key}' is missing"),
            );
        }
        found
    }

    /// Reads a value that may be absent.
    pub fn optional<T>(
        &mut self,
        key: &'static str,
        findings: &mut FindingList,
    ) -> Option<SpannedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.known.insert(key);
        let value = self.value(key)?;
        self.parse(key, value, findings)
    }

    /// Reads a value that may be absent, with a default.
    pub fn or_default<T>(&mut self, key: &'static str, default: T, findings: &mut FindingList) -> T
    where
        T: FromStr,
        T::Err: Display,
    {
        self.optional(key, findings)
            .map_or(default, |placed| placed.value)
    }

    /// Reads a list of values, empty when the key is absent.
    pub fn list<T>(&mut self, key: &'static str, findings: &mut FindingList) -> Vec<SpannedValue<T>>
    where
        T: FromStr,
        T::Err: Display,
    {
        self.known.insert(key);
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.wrong_type(key, "a list", value, findings);
            return Vec::new();
        };
        items
            .iter()
            .filter_map(|item| self.parse(key, item, findings))
            .collect()
    }

    /// Reads a list of tables, empty when the key is absent.
    pub fn tables(
        &mut self,
        key: &'static str,
        findings: &mut FindingList,
    ) -> Vec<TableReader<'t>> {
        self.known.insert(key);
        let Some(value) = self.value(key) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.wrong_type(key, "a list of tables", value, findings);
            return Vec::new();
        };
        let mut readers = Vec::new();
        for item in items {
            match item.get_ref().as_table() {
                Some(table) => readers.push(TableReader::new(self.source, table, item.span())),
                None => self.wrong_type(key, "a table", item, findings),
            }
        }
        readers
    }

    /// Adds a finding for every key that nobody asked for.
    pub fn finish(self, findings: &mut FindingList) {
        for key in self.table.keys() {
            if !self.known.contains(key.get_ref().as_ref()) {
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
        let Some(text) = scalar_text(value.get_ref()) else {
            self.wrong_type(key, "a single value", value, findings);
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

    fn wrong_type(
        &self,
        key: &str,
        wanted: &str,
        value: &Spanned<DeValue<'t>>,
        findings: &mut FindingList,
    ) {
        findings.add(
            self.source,
            value.span(),
            format!("'{key}' is {wanted}, not {}", value.get_ref().type_str()),
        );
    }
}

/// Returns the text of a string, number or boolean.
fn scalar_text(value: &DeValue<'_>) -> Option<String> {
    match value {
        DeValue::String(text) => Some(text.to_string()),
        DeValue::Integer(number) => Some(number.to_string()),
        DeValue::Float(number) => Some(number.to_string()),
        DeValue::Boolean(flag) => Some(flag.to_string()),
        DeValue::Datetime(_) | DeValue::Array(_) | DeValue::Table(_) => None,
    }
}
