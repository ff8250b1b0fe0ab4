//! Storage in a folder.
//!
//! The folder holds `identity`, which is written last when the folder is
//! formatted; `image`, the snapshot, which is replaced by renaming; and the
//! segments `log-N`, to which frames are appended. Each segment begins with the term
//! and vote, so older segments can be deleted once a snapshot covers their entries.

use super::{
    Loaded, Storage, Write,
    files::{AppendFile, Files},
    folder::Folder,
    frame::{self, End},
    replay::{Record, Replay},
};
use crate::{
    net::codec,
    prelude::*,
    replica::entry::{Entry, HardState, Snapshot},
};
use eyre::{bail, ensure};
use rand::Rng as _;
use std::{io, path::Path};

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "image";
const SEGMENT_PREFIX: &str = "log-";

/// A segment that is no longer written to.
#[derive(Debug)]
struct Segment {
    number: u64,
    last: Index,
}

/// Storage of one group in a folder.
#[derive(Debug)]
pub struct Disk {
    files: Box<dyn Files>,
    segment_bytes: u64,
    id: MemberId,
    hard: HardState,
    /// Segments before the open one, oldest first.
    closed: Vec<Segment>,
    /// The segment to which frames are appended.
    open: Box<dyn AppendFile>,
    /// Number of the open segment.
    number: u64,
    /// Length of the open segment in bytes.
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
    /// or if it holds a corrupt record that is not at the end of the log.
    pub fn open(folder: &Path, segment_bytes: u64) -> eyre::Result<Self> {
        Self::open_files(Box::new(Folder::open(folder)?), segment_bytes)
    }

    /// Opens the files of a folder, and formats it if it is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the files cannot be used, or if they hold a corrupt record
    /// that is not at the end of the log.
    pub fn open_files(files: Box<dyn Files>, segment_bytes: u64) -> eyre::Result<Self> {
        let numbers = segment_numbers(&*files)?;
        let replay = read_segments(&*files, &numbers)?;
        let snapshot = read_snapshot(&*files)?;
        let id = identity(&*files, &replay, snapshot.is_some())?;
        let closed = numbers
            .iter()
            .zip(&replay.segment_ends)
            .map(|(&number, &last)| Segment { number, last })
            .collect();
        let number = numbers.last().map_or(1, |n| n + 1);
        let last = replay.last();
        let (loaded, reset) = replay.finish(snapshot)?;
        let mut disk = Self {
            open: create_segment(&*files, number)?,
            files,
            segment_bytes,
            id,
            hard: loaded.hard,
            closed,
            number,
            length: 0,
            last,
            loaded,
        };
        disk.begin_segment(reset)?;
        write_identity(&*disk.files, id)?;
        Ok(disk)
    }

    fn begin_segment(&mut self, reset: Option<Record>) -> eyre::Result<()> {
        let mut records = vec![Record::Hard(self.hard)];
        records.extend(reset);
        self.flush(&mut records)?;
        sync_names(&*self.files)
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

    fn rotate(&mut self) -> eyre::Result<()> {
        if self.length < self.segment_bytes {
            return Ok(());
        }
        self.closed.push(Segment {
            number: self.number,
            last: self.last,
        });
        self.number += 1;
        self.open = create_segment(&*self.files, self.number)?;
        self.length = 0;
        self.begin_segment(None)
    }

    fn store_snapshot(&mut self, snapshot: &Snapshot) -> eyre::Result<()> {
        replace(&*self.files, SNAPSHOT_FILE, &codec::encode(snapshot))?;
        // A later segment may hold entries that replace those of an earlier one.
        // Segments are therefore deleted from the oldest on, up to the first one
        // that the snapshot does not cover.
        while self
            .closed
            .first()
            .is_some_and(|s| s.last <= snapshot.index)
        {
            let name = segment_name(self.closed.remove(0).number);
            let removed = self.files.remove(&name);
            removed.wrap_err_with(|| format!("failed to delete `{name}`"))?;
        }
        Ok(())
    }
}

impl Storage for Disk {
    fn identity(&self) -> MemberId {
        self.id
    }

    fn load(&mut self) -> Loaded {
        std::mem::take(&mut self.loaded)
    }

