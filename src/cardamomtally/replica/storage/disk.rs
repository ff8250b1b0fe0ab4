//! Storage in a folder.
//!
//! The folder holds `identity`, which is written last when the folder is
//! formatted; `image`, the snapshot, which is replaced by renaming; and the
//! segments `log-N`, to which frames are appended. Each segment begins with the term
//! and vote, so older segments can be deleted once a snapshot covers their entries.
//!
//! The image names the first segment that belongs to the log, and is synced before earlier
//! segments are deleted. A loss of power may bring back any of these; they are not read.

use super::{
    Loaded, Storage, Write,
    corrupt::Corrupt,
    files::{AppendFile, Files},
    folder::Folder,
    frame,
    image::{self, Image},
    replay::Record,
    segments::{self, Segment, Segments, Unsynced},
};
use crate::{
    net::codec,
    prelude::*,
    replica::entry::{Entry, HardState, Snapshot},
};
use rand::Rng as _;
use std::path::Path;

/// Storage of one group in a folder.
#[derive(Debug)]
pub struct Disk {
    files: Box<dyn Files>,
    segment_bytes: u64,
    log: OpenLog,
}

/// What is read from the files when they are opened, and changes with each write.
#[derive(Debug)]
struct OpenLog {
    id: MemberId,
    hard: HardState,
    /// Segments before the open one, oldest first.
    closed: Vec<Segment>,
    /// The segment to which frames are appended.
    open: Box<dyn AppendFile>,
    /// Number of the open segment.
    number: u64,
    /// Length of the open segment in bytes, as far as it is synced.
    length: u64,
    /// Index of the last entry written, or of the snapshot that replaced the log.
    last: Index,
    loaded: Loaded,
}

impl Disk {
    /// Opens a folder, and formats it if it is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be used, if another process uses it,
    /// or if it holds a corrupt record that is not at the end of the log. In the last case
    /// the error is [`Corrupt`].
    pub fn open(folder: &Path, segment_bytes: u64) -> eyre::Result<Self> {
        Self::open_files(Box::new(Folder::open(folder)?), segment_bytes)
    }

    /// Opens the files of a folder, and formats it if it is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be used, or if they hold a corrupt record
    /// that is not at the end of the log. In the last case the error is [`Corrupt`].
    pub fn open_files(files: Box<dyn Files>, segment_bytes: u64) -> eyre::Result<Self> {
        // The process before may have ended after a failed sync of the folder.
        image::store_again(&*files)?;
        let log = OpenLog::open(&*files, None)?;
        Ok(Self {
            files,
            segment_bytes,
            log,
        })
    }

    fn compact(&mut self, snapshot: &Snapshot) -> eyre::Result<()> {
        // A later segment may hold entries that replace those of an earlier one.
        // Segments are therefore deleted from the oldest on, up to the first one
        // that the snapshot does not cover.
        let closed = self.log.closed.iter();
        let mut uncovered = closed.filter(|s| s.last > snapshot.index).map(|s| s.number);
        let first_segment = uncovered.next().unwrap_or(self.log.number);
        self.store_image(snapshot, first_segment)?;
        self.log.remove_before(&*self.files, first_segment)
    }

    /// Replaces the whole log by a snapshot. The log continues in a new segment.
    fn install(&mut self, snapshot: &Snapshot) -> eyre::Result<()> {
        let first_segment = self.log.number + 1;
        self.store_image(snapshot, first_segment)?;
        self.log.last = snapshot.index;
        self.log
            .rotate(&*self.files, Some(Record::Reset(snapshot.index)))?;
        self.log.remove_before(&*self.files, first_segment)
    }

    fn store_image(&self, snapshot: &Snapshot, first_segment: u64) -> eyre::Result<()> {
        let image = Image {
            snapshot: snapshot.clone(),
            first_segment,
        };
        image::store(&*self.files, &image)
    }
}

