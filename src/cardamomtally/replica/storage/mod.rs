//! What a member keeps on its disk.
//!
//! The node returns [`Write`]s; a thread of its own ([`writer`]) hands batches
//! of them to a [`Storage`], syncs once a batch and reports back. [`disk`] is
//! the real one; [`memory::MemStorage`] forgets all when the process ends.

pub mod disk;
pub mod frame;
pub mod memory;
mod replay;
pub mod writer;

use super::entry::{Entry, HardState, Snapshot};
use crate::prelude::*;
use std::fmt::Debug;

/// A change to what is on disk.
#[derive(Clone, Debug, PartialEq)]
pub enum Write {
    /// Replaces term and vote.
    Hard(HardState),
    /// Replaces the log from the first of these entries on.
    Append(Vec<Entry>),
    /// Stores an image of what the log already holds.
    Compact(Arc<Snapshot>),
    /// Stores an image from the leader, which replaces the whole log.
    Install(Arc<Snapshot>),
}

/// What was on disk at start.
#[derive(Clone, Debug, Default)]
pub struct Loaded {
    /// Term and vote.
    pub hard: HardState,
    /// The latest image.
    pub snapshot: Option<Arc<Snapshot>>,
    /// The entries after the image.
    pub entries: Vec<Entry>,
}

impl Loaded {
    /// Applies a write, as a disk does.
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

/// A member's disk, for one group.
pub trait Storage: Debug + Send {
    /// Returns the member's identity, drawn when the disk was formatted.
    fn identity(&self) -> MemberId;

    /// Takes what was on disk at start. Later calls return nothing.
    fn load(&mut self) -> Loaded;

    /// Writes a batch and syncs it. After an error the storage is not used again.
    ///
    /// # Errors
    ///
    /// Returns an error if the batch may not be on disk.
    fn write(&mut self, batch: &[Write]) -> eyre::Result<()>;
}
