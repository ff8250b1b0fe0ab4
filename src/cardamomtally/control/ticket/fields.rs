//! Typed access to the fields of a TOML table.
//!
//! A field that is missing, unknown or of the wrong type becomes a finding, and
//! reading goes on, so that one pass reports all faults of a ticket.

use super::parse::Offsets;
use crate::core::{finding::Findings, id::Name};
use serde_spanned::Spanned;
use toml::de::{DeTable, DeValue};

/// Collects findings and the byte offsets of a ticket's parts while its text is
/// read.
pub(super) struct Sink<'a> {
    pub file: &'a str,
    pub text: &'a str,
    pub findings: &'a mut Findings,
    pub offsets: Offsets,
}

impl Sink<'_> {
    /// Adds a finding at a byte offset of the text.
    pub fn add(&mut self, offset: usize, message: impl Into<String>) {
        self.findings.add(self.file, self.text, offset, message);
    }
}

/// The fields of one table. It records which keys were read, so that the others
/// can be reported as unknown.
pub(super) struct Fields<'a, 'i> {
    table: &'a DeTable<'i>,
    start: usize,
    what: &'static str,
    known: Vec<&'static str>,
}

impl<'a, 'i> Fields<'a, 'i> {
    /// Wraps a table that starts at a byte offset. `what` names the table in
    /// findings.
    pub const fn new(table: &'a DeTable<'i>, start: usize, what: &'static str) -> Self {
        Self {
            table,
            start,
            what,
            known: Vec::new(),
        }
    }

    /// Returns the byte offset at which the table starts.
    pub const fn start(&self) -> usize {
        self.start
    }

    /// Returns a field's value, and marks its key as known.
    pub fn value(&mut self, key: &'static str) -> Option<&'a Spanned<DeValue<'i>>> {
        self.known.push(key);
        let found = self.table.iter().find(|(k, _)| k.get_ref() == key);
        found.map(|(_, value)| value)
    }

    /// Reads a field, if it is there. If `read` fails, adds a finding with the
    /// expected type that it returns.
    pub fn optional<T>(
        &mut self,
        sink: &mut Sink<'_>,
        key: &'static str,
        read: impl FnOnce(&Spanned<DeValue<'i>>) -> Result<T, &'static str>,
    ) -> Option<T> {
        let value = self.value(key)?;
        match read(value) {
            Ok(value) => Some(value),
            Err(expected) => {
                let found = value.get_ref().type_str();
                let message = format!("`{key}` must be {expected}, not this {found}");
                sink.add(value.span().start, message);
                None
            }
        }
    }

    /// Reads a field like [`Self::optional`], and adds a finding if it is missing.
    pub fn required<T>(
        &mut self,
        sink: &mut Sink<'_>,
        key: &'static str,
        read: impl FnOnce(&Spanned<DeValue<'i>>) -> Result<T, &'static str>,
    ) -> Option<T> {
        let present = self.value(key).is_some();
        if !present {
            let message = format!("{} needs `{key}`", self.what);
            sink.add(self.start, message);
        }
        self.optional(sink, key, read)
    }

    /// Reads a list of names and records the offset of each. A missing list is
    /// empty; an item that is not a string is reported and left out.
    pub fn names(&mut self, sink: &mut Sink<'_>, key: &'static str, path: &str) -> Vec<Name> {
        let items = self.optional(sink, key, list).unwrap_or_default();
        let mut names = Vec::new();
        for (offset, item) in items {
            let Some(text) = item else {
                sink.add(offset, format!("`{key}` must be a list of strings"));
                continue;
            };
            sink.offsets
                .add(format!("{path}/{key}/{}", names.len()), offset);
            names.push(text);
        }
        names
    }

    /// Records the offset of a field's value, if the field is there.
    pub fn record_offset(&mut self, sink: &mut Sink<'_>, key: &'static str, path: &str) {
        if let Some(value) = self.value(key) {
            sink.offsets
                .add(format!("{path}/{key}"), value.span().start);
        }
    }

    /// Adds a finding for each field whose key was never read.
    pub fn finish(self, sink: &mut Sink<'_>) {
        for (key, _) in self.table {
            if self.known.contains(&key.get_ref().as_ref()) {
                continue;
            }
            let mut known = self.known.clone();
            known.sort_unstable();
            known.dedup();
            let message = format!(
                "unknown field `{}`; {} has {}",
                key.get_ref(),
                self.what,
                known.join(", ")
            );
            sink.add(key.span().start, message);
        }
    }
}

type Items = Vec<(usize, Option<Name>)>;

fn list(value: &Spanned<DeValue<'_>>) -> Result<Items, &'static str> {
    let array = value.get_ref().as_array().ok_or("a list of strings")?;
    let item = |v: &Spanned<DeValue<'_>>| (v.span().start, v.get_ref().as_str().map(Name::from));
    Ok(array.iter().map(item).collect())
}

/// Reads a string.
pub(super) fn string(value: &Spanned<DeValue<'_>>) -> Result<Name, &'static str> {
    value.get_ref().as_str().map(Name::from).ok_or("a string")
}

/// Reads an integer of 0 or more.
pub(super) fn unsigned(value: &Spanned<DeValue<'_>>) -> Result<u64, &'static str> {
    let integer = value.get_ref().as_integer();
    integer
        .and_then(|i| u64::from_str_radix(&i.as_str().replace('_', ""), i.radix()).ok())
        .ok_or("a whole number of 0 or more")
}

/// Reads an integer or a float.
pub(super) fn number(value: &Spanned<DeValue<'_>>) -> Result<f64, &'static str> {
    let integer = value.get_ref().as_integer();
    let parse = |digits: &str, radix| i64::from_str_radix(&digits.replace('_', ""), radix).ok();
    if let Some(integer) = integer.and_then(|i| parse(i.as_str(), i.radix())) {
        return Ok(integer as f64);
    }
    let float = value.get_ref().as_float();
    float
        .and_then(|f| f.as_str().replace('_', "").parse().ok())
        .ok_or("a number")
}

/// Reads `true` or `false`.
pub(super) fn boolean(value: &Spanned<DeValue<'_>>) -> Result<bool, &'static str> {
    value.get_ref().as_bool().ok_or("true or false")
}