impl OpenLog {
    fn open(files: &dyn Files, unsynced: Option<Unsynced>) -> eyre::Result<Self> {
        let image = image::read(files)?;
        let first = image.as_ref().map_or(0, |i| i.first_segment);
        let snapshot = image.map(|i| Arc::new(i.snapshot));
        let Segments {
            closed,
            next,
            replay,
        } = segments::replay(files, first, snapshot.as_deref(), unsynced)?;
        let last = replay.last();
        let fresh = last == Index::default() && snapshot.is_none();
        let id = identity(files, closed.is_empty(), fresh)?;
        let (loaded, reset) = replay.finish(snapshot)?;
        let mut log = Self {
            id,
            hard: loaded.hard,
            closed,
            open: segments::create(files, next)?,
            number: next,
            length: 0,
            last,
            loaded,
        };
        if let Err(error) = log.begin_segment(files, reset) {
            // The segment may hold a record that is not synced. It must not be taken for an
            // older, synced one by the next attempt.
            files.remove(&segments::name(next))?;
            return Err(error);
        }
        image::store_identity(files, id)?;
        Ok(log)
    }

    fn begin_segment(&mut self, files: &dyn Files, reset: Option<Record>) -> eyre::Result<()> {
        let mut records = vec![Record::Hard(self.hard)];
        records.extend(reset);
        self.flush(&mut records)?;
        files.sync().wrap_err("failed to sync the folder")
    }

    fn flush(&mut self, records: &mut Vec<Record>) -> eyre::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let bytes = frame::frame(&codec::encode(records));
        records.clear();
        self.open
            .append(&bytes)
            .and_then(|()| self.open.sync())
            .wrap_err_with(|| format!("failed to write segment {} of the log", self.number))?;
        self.length += bytes.len() as u64;
        Ok(())
    }

    /// Continues the log in a new segment.
    fn rotate(&mut self, files: &dyn Files, reset: Option<Record>) -> eyre::Result<()> {
        self.open = segments::create(files, self.number + 1)?;
        self.closed.push(Segment {
            number: self.number,
            last: self.last,
        });
        self.number += 1;
        self.length = 0;
        self.begin_segment(files, reset)
    }

    /// Removes the segments before `first`, which the stored image must name.
    fn remove_before(&mut self, files: &dyn Files, first: u64) -> eyre::Result<()> {
        for segment in self.closed.extract_if(.., |s| s.number < first) {
            let name = segments::name(segment.number);
            let removed = files.remove(&name);
            removed.wrap_err_with(|| format!("failed to delete `{name}`"))?;
        }
        Ok(())
    }
}

impl Storage for Disk {
    fn identity(&self) -> MemberId {
        self.log.id
    }

    fn load(&mut self) -> Loaded {
        std::mem::take(&mut self.log.loaded)
    }

    fn write(&mut self, batch: &[Write]) -> eyre::Result<()> {
        let mut records = Vec::new();
        for write in batch {
            match write {
                Write::Hard(hard) => {
                    self.log.hard = *hard;
                    records.push(Record::Hard(*hard));
                }
                Write::Append(entries) => {
                    self.log.last = entries.last().map_or(self.log.last, |e: &Entry| e.index);
                    records.push(Record::Entries(entries.clone()));
                }
                Write::Compact(snapshot) => {
                    self.log.flush(&mut records)?;
                    self.compact(snapshot)?;
                }
                Write::Install(snapshot) => {
                    self.log.flush(&mut records)?;
                    self.install(snapshot)?;
                }
            }
        }
        self.log.flush(&mut records)?;
        if self.log.length >= self.segment_bytes {
            self.log.rotate(&*self.files, None)?;
        }
        Ok(())
    }

    fn reopen(&mut self) -> eyre::Result<()> {
        let unsynced = Unsynced {
            number: self.log.number,
            length: self.log.length,
        };
        image::store_again(&*self.files)?;
        self.log = OpenLog::open(&*self.files, Some(unsynced))?;
        Ok(())
    }
}

/// Returns the folder's identity, or a new one if the folder was never formatted.
fn identity(files: &dyn Files, without_log: bool, fresh: bool) -> eyre::Result<MemberId> {
    match image::read_identity(files)? {
        Some(_) if without_log => Err(Corrupt::new("the folder has an identity but no log").into()),
        Some(id) => Ok(id),
        None if fresh => Ok(MemberId(rand::rng().random())),
        None => Err(Corrupt::new("the folder has a log but no identity").into()),
    }
}
