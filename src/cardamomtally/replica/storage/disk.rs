//! Storage in a folder.
//!
//! The folder holds `identity`, which is written last when the folder is
//! formatted; `image`, the snapshot, which is replaced by renaming; and the
//! segments `log-N`, to which frames are appended. A file `lock` keeps other
//! processes out. Each segment begins with the term and vote, so older segments
//! can be deleted once a snapshot covers their entries.

use super::{
    Loaded, Storage, Write,
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
use std::{
    fs::{self, File, OpenOptions, TryLockError},
    io::{ErrorKind, Write as _},
    path::{Path, PathBuf},
    time::Instant,
};

/// Time to wait for the folder's lock. After a quick restart, the previous
/// process may still be exiting.
const LOCK_TIMEOUT: Duration = Duration::from_secs(2);

/// Pause between two attempts to lock the folder.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(10);

const IDENTITY_FILE: &str = "identity";
const SNAPSHOT_FILE: &str = "image";
const LOCK_FILE: &str = "lock";
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
    folder: PathBuf,
    segment_bytes: u64,
    id: MemberId,
    hard: HardState,
    /// Segments before the open one, oldest first.
    closed: Vec<Segment>,
    /// The segment to which frames are appended.
    open: File,
    /// Number of the open segment.
    number: u64,
    /// Length of the open segment in bytes.
    length: u64,
    /// Index of the last entry written, or of the snapshot that replaced the log.
    last: Index,
    loaded: Loaded,
    /// Keeps the folder locked while it is open.
    _lock: File,
}

impl Disk {
    /// Opens a folder, and formats it if it is empty.
    ///
    /// # Errors
    ///
    /// Returns an error if the folder cannot be used, if another process uses it,
    /// or if it holds a corrupt record that is not at the end of the log.
    pub fn open(folder: &Path, segment_bytes: u64) -> eyre::Result<Self> {
        fs::create_dir_all(folder)
            .wrap_err_with(|| format!("failed to create folder `{}`", folder.display()))?;
        let lock = lock(folder)?;
        let numbers = segment_numbers(folder)?;
        let replay = read_segments(folder, &numbers)?;
        let snapshot = read_snapshot(folder)?;
        let id = identity(folder, &replay, snapshot.is_some())?;
        let closed = numbers
            .iter()
            .zip(&replay.segment_ends)
            .map(|(&number, &last)| Segment { number, last })
            .collect();
        let number = numbers.last().map_or(1, |n| n + 1);
        let last = replay.last();
        let (loaded, reset) = replay.finish(snapshot)?;
        let mut disk = Self {
            folder: folder.to_owned(),
            segment_bytes,
            id,
            hard: loaded.hard,
            closed,
            open: create_segment(folder, number)?,
            number,
            length: 0,
            last,
            loaded,
            _lock: lock,
        };
        disk.begin_segment(reset)?;
        write_identity(folder, id)?;
        Ok(disk)
    }

    fn begin_segment(&mut self, reset: Option<Record>) -> eyre::Result<()> {
        let mut records = vec![Record::Hard(self.hard)];
        records.extend(reset);
        self.flush(&mut records)?;
        sync_folder(&self.folder)
    }

    fn flush(&mut self, records: &mut Vec<Record>) -> eyre::Result<()> {
        if records.is_empty() {
            return Ok(());
        }
        let bytes = frame::frame(&codec::encode(records));
        records.clear();
        self.open
            .write_all(&bytes)
            .and_then(|()| self.open.sync_data())
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
        self.open = create_segment(&self.folder, self.number)?;
        self.length = 0;
        self.begin_segment(None)
    }

