//! Deserializes a TOML document and reports all its faults together, so that an
//! operator does not have to correct a file one fault at a time.
//!
//! Serde stops at the first fault. [`Document::read`] therefore records each fault
//! with its line and column, repairs a copy of the document tree and deserializes
//! the copy again. A repair removes an unknown key, or replaces a missing or
//! wrong value by the value of a valid example. The repaired tree is only used to
//! find further faults.

use crate::core::finding::Findings;
use serde::de::DeserializeOwned;
use serde_spanned::Spanned;
use std::ops::Range;
use toml::de::{DeTable, DeValue};

/// Most faults that are collected from one document. Deserialization is tried at
/// most as often, so that a repair without effect cannot loop forever.
const MAX_FINDINGS: usize = 100;

/// Span of keys and values taken from the example. A repair does not search inside
/// such values, so that it never replaces the same value twice.
const SUBSTITUTE_SPAN: Range<usize> = usize::MAX..usize::MAX;

/// One step of the path to a value: a key of a table or an index of an array.
#[derive(Clone, Debug, Eq, PartialEq)]
enum PathSegment {
    Key(String),
    Index(usize),
}

/// The key or value at which an error's span points, as a path from the root.
enum Target {
    Key(Vec<PathSegment>),
    Value(Vec<PathSegment>),
}

/// A parsed TOML document, with the byte range of each key and value.
#[derive(Clone, Debug)]
pub struct Document<'t> {
    file: &'t str,
    text: &'t str,
    tree: Spanned<DeTable<'t>>,
    repaired: bool,
}

impl<'t> Document<'t> {
    /// Parses a text. Adds all syntax errors to `findings` and returns `None` if
    /// there are any. `file` is the name that findings show.
    pub fn parse(file: &'t str, text: &'t str, findings: &mut Findings) -> Option<Self> {
        let (tree, errors) = DeTable::parse_recoverable(text);
        for error in errors.iter().take(MAX_FINDINGS) {
            let offset = error.span().map_or(0, |span| span.start);
            findings.add(file, text, offset, error.message());
        }
        errors.is_empty().then_some(Self {
            file,
            text,
            tree,
            repaired: false,
        })
    }

    /// Deserializes the document and adds all its faults to `findings`.
    ///
    /// `example` is a valid document of the same type. If the document has faults,
    /// the returned value comes from the repaired tree and may only be used for
    /// further checks. Returns `None` if a fault cannot be repaired.
    pub fn read<T: DeserializeOwned>(
        &mut self,
        example: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let example = DeTable::parse(example).ok()?;
        let mut tree = self.tree.clone();
        for _ in 0..MAX_FINDINGS {
            let error = match T::deserialize(toml::de::Deserializer::from(tree.clone())) {
                Ok(value) => return Some(value),
                Err(error) => error,
            };
            self.repaired = true;
            let span = error.span().unwrap_or(0..0);
            findings.add(self.file, self.text, span.start, error.message());
            if !repair(&mut tree, &span, error.message(), example.get_ref()) {
                return None;
            }
        }
        None
    }

    /// Adds a finding at the value of a dotted path, or at its nearest parent if
    /// the document does not contain the value.
    ///
    /// If the tree was repaired, a finding about a value that the document does
    /// not contain is dropped, because the value may come from the example.
    pub fn add_finding(&self, findings: &mut Findings, path: &str, message: impl Into<String>) {
        let (offset, exact) = self.offset(path);
        if exact || !self.repaired {
            findings.add(self.file, self.text, offset, message);
        }
    }

    /// Returns the byte offset of the value at a dotted path, and `true`. If the
    /// document has no such value, returns the offset of its nearest parent, and
    /// `false`.
    fn offset(&self, path: &str) -> (usize, bool) {
        let mut offset = self.tree.span().start;
        let mut table = Some(self.tree.get_ref());
        let mut array: Option<&[Spanned<DeValue<'t>>]> = None;
        for segment in path.split('.') {
            let next = match (table, array) {
                (Some(table), _) => table.get(segment),
                (None, Some(items)) => segment.parse().ok().and_then(|i: usize| items.get(i)),
                (None, None) => None,
            };
            let Some(value) = next else {
                return (offset, false);
            };
            offset = value.span().start;
            table = value.get_ref().as_table();
            array = value.get_ref().as_array().map(|items| &**items);
        }
        (offset, true)
    }
}

/// Removes or replaces the key or value at which an error points. Returns whether
/// the tree was changed.
fn repair<'t>(
    tree: &mut Spanned<DeTable<'t>>,
    span: &Range<usize>,
    message: &str,
    example: &DeTable<'t>,
) -> bool {
    let root_span = tree.span();
    let root = tree.get_mut();
    if let Some(field) = missing_field(message) {
        let at_root = (root_span == *span).then(Vec::new);
        let Some(mut path) = at_root.or_else(|| locate_value(root, span)) else {
            return false;
        };
        path.push(PathSegment::Key(field.to_owned()));
        return substitute(root, &path, example);
    }
    match locate(root, span) {
        Some(Target::Key(path)) => remove(root, &path),
        Some(Target::Value(path)) => substitute(root, &path, example) || remove(root, &path),
        None => false,
    }
}

