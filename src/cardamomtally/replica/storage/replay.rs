//! Replay of the log's records when a folder is opened.

use super::{Loaded, corrupt::Corrupt};
use crate::{
    prelude::*,
    replica::entry::{Entry, HardState, Snapshot},
};
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
    /// Index of the snapshot, which covers all entries up to it.
    base: Index,
    hard: Option<HardState>,
    entries: Vec<Entry>,
    reset_index: Option<Index>,
    /// The highest index since the last end of a segment.
    highest: Index,
}

impl Replay {
    /// Begins a replay of records that follow or overlap a snapshot at an index.
    pub(super) fn new(base: Index) -> Self {
        Self {
            base,
            ..Self::default()
        }
    }

    /// Applies one record.
    pub(super) fn record(&mut self, record: Record) -> eyre::Result<()> {
        match record {
            Record::Hard(hard) => self.hard = Some(hard),
            Record::Reset(index) => {
                self.entries.clear();
                self.reset_index = Some(index);
                self.highest = self.highest.max(index);
            }
            Record::Entries(entries) => self.append(entries)?,
        }
        Ok(())
    }

    /// Returns whether a record with the term and vote was read.
    pub(super) const fn has_hard(&self) -> bool {
        self.hard.is_some()
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
        if !follows {
            self.skip_covered(first)?;
        }
        self.highest = entries.last().map_or(first, |e| e.index).max(self.highest);
        self.entries.extend(entries);
        Ok(())
    }

    /// Drops the entries before a gap that ends before `first`. The snapshot must cover the
    /// gap: a loss of power can bring back some of the removed segments and not others.
    fn skip_covered(&mut self, first: Index) -> eyre::Result<()> {
        if first > self.base.next() {
            let fault = format!("entry {first} does not follow the one before it");
            return Err(Corrupt::new(fault).into());
        }
        self.entries.clear();
        Ok(())
    }

    /// Records the end of a segment. Returns the highest index in it, by which it is
    /// deleted once a snapshot covers it.
    pub(super) fn close_segment(&mut self) -> Index {
        std::mem::take(&mut self.highest)
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
        let base = self.base;
        let base_term = snapshot.as_ref().map_or(Term::default(), |i| i.term);
        let first = self.entries.first().map_or(base.next(), |e| e.index);
        if first > base.next() {
            let (from, to) = (base.next(), first.prev());
            return Err(Corrupt::new(format!("entries {from} to {to} are missing")).into());
        }
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
            hard: self.hard.unwrap_or_default(),
            snapshot,
            entries,
        };
        Ok((loaded, reset))
    }
}
