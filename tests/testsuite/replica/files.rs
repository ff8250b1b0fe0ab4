//! A file system in memory that loses power, refuses writes and fails to sync.

use cardamomtally::replica::storage::files::{AppendFile, Files};
use rand::{Rng as _, SeedableRng as _, rngs::SmallRng};
use std::{
    collections::{BTreeMap, BTreeSet},
    io::{self, ErrorKind},
    ops::Range,
    sync::{Arc, Mutex, MutexGuard},
};

/// Number of an open or closed file, whatever its name.
type FileId = usize;

#[derive(Debug, Default)]
struct Contents {
    /// What a read returns.
    bytes: Vec<u8>,
    /// Number of bytes that the last successful sync covered.
    synced: usize,
    /// Bytes that a failed sync has dropped: a read returns them, a disk does not hold
    /// them, and no later sync writes them.
    dropped: Vec<Range<usize>>,
}

impl Contents {
    /// Returns what the disk holds of the first `length` bytes.
    fn on_disk(&self, length: usize) -> Vec<u8> {
        let mut bytes = self.bytes[..length].to_vec();
        for range in &self.dropped {
            let range = range.start.min(length)..range.end.min(length);
            bytes[range].fill(0);
        }
        bytes
    }
}

#[derive(Debug)]
struct Inner {
    rng: SmallRng,
    files: Vec<Contents>,
    /// Names as a listing returns them.
    names: BTreeMap<String, FileId>,
    /// Names as the last sync of the folder left them.
    synced: BTreeMap<String, FileId>,
    /// Names whose last change a failed sync has dropped. Later syncs do not make it
    /// certain.
    stuck: BTreeSet<String>,
    /// Bytes that the disk still takes, or `None` if it is not full.
    space: Option<usize>,
    syncs_fail: bool,
    /// Number of changes to files and names until the process ends, or `None` if it does
    /// not. All later ones are refused.
    changes_left: Option<usize>,
    /// Number of changes before the one that fails, while those after it succeed.
    until_failure: Option<usize>,
}

/// How the file system answers a change.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Outcome {
    Done,
    Fails,
}

/// A folder. Its clones share their files.
#[derive(Clone, Debug)]
pub struct ModelFiles(Arc<Mutex<Inner>>);

impl ModelFiles {
    pub fn new(seed: u64) -> Self {
        Self(Arc::new(Mutex::new(Inner {
            rng: SmallRng::seed_from_u64(seed),
            files: Vec::new(),
            names: BTreeMap::new(),
            synced: BTreeMap::new(),
            stuck: BTreeSet::new(),
            space: None,
            syncs_fail: false,
            changes_left: None,
            until_failure: None,
        })))
    }

    fn inner(&self) -> MutexGuard<'_, Inner> {
        self.0.lock().unwrap()
    }

    /// Lets the disk take only so many more bytes, or any number if `space` is `None`.
    pub fn set_space(&self, space: Option<usize>) {
        self.inner().space = space;
    }

    /// Lets every sync fail, or none.
    pub fn set_syncs_fail(&self, fail: bool) {
        self.inner().syncs_fail = fail;
    }

    /// Lets the process end after so many more changes, or go on if `changes` is `None`.
    pub fn set_changes_left(&self, changes: Option<usize>) {
        self.inner().changes_left = changes;
    }

    /// Lets one change fail after so many others, or none if `changes` is `None`.
    pub fn set_failure_after(&self, changes: Option<usize>) {
        self.inner().until_failure = changes;
    }

    /// Loses power. Each name that was created, renamed or removed since the last sync of
    /// the folder is found in its old or its new state, whatever became of the others.
    /// What was appended to a file since its last sync is there, missing or torn.
    pub fn lose_power(&self) {
        let inner = &mut *self.inner();
        let names: BTreeSet<String> = inner
            .names
            .keys()
            .chain(inner.synced.keys())
            .cloned()
            .collect();
        let mut kept = BTreeMap::new();
        for name in names {
            let (old, new) = (inner.synced.get(&name), inner.names.get(&name));
            let file = if inner.rng.random() { old } else { new };
            kept.extend(file.map(|id| (name, *id)));
        }
        inner.lose_unsynced_bytes();
        inner.stuck.clear();
        inner.synced.clone_from(&kept);
        inner.names = kept;
    }
}

impl Inner {
    /// Counts a change, and decides whether it fails.
    fn count_change(&mut self) -> io::Result<Outcome> {
        match &mut self.changes_left {
            Some(0) => return Err(io::Error::other("the process has ended")),
            Some(left) => *left -= 1,
            None => {}
        }
        match self.until_failure {
            Some(0) => {
                self.until_failure = None;
                Ok(Outcome::Fails)
            }
            Some(left) => {
                self.until_failure = Some(left - 1);
                Ok(Outcome::Done)
            }
            None => Ok(Outcome::Done),
        }
    }

