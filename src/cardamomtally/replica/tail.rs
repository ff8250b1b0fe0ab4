//! The part of the log that is held in memory.

use super::entry::Entry;
use crate::prelude::*;
use std::collections::VecDeque;

/// Consecutive entries after a base. Earlier entries are covered by a snapshot.
#[derive(Clone, Debug, Default)]
pub struct Tail {
    base: Index,
    base_term: Term,
    entries: VecDeque<Entry>,
}

impl Tail {
    /// Builds a log whose entries follow a base index of a given term.
    #[must_use]
    pub fn new(base: Index, base_term: Term, entries: Vec<Entry>) -> Self {
        Self {
            base,
            base_term,
            entries: entries.into(),
        }
    }

    /// Returns the index before the first entry in memory.
    #[must_use]
    pub const fn base(&self) -> Index {
        self.base
    }

    /// Returns the term of the entry at the base.
    #[must_use]
    pub const fn base_term(&self) -> Term {
        self.base_term
    }

    /// Returns the index of the last entry, or the base if there is none.
    #[must_use]
    pub fn last(&self) -> Index {
        Index(self.base.0 + self.entries.len() as u64)
    }

    /// Returns the term of the last entry, or that of the base if there is none.
    #[must_use]
    pub fn last_term(&self) -> Term {
        self.entries.back().map_or(self.base_term, |e| e.term)
    }

    /// Returns the entry at an index, or `None` if it is not in memory.
    #[must_use]
    pub fn get(&self, index: Index) -> Option<&Entry> {
        let offset = index.0.checked_sub(self.base.0 + 1)?;
        self.entries.get(offset as usize)
    }

    /// Returns the term at an index, or `None` if it is before the base or after
    /// the end.
    #[must_use]
    pub fn term_at(&self, index: Index) -> Option<Term> {
        if index == self.base {
            return Some(self.base_term);
        }
        self.get(index).map(|e| e.term)
    }

    /// Returns the first index in memory from which all entries up to `index`
    /// have the same term.
    #[must_use]
    pub fn term_start(&self, index: Index) -> Index {
        let term = self.term_at(index);
        let mut first = index;
        while first > self.base && self.term_at(first.prev()) == term {
            first = first.prev();
        }
        first
    }

    /// Appends an entry. Its index must follow the last one.
    pub fn push(&mut self, entry: Entry) {
        debug_assert_eq!(entry.index, self.last().next(), "entries have no gaps");
        self.entries.push_back(entry);
    }

    /// Removes the entries at an index and after it.
    pub fn truncate(&mut self, from: Index) {
        let keep = from.0.saturating_sub(self.base.0 + 1);
        self.entries.truncate(keep as usize);
    }

    /// Removes the entries up to and including an index, which becomes the base.
    pub fn compact(&mut self, to: Index) {
        while self.base < to {
            let Some(entry) = self.entries.pop_front() else {
                return;
            };
            self.base = entry.index;
            self.base_term = entry.term;
        }
    }

    /// Returns the base that keeps the entries up to `index`, at most `entries` of them
    /// and at most `bytes` in size.
    #[must_use]
    pub fn base_within(&self, index: Index, entries: u64, bytes: usize) -> Index {
        let mut base = index;
        let mut kept = 0;
        while index.0 - base.0 < entries {
            let Some(entry) = self.get(base) else { break };
            kept += entry.size();
            if kept > bytes {
                break;
            }
            base = base.prev();
        }
        base
    }

    /// Removes all entries and continues after another base.
    pub fn reset(&mut self, base: Index, base_term: Term) {
        *self = Self::new(base, base_term, Vec::new());
    }

    /// Returns consecutive entries from an index on, up to a number of bytes. The
    /// first entry is returned whatever its size.
    #[must_use]
    pub fn slice(&self, from: Index, limit_bytes: usize) -> Vec<Entry> {
        let mut entries = Vec::new();
        let mut bytes = 0;
        let mut index = from;
        while let Some(entry) = self.get(index) {
            bytes += entry.size();
            if bytes > limit_bytes && !entries.is_empty() {
                break;
            }
            entries.push(entry.clone());
            index = index.next();
        }
        entries
    }

    /// Iterates over the entries in memory, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = &Entry> {
        self.entries.iter()
    }
}
