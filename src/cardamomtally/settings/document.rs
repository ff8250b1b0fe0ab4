//! A TOML document whose faults are collected, not reported one at a time.
//!
//! Serde stops at the first fault. [`Document::read`] therefore records the
//! fault with its place, mends the tree and reads again: an unknown key is
//! removed, and a missing or wrong value is replaced by the one from a valid
//! example. The mended tree only serves to find further faults.

use crate::core::finding::Findings;
use serde::de::DeserializeOwned;
use serde_spanned::Spanned;
use std::ops::Range;
use toml::de::{DeTable, DeValue};

/// Most faults of one document that are collected.
const FINDINGS_LIMIT: usize = 100;

/// Span of a value that was taken from the example.
const MENDED: Range<usize> = usize::MAX..usize::MAX;

/// A step on the way to a value.
#[derive(Clone, Debug, Eq, PartialEq)]
enum Step {
    Key(String),
    Position(usize),
}

/// What a fault's span points at.
enum Place {
    Key(Vec<Step>),
    Value(Vec<Step>),
}

/// A parsed TOML document.
#[derive(Clone, Debug)]
pub struct Document<'t> {
    file: &'t str,
    text: &'t str,
    tree: Spanned<DeTable<'t>>,
    mended: bool,
}

impl<'t> Document<'t> {
    /// Parses a text. All syntax faults are added to the findings.
    pub fn parse(file: &'t str, text: &'t str, findings: &mut Findings) -> Option<Self> {
        let (tree, errors) = DeTable::parse_recoverable(text);
        for error in errors.iter().take(FINDINGS_LIMIT) {
            let offset = error.span().map_or(0, |span| span.start);
            findings.add(file, text, offset, error.message());
        }
        errors.is_empty().then_some(Self {
            file,
            text,
            tree,
            mended: false,
        })
    }

    /// Reads a value, with the document's faults added to the findings.
    ///
    /// `example` is a valid document of the same type. If there are findings,
    /// the value is that of the mended tree and only serves further checks.
    pub fn read<T: DeserializeOwned>(
        &mut self,
        example: &str,
        findings: &mut Findings,
    ) -> Option<T> {
        let example = DeTable::parse(example).ok()?;
        let mut tree = self.tree.clone();
        for _ in 0..FINDINGS_LIMIT {
            let error = match T::deserialize(toml::de::Deserializer::from(tree.clone())) {
                Ok(value) => return Some(value),
                Err(error) => error,
            };
            self.mended = true;
            let span = error.span().unwrap_or(0..0);
            findings.add(self.file, self.text, span.start, error.message());
            if !mend(&mut tree, &span, error.message(), example.get_ref()) {
                return None;
            }
        }
        None
    }

    /// Adds a fault at the value of a dotted path, or at its nearest parent.
    ///
    /// A fault of a value that the text does not give is left out if the tree
    /// was mended: it may be the example's.
    pub fn fault(&self, findings: &mut Findings, path: &str, message: impl Into<String>) {
        let (offset, exact) = self.offset(path);
        if exact || !self.mended {
            findings.add(self.file, self.text, offset, message);
        }
    }