/// Extracts the field name from Serde's message about a missing field.
fn missing_field(message: &str) -> Option<&str> {
    let rest = message.strip_prefix("missing field `")?;
    rest.split('`').next()
}

fn locate_value(table: &DeTable<'_>, span: &Range<usize>) -> Option<Vec<PathSegment>> {
    match locate(table, span) {
        Some(Target::Value(path)) => Some(path),
        _ => None,
    }
}

/// Returns the path of the key or value with exactly the given span. Of nested
/// values with the same span, the innermost is returned.
fn locate(table: &DeTable<'_>, span: &Range<usize>) -> Option<Target> {
    for (key, value) in table {
        let segment = PathSegment::Key(key.get_ref().to_string());
        if value.span() == SUBSTITUTE_SPAN {
            continue;
        }
        if let Some(target) = locate_in(value, span, &segment) {
            return Some(target);
        }
        if key.span() == *span {
            return Some(Target::Key(vec![segment]));
        }
    }
    None
}

fn locate_in(
    value: &Spanned<DeValue<'_>>,
    span: &Range<usize>,
    segment: &PathSegment,
) -> Option<Target> {
    let inner = match value.get_ref() {
        DeValue::Table(table) => locate(table, span),
        DeValue::Array(items) => items
            .iter()
            .enumerate()
            .find_map(|(i, item)| locate_in(item, span, &PathSegment::Index(i))),
        _ => None,
    };
    let target = inner.or_else(|| (value.span() == *span).then(|| Target::Value(Vec::new())))?;
    Some(match target {
        Target::Key(path) => Target::Key(prepend(segment, path)),
        Target::Value(path) => Target::Value(prepend(segment, path)),
    })
}

fn prepend(segment: &PathSegment, mut path: Vec<PathSegment>) -> Vec<PathSegment> {
    path.insert(0, segment.clone());
    path
}

/// Removes the table key at the end of a path. For an array item, the key that
/// contains the array is removed.
fn remove(root: &mut DeTable<'_>, path: &[PathSegment]) -> bool {
    let Some((last, parents)) = path.split_last() else {
        return false;
    };
    let PathSegment::Key(key) = last else {
        return remove(root, parents);
    };
    table_at(root, parents).is_some_and(|table| table.remove(key.as_str()).is_some())
}

/// Sets the value at a path to the example's value.
fn substitute<'t>(root: &mut DeTable<'t>, path: &[PathSegment], example: &DeTable<'t>) -> bool {
    let Some(value) = example_at(example, path) else {
        return false;
    };
    let replacement = Spanned::new(SUBSTITUTE_SPAN, value);
    let Some((last, parents)) = path.split_last() else {
        return false;
    };
    match last {
        PathSegment::Key(key) => table_at(root, parents).is_some_and(|table| {
            table.remove(key.as_str());
            table.insert(
                Spanned::new(SUBSTITUTE_SPAN, key.clone().into()),
                replacement,
            );
            true
        }),
        PathSegment::Index(i) => value_at(root, parents).is_some_and(|value| {
            let DeValue::Array(items) = value.get_mut() else {
                return false;
            };
            items.get_mut(*i).is_some_and(|item| {
                *item = replacement;
                true
            })
        }),
    }
}

/// Returns the example's value at a path. For an array item, this is the first item
/// of the example's array.
fn example_at<'t>(example: &DeTable<'t>, path: &[PathSegment]) -> Option<DeValue<'t>> {
    let mut value = DeValue::Table(example.clone());
    for segment in path {
        let next = match (segment, &value) {
            (PathSegment::Key(key), DeValue::Table(table)) => {
                table.get(key.as_str())?.get_ref().clone()
            }
            (PathSegment::Index(_), DeValue::Array(items)) => items.first()?.get_ref().clone(),
            _ => return None,
        };
        value = next;
    }
    Some(value)
}

fn table_at<'a, 't>(
    root: &'a mut DeTable<'t>,
    path: &[PathSegment],
) -> Option<&'a mut DeTable<'t>> {
    if path.is_empty() {
        return Some(root);
    }
    match value_at(root, path)?.get_mut() {
        DeValue::Table(table) => Some(table),
        _ => None,
    }
}

fn value_at<'a, 't>(
    root: &'a mut DeTable<'t>,
    path: &[PathSegment],
) -> Option<&'a mut Spanned<DeValue<'t>>> {
    let (PathSegment::Key(first), rest) = path.split_first()? else {
        return None;
    };
    let mut value = root.get_mut(first.as_str())?;
    for segment in rest {
        value = match (segment, value.get_mut()) {
            (PathSegment::Key(key), DeValue::Table(table)) => table.get_mut(key.as_str())?,
            (PathSegment::Index(i), DeValue::Array(items)) => items.get_mut(*i)?,
            _ => return None,
        };
    }
    Some(value)
}