    fn write(&mut self, batch: &[Write]) -> eyre::Result<()> {
        let mut records = Vec::new();
        for write in batch {
            match write {
                Write::Hard(hard) => {
                    self.hard = *hard;
                    records.push(Record::Hard(*hard));
                }
                Write::Append(entries) => {
                    self.last = entries.last().map_or(self.last, |e: &Entry| e.index);
                    records.push(Record::Entries(entries.clone()));
                }
                Write::Compact(snapshot) => {
                    self.flush(&mut records)?;
                    self.store_snapshot(snapshot)?;
                }
                Write::Install(snapshot) => {
                    self.flush(&mut records)?;
                    self.last = snapshot.index;
                    self.store_snapshot(snapshot)?;
                    records.push(Record::Reset(snapshot.index));
                }
            }
        }
        self.flush(&mut records)?;
        self.rotate()
    }
}

fn segment_name(number: u64) -> String {
    format!("{SEGMENT_PREFIX}{number:016x}")
}

fn segment_numbers(files: &dyn Files) -> eyre::Result<Vec<u64>> {
    let names = files.names().wrap_err("failed to list the files")?;
    let digits = names.iter().filter_map(|n| n.strip_prefix(SEGMENT_PREFIX));
    let numbers = digits.filter_map(|digits| u64::from_str_radix(digits, 16).ok());
    let mut numbers: Vec<u64> = numbers.collect();
    numbers.sort_unstable();
    Ok(numbers)
}

fn create_segment(files: &dyn Files, number: u64) -> eyre::Result<Box<dyn AppendFile>> {
    let name = segment_name(number);
    let created = files.create(&name);
    created.wrap_err_with(|| format!("failed to create `{name}`"))
}

fn read_segments(files: &dyn Files, numbers: &[u64]) -> eyre::Result<Replay> {
    let mut replay = Replay::default();
    for (i, number) in numbers.iter().enumerate() {
        let name = segment_name(*number);
        let newest = i + 1 == numbers.len();
        read_segment(files, &name, newest, &mut replay)
            .wrap_err_with(|| format!("failed to replay log segment `{name}`"))?;
        replay.close_segment();
    }
    Ok(replay)
}

fn read_segment(
    files: &dyn Files,
    name: &str,
    newest: bool,
    replay: &mut Replay,
) -> eyre::Result<()> {
    let bytes = files.read(name)?.unwrap_or_default();
    let (contents, end) = frame::split(&bytes);
    for content in contents {
        let records: Vec<Record> = codec::decode(content)?;
        for record in records {
            replay.record(record)?;
        }
    }
    match end {
        End::Whole => Ok(()),
        End::Torn(at) if newest => Ok(files.truncate(name, at as u64)?),
        End::Corrupt(at) | End::Torn(at) => bail!("the record at byte {at} is corrupt"),
    }
}

fn read_frame(files: &dyn Files, name: &str) -> eyre::Result<Option<Vec<u8>>> {
    let read = files.read(name);
    let Some(bytes) = read.wrap_err_with(|| format!("failed to read `{name}`"))? else {
        return Ok(None);
    };
    let (contents, end) = frame::split(&bytes);
    let whole = end == End::Whole && contents.len() == 1;
    ensure!(whole, "file `{name}` is corrupt");
    Ok(contents.first().map(|content| content.to_vec()))
}

fn read_snapshot(files: &dyn Files) -> eyre::Result<Option<Arc<Snapshot>>> {
    let content = read_frame(files, SNAPSHOT_FILE)?;
    let snapshot = content.map(|c| codec::decode(&c)).transpose()?;
    Ok(snapshot.map(Arc::new))
}

/// Returns the folder's identity, or a new one if the folder was never formatted.
fn identity(files: &dyn Files, replay: &Replay, has_snapshot: bool) -> eyre::Result<MemberId> {
    if let Some(content) = read_frame(files, IDENTITY_FILE)? {
        let formatted = !replay.segment_ends.is_empty();
        ensure!(formatted, "the folder has an identity but no log");
        return codec::decode(&content);
    }
    let fresh = replay.last() == Index::default() && !has_snapshot;
    ensure!(fresh, "the folder has a log but no identity");
    Ok(MemberId(rand::rng().random()))
}

fn write_identity(files: &dyn Files, id: MemberId) -> eyre::Result<()> {
    if files.read(IDENTITY_FILE)?.is_some() {
        return Ok(());
    }
    replace(files, IDENTITY_FILE, &codec::encode(&id))
}

/// Replaces a file atomically: after a crash it has either its old or its new
/// content.
fn replace(files: &dyn Files, name: &str, content: &[u8]) -> eyre::Result<()> {
    let temporary = format!("{name}.new");
    let write = || -> io::Result<()> {
        files.remove(&temporary)?;
        let mut file = files.create(&temporary)?;
        file.append(&frame::frame(content))?;
        file.sync()?;
        files.rename(&temporary, name)?;
        files.sync()
    };
    write().wrap_err_with(|| format!("failed to write `{name}`"))
}

fn sync_names(files: &dyn Files) -> eyre::Result<()> {
    files.sync().wrap_err("failed to sync the folder")
}
