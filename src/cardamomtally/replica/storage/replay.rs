//! Replay of the log's records when a folder is opened.

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
    /// Term, vote and cluster number.
    #[serde(rename = "h")]
    Hard(HardState),
    /// Entries that replace all earlier ones from the first of them on.
    #[serde(rename = "e")]
    Entries(Vec<Entry>),
    /// All entries are dropped, and the log continues after this index.
    #[serde(rename = "r")]
    Reset(Index),
}

/// The state that the records read so far amount to.
#[derive(Debug, Default)]
pub(super) struct Replay {
    hard: HardState,
    entries: Vec<Entry>,
    reset_index: Option<Index>,
    highest: Index,
    /// The highest index in each closed segment, by which segments are deleted
    /// once a snapshot covers them.
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
        // The first entry that is left may have any index, since older segments
        // are deleted once a snapshot covers them.
        let follows = before.is_none_or(|before| before.next() == first);
        ensure!(follows, "entry {first} does not follow the one before it");
        self.highest = entries.last().map_or(first, |e| e.index).max(self.highest);
        self.entries.extend(entries);
        Ok(())
    }

    /// Records the end of a segment.
    pub(super) fn close_segment(&mut self) {
        self.segment_ends.push(self.highest);
        self.highest = Index::default();
    }

    /// Returns the last index of the log.
    pub(super) fn last(&self) -> Index {
        let last = self.entries.last().map(|e| e.index).or(self.reset_index);
        last.unwrap_or_default()
    }

    /// Combines log and snapshot. If a reset record is returned, it must be
    /// written before any entries are appended.
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
        // The log joins the snapshot if it begins with the entry after the snapshot or
        // holds the snapshot's last entry with the same term. If it does not, the
        // process ended after a snapshot from the leader was stored and before its
        // reset record was written. The log is then not known to agree with the
        // snapshot, so it is dropped. A log that ends before the snapshot is reset too.
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