    fn store_snapshot(&mut self, snapshot: &Snapshot) -> eyre::Result<()> {
        replace(&self.folder, SNAPSHOT_FILE, &codec::encode(snapshot))?;
        // A later segment may hold entries that replace those of an earlier one.
        // Segments are therefore deleted from the oldest on, up to the first one
        // that the snapshot does not cover.
        while self
            .closed
            .first()
            .is_some_and(|s| s.last <= snapshot.index)
        {
            let path = segment_path(&self.folder, self.closed.remove(0).number);
            fs::remove_file(&path)
                .wrap_err_with(|| format!("failed to delete `{}`", path.display()))?;
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

fn lock(folder: &Path) -> eyre::Result<File> {
    let path = folder.join(LOCK_FILE);
    let file = OpenOptions::new()
        .create(true)
        .truncate(false)
        .write(true)
        .open(&path)
        .wrap_err_with(|| format!("failed to open `{}`", path.display()))?;
    let tried = Instant::now();
    loop {
        match file.try_lock() {
            Ok(()) => return Ok(file),
            Err(TryLockError::WouldBlock) if tried.elapsed() < LOCK_TIMEOUT => {
                std::thread::sleep(LOCK_RETRY_INTERVAL);
            }
            Err(error) => {
                return Err(error)
                    .wrap_err_with(|| format!("folder `{}` is in use", folder.display()));
            }
        }
    }
}

fn segment_path(folder: &Path, number: u64) -> PathBuf {
    folder.join(format!("{SEGMENT_PREFIX}{number:016x}"))
}

fn segment_numbers(folder: &Path) -> eyre::Result<Vec<u64>> {
    let mut numbers = Vec::new();
    for item in fs::read_dir(folder)? {
        let name = item?.file_name();
        let number = name
            .to_str()
            .and_then(|name| name.strip_prefix(SEGMENT_PREFIX))
            .and_then(|digits| u64::from_str_radix(digits, 16).ok());
        numbers.extend(number);
    }
    numbers.sort_unstable();
    Ok(numbers)
}

fn create_segment(folder: &Path, number: u64) -> eyre::Result<File> {
    let path = segment_path(folder, number);
    OpenOptions::new()
        .create_new(true)
        .append(true)
        .open(&path)
        .wrap_err_with(|| format!("failed to create `{}`", path.display()))
}

fn read_segments(folder: &Path, numbers: &[u64]) -> eyre::Result<Replay> {
    let mut replay = Replay::default();
    for (i, number) in numbers.iter().enumerate() {
        let path = segment_path(folder, *number);
        let newest = i + 1 == numbers.len();
        read_segment(&path, newest, &mut replay)
            .wrap_err_with(|| format!("failed to replay log segment `{}`", path.display()))?;
        replay.close_segment();
    }
    Ok(replay)
}

fn read_segment(path: &Path, newest: bool, replay: &mut Replay) -> eyre::Result<()> {
    let bytes = fs::read(path)?;
    let (contents, end) = frame::split(&bytes);
    for content in contents {
        let records: Vec<Record> = codec::decode(content)?;
        for record in records {
            replay.record(record)?;
        }
    }
    match end {
        End::Whole => Ok(()),
        End::Torn(at) if newest => truncate_file(path, at as u64),
        End::Corrupt(at) | End::Torn(at) => bail!("the record at byte {at} is corrupt"),
    }
}

fn truncate_file(path: &Path, length: u64) -> eyre::Result<()> {
    let file = OpenOptions::new().write(true).open(path)?;
    file.set_len(length)?;
    file.sync_all()?;
    Ok(())
}

fn read_frame(folder: &Path, name: &str) -> eyre::Result<Option<Vec<u8>>> {
    let path = folder.join(name);
    let bytes = match fs::read(&path) {
        Ok(bytes) => bytes,
        Err(error) if error.kind() == ErrorKind::NotFound => return Ok(None),
        Err(error) => {
            let context = format!("failed to read `{}`", path.display());
            return Err(error).wrap_err(context);
        }
    };
    let (contents, end) = frame::split(&bytes);
    let whole = end == End::Whole && contents.len() == 1;
    ensure!(whole, "file `{}` is corrupt", path.display());
    Ok(contents.first().map(|content| content.to_vec()))
}

fn read_snapshot(folder: &Path) -> eyre::Result<Option<Arc<Snapshot>>> {
    let content = read_frame(folder, SNAPSHOT_FILE)?;
    let snapshot = content.map(|c| codec::decode(&c)).transpose()?;
    Ok(snapshot.map(Arc::new))
}

/// Returns the folder's identity, or a new one if the folder was never formatted.
fn identity(folder: &Path, replay: &Replay, has_snapshot: bool) -> eyre::Result<MemberId> {
    if let Some(content) = read_frame(folder, IDENTITY_FILE)? {
        let formatted = !replay.segment_ends.is_empty();
        ensure!(
            formatted,
            "folder `{}` has an identity but no log",
            folder.display()
        );
        return codec::decode(&content);
    }
    let fresh = replay.last() == Index::default() && !has_snapshot;
    ensure!(
        fresh,
        "folder `{}` has a log but no identity",
        folder.display()
    );
    Ok(MemberId(rand::rng().random()))
}

fn write_identity(folder: &Path, id: MemberId) -> eyre::Result<()> {
    if folder.join(IDENTITY_FILE).exists() {
        return Ok(());
    }
    replace(folder, IDENTITY_FILE, &codec::encode(&id))
}

/// Replaces a file atomically: after a crash it has either its old or its new
/// content.
fn replace(folder: &Path, name: &str, content: &[u8]) -> eyre::Result<()> {
    let temporary = folder.join(format!("{name}.new"));
    let path = folder.join(name);
    let write = || -> eyre::Result<()> {
        let mut file = File::create(&temporary)?;
        file.write_all(&frame::frame(content))?;
        file.sync_all()?;
        fs::rename(&temporary, &path)?;
        sync_folder(folder)
    };
    write().wrap_err_with(|| format!("failed to write `{}`", path.display()))
}

fn sync_folder(folder: &Path) -> eyre::Result<()> {
    File::open(folder)
        .and_then(|folder| folder.sync_all())
        .wrap_err_with(|| format!("failed to sync folder `{}`", folder.display()))
}
