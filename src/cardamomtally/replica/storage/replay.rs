//! Replay of a log's records at start.

use super::Loaded;
use crate::{
    prelude::*,
    replica::entry::{Entry, HardState, Snapshot},
};
use eyre::ensure;
use serde::{Deserialize, Serialize};

/// A record of a segment.
#[derive(Clone, Debug, Deserialize, PartialEq, Serialize)]
pub(super) enum Record {
    /// Term and vote.
    #[serde(rename = "h")]
    Hard(HardState),
    /// Entries that replace the log from the first of them on.
    #[serde(rename = "e")]
    Entries(Vec<Entry>),
    /// The log begins anew after this index.
    #[serde(rename = "r")]
    Reset(Index),
}

/// What the records read so far add up to.
#[derive(Debug, Default)]
pub(super) struct Replay {
    hard: HardState,
    entries: Vec<Entry>,
    reset_index: Option<Index>,
    highest: Index,
    /// The highest index in each closed segment.
    pub(super) segment_ends: Vec<Index>,
}

impl Replay {
    /// Applies one record.
    pub(super) fn record(&mut self, record: Record) -> eyre::Result<()> {
        match record {
            Record::Hard(hard) => self.hard = hard,
            Record::Reset(index) => {
                self.entries.clear();
                self.reset_index = Some(index);
                self.highest = self.highest.max(index);
            }
            Record::Entries(entries) => self.append(entries)?,
        }
        Ok(())
    }

    fn append(&mut self, entries: Vec<Entry>) -> eyre::Result<()> {
        let Some(first) = entries.first().map(|e| e.index) else {
            return Ok(());
        };
        self.entries.retain(|e| e.index < first);
        let before = self.entries.last().map(|e| e.index).or(self.reset_index);
        // The oldest segment that is left may begin anywhere.
        let follows = before.is_none_or(|before| before.next() == first);
        ensure!(follows, "entry {first} does not follow the one before it");
        self.highest = entries.last().map_or(first, |e| e.index).max(self.highest);
        self.entries.extend(entries);
        Ok(())
    }

    /// Notes the end of a segment.
    pub(super) fn close_segment(&mut self) {
        self.segment_ends.push(self.highest);
        self.highest = Index::default();
    }

    /// Returns the last index.
    pub(super) fn last(&self) -> Index {
        let last = self.entries.last().map(|e| e.index).or(self.reset_index);
        last.unwrap_or_default()
    }

    /// Joins log and image. The second result must be recorded before entries
    /// are appended.
    pub(super) fn finish(
        self,
        snapshot: Option<Arc<Snapshot>>,
    ) -> eyre::Result<(Loaded, Option<Record>)> {
        let base = snapshot.as_ref().map_or(Index::default(), |i| i.index);
        let base_term = snapshot.as_ref().map_or(Term::default(), |i| i.term);
        let first = self.entries.first().map_or(base.next(), |e| e.index);
        ensure!(
            first <= base.next(),
            "entries {} to {} are missing",
            base.next(),
            first.prev()
        );
        let at_base = self.entries.iter().find(|e| e.index == base);
        // Otherwise the process ended between the image and its record.
        let joins = first == base.next() || at_base.is_some_and(|e| e.term == base_term);
        let reset = (!joins || self.last() < base).then_some(Record::Reset(base));
        let mut entries = self.entries;
        if joins {
            entries.retain(|e| e.index > base);
        } else {
            entries.clear();
        }
        let loaded = Loaded {
            hard: self.hard,
            snapshot,
            entries,
        };
        Ok((loaded, reset))
    }
}
