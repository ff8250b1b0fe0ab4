//! A TOML document whose faults are collected, not reported one at a time.
//!
//! Serde stops at the first fault. [`Document::read`] therefore records the
//! fault with its place, mends the tree and reads again: an unknown key is
//! removed, and a missing or wrong value is replaced by the one from a valid
//! example. The repaired tree only serves to find further faults.

use crate::core::finding::Findings;
use serde::de::DeserializeOwned;
use serde_spanned::Spanned;
use std::ops::Range;
use toml::de::{DeTable, DeValue};

/// Most faults of one document that are collected.
const MAX_FINDINGS: usize = 100;

/// Span of a value that was taken from the example.
const SUBSTITUTE_SPAN: Range<usize> = usize::MAX..usize::MAX;

/// A step on the way to a value.
#[derive(Clone, Debug, Eq, PartialEq)]
enum PathSegment {
    Key(String),
    Index(usize),
}

/// What a fault's span points at.
enum Target {
    Key(Vec<PathSegment>),
    Value(Vec<PathSegment>),
}

/// A parsed TOML document.
#[derive(Clone, Debug)]
pub struct Document<'t> {
    file: &'t str,
    text: &'t str,
    tree: Spanned<DeTable<'t>>,
    repaired: bool,
}

impl<'t> Document<'t> {
    /// Parses a text. All syntax faults are added to the findings.
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

    /// Reads a value, with the document's faults added to the findings.
    ///
    /// `example` is a valid document of the same type. If there are findings,
    /// the value is that of the repaired tree and only serves further checks.
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

    /// Adds a fault at the value of a dotted path, or at its nearest parent.
    ///
    /// A fault of a value that the text does not give is left out if the tree
    /// was repaired: it may be the example's.
    pub fn add_finding(&self, findings: &mut Findings, path: &str, message: impl Into<String>) {
        let (offset, exact) = self.offset(path);
        if exact || !self.repaired {
            findings.add(self.file, self.text, offset, message);
        }
    }

    /// Returns the offset of a path's value or its nearest parent, and whether
    /// it is the value's own.
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

/// Removes or replaces what a fault points at. Returns false if it cannot.
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

fn remove(root: &mut DeTable<'_>, path: &[PathSegment]) -> bool {
    let Some((last, parents)) = path.split_last() else {
        return false;
    };
    let PathSegment::Key(key) = last else {
        return remove(root, parents);
    };
    table_at(root, parents).is_some_and(|table| table.remove(key.as_str()).is_some())
}

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
