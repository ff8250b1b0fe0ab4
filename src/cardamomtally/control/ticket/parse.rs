//! Parses a ticket's text into a [`Ticket`], and records the byte offset of each
//! part.

use super::{
    Ticket,
    fields::{Fields, Sink, string, unsigned},
    objects,
};
use crate::core::{finding::Findings, id::Name};
use serde_spanned::Spanned;
use std::collections::BTreeMap;
use toml::de::{DeTable, DeValue};

/// Byte offsets of a ticket's parts by path, such as `workspace/counter/keys/0`.
#[derive(Debug, Default)]
pub(super) struct Offsets(BTreeMap<String, usize>);

impl Offsets {
    /// Records the offset of a path.
    pub fn add(&mut self, path: String, offset: usize) {
        self.0.insert(path, offset);
    }

    /// Returns whether a path has an offset.
    pub fn has(&self, path: &str) -> bool {
        self.0.contains_key(path)
    }

    /// Returns the offset of a path, or of the nearest enclosing path that has one;
    /// 0 if there is none.
    pub fn find(&self, path: &str) -> usize {
        let mut path = path;
        loop {
            if let Some(offset) = self.0.get(path) {
                return *offset;
            }
            match path.rsplit_once('/') {
                Some((outer, _)) => path = outer,
                None => return 0,
            }
        }
    }
}

/// Parses a ticket. Faults become findings, and parts that cannot be read get
/// default values.
pub(super) fn read(file: &str, text: &str, findings: &mut Findings) -> (Ticket, Offsets) {
    let (table, errors) = DeTable::parse_recoverable(text);
    let mut sink = Sink {
        file,
        text,
        findings,
        offsets: Offsets::default(),
    };
    for error in errors {
        let offset = error.span().map_or(0, |span| span.start);
        sink.add(offset, error.message());
    }
    let ticket = read_ticket(&mut sink, table.get_ref());
    (ticket, sink.offsets)
}

fn read_ticket(sink: &mut Sink<'_>, table: &DeTable<'_>) -> Ticket {
    let mut fields = Fields::new(table, 0, "a ticket");
    fields.record_offset(sink, "partner", "ticket");
    fields.record_offset(sink, "number", "ticket");
    let ticket = Ticket {
        partner: fields.required(sink, "partner", string).unwrap_or_default(),
        number: fields
            .required(sink, "number", unsigned)
            .unwrap_or_default(),
        reason: fields.optional(sink, "reason", string).unwrap_or_default(),
        centres: read_list(sink, &mut fields, "data_centre", objects::centre),
        backends: read_list(sink, &mut fields, "backend_server", objects::backend),
        versions: read_list(sink, &mut fields, "version", objects::version),
        cascades: read_list(sink, &mut fields, "cascade", objects::cascade),
        services: read_list(sink, &mut fields, "service", objects::service),
        workspaces: read_list(sink, &mut fields, "workspace", objects::workspace),
    };
    fields.finish(sink);
    ticket
}

/// Reads a list of named tables into a map, and reports duplicate names.
fn read_list<T>(
    sink: &mut Sink<'_>,
    fields: &mut Fields<'_, '_>,
    key: &'static str,
    read: impl Fn(&mut Sink<'_>, &mut Fields<'_, '_>, &str) -> T,
) -> BTreeMap<Name, T> {
    let mut objects = BTreeMap::new();
    for item in tables(sink, fields, key) {
        let Some(table) = item.get_ref().as_table() else {
            sink.add(
                item.span().start,
                format!("`{key}` must be a list of tables"),
            );
            continue;
        };
        let mut object = Fields::new(table, item.span().start, key);
        let offset = object.value("name").map(|name| name.span().start);
        let name = object.required(sink, "name", string);
        let path = format!("{key}/{}", name.as_deref().unwrap_or_default());
        let offset = offset.unwrap_or_else(|| object.start());
        let twice = name.as_ref().is_some_and(|name| objects.contains_key(name));
        if twice {
            sink.add(
                offset,
                format!("{key} `{}` is given twice", &path[key.len() + 1..]),
            );
        }
        sink.offsets.add(path.clone(), offset);
        let value = read(sink, &mut object, &path);
        object.finish(sink);
        objects.extend(name.map(|name| (name, value)));
    }
    objects
}

fn tables<'a, 'i>(
    sink: &mut Sink<'_>,
    fields: &mut Fields<'a, 'i>,
    key: &'static str,
) -> &'a [Spanned<DeValue<'i>>] {
    let Some(value) = fields.value(key) else {
        return &[];
    };
    let Some(array) = value.get_ref().as_array() else {
        let message = format!("`{key}` must be a list of tables; write `[[{key}]]`");
        sink.add(value.span().start, message);
        return &[];
    };
    array
}