    /// Returns the offset of a path's value or its nearest parent, and whether
    /// it is the value's own.
    fn offset(&self, path: &str) -> (usize, bool) {
        let mut offset = self.tree.span().start;
        let mut table = Some(self.tree.get_ref());
        let mut array: Option<&[Spanned<DeValue<'t>>]> = None;
        for step in path.split('.') {
            let next = match (table, array) {
                (Some(table), _) => table.get(step),
                (None, Some(items)) => step.parse().ok().and_then(|i: usize| items.get(i)),
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
fn mend<'t>(
    tree: &mut Spanned<DeTable<'t>>,
    span: &Range<usize>,
    message: &str,
    example: &DeTable<'t>,
) -> bool {
    let root_span = tree.span();
    let root = tree.get_mut();
    if let Some(field) = missing_field(message) {
        let at_root = (root_span == *span).then(Vec::new);
        let Some(mut path) = at_root.or_else(|| find_value(root, span)) else {
            return false;
        };
        path.push(Step::Key(field.to_owned()));
        return fill(root, &path, example);
    }
    match find(root, span) {
        Some(Place::Key(path)) => remove(root, &path),
        Some(Place::Value(path)) => fill(root, &path, example) || remove(root, &path),
        None => false,
    }
}

fn missing_field(message: &str) -> Option<&str> {
    let rest = message.strip_prefix("missing field `")?;
    rest.split('`').next()
}

fn find_value(table: &DeTable<'_>, span: &Range<usize>) -> Option<Vec<Step>> {
    match find(table, span) {
        Some(Place::Value(path)) => Some(path),
        _ => None,
    }
}

fn find(table: &DeTable<'_>, span: &Range<usize>) -> Option<Place> {
    for (key, value) in table {
        let step = Step::Key(key.get_ref().to_string());
        if value.span() == MENDED {
            continue;
        }
        if let Some(place) = find_in(value, span, &step) {
            return Some(place);
        }
        if key.span() == *span {
            return Some(Place::Key(vec![step]));
        }
    }
    None
}

fn find_in(value: &Spanned<DeValue<'_>>, span: &Range<usize>, step: &Step) -> Option<Place> {
    let inner = match value.get_ref() {
        DeValue::Table(table) => find(table, span),
        DeValue::Array(items) => items
            .iter()
            .enumerate()
            .find_map(|(i, item)| find_in(item, span, &Step::Position(i))),
        _ => None,
    };
    let place = inner.or_else(|| (value.span() == *span).then(|| Place::Value(Vec::new())))?;
    Some(match place {
        Place::Key(path) => Place::Key(prefixed(step, path)),
        Place::Value(path) => Place::Value(prefixed(step, path)),
    })
}

fn prefixed(step: &Step, mut path: Vec<Step>) -> Vec<Step> {
    path.insert(0, step.clone());
    path
}

fn remove(root: &mut DeTable<'_>, path: &[Step]) -> bool {
    let Some((last, parents)) = path.split_last() else {
        return false;
    };
    let Step::Key(key) = last else {
        return remove(root, parents);
    };
    table_at(root, parents).is_some_and(|table| table.remove(key.as_str()).is_some())
}

fn fill<'t>(root: &mut DeTable<'t>, path: &[Step], example: &DeTable<'t>) -> bool {
    let Some(value) = example_at(example, path) else {
        return false;
    };
    let filler = Spanned::new(MENDED, value);
    let Some((last, parents)) = path.split_last() else {
        return false;
    };
    match last {
        Step::Key(key) => table_at(root, parents).is_some_and(|table| {
            table.remove(key.as_str());
            table.insert(Spanned::new(MENDED, key.clone().into()), filler);
            true
        }),
        Step::Position(i) => value_at(root, parents).is_some_and(|value| {
            let DeValue::Array(items) = value.get_mut() else {
                return false;
            };
            items.get_mut(*i).is_some_and(|item| {
                *item = filler;
                true
            })
        }),
    }
}

fn example_at<'t>(example: &DeTable<'t>, path: &[Step]) -> Option<DeValue<'t>> {
    let mut value = DeValue::Table(example.clone());
    for step in path {
        let next = match (step, &value) {
            (Step::Key(key), DeValue::Table(table)) => table.get(key.as_str())?.get_ref().clone(),
            (Step::Position(_), DeValue::Array(items)) => items.first()?.get_ref().clone(),
            _ => return None,
        };
        value = next;
    }
    Some(value)
}

fn table_at<'a, 't>(root: &'a mut DeTable<'t>, path: &[Step]) -> Option<&'a mut DeTable<'t>> {
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
    path: &[Step],
) -> Option<&'a mut Spanned<DeValue<'t>>> {
    let (Step::Key(first), rest) = path.split_first()? else {
        return None;
    };
    let mut value = root.get_mut(first.as_str())?;
    for step in rest {
        value = match (step, value.get_mut()) {
            (Step::Key(key), DeValue::Table(table)) => table.get_mut(key.as_str())?,
            (Step::Position(i), DeValue::Array(items)) => items.get_mut(*i)?,
            _ => return None,
        };
    }
    Some(value)
}