    /// Counts a change that has no effect if it fails.
    fn begin_change(&mut self) -> io::Result<()> {
        match self.count_change()? {
            Outcome::Done => Ok(()),
            Outcome::Fails => Err(io::Error::other("the change failed")),
        }
    }

    fn lose_unsynced_bytes(&mut self) {
        for file in &mut self.files {
            let length = self.rng.random_range(file.synced..=file.bytes.len());
            let mut bytes = file.on_disk(length);
            if length > file.synced && self.rng.random_ratio(1, 4) {
                let torn = self.rng.random_range(file.synced..length);
                bytes[torn] ^= 0x55;
            }
            *file = Contents {
                synced: bytes.len(),
                bytes,
                dropped: Vec::new(),
            };
        }
    }

    /// Binds a name to another file, or to none.
    fn bind(&mut self, name: &str, file: Option<FileId>) {
        self.stuck.remove(name);
        match file {
            Some(id) => self.names.insert(name.to_owned(), id),
            None => self.names.remove(name),
        };
    }

    fn changed_names(&self) -> BTreeSet<String> {
        let names = self.names.keys().chain(self.synced.keys());
        let changed = names.filter(|name| self.names.get(*name) != self.synced.get(*name));
        changed.cloned().collect()
    }

    fn sync_names(&mut self) -> io::Result<()> {
        let outcome = self.count_change()?;
        let changed = self.changed_names();
        if self.syncs_fail || outcome == Outcome::Fails {
            self.stuck.extend(changed);
            return Err(io::Error::other("the sync failed"));
        }
        for name in changed.difference(&self.stuck) {
            match self.names.get(name) {
                Some(id) => self.synced.insert(name.clone(), *id),
                None => self.synced.remove(name),
            };
        }
        Ok(())
    }

    fn file(&mut self, name: &str) -> io::Result<&mut Contents> {
        let id = self.names.get(name).copied().ok_or(ErrorKind::NotFound)?;
        Ok(&mut self.files[id])
    }

    fn sync_file(&mut self, id: FileId) -> io::Result<()> {
        let fails = self.count_change()? == Outcome::Fails || self.syncs_fail;
        let file = &mut self.files[id];
        if fails {
            file.dropped.push(file.synced..file.bytes.len());
            return Err(io::Error::other("the sync failed"));
        }
        file.synced = file.bytes.len();
        Ok(())
    }
}

impl Files for ModelFiles {
    fn names(&self) -> io::Result<Vec<String>> {
        Ok(self.inner().names.keys().cloned().collect())
    }

    fn read(&self, name: &str) -> io::Result<Option<Vec<u8>>> {
        Ok(self.inner().file(name).ok().map(|file| file.bytes.clone()))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn AppendFile>> {
        let inner = &mut *self.inner();
        inner.begin_change()?;
        if inner.names.contains_key(name) {
            return Err(ErrorKind::AlreadyExists.into());
        }
        inner.files.push(Contents::default());
        let id = inner.files.len() - 1;
        inner.bind(name, Some(id));
        let files = self.clone();
        Ok(Box::new(ModelFile { files, id }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.begin_change()?;
        let id = inner.names.get(from).copied().ok_or(ErrorKind::NotFound)?;
        inner.bind(from, None);
        inner.bind(to, Some(id));
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let inner = &mut *self.inner();
        inner.begin_change()?;
        inner.bind(name, None);
        Ok(())
    }

    fn sync(&self) -> io::Result<()> {
        self.inner().sync_names()
    }
}

#[derive(Debug)]
struct ModelFile {
    files: ModelFiles,
    id: FileId,
}

impl AppendFile for ModelFile {
    fn append(&mut self, bytes: &[u8]) -> io::Result<()> {
        let inner = &mut *self.files.inner();
        let limit = match inner.count_change() {
            Ok(Outcome::Done) => bytes.len(),
            // A write that fails, or during which the process ends, may have written a part.
            Ok(Outcome::Fails) | Err(_) => inner.rng.random_range(0..bytes.len()),
        };
        let fits = inner.space.unwrap_or(bytes.len()).min(limit);
        inner.space = inner.space.map(|space| space - fits);
        inner.files[self.id].bytes.extend(&bytes[..fits]);
        if fits < bytes.len() {
            return Err(ErrorKind::StorageFull.into());
        }
        Ok(())
    }

    fn sync(&mut self) -> io::Result<()> {
        self.files.inner().sync_file(self.id)
    }
}
