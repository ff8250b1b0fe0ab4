//! What a member keeps on its disk.
//!
//! The node returns [`Write`]s. A separate thread ([`writer`]) passes batches of
//! them to a [`Storage`], which syncs once per batch, and reports back. [`disk`]
//! stores them in a folder, whose files it uses through [`files`]; [`late`] waits for a
//! folder that cannot be used yet; [`memory::MemStorage`] stores nothing.

pub mod corrupt;
pub mod disk;
pub mod files;
pub mod folder;
pub mod frame;
mod image;
pub mod late;
pub mod memory;
mod replay;
mod segments;
pub mod writer;

use super::entry::{Entry, HardState, Snapshot};
use crate::prelude::*;
use std::fmt::Debug;

/// A change to the stored state.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Replaces the term, the vote and the cluster number.
    Hard(HardState),
    /// Appends entries. They replace all stored entries from the first of them
    /// on.
    Append(Vec<Entry>),
    /// Stores a snapshot of applied entries of this member's log.
    Compact(Arc<Snapshot>),
    /// Stores a snapshot from the leader, which replaces the whole log.
    Install(Arc<Snapshot>),
}

/// What was stored when the storage was opened, or reopened after a failed write.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// Term, vote and cluster number.
    pub hard: HardState,
    /// The latest snapshot.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
}

impl Loaded {
    /// Applies a write in memory, with the same result as writing it to a disk and
    /// loading that disk again.
    pub fn apply(&mut self, write: &Write) {
        match write {
            Write::Hard(hard) => self.hard = *hard,
            Write::Append(entries) => self.append(entries),
            Write::Compact(snapshot) => {
                self.entries.retain(|e| e.index > snapshot.index);
                self.snapshot = Some(Arc::clone(snapshot));
            }
            Write::Install(snapshot) => {
                self.entries.clear();
                self.snapshot = Some(Arc::clone(snapshot));
            }
        }
    }

    fn append(&mut self, entries: &[Entry]) {
        let Some(first) = entries.first() else {
            return;
        };
        self.entries.retain(|e| e.index < first.index);
        self.entries.extend_from_slice(entries);
    }
}

/// Storage of one group of a member.
pub trait Storage: Debug + Send {
    /// Returns the member's identity, drawn when the storage was formatted. It is the default
    /// one until the storage could be used for the first time.
    fn identity(&self) -> MemberId;

    /// Returns why the storage could not be used yet, or `None` if it could. Until then it
    /// must be opened with [`Storage::reopen`], as after a failed write.
    fn failure(&self) -> Option<String> {
        None
    }

    /// Returns what was stored when the storage was opened or reopened. Later calls return
    /// an empty value.
    fn load(&mut self) -> Loaded;

    /// Writes a batch and syncs it. After an error the storage must be opened again with
    /// [`Storage::reopen`] before the next batch.
    ///
    /// # Errors
    ///
    /// Returns an error if the batch may not have reached the disk.
    fn write(&mut self, batch: &[Write]) -> eyre::Result<()>;

    /// Makes the storage usable again after a failed write. [`Storage::load`] then returns
    /// what is certain to be stored: all batches before the failed one, and none or some of
    /// the writes of that one.
    ///
    /// # Errors
    ///
    /// Returns an error if the storage still cannot be used. It can be tried again.
    fn reopen(&mut self) -> eyre::Result<()>;
}
